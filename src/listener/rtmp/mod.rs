//! RTMP, for tenants' encoders and players.
//!
//! A connection is placed at its `connect` command. The path of its `app` is the group's key: the video and
//! its language track. The connection's own key is `flow` in the query that may follow, which proxy and
//! endpoint can see as well, else the client's address. The relay completes the handshake with both sides
//! and forwards the client's `connect` and the endpoint's reply unchanged; from then on all bytes pass
//! unchanged. It follows the chunks that the endpoint sends, so that it can ask the client to reconnect
//! between two of them. Times are milliseconds where they are numbers. It does no I/O.

mod chunks;
mod command;
mod handshake;
mod proxy;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use log::debug;
use rml_amf0::Amf0Value;
use rml_rtmp::handshake::{Handshake, PeerType};

use self::chunks::{
    COMMAND, DEFAULT_CHUNK_BYTES, FIRST_MESSAGE_STREAM, Malformed, Progress, Reader, write_command,
};
use self::command::{Command, FAILED, RECONNECT_REQUEST, REJECTED, encode, information};
use self::handshake::{HANDSHAKE_P0_P1_BYTES, advance_handshake};
use self::proxy::{MidStreamKeys, ParsedHeader};
use super::{AttemptAnswer, ClientProtocol, ReadProgress};
use crate::policy::api::*;
use crate::relay::ServingMode;
use crate::relay::{IncomingRequest, LocalReply};

/// Most bytes from a client up to the end of its `connect`.
const MAX_CONNECT_BYTES: usize = 4096;
/// How long before the client gives up the reply to an incomplete request is sent.
const REPLY_MARGIN_MS: Millis = 250.0;
/// After how long without a reset a mid-stream connection counts as established: there is no reply to wait
/// for, and an endpoint that does not have the connection resets it at once.
const MID_STREAM_ESTABLISHED_AFTER: Duration = Duration::from_millis(100);
/// How long an endpoint may leave bytes unacknowledged before it counts as vanished. RTMP has no message
/// that is answered at once, so only TCP shows it.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Transaction of a client's `connect`, as the specification fixes it.
const FIRST_TRANSACTION: f64 = 1.0;
/// How much of an incomplete chunk waits for its end: the chunk size that most endpoints set, with the
/// longest header.
const MAX_INCOMPLETE_CHUNK_BYTES: usize = 4096 + 18;

/// What the listener's settings say of every connection.
#[derive(Clone, Debug, PartialEq)]
pub struct RtmpSettings {
    /// The class of all its connections.
    pub class: String,
    /// After how many milliseconds from accept clients give up.
    pub give_up: Millis,
}

/// The client's side.
enum Stage {
    /// It is not known yet whether a trusted proxy's header comes first.
    Start,
    Handshake(Box<Handshake>),
    /// The handshake is complete, the `connect` is not.
    Connect(Reader),
    /// The request is complete.
    Requested {
        /// Transaction of its `connect`.
        transaction: f64,
    },
    /// A mid-stream arrival. It has no handshake and no `connect`, and no chunk boundary is known.
    MidStream(MidStreamKeys),
}

/// The endpoint's side during an attempt.
enum AttemptStage {
    Handshake(Box<Handshake>),
    /// The client's `connect` is written.
    Reply {
        reader: Reader,
        /// How many bytes of the input the reader has consumed; they remain in it for the client.
        consumed: usize,
    },
}

/// One client that speaks RTMP.
pub struct RtmpProtocol {
    settings: RtmpSettings,
    client: SocketAddr,
    /// Whether the address is a trusted proxy's.
    trusted: bool,
    accepted_at: Option<Millis>,
    stage: Stage,
    /// Whether all of the relay's handshake is written, so that a reply can follow it.
    handshake_written: bool,
    /// All chunks up to the end of `connect`, as received.
    connect_bytes: Vec<u8>,
    attempt: Option<AttemptStage>,
    /// Follows what the endpoint sends; an error once it was not a chunk stream.
    endpoint_reader: Result<Reader, Malformed>,
    /// Whether the endpoint has asked the client to reconnect.
    migration_announced: bool,
}

