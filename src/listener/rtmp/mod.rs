//! The second front: RTMP, for members' encoders and players.
//!
//! A connection is placed at its `connect` command. The path of its `app` is the group's key: the video and its
//! language track. The connection's own key is `connection` in the query that may follow, which front and endpoint can see
//! as well, else the client's address. The relay shakes hands with both
//! sides, hands the endpoint the client's `connect` as it came and the client the endpoint's reply as it
//! came; from then on all bytes pass unchanged. It follows the chunks that the endpoint sends, so that it can
//! tell the client to reconnect between two of them.

mod chunks;
mod proxy;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use log::debug;
use rml_amf0::Amf0Value;
use rml_rtmp::handshake::{Handshake, HandshakeProcessResult, PeerType};

use self::chunks::{COMMAND, Malformed, Reader, write_command};
use super::{AttemptAnswer, ClientProtocol, ReadProgress};
use crate::policy::api::*;
use crate::relay::ServingMode;
use crate::relay::{IncomingRequest, LocalReply};

/// Most bytes from a client up to the end of its `connect`.
const CONNECT_BYTES: usize = 4096;
/// The answer to a client that has not said what it wants comes this much before it gives up.
const MARGIN: Millis = 250.0;
/// A mid-stream connection has no reply to wait for: an endpoint that does not hold it resets it at once, and one
/// that has not done so by then holds it.
const HELD_AFTER: Duration = Duration::from_millis(100);
/// RTMP has no message that is answered at once: an endpoint that leaves bytes unacknowledged for so long
/// has vanished.
const SILENCE: Duration = Duration::from_secs(5);
/// So much of a chunk waits for its end: the size that most endpoints set, with the longest header.
const HELD_BYTES: usize = 4096 + 18;
/// Chunk size of a sender that has not set one.
const FIRST_CHUNK: usize = 128;

/// What the listener's settings say of every connection.
#[derive(Clone, Debug, PartialEq)]
pub struct RtmpSettings {
    /// The class of all its connections.
    pub class: String,
    /// When clients give up, from accept.
    pub give_up: Millis,
}

enum Stage {
    /// Whether a trusted front's header comes first is not known yet.
    Start,
    Handshake(Box<Handshake>),
    Connect(Reader),
    /// Its connection is known; the transaction of its `connect`.
    Known(f64),
    /// A mid-stream arrival: its keys. It has no handshake, no `connect`, and no chunk boundary is known.
    MidStream(String, String),
}

/// The endpoint's side while a forward is out.
enum Attempt {
    Handshake(Box<Handshake>),
    /// The client's `connect` is written; bytes of the reply that were read.
    Reply(Reader, usize),
}

/// One client that speaks RTMP.
pub struct RtmpProtocol {
    settings: RtmpSettings,
    client: SocketAddr,
    trusted: bool,
    accepted: Option<Millis>,
    stage: Stage,
    /// Whether the client has been given the handshake that a reply can follow.
    greeted: bool,
    /// All chunks up to the end of `connect`, as they came.
    first: Vec<u8>,
    attempt: Option<Attempt>,
    /// Follows what the endpoint sends; nothing once it was no chunk stream.
    down: Result<Reader, Malformed>,
    endpoint_moves: bool,
}

impl RtmpProtocol {
    /// A front for one connection from an address, which may be a trusted front's.
    pub fn new(settings: RtmpSettings, client: SocketAddr, trusted: bool) -> Self {
        RtmpProtocol {
            settings,
            client,
            trusted,
            accepted: None,
            stage: Stage::Start,
            greeted: false,
            first: Vec::new(),
            attempt: None,
            down: Ok(Reader::default()),
            endpoint_moves: false,
        }
    }

    fn arrival(&self, now: Millis, client: String, group: String) -> IncomingRequest {
        let accepted = self.accepted.unwrap_or(now);
        IncomingRequest {
            class: self.settings.class.clone(),
            client: Some(Key(client.into())),
            group: Some(Key(group.into())).filter(|g| !g.0.is_empty()),
            deadline: accepted + self.settings.give_up,
            setup_time_used: now - accepted,
            ..IncomingRequest::default()
        }
    }

