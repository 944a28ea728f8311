//! A server for trying out the relay: a discovery service that lists two endpoints, and the two endpoints,
//! which accept every connection and echo each line. Run it with `cargo run --example toy_server`.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Where the discovery service listens.
const DISCOVERY: &str = "127.0.0.1:8500";
/// Where the endpoints listen.
const ENDPOINTS: [&str; 2] = ["127.0.0.1:9001", "127.0.0.1:9002"];

/// How long a request for changes is left open before it is answered with none.
const LONG_POLL: Duration = Duration::from_secs(3);

/// Answers one request for the list of endpoints. The list never changes, so a request for changes waits for
/// [`LONG_POLL`].
fn answer_poll(mut stream: TcpStream) -> io::Result<()> {
    let mut request_line = String::new();
    BufReader::new(&stream).read_line(&mut request_line)?;
    let members = ENDPOINTS.map(|address| {
        format!(
            r#"{{"id":"toy-{address}","host_port":"{address}","locality":"a","flavor":"toy","cell":0,"phase":"Ready","size":1.0,"up_since_ms":0}}"#
        )
    });
    let complete = !request_line.contains("after=1&");
    if !complete {
        thread::sleep(LONG_POLL);
    }
    let members = if complete { members.join(",") } else { String::new() };
    let body = format!(r#"{{"revision":1,"complete":{complete},"members":[{members}]}}"#);
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Serves one connection of the line protocol.
fn serve_endpoint(name: &str, mut stream: TcpStream) -> io::Result<()> {
    for line in BufReader::new(stream.try_clone()?).lines() {
        let line = line?;
        println!("{name}: {line}");
        match line.split(' ').next() {
            Some("OPEN") => write!(stream, "UP {name}\r\n")?,
            Some("bye") => return write!(stream, "BYE\r\n"),
            _ => write!(stream, "{line}\r\n")?,
        }
    }
    Ok(())
}

/// Accepts connections and handles each in a thread of its own.
fn serve(address: &'static str, handle: fn(&'static str, TcpStream) -> io::Result<()>) -> io::Result<()> {
    for stream in TcpListener::bind(address)?.incoming() {
        let stream = stream?;
        thread::spawn(move || handle(address, stream));
    }
    Ok(())
}

fn main() -> io::Result<()> {
    for address in ENDPOINTS {
        thread::spawn(move || serve(address, serve_endpoint));
    }
    println!("discovery on {DISCOVERY}, endpoints on {ENDPOINTS:?}");
    serve(DISCOVERY, |_, stream| answer_poll(stream))
}
