//! RTMP, for tenants' encoders and players. This module does no I/O.
//!
//! A request is placed when its `connect` command has arrived. The path of `app` is the group's key: the
//! video and its language track. The connection's own key is the parameter `flow` of the query that may
//! follow the path, which the proxy and the endpoint see as well; without it, the key is the client's
//! address. The relay completes the handshake with both sides and forwards the client's `connect` and the
//! endpoint's reply unchanged; from then on all bytes pass unchanged. The relay parses the chunks that the
//! endpoint sends, so that it can ask the client to reconnect between two of them. Times that are plain
//! numbers are milliseconds.

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
    COMMAND, ChunkReader, DEFAULT_CHUNK_BYTES, FIRST_MESSAGE_STREAM, Malformed, Progress, write_command,
};
use self::command::{Command, FAILED, RECONNECT_REQUEST, REJECTED, encode_command, information_object};
use self::handshake::{HANDSHAKE_P0_P1_BYTES, advance_handshake};
use self::proxy::{MidFlowKeys, ParsedHeader};
use super::{AttemptAnswer, ClientProtocol, EarlyData, ReadProgress};
use crate::policy::api::*;
use crate::relay::ServingMode;
use crate::relay::{IncomingRequest, LocalReply};

/// Most bytes that a client may send after the handshake, up to the end of its `connect`.
const MAX_CONNECT_BYTES: usize = 4096;
/// How long before the client's time-out the relay replies to an incomplete request.
const REPLY_MARGIN_MS: Millis = 250.0;
/// How long a mid-flow connection must go without a reset to count as established. There is no reply to
/// wait for, and an endpoint that does not have the connection resets it at once.
const MID_FLOW_ESTABLISHED_AFTER: Duration = Duration::from_millis(100);
/// How long an endpoint may leave bytes unacknowledged before it counts as lost. RTMP has no message that is
/// answered at once, so only TCP acknowledgements show the loss.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Transaction id of a client's `connect`, as fixed by the specification.
const FIRST_TRANSACTION: f64 = 1.0;
/// Longest incomplete chunk that is held back until its end arrives: the chunk size that most endpoints set,
/// plus the longest header.
const MAX_INCOMPLETE_CHUNK_BYTES: usize = 4096 + 18;

/// The listener's settings, which apply to every connection.
#[derive(Clone, Debug, PartialEq)]
pub struct RtmpSettings {
    /// The class of all connections of the listener.
    pub class: String,
    /// How long after accept clients give up, in milliseconds.
    pub client_timeout: Millis,
}

/// How far the client's side of the connection has got.
enum ClientStage {
    /// Nothing has been parsed. A trusted proxy's header may come first.
    Start,
    Handshake(Box<Handshake>),
    /// The handshake is complete, the `connect` command is not.
    Connect(ChunkReader),
    /// The request is complete.
    Requested {
        /// Transaction id of the request's `connect` command.
        transaction: f64,
    },
    /// A connection that arrives mid-flow. It has no handshake and no `connect`, and its chunk boundaries
    /// are not known.
    MidFlow(MidFlowKeys),
}

/// How far the endpoint's side has got during an attempt.
enum AttemptStage {
    Handshake(Box<Handshake>),
    /// The client's `connect` is written, and the endpoint's reply is awaited.
    Reply {
        reader: ChunkReader,
        /// How many bytes of the input the reader has parsed. These bytes stay in the input, from which they
        /// are relayed to the client.
        consumed: usize,
    },
}

/// The RTMP protocol of one connection.
pub struct RtmpProtocol {
    settings: RtmpSettings,
    client: SocketAddr,
    /// Whether the address belongs to a trusted proxy.
    trusted: bool,
    accepted_at: Option<Millis>,
    stage: ClientStage,
    /// Whether the relay has written its whole handshake to the client, so that a reply can follow it.
    handshake_written: bool,
    /// All chunks up to the end of `connect`, as received from the client.
    connect_bytes: Vec<u8>,
    attempt: Option<AttemptStage>,
    /// Reads the chunks that the endpoint sends; an error once the endpoint's bytes were malformed, and for
    /// mid-flow connections.
    endpoint_reader: Result<ChunkReader, Malformed>,
    /// Whether the endpoint has asked the client to reconnect.
    migration_announced: bool,
}

impl RtmpProtocol {
    /// Creates the protocol of one connection from a client address, which may belong to a trusted proxy.
    pub fn new(settings: RtmpSettings, client: SocketAddr, trusted: bool) -> Self {
        RtmpProtocol {
            settings,
            client,
            trusted,
            accepted_at: None,
            stage: ClientStage::Start,
            handshake_written: false,
            connect_bytes: Vec::new(),
            attempt: None,
            endpoint_reader: Ok(ChunkReader::default()),
            migration_announced: false,
        }
    }