    fn start(&mut self, now: Millis, input: &mut BytesMut) -> Result<Option<ReadProgress>, Malformed> {
        let Some(first) = input.first() else { return Ok(Some(ReadProgress::Incomplete)) };
        if self.trusted && *first == proxy::SIGNATURE[0] {
            let Some((length, header)) = proxy::read(input).map_err(|()| Malformed)? else {
                return Ok(Some(ReadProgress::Incomplete));
            };
            let _ = input.split_to(length);
            self.client = header.client.unwrap_or(self.client);
            if let Some((connection, group)) = header.mid_stream {
                let arrival = self.arrival(now, connection.clone(), group.clone());
                self.stage = Stage::MidStream(connection, group);
                self.down = Err(Malformed);
                return Ok(Some(ReadProgress::Request(IncomingRequest {
                    mid_flow: true,
                    existing_endpoint_only: true,
                    ..arrival
                })));
            }
        }
        self.stage = Stage::Handshake(Box::new(Handshake::new(PeerType::Server)));
        Ok(None)
    }

    fn connect(&mut self, now: Millis, input: &mut BytesMut) -> Result<ReadProgress, Malformed> {
        let Stage::Connect(reader) = &mut self.stage else { return Err(Malformed) };
        loop {
            let (taken, message) = reader.next(input)?;
            self.first.extend_from_slice(&input.split_to(taken));
            if self.first.len() > CONNECT_BYTES {
                return Err(Malformed);
            }
            match message {
                None => return Ok(ReadProgress::Incomplete),
                Some(message) if message.kind == COMMAND => {
                    let (name, transaction, mut rest) = command(&message.body).ok_or(Malformed)?;
                    let object = rest.next().and_then(Amf0Value::get_object_properties).ok_or(Malformed)?;
                    let Some(Amf0Value::Utf8String(app)) = object.get("app") else { return Err(Malformed) };
                    if name != "connect" {
                        return Err(Malformed);
                    }
                    self.stage = Stage::Known(transaction);
                    let (path, query) = app.split_once('?').unwrap_or((app, ""));
                    let named = query.split('&').find_map(|p| p.strip_prefix("flow="));
                    let connection = named.map_or_else(|| self.client.to_string(), str::to_owned);
                    let group = path.trim_matches('/').to_owned();
                    return Ok(ReadProgress::Request(self.arrival(now, connection, group)));
                }
                Some(_) => {}
            }
        }
    }
}

/// A command's name, its transaction and what follows.
fn command(body: &[u8]) -> Option<(String, f64, impl Iterator<Item = Amf0Value> + use<>)> {
    let mut values = rml_amf0::deserialize(&mut &*body).ok()?.into_iter();
    let name = values.next()?.get_string()?;
    let transaction = values.next()?.get_number()?;
    Some((name, transaction, values))
}

/// The `code` of a command's information object.
fn code(values: impl Iterator<Item = Amf0Value>) -> Option<String> {
    let mut objects = values.filter_map(Amf0Value::get_object_properties);
    objects.find_map(|mut object| object.remove("code")?.get_string())
}

fn information(level: &str, code: &str, description: &str) -> HashMap<String, Amf0Value> {
    let text = |t: &str| Amf0Value::Utf8String(t.to_owned());
    let pairs = [("level", level), ("code", code), ("description", description)];
    pairs.into_iter().map(|(name, value)| (name.to_owned(), text(value))).collect()
}

fn encode(name: &str, transaction: f64, object: HashMap<String, Amf0Value>) -> Vec<u8> {
    let values = vec![
        Amf0Value::Utf8String(name.to_owned()),
        Amf0Value::Number(transaction),
        Amf0Value::Null,
        Amf0Value::Object(object),
    ];
    // It fails on texts over 64 KiB only.
    rml_amf0::serialize(&values).unwrap_or_default()
}

