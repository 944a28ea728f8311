//! The platform's line protocol: each message of a client or an endpoint is one line of text.
//!
//! [`LineProtocolState`] holds the names that requests may use and the ids that they may not;
//! [`LineProtocol`] holds the state of one connection. It reads `OPEN` and `PING` from the client and the
//! endpoint's answers, writes the `OPEN` of each attempt with the time that is left, and observes the lines
//! of the established connection. Times are milliseconds.

mod connection_ids;
mod open_line;

use std::cell::RefCell;
use std::rc::Rc;
use std::str;

use bytes::{Buf, BytesMut};

pub use self::connection_ids::ConnectionIds;
use self::open_line::OpenLine;
use super::{AttemptAnswer, ClientProtocol, EarlyData, ReadProgress, TransferredProtocol};
use crate::policy::api::*;
use crate::relay::ServingMode;
use crate::relay::{AcceptedClass, IncomingRequest, LocalReply};

/// Longest line, including its line end.
const MAX_LINE_BYTES: usize = 4096;
/// The health check that a load balancer in front of the relay sends.
const PING: &str = "PING";
/// Longest part of a malformed answer that is logged.
const MAX_LOGGED_BYTES: usize = 64;
/// Longest part of the endpoint's current line that is stored: enough to tell `BYE`, `MOVE` and `LOAD` from
/// other lines.
const LINE_PREFIX_BYTES: usize = 8;

/// The names that the current settings accept in requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedNames {
    /// Whether `g` names a group, whose connections share work. Otherwise it names the client.
    pub groups: bool,
    /// The known classes. A class that was dropped from the settings has the time until which new connections
    /// may name it. Connections that arrive mid-flow may name any of these classes, as those connections
    /// began when that class was in the settings.
    pub classes: Vec<AcceptedClass>,
    /// The known tenants. An empty list accepts any tenant.
    pub tenants: Vec<String>,
}

/// The state that all connections of the line protocol share.
#[derive(Default)]
pub struct LineProtocolState {
    names: RefCell<AcceptedNames>,
    /// Tenants of the previous settings, whose connections may still arrive mid-flow.
    previous_tenants: RefCell<Vec<String>>,
    /// The ids that requests may not use.
    ids: RefCell<ConnectionIds>,
}

impl LineProtocolState {
    /// Creates a state that accepts the given names.
    pub fn new(names: AcceptedNames) -> Self {
        LineProtocolState { names: RefCell::new(names), ..LineProtocolState::default() }
    }

    /// Replaces the accepted names when the settings change. Requests that were read before are not affected.
    pub fn set_accepted_names(&self, names: AcceptedNames) {
        let before = self.names.replace(names);
        if before.tenants != self.names.borrow().tenants {
            self.previous_tenants.replace(before.tenants);
        }
    }

    fn accepts_class(&self, now: Millis, class: &str, mid_flow: bool) -> bool {
        let accepted = |until: &Option<Millis>| mid_flow || until.is_none_or(|until| now < until);
        self.names.borrow().classes.iter().any(|c| c.name == class && accepted(&c.accepted_until))
    }

    fn accepts_tenant(&self, tenant: &str, mid_flow: bool) -> bool {
        let contains = |tenants: &[String]| tenants.iter().any(|t| t == tenant);
        let names = self.names.borrow();
        names.tenants.is_empty()
            || contains(&names.tenants)
            || mid_flow && contains(&self.previous_tenants.borrow())
    }

    /// The ids that requests may not use, which both processes of a hand-over have to know.
    pub fn ids(&self) -> &RefCell<ConnectionIds> {
        &self.ids
    }
}

/// One client of the line protocol.
pub struct LineProtocol {
    rules: Rc<LineProtocolState>,
    handshake_timeout: Millis,
    /// The connection's id, while the connection is registered as open.
    id: Option<String>,
    /// Whether an endpoint may have served the request in an earlier attempt.
    may_have_run: bool,
    /// Whether the latest attempt has begun, and its endpoint has not shown that it never served the request.
    may_be_running: bool,
    /// The client's `OPEN` line, without its line end.
    open_line: String,
    /// Start of the endpoint's current line.
    line_prefix: Vec<u8>,
    /// How many bytes of the endpoint's current line have been received.
    line_bytes: usize,
    /// Outcome that the endpoint's last complete line announces.
    announced: Option<Outcome>,
    /// When the client sent the oldest line that the endpoint has not answered.
    unanswered_since: Option<Millis>,
}

impl LineProtocol {
    /// Creates the protocol of one connection, whose client has `handshake_timeout` milliseconds to send its
    /// first line.
    pub fn new(rules: Rc<LineProtocolState>, handshake_timeout: Millis) -> Self {
        LineProtocol {
            rules,
            handshake_timeout,
            id: None,
            may_have_run: false,
            may_be_running: false,
            open_line: String::new(),
            line_prefix: Vec::new(),
            line_bytes: 0,
            announced: None,
            unanswered_since: None,
        }
    }

