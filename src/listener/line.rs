//! The platform's front: lines of text.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::str;
use std::sync::Arc;

use bytes::{Buf, BytesMut};

use super::{Answer, Arrive, ClientProtocol, TransferredProtocol};
use crate::policy::api::*;
use crate::relay::ServingMode;
use crate::relay::{AcceptedClass, IncomingRequest, LocalReply};

/// Longest line, with its end.
const LINE_BYTES: usize = 4096;
/// No client waits longer than this for its answer; what says so does not mean it.
const LONGEST_WAIT: Millis = 3_600_000.0;
/// So much of an answer that is none is logged.
const LOGGED: usize = 64;
/// Enough of a line to tell `BYE` and `MOVE` from others.
const WORD: usize = 8;

/// What the settings in force say of lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LineNames {
    /// Whether `g` names a group or else the client: whether connections of one group share work.
    pub groups: bool,
    /// Classes, each with until when new connections may name it, where it was dropped. Connections that arrive mid-flow began
    /// when it was in force.
    pub classes: Vec<AcceptedClass>,
    /// Tenants; where there are none any will do.
    pub tenants: Vec<String>,
}

/// What is alike for all clients that speak lines.
#[derive(Default)]
pub struct LineRules {
    names: RefCell<LineNames>,
    /// Tenants of the settings before these: connections of theirs may arrive mid-flow.
    former: RefCell<Vec<String>>,
    /// Ids of the connections that are open, each with its key.
    open: RefCell<HashMap<String, String>>,
}

impl LineRules {
    /// Rules with these names.
    pub fn new(names: LineNames) -> Self {
        LineRules { names: RefCell::new(names), ..LineRules::default() }
    }

    /// Takes the names of new settings. Who has been read already keeps what he came with.
    pub fn renew(&self, names: LineNames) {
        let before = self.names.replace(names);
        if before.tenants != self.names.borrow().tenants {
            self.former.replace(before.tenants);
        }
    }

    fn knows_class(&self, now: Millis, class: &str, mid_flow: bool) -> bool {
        let may = |until: &Option<Millis>| mid_flow || until.is_none_or(|until| now < until);
        self.names.borrow().classes.iter().any(|c| c.name == class && may(&c.accepted_until))
    }

    fn knows_tenant(&self, tenant: &str, mid_flow: bool) -> bool {
        let named = |tenants: &[String]| tenants.iter().any(|t| t == tenant);
        let names = self.names.borrow();
        names.tenants.is_empty() || named(&names.tenants) || mid_flow && named(&self.former.borrow())
    }
}

/// One client that speaks lines.
pub struct LineProtocol {
    rules: Rc<LineRules>,
    patience: Millis,
    /// Its id, while it is open.
    id: Option<String>,
    /// The first line without its end.
    first: String,
    /// Start of the endpoint's current line, and how many bytes of it have passed.
    word: Vec<u8>,
    partial: usize,
    /// Outcome that the endpoint's last whole line announces.
    announced: Option<Outcome>,
    /// When the client sent the oldest line that is without an answer.
    asked: Option<Millis>,
}

impl LineProtocol {
    /// A front for one connection, which may take so long for its first line.
    pub fn new(rules: Rc<LineRules>, patience: Millis) -> Self {
        LineProtocol {
            rules,
            patience,
            id: None,
            first: String::new(),
            word: Vec::new(),
            partial: 0,
            announced: None,
            asked: None,
        }
    }

    /// Goes on with a connection that stood at the process before.
    pub fn adopt(rules: Rc<LineRules>, now: Millis, carried: TransferredProtocol) -> Self {
        rules.open.borrow_mut().insert(carried.id.clone(), carried.key);
        let outcome = |served| if served { Outcome::Ok } else { Outcome::Cancelled };
        let mut protocol = LineProtocol::new(rules, 0.0);
        protocol.id = Some(carried.id);
        protocol.word = carried.word;
        protocol.word.truncate(WORD);
        protocol.partial = carried.partial as usize;
        protocol.announced = carried.announced.map(outcome);
        protocol.asked = carried.unanswered.filter(|age| *age >= 0.0).map(|age| now - age);
        protocol
    }

