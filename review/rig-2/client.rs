//! A stand-in of clients and of the front that leads them to a relay.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::note;

/// How often a client sends a line.
const LINE_INTERVAL: Duration = Duration::from_secs(2);

/// What a client has read.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Line(String),
    /// The relay has closed the connection in order.
    Closed,
    /// The connection was reset, refused or broken.
    Broken,
    /// Nothing within the time given.
    Nothing,
}

impl Reply {
    pub fn is_up(&self) -> bool {
        matches!(self, Reply::Line(line) if line.starts_with("UP "))
    }
}

/// A client's request: what stands in its `OPEN` line.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub key: String,
    /// Class, tenant and group as `c=...,t=...,g=...`.
    pub options: String,
    /// How long it waits.
    pub wait_ms: u32,
}

/// A client's connection to a relay.
pub struct Client {
    pub request: Request,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a relay and sends the request, with `more` (such as `,mid=1`) after its options.
    pub fn open(relay: SocketAddr, request: &Request, more: &str) -> Result<Client, Reply> {
        let Request { id, key, options, wait_ms } = request;
        let line = format!("OPEN {id} {key} {options},d={wait_ms}{more}\r\n");
        note(&format!("client {id} to {relay}: {}", line.trim_end()));
        let Ok(mut stream) = TcpStream::connect(relay) else { return Err(Reply::Broken) };
        let _ = stream.set_nodelay(true);
        if stream.write_all(line.as_bytes()).is_err() {
            return Err(Reply::Broken);
        }
        Ok(Client { request: request.clone(), reader: BufReader::new(stream) })
    }

    /// Reads the next line.
    pub fn read(&mut self, limit: Duration) -> Reply {
        let reply = self.read_quietly(limit);
        note(&format!("client {}: read {reply:?}", self.request.id));
        reply
    }

    fn read_quietly(&mut self, limit: Duration) -> Reply {
        let _ = self.reader.get_ref().set_read_timeout(Some(limit.max(Duration::from_millis(1))));
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Reply::Closed,
            Ok(_) => Reply::Line(line.trim_end().to_owned()),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Reply::Nothing,
            Err(_) => Reply::Broken,
        }
    }

    /// Sends a line; returns whether that was possible.
    pub fn send(&mut self, line: &str) -> bool {
        self.reader.get_mut().write_all(format!("{line}\r\n").as_bytes()).is_ok()
    }

    /// Sends a line and reads whether it comes back.
    pub fn is_echoed(&mut self, line: &str, limit: Duration) -> bool {
        self.send(line) && self.read(limit) == Reply::Line(line.to_owned())
    }
}

/// How a client's open connection has fared.
#[derive(Clone, Debug, Default)]
pub struct Course {
    /// Lines that came back.
    pub echoes: u32,
    /// When the client was asked to move.
    pub moved_at: Option<Instant>,
    /// When the connection ended, and how.
    pub ended: Option<(Instant, String)>,
}

/// A client with an open connection that sends a line every two seconds.
pub struct LiveClient {
    pub request: Request,
    course: Arc<Mutex<Course>>,
}

impl LiveClient {
    /// Lets a client live on whose connection stands.
    pub fn start(mut client: Client) -> LiveClient {
        let course = Arc::new(Mutex::new(Course::default()));
        let live = LiveClient { request: client.request.clone(), course: course.clone() };
        thread::spawn(move || {
            let mut next_line = Instant::now();
            let mut count = 0;
            loop {
                if Instant::now() >= next_line {
                    count += 1;
                    client.send(&format!("line-{count}"));
                    next_line += LINE_INTERVAL;
                }
                let reply = client.read_quietly(next_line.saturating_duration_since(Instant::now()));
                let mut course = course.lock().unwrap();
                match reply {
                    Reply::Nothing => {}
                    Reply::Line(line) if line == "MOVE" => {
                        note(&format!("client {}: MOVE", client.request.id));
                        course.moved_at = Some(Instant::now());
                    }
                    Reply::Line(_) => course.echoes += 1,
                    reply => {
                        note(&format!("client {}: the connection ended: {reply:?}", client.request.id));
                        course.ended = Some((Instant::now(), format!("{reply:?}")));
                        return;
                    }
                }
            }
        });
        live
    }

    pub fn course(&self) -> Course {
        self.course.lock().unwrap().clone()
    }
}
