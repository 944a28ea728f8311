//! A stand-in of a streamer: it takes connections that begin with `OPEN`, answers `UP` with a receipt of its
//! own, and returns each line. While it drains it turns new ones away with `BUSY`, and continues those that it
//! holds. Where packets pass through, it keeps a connection whose relay is gone for the park time, continues it
//! when it arrives with `mid=1`, and resets any other such connection. It knows a connection by its id.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{note, system};

/// How long a connection is set up.
const SETUP_TIME: Duration = Duration::from_millis(10);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// A first line that has arrived.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When its first byte arrived.
    pub at: Instant,
    pub id: String,
    pub is_mid: bool,
    /// What was answered.
    pub answer: &'static str,
}

/// A connection that the streamer holds.
struct Held {
    /// The relay's connection; none while the relay is gone.
    stream: Option<TcpStream>,
    parked_at: Instant,
    /// Counts the relays' connections that it came by.
    turn: u64,
}

#[derive(Default)]
struct State {
    drains: bool,
    stopped: bool,
    held: BTreeMap<String, Held>,
    attempts: Vec<Attempt>,
    turns: u64,
}

/// A streamer.
#[derive(Clone)]
pub struct Streamer {
    pub id: String,
    pub address: SocketAddr,
    /// How long it keeps a connection whose relay is gone; zero where packets don't pass through.
    park: Duration,
    state: Arc<Mutex<State>>,
}

impl Streamer {
    /// Starts a streamer.
    pub fn start(id: &str, park: Duration) -> Result<Streamer, String> {
        let listener = TcpListener::bind((system::host(), 0)).map_err(|e| format!("{id}: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("{id}: {e}"))?;
        listener.set_nonblocking(true).map_err(|e| format!("{id}: {e}"))?;
        let streamer = Streamer { id: id.into(), address, park, state: Arc::default() };
        let accepting = streamer.clone();
        thread::spawn(move || accepting.accept(listener));
        Ok(streamer)
    }

    fn accept(self, listener: TcpListener) {
        while !self.state.lock().unwrap().stopped {
            match listener.accept() {
                Ok((stream, _)) => {
                    let streamer = self.clone();
                    thread::spawn(move || streamer.serve(stream));
                }
                Err(_) => thread::sleep(ACCEPT_INTERVAL),
            }
        }
    }

    fn serve(self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        if reader.fill_buf().map_or(true, <[u8]>::is_empty) {
            return;
        }
        let at = Instant::now();
        let mut line = String::new();
        if reader.read_line(&mut line).is_err() || !line.ends_with('\n') {
            return;
        }
        let Some((id, is_mid, is_at)) = parse_open(&line) else {
            let _ = stream.write_all(b"SYNTAX\r\n");
            return;
        };
        let answer = self.decide(&id, is_mid, is_at);
        note(&format!("{}: {}: answered {answer}", self.id, line.trim_end()));
        self.state.lock().unwrap().attempts.push(Attempt { at, id: id.clone(), is_mid, answer });
        match answer {
            "UP" => self.serve_established(stream, reader, id, is_mid),
            "BUSY" => drop(stream.write_all(b"BUSY\r\n")),
            _ => system::reset(&stream),
        }
    }

    fn decide(&self, id: &str, is_mid: bool, is_at: bool) -> &'static str {
        let mut state = self.state.lock().unwrap();
        let park = self.park;
        state.held.retain(|_, held| held.stream.is_some() || held.parked_at.elapsed() < park);
        if state.stopped {
            "reset"
        } else if is_mid {
            if state.held.contains_key(id) { "UP" } else { "reset" }
        } else if state.drains && !is_at {
            "BUSY"
        } else {
            "UP"
        }
    }

    fn serve_established(
        &self,
        mut stream: TcpStream,
        mut reader: BufReader<TcpStream>,
        id: String,
        is_mid: bool,
    ) {
        if !is_mid {
            thread::sleep(SETUP_TIME);
        }
        let turn = {
            let mut state = self.state.lock().unwrap();
            state.turns += 1;
            let turn = state.turns;
            let held = Held { stream: stream.try_clone().ok(), parked_at: Instant::now(), turn };
            state.held.insert(id.clone(), held);
            turn
        };
        let _ = stream.write_all(format!("UP {}/{turn}\r\n", self.id).as_bytes());
        let mut line = Vec::new();
        loop {
            line.clear();
            match reader.read_until(b'\n', &mut line) {
                Ok(read) if read > 0 && line.ends_with(b"\n") => {}
                _ => return self.relay_is_gone(&id, turn),
            }
            if line.starts_with(b"bye") {
                self.state.lock().unwrap().held.remove(&id);
                let _ = stream.write_all(b"BYE\r\n");
                return;
            }
            if stream.write_all(&line).is_err() {
                return self.relay_is_gone(&id, turn);
            }
        }
    }

    /// Keeps a connection whose relay is gone, unless it came by another relay since.
    fn relay_is_gone(&self, id: &str, turn: u64) {
        let mut state = self.state.lock().unwrap();
        let Some(held) = state.held.get_mut(id).filter(|held| held.turn == turn) else { return };
        held.stream = None;
        held.parked_at = Instant::now();
        if self.park.is_zero() {
            state.held.remove(id);
        }
    }

    /// Begins to drain. With a time given, it sends the clients that it holds away bit by bit over that time.
    pub fn drain(&self, over: Option<Duration>) {
        note(&format!("{}: drains", self.id));
        let ids: Vec<String> = {
            let mut state = self.state.lock().unwrap();
            state.drains = true;
            state.held.keys().cloned().collect()
        };
        let (Some(over), streamer) = (over, self.clone()) else { return };
        thread::spawn(move || {
            for id in &ids {
                thread::sleep(over / ids.len() as u32);
                streamer.send_away(id);
            }
        });
    }

    /// Sends one client away, if its relay is there.
    fn send_away(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(stream) = state.held.get_mut(id).and_then(|held| held.stream.take()) else { return };
        state.held.remove(id);
        note(&format!("{}: sends {id} away with MOVE", self.id));
        let _ = (&stream).write_all(b"MOVE\r\n");
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Ends, as a process that dies: its connections are reset and new ones are refused.
    pub fn stop(&self) {
        note(&format!("{}: stops", self.id));
        let mut state = self.state.lock().unwrap();
        state.stopped = true;
        for (_, held) in std::mem::take(&mut state.held) {
            held.stream.iter().for_each(system::reset);
        }
    }

    /// Whether it still holds a connection: it would continue it.
    pub fn holds(&self, id: &str) -> bool {
        let state = self.state.lock().unwrap();
        let is_kept = |held: &Held| held.stream.is_some() || held.parked_at.elapsed() < self.park;
        !state.stopped && state.held.get(id).is_some_and(is_kept)
    }

    /// The ids of the connections that it holds.
    pub fn held_ids(&self) -> Vec<String> {
        self.state.lock().unwrap().held.keys().cloned().collect()
    }

    /// All first lines so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.state.lock().unwrap().attempts.clone()
    }
}

/// The id of an `OPEN` line, and whether it has `mid=1` and `at=`.
fn parse_open(line: &str) -> Option<(String, bool, bool)> {
    let mut words = line.trim_end().split(' ');
    let (verb, id, _key, options) = (words.next()?, words.next()?, words.next()?, words.next()?);
    let has = |wanted: &str| options.split(',').any(|option| option.starts_with(wanted));
    (verb == "OPEN").then(|| (id.to_owned(), has("mid=1"), has("at=")))
}