    /// Reads `OPEN ID KEY name=value,...`; nothing of what is malformed, names what there is not, or is open
    /// already. An endpoint would refuse it or close on it, which says nothing of the endpoint, and the load balancer
    /// would try the next one with it.
    fn parse(&mut self, now: Millis, line: &str) -> Option<IncomingRequest> {
        let mut words = line.split(' ');
        let (open, id, key, list) = (words.next()?, words.next()?, words.next()?, words.next()?);
        let plain = line.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
        if open != "OPEN" || id.is_empty() || key.is_empty() || words.next().is_some() || !plain {
            return None;
        }
        let text = |value: &str| Some(Key(Arc::from(value)));
        let mut arrival = IncomingRequest {
            client: text(key),
            drained_by_endpoint: true,
            reroutable: true,
            ..IncomingRequest::default()
        };
        let (mut left, mut seen, mut tenant) = (None, Vec::new(), None);
        let groups = self.rules.names.borrow().groups;
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=')?;
            if seen.contains(&name) {
                return None;
            }
            seen.push(name);
            let digits = value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
            let number = || value.parse::<f64>().ok().filter(|_| digits);
            match name {
                "c" => arrival.class = value.to_owned(),
                "d" => left = Some(number().filter(|d| (1.0..=LONGEST_WAIT).contains(d))?),
                "t" => tenant = Some(value),
                "g" if groups => arrival.group = text(value),
                "g" => arrival.client = text(value),
                "r" | "again" => arrival.returned |= value == "1",
                "mid" => arrival.mid_flow = value == "1",
                "at" => arrival.existing_endpoint = Some(EndpointId(Arc::from(value))),
                "h" => arrival.load = Some(number()?).filter(|h| *h > 0.0),
                _ => {}
            }
        }
        arrival.tenant = tenant.and_then(text);
        arrival.deadline = now + left?;
        let mid_flow = arrival.mid_flow;
        let class = self.rules.knows_class(now, &arrival.class, mid_flow);
        if !class || !self.rules.knows_tenant(tenant.unwrap_or_default(), mid_flow) {
            return None;
        }
        // A connection whose packets took another way may still look open here; nobody else has its key.
        let mut open = self.rules.open.borrow_mut();
        if open.get(id).is_some_and(|other| !arrival.mid_flow || other != key) {
            return None;
        }
        open.insert(id.to_owned(), key.to_owned());
        self.id = Some(id.to_owned());
        Some(arrival)
    }
}

impl Drop for LineProtocol {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.rules.open.borrow_mut().remove(&id);
        }
    }
}

/// Takes a whole line off the input, without its end.
fn take_line(input: &mut BytesMut) -> Option<BytesMut> {
    let end = input.iter().position(|b| *b == b'\n')?;
    let mut line = input.split_to(end + 1);
    line.truncate(end);
    if line.ends_with(b"\r") {
        line.truncate(end - 1);
    }
    Some(line)
}

impl ClientProtocol for LineProtocol {
    fn patience(&self) -> Millis {
        self.patience
    }

    fn arrive(
        &mut self,
        now: Millis,
        does: ServingMode,
        input: &mut BytesMut,
        reply: &mut BytesMut,
    ) -> Arrive {
        loop {
            let ends = input.iter().take(LINE_BYTES).any(|b| *b == b'\n');
            if !ends && input.len() < LINE_BYTES {
                return Arrive::More;
            }
            let line = if ends { take_line(input) } else { None };
            let line = line.as_deref().and_then(|l| str::from_utf8(l).ok()).unwrap_or_default();
            if line == "PING" {
                let word: &[u8] = match does {
                    ServingMode::Active => b"PONG\r\n",
                    ServingMode::Standby => b"STANDBY\r\n",
                };
                reply.extend_from_slice(word);
                continue;
            }
            // Too long or malformed: nothing of it may reach an endpoint.
            let Some(arrival) = self.parse(now, line) else {
                // Not even to be read: whoever sends more than one line does not wait for its answer.
                input.clear();
                self.fixed(LocalReply::Failed, reply);
                return Arrive::Close;
            };
            self.first = line.to_owned();
            if !input.is_empty() && !self.speaks_early() {
                // Hundreds of commands at once are no connection: after its line a client waits for the answer.
                input.clear();
                self.fixed(LocalReply::Failed, reply);
                return Arrive::Close;
            }
            return Arrive::Connection(arrival);
        }
    }