impl RtmpProtocol {
    /// The protocol of one connection from an address, which may be a trusted proxy's.
    pub fn new(settings: RtmpSettings, client: SocketAddr, trusted: bool) -> Self {
        RtmpProtocol {
            settings,
            client,
            trusted,
            accepted_at: None,
            stage: Stage::Start,
            handshake_written: false,
            connect_bytes: Vec::new(),
            attempt: None,
            endpoint_reader: Ok(Reader::default()),
            migration_announced: false,
        }
    }

    fn request(&self, now: Millis, client: String, group: String) -> IncomingRequest {
        let accepted = self.accepted_at.unwrap_or(now);
        IncomingRequest {
            class: self.settings.class.clone(),
            client: Some(Key(client.into())),
            group: Some(Key(group.into())).filter(|g| !g.0.is_empty()),
            deadline: accepted + self.settings.give_up,
            setup_time_used: now - accepted,
            ..IncomingRequest::default()
        }
    }

    /// Reads a trusted proxy's header, where there is one. `None` where the handshake follows.
    fn read_start(&mut self, now: Millis, input: &mut BytesMut) -> Result<Option<ReadProgress>, Malformed> {
        let Some(first) = input.first() else { return Ok(Some(ReadProgress::Incomplete)) };
        if self.trusted && *first == proxy::SIGNATURE[0] {
            let parsed = proxy::read(input).map_err(|_| Malformed)?;
            let Some(ParsedHeader { length, header }) = parsed else {
                return Ok(Some(ReadProgress::Incomplete));
            };
            let _ = input.split_to(length);
            self.client = header.client.unwrap_or(self.client);
            if let Some(keys) = header.mid_stream {
                return Ok(Some(ReadProgress::Request(self.mid_stream_request(now, keys))));
            }
        }
        self.stage = Stage::Handshake(Box::new(Handshake::new(PeerType::Server)));
        Ok(None)
    }

    fn mid_stream_request(&mut self, now: Millis, keys: MidStreamKeys) -> IncomingRequest {
        let request = self.request(now, keys.connection.clone(), keys.group.clone());
        self.stage = Stage::MidStream(keys);
        self.endpoint_reader = Err(Malformed);
        IncomingRequest { mid_flow: true, existing_endpoint_only: true, ..request }
    }

    /// Reads the client's packets of the handshake. `None` where it is complete.
    fn read_handshake(
        &mut self,
        input: &mut BytesMut,
        reply: &mut BytesMut,
    ) -> Result<Option<ReadProgress>, Malformed> {
        let Stage::Handshake(handshake) = &mut self.stage else { return Err(Malformed) };
        let before = reply.len();
        let complete = advance_handshake(handshake, input, reply);
        // The relay's second block is written once the client's first one is complete.
        let second_block_written = reply.len() > before + HANDSHAKE_P0_P1_BYTES;
        self.handshake_written |= second_block_written || complete == Ok(true);
        if !complete? {
            return Ok(Some(ReadProgress::Incomplete));
        }
        self.stage = Stage::Connect(Reader::default());
        Ok(None)
    }

    /// Reads messages up to the `connect` command, which has to be the first command.
    fn read_connect(&mut self, now: Millis, input: &mut BytesMut) -> Result<ReadProgress, Malformed> {
        let Stage::Connect(reader) = &mut self.stage else { return Err(Malformed) };
        loop {
            let progress = reader.next(input)?;
            self.connect_bytes.extend_from_slice(&input.split_to(progress.consumed));
            if self.connect_bytes.len() > MAX_CONNECT_BYTES {
                return Err(Malformed);
            }
            let Some(message) = progress.message else { return Ok(ReadProgress::Incomplete) };
            if message.kind == COMMAND {
                return self.request_of_connect(now, &message.body).map(ReadProgress::Request);
            }
        }
    }