    /// Resumes a connection that the predecessor process has handed over.
    pub fn resume(rules: Rc<LineProtocolState>, now: Millis, transferred: TransferredProtocol) -> Self {
        rules.ids.borrow_mut().register_open(&transferred.id, &transferred.key);
        let outcome = |completed| if completed { Outcome::Ok } else { Outcome::Cancelled };
        let mut protocol = LineProtocol::new(rules, 0.0);
        protocol.id = Some(transferred.id);
        protocol.may_have_run = true;
        protocol.line_prefix = transferred.line_prefix;
        protocol.line_prefix.truncate(LINE_PREFIX_BYTES);
        protocol.line_bytes = transferred.line_bytes as usize;
        protocol.announced = transferred.announced_completion.map(outcome);
        let unanswered_ms = transferred.unanswered_ms.filter(|age| *age >= 0.0);
        protocol.unanswered_since = unanswered_ms.map(|age| now - age);
        protocol
    }

    /// Parses `OPEN ID KEY name=value,...` and registers the connection. Returns `None` where the line is
    /// malformed, or names an unknown class or tenant or an id that was used before. Such a request is not
    /// forwarded: an endpoint would reject it or close the connection, and the load balancer would retry it
    /// at another endpoint, although the failure says nothing about the endpoint.
    fn open(&mut self, now: Millis, line: &str) -> Option<IncomingRequest> {
        let open = OpenLine::parse(line)?;
        let groups = self.rules.names.borrow().groups;
        let request = open.request(now, groups)?;
        let mid_flow = request.mid_flow;
        let tenant = request.tenant.as_ref().map_or("", |tenant| &*tenant.0);
        let accepted = self.rules.accepts_class(now, &request.class, mid_flow)
            && self.rules.accepts_tenant(tenant, mid_flow)
            && self.rules.ids.borrow_mut().register(open.id, open.key, mid_flow);
        if !accepted {
            return None;
        }
        self.id = Some(open.id.to_owned());
        Some(request)
    }

    /// Rejects an invalid request, no part of which may reach an endpoint. The rest of the input is
    /// discarded.
    fn reject_request(&mut self, input: &mut BytesMut, reply: &mut BytesMut) -> ReadProgress {
        input.clear();
        self.write_local_reply(LocalReply::Failed, reply);
        ReadProgress::Close
    }

    /// Processes the end of an endpoint's line; returns the round-trip time when the line answers the client.
    fn end_endpoint_line(&mut self, now: Millis) -> Option<Millis> {
        self.announced = match self.line_prefix.trim_ascii_end() {
            b"BYE" => Some(Outcome::Ok),
            b"MOVE" => Some(Outcome::Cancelled),
            _ => None,
        };
        // An endpoint sends `LOAD` lines unsolicited: they answer no line of the client.
        let unsolicited = self.line_prefix.starts_with(b"LOAD ");
        self.line_bytes = 0;
        self.line_prefix.clear();
        if unsolicited {
            return None;
        }
        self.unanswered_since.take().map(|since| now - since)
    }
}

impl Drop for LineProtocol {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.rules.ids.borrow_mut().release(&id, self.may_have_run || self.may_be_running);
        }
    }
}

/// Removes one complete line from the input and returns it without its line end.
fn take_line(input: &mut BytesMut) -> Option<BytesMut> {
    let end = input.iter().position(|b| *b == b'\n')?;
    let mut line = input.split_to(end + 1);
    line.truncate(end);
    if line.ends_with(b"\r") {
        line.truncate(end - 1);
    }
    Some(line)
}

fn ping_reply(mode: ServingMode) -> &'static [u8] {
    match mode {
        ServingMode::Active => b"PONG\r\n",
        ServingMode::Starting => b"STARTING\r\n",
        ServingMode::Standby => b"STANDBY\r\n",
    }
}

impl ClientProtocol for LineProtocol {
    fn handshake_timeout(&self) -> Millis {
        self.handshake_timeout
    }

    fn read_request(
        &mut self,
        now: Millis,
        mode: ServingMode,
        input: &mut BytesMut,
        reply: &mut BytesMut,
    ) -> ReadProgress {
        loop {
            let line_complete = input.iter().take(MAX_LINE_BYTES).any(|b| *b == b'\n');
            if !line_complete && input.len() < MAX_LINE_BYTES {
                return ReadProgress::Incomplete;
            }
            // A line that is too long is rejected as malformed, as an empty line is.
            let line = if line_complete { take_line(input) } else { None };
            let line = line.as_deref().and_then(|l| str::from_utf8(l).ok()).unwrap_or_default();
            if line == PING {
                reply.extend_from_slice(ping_reply(mode));
                continue;
            }
            let Some(request) = self.open(now, line) else {
                return self.reject_request(input, reply);
            };
            self.open_line = line.to_owned();
            // A client must wait for the answer to its line: further bytes make the request invalid.
            if !input.is_empty() {
                return self.reject_request(input, reply);
            }
            return ReadProgress::Request(request);
        }
    }