    fn speaks_early(&self) -> bool {
        false
    }

    fn attempt(&mut self, left: Millis, out: &mut BytesMut) {
        let left = format!("d={:.0}", left.floor().max(1.0));
        let (head, list) = self.first.rsplit_once(' ').unwrap_or(("", &self.first));
        let pairs = list.split(',').map(|p| if p.starts_with("d=") { left.as_str() } else { p });
        let list = pairs.collect::<Vec<_>>().join(",");
        out.extend_from_slice(format!("{head} {list}\r\n").as_bytes());
    }

    fn request_complete(&self) -> bool {
        true
    }

    fn answer(&mut self, input: &mut BytesMut, _out: &mut BytesMut) -> Answer {
        let Some(end) = input.iter().take(LINE_BYTES).position(|b| *b == b'\n') else {
            let long = input.len() >= LINE_BYTES;
            return if long { Answer::Ended(Outcome::Error) } else { Answer::More };
        };
        let line = input[..end].strip_suffix(b"\r").unwrap_or(&input[..end]);
        match line.split(|b| *b == b' ').next().unwrap_or_default() {
            b"UP" => return Answer::Up,
            b"BUSY" => return Answer::Ended(Outcome::Rejected),
            b"MOVE" => return Answer::Ended(Outcome::Cancelled),
            b"BYE" => return Answer::Ended(Outcome::Reset),
            b"ERR" => {}
            other => {
                log::warn!("a streamer answered {}", other[..other.len().min(LOGGED)].escape_ascii());
            }
        }
        input.advance(end + 1);
        Answer::Ended(Outcome::Error)
    }

    fn fixed(&mut self, response: LocalReply, reply: &mut BytesMut) {
        let line = match response {
            LocalReply::Rejected(Some(ms)) => format!("BUSY {:.0}\r\n", ms.max(0.0)),
            LocalReply::Rejected(None) => "BUSY\r\n".into(),
            LocalReply::Failed => "ERR\r\n".into(),
        };
        reply.extend_from_slice(line.as_bytes());
    }

    fn client_sent(&mut self, now: Millis, bytes: &[u8]) {
        if bytes.contains(&b'\n') {
            self.asked.get_or_insert(now);
        }
    }

    fn endpoint_sent(&mut self, now: Millis, bytes: &[u8]) -> Option<Millis> {
        let mut trip = None;
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            self.partial += part.len();
            let room = WORD.saturating_sub(self.word.len());
            self.word.extend_from_slice(&part[..part.len().min(room)]);
            if part.ends_with(b"\n") {
                self.announced = match self.word.trim_ascii_end() {
                    b"BYE" => Some(Outcome::Ok),
                    b"MOVE" => Some(Outcome::Cancelled),
                    _ => None,
                };
                // `LOAD` comes unasked: it answers nothing.
                if !self.word.starts_with(b"LOAD ") {
                    trip = trip.or(self.asked.take().map(|at| now - at));
                }
                self.partial = 0;
                self.word.clear();
            }
        }
        trip
    }

    fn partial(&self) -> Option<usize> {
        Some(self.partial)
    }

    fn held(&self) -> usize {
        // What is too long for a line is passed on as it comes.
        if self.partial < LINE_BYTES { self.partial } else { 0 }
    }

    fn unanswered_since(&self) -> Option<Millis> {
        self.asked
    }

    fn carry(&self, now: Millis) -> Option<TransferredProtocol> {
        let id = self.id.clone()?;
        Some(TransferredProtocol {
            key: self.rules.open.borrow().get(&id)?.clone(),
            id,
            word: self.word.clone(),
            partial: self.partial as u64,
            announced: self.announced.map(|outcome| outcome == Outcome::Ok),
            unanswered: self.asked.map(|at| now - at),
        })
    }

    fn moved(&mut self, reply: &mut BytesMut) {
        reply.extend_from_slice(b"MOVE\r\n");
    }

    fn announced(&self) -> Option<Outcome> {
        self.announced
    }
}