/// Feeds a handshake: what to write, and whether it is complete. What follows it is left in the input.
fn shake(handshake: &mut Handshake, input: &mut BytesMut, out: &mut BytesMut) -> Result<bool, Malformed> {
    let result = handshake.process_bytes(input);
    input.clear();
    match result.map_err(|_| Malformed)? {
        HandshakeProcessResult::InProgress { response_bytes } => {
            out.extend_from_slice(&response_bytes);
            Ok(false)
        }
        HandshakeProcessResult::Completed { response_bytes, remaining_bytes } => {
            out.extend_from_slice(&response_bytes);
            input.extend_from_slice(&remaining_bytes);
            Ok(true)
        }
    }
}

impl ClientProtocol for RtmpProtocol {
    fn handshake_timeout(&self) -> Millis {
        (self.settings.give_up - MARGIN).max(0.0)
    }

    fn request_begun(&self, input: &BytesMut) -> bool {
        !matches!(self.stage, Stage::Start) || !input.is_empty()
    }

    fn read_request(
        &mut self,
        now: Millis,
        _: ServingMode,
        input: &mut BytesMut,
        reply: &mut BytesMut,
    ) -> ReadProgress {
        self.accepted.get_or_insert(now);
        loop {
            let step = match &mut self.stage {
                Stage::Start => self.start(now, input),
                Stage::Handshake(handshake) => {
                    let before = reply.len();
                    let done = shake(handshake, input, reply);
                    // The second of the relay's packets comes once the client's first is whole.
                    self.greeted |= reply.len() > before + 1537 || done == Ok(true);
                    match done {
                        Ok(true) => {
                            self.stage = Stage::Connect(Reader::default());
                            Ok(None)
                        }
                        other => other.map(|_| Some(ReadProgress::Incomplete)),
                    }
                }
                Stage::Connect(_) => self.connect(now, input).map(Some),
                Stage::Known(_) | Stage::MidStream(..) => return ReadProgress::Incomplete,
            };
            match step {
                Ok(Some(arrive)) => return arrive,
                Ok(None) => {}
                Err(Malformed) => {
                    debug!("{}: not RTMP, or no connect command", self.client);
                    self.write_local_reply(LocalReply::Failed, reply);
                    return ReadProgress::Close;
                }
            }
        }
    }

    fn begin_attempt(&mut self, _left: Millis, out: &mut BytesMut) {
        if let Stage::MidStream(connection, group) = &self.stage {
            return proxy::write_mid_stream(out, connection, group);
        }
        let mut handshake = Box::new(Handshake::new(PeerType::Client));
        // It fails on nothing that is given here; an empty first packet would be answered by nothing.
        out.extend_from_slice(&handshake.generate_outbound_p0_and_p1().unwrap_or_default());
        self.attempt = Some(Attempt::Handshake(handshake));
        (self.down, self.endpoint_moves) = (Ok(Reader::default()), false);
    }

    fn request_complete(&self) -> bool {
        matches!((&self.stage, &self.attempt), (Stage::MidStream(..), _) | (_, Some(Attempt::Reply(..))))
    }

    fn read_answer(&mut self, input: &mut BytesMut, out: &mut BytesMut) -> AttemptAnswer {
        if let Stage::MidStream(..) = self.stage {
            return AttemptAnswer::Established;
        }
        if let Some(Attempt::Handshake(handshake)) = &mut self.attempt {
            match shake(handshake, input, out) {
                Ok(false) => return AttemptAnswer::Incomplete,
                Ok(true) => {
                    out.extend_from_slice(&self.first);
                    self.attempt = Some(Attempt::Reply(Reader::default(), 0));
                }
                Err(Malformed) => return AttemptAnswer::Ended(Outcome::Error),
            }
        }
        let Some(Attempt::Reply(reader, read)) = &mut self.attempt else { return AttemptAnswer::Incomplete };
        loop {
            let Ok((taken, message)) = reader.next(&input[*read..]) else {
                return AttemptAnswer::Ended(Outcome::Error);
            };
            *read += taken;
            let Some(message) = message else { return AttemptAnswer::Incomplete };
            let Some((name, _, rest)) = command(&message.body).filter(|_| message.kind == COMMAND) else {
                continue;
            };
            match name.as_str() {
                "_result" => return AttemptAnswer::Established,
                "_error" => {
                    let rejected = code(rest).is_some_and(|c| c == "NetConnection.Connect.Rejected");
                    return AttemptAnswer::Ended(if rejected { Outcome::Rejected } else { Outcome::Error });
                }
                _ => {}
            }
        }
    }