    fn request(&self, now: Millis, client: String, group: String) -> IncomingRequest {
        let accepted = self.accepted_at.unwrap_or(now);
        IncomingRequest {
            class: self.settings.class.clone(),
            client: Some(Key(client.into())),
            group: Some(Key(group.into())).filter(|g| !g.0.is_empty()),
            deadline: accepted + self.settings.client_timeout,
            setup_time_used: now - accepted,
            ..IncomingRequest::default()
        }
    }

    /// Reads a trusted proxy's header, if there is one. Returns `None` where the handshake follows.
    fn read_proxy_header(
        &mut self,
        now: Millis,
        input: &mut BytesMut,
    ) -> Result<Option<ReadProgress>, Malformed> {
        let Some(first) = input.first() else { return Ok(Some(ReadProgress::Incomplete)) };
        if self.trusted && *first == proxy::SIGNATURE[0] {
            let parsed = proxy::read(input).map_err(|_| Malformed)?;
            let Some(ParsedHeader { length, header }) = parsed else {
                return Ok(Some(ReadProgress::Incomplete));
            };
            let _ = input.split_to(length);
            self.client = header.client.unwrap_or(self.client);
            if let Some(keys) = header.mid_flow {
                return Ok(Some(ReadProgress::Request(self.mid_flow_request(now, keys))));
            }
        }
        self.stage = ClientStage::Handshake(Box::new(Handshake::new(PeerType::Server)));
        Ok(None)
    }

    fn mid_flow_request(&mut self, now: Millis, keys: MidFlowKeys) -> IncomingRequest {
        let request = self.request(now, keys.connection.clone(), keys.group.clone());
        self.stage = ClientStage::MidFlow(keys);
        self.endpoint_reader = Err(Malformed);
        IncomingRequest { mid_flow: true, existing_endpoint_only: true, ..request }
    }

    /// Reads the client's handshake packets. Returns `None` once the handshake is complete.
    fn read_handshake(
        &mut self,
        input: &mut BytesMut,
        reply: &mut BytesMut,
    ) -> Result<Option<ReadProgress>, Malformed> {
        let ClientStage::Handshake(handshake) = &mut self.stage else { return Err(Malformed) };
        let before = reply.len();
        let complete = advance_handshake(handshake, input, reply);
        // The relay writes its second block once the client's first block is complete.
        let second_block_written = reply.len() > before + HANDSHAKE_P0_P1_BYTES;
        self.handshake_written |= second_block_written || complete == Ok(true);
        if !complete? {
            return Ok(Some(ReadProgress::Incomplete));
        }
        self.stage = ClientStage::Connect(ChunkReader::default());
        Ok(None)
    }

    /// Reads messages up to the `connect` command, which has to be the client's first command.
    fn read_connect(&mut self, now: Millis, input: &mut BytesMut) -> Result<ReadProgress, Malformed> {
        let ClientStage::Connect(reader) = &mut self.stage else { return Err(Malformed) };
        loop {
            let progress = reader.next(input)?;
            self.connect_bytes.extend_from_slice(&input.split_to(progress.consumed));
            if self.connect_bytes.len() > MAX_CONNECT_BYTES {
                return Err(Malformed);
            }
            let Some(message) = progress.message else { return Ok(ReadProgress::Incomplete) };
            if message.kind == COMMAND {
                return self.parse_connect(now, &message.body).map(ReadProgress::Request);
            }
        }
    }

    fn parse_connect(&mut self, now: Millis, body: &[u8]) -> Result<IncomingRequest, Malformed> {
        let mut command = Command::parse(body).ok_or(Malformed)?;
        let object = command.values.next().and_then(Amf0Value::get_object_properties).ok_or(Malformed)?;
        let Some(Amf0Value::Utf8String(app)) = object.get("app") else { return Err(Malformed) };
        if command.name != "connect" {
            return Err(Malformed);
        }
        self.stage = ClientStage::Requested { transaction: command.transaction };
        let (path, query) = app.split_once('?').unwrap_or((app, ""));
        let key_parameter = query.split('&').find_map(|parameter| parameter.strip_prefix("flow="));
        let connection = key_parameter.map_or_else(|| self.client.to_string(), str::to_owned);
        let group = path.trim_matches('/').to_owned();
        Ok(self.request(now, connection, group))
    }