    fn request_of_connect(&mut self, now: Millis, body: &[u8]) -> Result<IncomingRequest, Malformed> {
        let mut command = Command::parse(body).ok_or(Malformed)?;
        let object = command.values.next().and_then(Amf0Value::get_object_properties).ok_or(Malformed)?;
        let Some(Amf0Value::Utf8String(app)) = object.get("app") else { return Err(Malformed) };
        if command.name != "connect" {
            return Err(Malformed);
        }
        self.stage = Stage::Requested { transaction: command.transaction };
        let (path, query) = app.split_once('?').unwrap_or((app, ""));
        let named = query.split('&').find_map(|parameter| parameter.strip_prefix("flow="));
        let connection = named.map_or_else(|| self.client.to_string(), str::to_owned);
        let group = path.trim_matches('/').to_owned();
        Ok(self.request(now, connection, group))
    }

    /// Reads the endpoint's packets of the handshake and writes `connect` after it. `None` where it is
    /// complete.
    fn read_endpoint_handshake(&mut self, input: &mut BytesMut, out: &mut BytesMut) -> Option<AttemptAnswer> {
        let Some(AttemptStage::Handshake(handshake)) = &mut self.attempt else { return None };
        match advance_handshake(handshake, input, out) {
            Ok(false) => Some(AttemptAnswer::Incomplete),
            Ok(true) => {
                out.extend_from_slice(&self.connect_bytes);
                self.attempt = Some(AttemptStage::Reply { reader: Reader::default(), consumed: 0 });
                None
            }
            Err(Malformed) => Some(AttemptAnswer::Ended(Outcome::Error)),
        }
    }
}

/// How a command of the endpoint answers `connect`; `None` for commands that do not.
fn connect_answer(command: Command) -> Option<AttemptAnswer> {
    match command.name.as_str() {
        "_result" => Some(AttemptAnswer::Established),
        "_error" => {
            let rejected = command.code().is_some_and(|code| code == REJECTED);
            Some(AttemptAnswer::Ended(if rejected { Outcome::Rejected } else { Outcome::Error }))
        }
        _ => None,
    }
}

/// Whether a command of the endpoint asks the client to reconnect.
fn asks_to_reconnect(body: &[u8]) -> bool {
    let status = Command::parse(body).filter(|command| command.name == "onStatus");
    status.and_then(Command::code).is_some_and(|code| code == RECONNECT_REQUEST)
}

impl ClientProtocol for RtmpProtocol {
    fn handshake_timeout(&self) -> Millis {
        (self.settings.give_up - REPLY_MARGIN_MS).max(0.0)
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
        self.accepted_at.get_or_insert(now);
        loop {
            let step = match &self.stage {
                Stage::Start => self.read_start(now, input),
                Stage::Handshake(_) => self.read_handshake(input, reply),
                Stage::Connect(_) => self.read_connect(now, input).map(Some),
                Stage::Requested { .. } | Stage::MidStream(_) => return ReadProgress::Incomplete,
            };
            match step {
                Ok(Some(progress)) => return progress,
                Ok(None) => {}
                Err(Malformed) => {
                    debug!("{}: not RTMP, or no connect command", self.client);
                    self.write_local_reply(LocalReply::Failed, reply);
                    return ReadProgress::Close;
                }
            }
        }
    }

    fn begin_attempt(&mut self, _time_left: Millis, out: &mut BytesMut) {
        if let Stage::MidStream(keys) = &self.stage {
            return proxy::write_mid_stream(out, keys);
        }
        let mut handshake = Box::new(Handshake::new(PeerType::Client));
        // It can't fail on a new handshake; if it did, the endpoint would answer nothing to an empty first
        // packet.
        out.extend_from_slice(&handshake.generate_outbound_p0_and_p1().unwrap_or_default());
        self.attempt = Some(AttemptStage::Handshake(handshake));
        self.endpoint_reader = Ok(Reader::default());
        self.migration_announced = false;
    }

    fn request_complete(&self) -> bool {
        let mid_stream = matches!(self.stage, Stage::MidStream(_));
        mid_stream || matches!(self.attempt, Some(AttemptStage::Reply { .. }))
    }