    fn early_data(&self) -> EarlyData {
        EarlyData::Refused
    }

    fn begin_attempt(&mut self, time_left: Millis, out: &mut BytesMut) {
        self.may_have_run |= self.may_be_running;
        self.may_be_running = true;
        let deadline = format!("d={:.0}", time_left.floor().max(1.0));
        let (head, options) = self.open_line.rsplit_once(' ').unwrap_or(("", &self.open_line));
        let with_deadline = options
            .split(',')
            .map(|option| if option.starts_with("d=") { deadline.as_str() } else { option });
        let options = with_deadline.collect::<Vec<_>>().join(",");
        out.extend_from_slice(format!("{head} {options}\r\n").as_bytes());
    }

    fn request_complete(&self) -> bool {
        true
    }

    fn read_answer(&mut self, input: &mut BytesMut, _out: &mut BytesMut) -> AttemptAnswer {
        let Some(end) = input.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') else {
            let too_long = input.len() >= MAX_LINE_BYTES;
            return if too_long { AttemptAnswer::Ended(Outcome::Error) } else { AttemptAnswer::Incomplete };
        };
        let line = input[..end].strip_suffix(b"\r").unwrap_or(&input[..end]);
        match line.split(|b| *b == b' ').next().unwrap_or_default() {
            b"UP" => return AttemptAnswer::Established,
            b"BUSY" => {
                self.may_be_running = false;
                return AttemptAnswer::Ended(Outcome::Rejected);
            }
            b"MOVE" => return AttemptAnswer::Ended(Outcome::Cancelled),
            b"BYE" => return AttemptAnswer::Ended(Outcome::Reset),
            b"ERR" => {}
            other => {
                let start = &other[..other.len().min(MAX_LOGGED_BYTES)];
                log::warn!("an endpoint sent a malformed answer: {}", start.escape_ascii());
            }
        }
        input.advance(end + 1);
        AttemptAnswer::Ended(Outcome::Error)
    }

    fn write_local_reply(&mut self, response: LocalReply, reply: &mut BytesMut) {
        let line = match response {
            LocalReply::Rejected(Some(ms)) => format!("BUSY {:.0}\r\n", ms.max(0.0)),
            LocalReply::Rejected(None) => "BUSY\r\n".into(),
            LocalReply::Failed => "ERR\r\n".into(),
        };
        reply.extend_from_slice(line.as_bytes());
    }

    fn observe_client_bytes(&mut self, now: Millis, bytes: &[u8]) {
        if bytes.contains(&b'\n') {
            self.unanswered_since.get_or_insert(now);
        }
    }

    fn observe_endpoint_bytes(&mut self, now: Millis, bytes: &[u8]) -> Option<Millis> {
        let mut round_trip = None;
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            self.line_bytes += part.len();
            let prefix_room = LINE_PREFIX_BYTES.saturating_sub(self.line_prefix.len());
            self.line_prefix.extend_from_slice(&part[..part.len().min(prefix_room)]);
            if part.ends_with(b"\n") {
                let answered = self.end_endpoint_line(now);
                round_trip = round_trip.or(answered);
            }
        }
        round_trip
    }

    fn bytes_since_boundary(&self) -> Option<usize> {
        Some(self.line_bytes)
    }

    fn incomplete_message_bytes(&self) -> usize {
        // Bytes of a line that is too long are passed on as they arrive.
        if self.line_bytes < MAX_LINE_BYTES { self.line_bytes } else { 0 }
    }

    fn unanswered_since(&self) -> Option<Millis> {
        self.unanswered_since
    }

    fn export(&self, now: Millis) -> Option<TransferredProtocol> {
        let id = self.id.clone()?;
        Some(TransferredProtocol {
            key: self.rules.ids.borrow().key(&id)?.to_owned(),
            id,
            line_prefix: self.line_prefix.clone(),
            line_bytes: self.line_bytes as u64,
            announced_completion: self.announced.map(|outcome| outcome == Outcome::Ok),
            unanswered_ms: self.unanswered_since.map(|since| now - since),
        })
    }

    fn write_migration(&mut self, reply: &mut BytesMut) {
        reply.extend_from_slice(b"MOVE\r\n");
    }

    fn announced_outcome(&self) -> Option<Outcome> {
        self.announced
    }
}

#[cfg(test)]
mod tests;