    fn established_when_silent(&self) -> Option<Duration> {
        matches!(self.stage, Stage::MidStream(..)).then_some(HELD_AFTER)
    }

    fn write_local_reply(&mut self, response: LocalReply, reply: &mut BytesMut) {
        // Before the handshake a client could not tell an answer from the handshake: it sees the end.
        if !self.greeted || self.closes_by_reset() {
            return;
        }
        let transaction = if let Stage::Known(transaction) = self.stage { transaction } else { 1.0 };
        let object = match response {
            LocalReply::Rejected(after) => {
                let code = "NetConnection.Connect.Rejected";
                let text = after.map_or("busy".into(), |ms| format!("busy: come again after {ms:.0} ms"));
                let mut object = information("error", code, &text);
                object.extend(after.map(|ms| ("retryAfterMs".to_owned(), Amf0Value::Number(ms))));
                object
            }
            LocalReply::Failed => {
                information("error", "NetConnection.Connect.Failed", "no streamer answered")
            }
        };
        write_command(reply, 3, FIRST_CHUNK, &encode("_error", transaction, object));
    }

    fn closes_by_reset(&self) -> bool {
        matches!(self.stage, Stage::MidStream(..))
    }

    fn observe_client_bytes(&mut self, _now: Millis, _bytes: &[u8]) {}

    fn observe_endpoint_bytes(&mut self, _now: Millis, bytes: &[u8]) -> Option<Millis> {
        let mut at = 0;
        while let Ok(reader) = &mut self.down {
            match reader.next(&bytes[at..]) {
                Ok((taken, Some(message))) => {
                    at += taken;
                    if message.kind == COMMAND {
                        let status = command(&message.body).filter(|(name, ..)| name == "onStatus");
                        let code = status.and_then(|(.., rest)| code(rest));
                        self.endpoint_moves |=
                            code.is_some_and(|c| c == "NetConnection.Connect.ReconnectRequest");
                    }
                }
                Ok((_, None)) => break,
                Err(Malformed) => self.down = Err(Malformed),
            }
        }
        None
    }

    fn bytes_since_boundary(&self) -> Option<usize> {
        self.down.as_ref().ok().map(Reader::partial)
    }

    fn incomplete_tail(&self) -> usize {
        // Half a chunk is of no use to a client. Of a longer one there is no room to wait for the end.
        self.bytes_since_boundary().filter(|partial| *partial < HELD_BYTES).unwrap_or(0)
    }

    fn unanswered_since(&self) -> Option<Millis> {
        None
    }

    fn unacknowledged_timeout(&self) -> Option<Duration> {
        Some(SILENCE)
    }

    fn write_migration(&mut self, reply: &mut BytesMut) {
        if let Ok(reader) = &self.down {
            let object =
                information("status", "NetConnection.Connect.ReconnectRequest", "the streamer is leaving");
            write_command(reply, reader.idle_stream(), reader.chunk_size(), &encode("onStatus", 0.0, object));
        }
    }

    fn announced_outcome(&self) -> Option<Outcome> {
        self.endpoint_moves.then_some(Outcome::Cancelled)
    }

    fn outcome_at_end(&self) -> Outcome {
        match &self.down {
            _ if self.endpoint_moves => Outcome::Cancelled,
            Ok(reader) if reader.partial() == 0 => Outcome::Ok,
            _ => Outcome::Reset,
        }
    }
}