    fn read_answer(&mut self, input: &mut BytesMut, out: &mut BytesMut) -> AttemptAnswer {
        if let Stage::MidStream(_) = self.stage {
            return AttemptAnswer::Established;
        }
        if let Some(answer) = self.read_endpoint_handshake(input, out) {
            return answer;
        }
        let Some(AttemptStage::Reply { reader, consumed }) = &mut self.attempt else {
            return AttemptAnswer::Incomplete;
        };
        loop {
            let Ok(progress) = reader.next(&input[*consumed..]) else {
                return AttemptAnswer::Ended(Outcome::Error);
            };
            *consumed += progress.consumed;
            let Some(message) = progress.message else { return AttemptAnswer::Incomplete };
            let command = Some(&message.body).filter(|_| message.kind == COMMAND);
            let answer = command.and_then(|body| Command::parse(body)).and_then(connect_answer);
            if let Some(answer) = answer {
                return answer;
            }
        }
    }

    fn established_when_silent(&self) -> Option<Duration> {
        matches!(self.stage, Stage::MidStream(_)).then_some(MID_STREAM_ESTABLISHED_AFTER)
    }

    fn write_local_reply(&mut self, response: LocalReply, reply: &mut BytesMut) {
        // Before the end of the handshake a client could not tell a reply from it: the connection is only
        // closed.
        if !self.handshake_written || self.closes_by_reset() {
            return;
        }
        let transaction =
            if let Stage::Requested { transaction } = self.stage { transaction } else { FIRST_TRANSACTION };
        let object = match response {
            LocalReply::Rejected(after) => {
                let text = after.map_or("busy".into(), |ms| format!("busy: come again after {ms:.0} ms"));
                let mut object = information("error", REJECTED, &text);
                object.extend(after.map(|ms| ("retryAfterMs".to_owned(), Amf0Value::Number(ms))));
                object
            }
            LocalReply::Failed => information("error", FAILED, "no streamer answered"),
        };
        let body = encode("_error", transaction, object);
        write_command(reply, FIRST_MESSAGE_STREAM, DEFAULT_CHUNK_BYTES, &body);
    }

    fn closes_by_reset(&self) -> bool {
        matches!(self.stage, Stage::MidStream(_))
    }

    fn observe_client_bytes(&mut self, _now: Millis, _bytes: &[u8]) {}

    fn observe_endpoint_bytes(&mut self, _now: Millis, bytes: &[u8]) -> Option<Millis> {
        let mut consumed = 0;
        while let Ok(reader) = &mut self.endpoint_reader {
            match reader.next(&bytes[consumed..]) {
                Ok(Progress { consumed: count, message: Some(message) }) => {
                    consumed += count;
                    self.migration_announced |= message.kind == COMMAND && asks_to_reconnect(&message.body);
                }
                Ok(Progress { message: None, .. }) => break,
                Err(Malformed) => self.endpoint_reader = Err(Malformed),
            }
        }
        None
    }

    fn bytes_since_boundary(&self) -> Option<usize> {
        self.endpoint_reader.as_ref().ok().map(Reader::bytes_since_boundary)
    }

    fn incomplete_tail(&self) -> usize {
        // A longer chunk is passed on in parts: the buffer has no room for all of it.
        self.bytes_since_boundary().filter(|bytes| *bytes < MAX_INCOMPLETE_CHUNK_BYTES).unwrap_or(0)
    }

    fn unanswered_since(&self) -> Option<Millis> {
        None
    }

    fn unacknowledged_timeout(&self) -> Option<Duration> {
        Some(UNACKNOWLEDGED_TIMEOUT)
    }

    fn write_migration(&mut self, reply: &mut BytesMut) {
        if let Ok(reader) = &self.endpoint_reader {
            let object = information("status", RECONNECT_REQUEST, "the streamer is leaving");
            let body = encode("onStatus", 0.0, object);
            write_command(reply, reader.idle_stream(), reader.chunk_size(), &body);
        }
    }

    fn announced_outcome(&self) -> Option<Outcome> {
        self.migration_announced.then_some(Outcome::Cancelled)
    }

    fn outcome_at_end(&self) -> Outcome {
        match &self.endpoint_reader {
            _ if self.migration_announced => Outcome::Cancelled,
            Ok(reader) if reader.bytes_since_boundary() == 0 => Outcome::Ok,
            _ => Outcome::Reset,
        }
    }
}
