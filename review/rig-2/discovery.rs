//! A stand-in of discovery: the list of streamers over HTTP/1.1, whole or as a watch on its changes. It may
//! have several addresses (an agent on each relay's machine, where lists are pushed), each of which can fall
//! silent by itself: it then takes calls and answers them once it speaks again.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{note, system};

/// The state of a streamer in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Ready,
    Terminating,
    Gone,
}

#[derive(Clone)]
struct Entry {
    revision: u64,
    address: SocketAddr,
    zone: String,
    phase: Phase,
    up_since_ms: u64,
}

#[derive(Default)]
struct List {
    revision: u64,
    entries: BTreeMap<String, Entry>,
}

impl List {
    fn to_json(&self, after: Option<u64>) -> String {
        // The whole list names no streamer that is gone.
        let is_named = |entry: &Entry| match after {
            Some(after) => entry.revision > after,
            None => entry.phase != Phase::Gone,
        };
        let named = self.entries.iter().filter(|(_, entry)| is_named(entry));
        let member = |(id, entry): (&String, &Entry)| {
            format!(
                "{{\"id\":\"{id}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"large\",\"cell\":0,\
                 \"phase\":\"{:?}\",\"size\":1.0,\"up_since_ms\":{}}}",
                entry.address, entry.zone, entry.phase, entry.up_since_ms
            )
        };
        let members = named.map(member).collect::<Vec<_>>().join(",");
        format!("{{\"revision\":{},\"complete\":{},\"members\":[{members}]}}", self.revision, after.is_none())
    }
}

/// The list, which all addresses of the stand-in share.
#[derive(Clone, Default)]
pub struct Discovery {
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    /// Adds or changes a streamer.
    pub fn set(&self, id: &str, address: SocketAddr, zone: &str, phase: Phase, up_since_ms: u64) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        let entry = Entry { revision, address, zone: zone.into(), phase, up_since_ms };
        list.entries.insert(id.into(), entry);
        note(&format!("discovery: revision {revision}: {id} is {phase:?}"));
        changed.notify_all();
    }

    /// Changes the phase of a streamer that is listed.
    pub fn set_phase(&self, id: &str, phase: Phase) {
        let entry = self.list.0.lock().unwrap().entries.get(id).cloned();
        if let Some(entry) = entry {
            self.set(id, entry.address, &entry.zone, phase, entry.up_since_ms);
        }
    }

    /// The whole list, as JSON.
    pub fn whole_list(&self) -> String {
        self.list.0.lock().unwrap().to_json(None)
    }

    /// Opens another address at which the list is told; `name` is for the record.
    pub fn open_address(&self, name: &str) -> Result<DiscoveryAddress, String> {
        let listener = TcpListener::bind((system::host(), 0)).map_err(|e| format!("discovery: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("discovery: {e}"))?;
        let silent = Arc::new((Mutex::new(false), Condvar::new()));
        let (list, is_silent, name) = (self.list.clone(), silent.clone(), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let call = Call { list: list.clone(), silent: is_silent.clone(), name: name.clone() };
                thread::spawn(move || call.answer(stream));
            }
        });
        Ok(DiscoveryAddress { address, silent })
    }
}

/// One address of the stand-in.
pub struct DiscoveryAddress {
    pub address: SocketAddr,
    silent: Arc<(Mutex<bool>, Condvar)>,
}

impl DiscoveryAddress {
    /// Makes the address fall silent, or speak again.
    pub fn set_silent(&self, silent: bool) {
        note(&format!("discovery at {}: {}", self.address, if silent { "silent" } else { "speaks again" }));
        *self.silent.0.lock().unwrap() = silent;
        self.silent.1.notify_all();
    }
}

struct Call {
    list: Arc<(Mutex<List>, Condvar)>,
    silent: Arc<(Mutex<bool>, Condvar)>,
    name: String,
}

impl Call {
    fn answer(self, mut stream: TcpStream) {
        let mut request = String::new();
        let mut reader = BufReader::new(&stream);
        if reader.read_line(&mut request).is_err() {
            return;
        }
        let mut header = String::new();
        while reader.read_line(&mut header).is_ok_and(|read| read > 2) {
            header.clear();
        }
        let number = |name: &str| -> Option<u64> {
            let value = request.split(name).nth(1)?;
            value.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        };
        let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0));
        self.wait_for_change(after, wait);
        self.wait_until_speaking();
        let body = self.list.0.lock().unwrap().to_json(after);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
        let sent = stream.write_all((head + &body).as_bytes());
        let revision = body.split(',').next().unwrap_or_default();
        if after.is_none() || !body.ends_with("[]}") {
            note(&format!("{}: after {after:?}: answered {revision}, sent: {}", self.name, sent.is_ok()));
        }
    }

    fn wait_for_change(&self, after: Option<u64>, wait_ms: u64) {
        let (list, changed) = &*self.list;
        let end = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let mut list = list.lock().unwrap();
        while after.is_some_and(|after| list.revision <= after) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            list = changed.wait_timeout(list, left).unwrap().0;
        }
    }

    fn wait_until_speaking(&self) {
        let (silent, changed) = &*self.silent;
        let mut silent = silent.lock().unwrap();
        while *silent {
            silent = changed.wait(silent).unwrap();
        }
    }
}
