//! A toy to try the relay with: discovery that lists two endpoints, and the endpoints, which take every
//! connection and return each line. Run it with `cargo run --example toy_server`.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:8500";
const ENDPOINTS: [&str; 2] = ["127.0.0.1:9001", "127.0.0.1:9002"];

/// The list never changes: a watch on changes waits out its time and gets none.
fn discovery(mut stream: TcpStream) -> io::Result<()> {
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line)?;
    let members = ENDPOINTS.map(|address| {
        format!(
            r#"{{"id":"toy-{address}","host_port":"{address}","locality":"a","flavor":"toy","cell":0,"phase":"Ready","size":1.0,"up_since_ms":0}}"#
        )
    });
    let first = !line.contains("after=1&");
    if !first {
        thread::sleep(Duration::from_secs(3));
    }
    let members = if first { members.join(",") } else { String::new() };
    let body = format!(r#"{{"revision":1,"complete":{first},"members":[{members}]}}"#);
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn endpoint(name: &str, mut stream: TcpStream) -> io::Result<()> {
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

fn serve(address: &'static str, answer: fn(&'static str, TcpStream) -> io::Result<()>) -> io::Result<()> {
    for stream in TcpListener::bind(address)?.incoming() {
        let stream = stream?;
        thread::spawn(move || answer(address, stream));
    }
    Ok(())
}

fn main() -> io::Result<()> {
    for address in ENDPOINTS {
        thread::spawn(move || serve(address, endpoint));
    }
    println!("discovery on {DISCOVERY}, streamers on {ENDPOINTS:?}");
    serve(DISCOVERY, |_, stream| discovery(stream))
}