    /// Reads the endpoint's handshake packets and then writes `connect`. Returns `None` once the handshake is
    /// complete.
    fn read_endpoint_handshake(&mut self, input: &mut BytesMut, out: &mut BytesMut) -> Option<AttemptAnswer> {
        let Some(AttemptStage::Handshake(handshake)) = &mut self.attempt else { return None };
        match advance_handshake(handshake, input, out) {
            Ok(false) => Some(AttemptAnswer::Incomplete),
            Ok(true) => {
                out.extend_from_slice(&self.connect_bytes);
                self.attempt = Some(AttemptStage::Reply { reader: ChunkReader::default(), consumed: 0 });
                None
            }
            Err(Malformed) => Some(AttemptAnswer::Ended(Outcome::Error)),
        }
    }
}

/// How a command of the endpoint answers `connect`; `None` for commands that are not an answer.
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
        (self.settings.client_timeout - REPLY_MARGIN_MS).max(0.0)
    }

    fn request_begun(&self, input: &BytesMut) -> bool {
        !matches!(self.stage, ClientStage::Start) || !input.is_empty()
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
                ClientStage::Start => self.read_proxy_header(now, input),
                ClientStage::Handshake(_) => self.read_handshake(input, reply),
                ClientStage::Connect(_) => self.read_connect(now, input).map(Some),
                ClientStage::Requested { .. } | ClientStage::MidFlow(_) => return ReadProgress::Incomplete,
            };
            match step {
                Ok(Some(progress)) => return progress,
                Ok(None) => {}
                Err(Malformed) => {
                    debug!(
                        "{}: closing: not RTMP, or no valid connect command within the length limit",
                        self.client
                    );
                    self.write_local_reply(LocalReply::Failed, reply);
                    return ReadProgress::Close;
                }
            }
        }
    }

    fn early_data(&self) -> EarlyData {
        if let ClientStage::MidFlow(_) = self.stage { EarlyData::Unlimited } else { EarlyData::Limited }
    }

    fn begin_attempt(&mut self, _time_left: Millis, out: &mut BytesMut) {
        if let ClientStage::MidFlow(keys) = &self.stage {
            return proxy::write_mid_flow(out, keys);
        }
        let mut handshake = Box::new(Handshake::new(PeerType::Client));
        // Generating the first packets can't fail on a new handshake. If it did, the endpoint would receive
        // an empty first packet and not answer.
        out.extend_from_slice(&handshake.generate_outbound_p0_and_p1().unwrap_or_default());
        self.attempt = Some(AttemptStage::Handshake(handshake));
        self.endpoint_reader = Ok(ChunkReader::default());
        self.migration_announced = false;
    }

    fn request_complete(&self) -> bool {
        let mid_flow = matches!(self.stage, ClientStage::MidFlow(_));
        mid_flow || matches!(self.attempt, Some(AttemptStage::Reply { .. }))
    }

    fn read_answer(&mut self, input: &mut BytesMut, out: &mut BytesMut) -> AttemptAnswer {
        if let ClientStage::MidFlow(_) = self.stage {
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
        matches!(self.stage, ClientStage::MidFlow(_)).then_some(MID_FLOW_ESTABLISHED_AFTER)
    }

    fn write_local_reply(&mut self, response: LocalReply, reply: &mut BytesMut) {
        // Before the relay's handshake is written, a client would read a reply as part of the handshake, so
        // nothing is written and the connection is only closed.
        if !self.handshake_written || self.closes_by_reset() {
            return;
        }
        let transaction = if let ClientStage::Requested { transaction } = self.stage {
            transaction
        } else {
            FIRST_TRANSACTION
        };
        let object = match response {
            LocalReply::Rejected(after) => {
                let text = after.map_or("busy".into(), |ms| format!("busy: come again after {ms:.0} ms"));
                let mut object = information_object("error", REJECTED, &text);
                object.extend(after.map(|ms| ("retryAfterMs".to_owned(), Amf0Value::Number(ms))));
                object
            }
            LocalReply::Failed => information_object("error", FAILED, "no streamer answered"),
        };
        let body = encode_command("_error", transaction, object);
        write_command(reply, FIRST_MESSAGE_STREAM, DEFAULT_CHUNK_BYTES, &body);
    }

    fn closes_by_reset(&self) -> bool {
        matches!(self.stage, ClientStage::MidFlow(_))
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
        self.endpoint_reader.as_ref().ok().map(ChunkReader::bytes_since_boundary)
    }

    fn incomplete_message_bytes(&self) -> usize {
        // A longer chunk is passed on in parts, because it would not fit into the buffer.
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
            let object = information_object("status", RECONNECT_REQUEST, "the streamer is leaving");
            let body = encode_command("onStatus", 0.0, object);
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
