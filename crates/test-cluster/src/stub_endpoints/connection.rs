//! One connection of a relay to an endpoint: its first line, the endpoint's decision, and the lines after
//! that.

use std::sync::Arc;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use super::model::Behaviour;
use super::state::{Command, ConnectionState, Shared};
use crate::log::{AttemptOutcome, EventKind, RequestId};
use crate::network::reset;
use crate::{Millis, duration, lock};

/// The longest line, with its end.
const MAX_LINE_BYTES: u64 = 4096;
/// The golden ratio's fraction: its multiples spread connections evenly over the time of a drain.
const GOLDEN_FRACTION: f64 = 0.618_034;

/// What an endpoint reads in a first line.
struct RequestLine {
    id: RequestId,
    key: String,
    /// Whether the client was established before, at another relay.
    mid_flow: bool,
    /// How long the client waits.
    wait_ms: Millis,
}

impl RequestLine {
    fn parse(line: &str) -> Option<RequestLine> {
        let mut words = line.trim_end().split(' ');
        let verb = words.next()?;
        let id = words.next()?;
        let key = words.next()?;
        let parameters = words.next()?;
        let value = |name: &str| parameters.split(',').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        Some(RequestLine {
            id: u64::from_str_radix(id, 16).ok().filter(|_| verb == "OPEN")?,
            key: key.to_owned(),
            mid_flow: value("mid") == Some("1"),
            wait_ms: value("d").and_then(|text| text.parse().ok()).unwrap_or(f64::INFINITY),
        })
    }
}

/// What becomes of a request.
enum Decision {
    /// It is set up, which takes so many milliseconds.
    SetUp(Millis),
    /// Its connection was established before and goes on.
    Continue,
    Reject,
    Fail,
    Reset,
    Hang,
}

/// How the serving of a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// It is closed in order.
    Closed,
    /// It is to be reset.
    Reset,
}

/// A connection that an endpoint has accepted.
pub(super) struct EndpointConnection {
    shared: Arc<Shared>,
    endpoint: Arc<str>,
    commands: watch::Receiver<Command>,
    /// The endpoint's incarnation that accepted it.
    incarnation: u64,
}

impl EndpointConnection {
    pub(super) fn new(
        shared: Arc<Shared>,
        endpoint: Arc<str>,
        commands: watch::Receiver<Command>,
    ) -> EndpointConnection {
        let incarnation = commands.borrow().incarnation;
        EndpointConnection { shared, endpoint, commands, incarnation }
    }

    /// Serves the connection until it ends or its endpoint dies.
    pub(super) async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        let mut commands = self.commands.clone();
        let incarnation = self.incarnation;
        let ending = tokio::select! {
            ending = self.serve_request(&mut stream) => ending,
            _ = commands.wait_for(|command| command.incarnation != incarnation) => Ending::Reset,
        };
        if ending == Ending::Reset {
            reset(stream.into_inner());
        }
    }

    async fn serve_request(&self, stream: &mut BufReader<TcpStream>) -> Ending {
        if stream.fill_buf().await.map_or(true, <[u8]>::is_empty) {
            return Ending::Closed;
        }
        let first_byte_ms = self.shared.log.now();
        let mut line = String::new();
        if stream.take(MAX_LINE_BYTES).read_line(&mut line).await.is_err() || !line.ends_with('\n') {
            return Ending::Closed;
        }
        let Some(request) = RequestLine::parse(&line) else {
            let _ = stream.write_all(b"SYNTAX\r\n").await;
            return Ending::Closed;
        };
        self.shared.log.record(EventKind::AttemptReceived {
            id: request.id,
            endpoint: self.endpoint.clone(),
            first_byte_ms,
            mid_flow: request.mid_flow,
        });
        let command = *self.commands.borrow();
        match self.decide(&request, command) {
            Decision::SetUp(setup_ms) => self.set_up(stream, &request, setup_ms).await,
            Decision::Continue => self.establish(stream, &request).await,
            Decision::Hang => {
                self.wait_for_cancellation(stream).await;
                self.record_end(request.id, AttemptOutcome::Cancelled, None);
                Ending::Closed
            }
            Decision::Reset => {
                self.record_end(request.id, AttemptOutcome::Reset, None);
                Ending::Reset
            }
            Decision::Reject => {
                self.record_end(request.id, AttemptOutcome::Rejected, None);
                let _ = stream.write_all(b"BUSY\r\n").await;
                Ending::Closed
            }
            Decision::Fail => {
                self.record_end(request.id, AttemptOutcome::Error, None);
                let _ = stream.write_all(b"ERR\r\n").await;
                Ending::Closed
            }
        }
    }

    fn record_end(&self, id: RequestId, outcome: AttemptOutcome, receipt: Option<String>) {
        let endpoint = self.endpoint.clone();
        self.shared.log.record(EventKind::AttemptEnded { id, endpoint, outcome, receipt });
    }

    fn decide(&self, request: &RequestLine, command: Command) -> Decision {
        let now_ms = self.shared.log.now();
        let rules = &self.shared.rules;
        let mut endpoints = lock(&self.shared.endpoints);
        let Some(endpoint) = endpoints.get_mut(&self.endpoint) else { return Decision::Reset };
        if endpoint.count_arrival(rules, now_ms) {
            self.shared.log.record(EventKind::EndpointOverloaded(self.endpoint.clone()));
            endpoint.die();
            return Decision::Reset;
        }
        let extra_ms = match command.behaviour {
            Behaviour::HangingSetups | Behaviour::Silent => return Decision::Hang,
            Behaviour::FailingSetups => return Decision::Fail,
            Behaviour::Healthy => 0.0,
            Behaviour::SlowSetups(extra_ms) => extra_ms,
        };
        if request.mid_flow {
            let holds = endpoint.holds(&request.key, now_ms, rules.park_ms);
            return if holds { Decision::Continue } else { Decision::Reset };
        }
        if command.drain_within_ms.is_some() || endpoint.is_full(now_ms, rules.park_ms) {
            return Decision::Reject;
        }
        Decision::SetUp(lock(&self.shared.store).take(now_ms) + extra_ms)
    }

    async fn set_up(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &RequestLine,
        setup_ms: Millis,
    ) -> Ending {
        tokio::select! {
            () = self.wait_for_cancellation(stream) => {
                self.record_end(request.id, AttemptOutcome::Cancelled, None);
                return Ending::Closed;
            }
            () = sleep(duration(setup_ms)) => {}
        }
        if setup_ms > request.wait_ms {
            self.record_end(request.id, AttemptOutcome::Rejected, None);
            let _ = stream.write_all(b"BUSY\r\n").await;
            return Ending::Closed;
        }
        self.establish(stream, request).await
    }

    /// Waits until the relay closes the connection, or sends what it should not.
    async fn wait_for_cancellation(&self, stream: &mut BufReader<TcpStream>) {
        let mut byte = [0];
        let _ = stream.read(&mut byte).await;
    }

    async fn establish(&self, stream: &mut BufReader<TcpStream>, request: &RequestLine) -> Ending {
        let receipt = self.make_receipt(&request.key);
        self.record_end(request.id, AttemptOutcome::Established, Some(receipt.clone()));
        if stream.write_all(format!("UP {receipt}\r\n").as_bytes()).await.is_err() {
            return self.park(&request.key);
        }
        self.serve_established(stream, request).await
    }

    /// Returns lines until the client says `bye`, the relay is gone, or the drain's turn comes.
    async fn serve_established(&self, stream: &mut BufReader<TcpStream>, request: &RequestLine) -> Ending {
        let mut commands = self.commands.clone();
        let mut line = Vec::new();
        // Clients are asked to reconnect one after the other, spread by their numbers.
        let drain_fraction = request.id as f64 * GOLDEN_FRACTION % 1.0;
        let mut reconnect_at = None;
        loop {
            let command = *commands.borrow_and_update();
            let drain_delay_ms = command.drain_within_ms.map(|within_ms| within_ms * drain_fraction);
            reconnect_at =
                reconnect_at.or(drain_delay_ms.map(|delay_ms| Instant::now() + duration(delay_ms)));
            tokio::select! {
                read = stream.read_until(b'\n', &mut line) => {
                    let is_line = matches!(read, Ok(length) if length > 0) && line.ends_with(b"\n");
                    if !is_line || !return_line(stream, &line, command.behaviour).await {
                        return self.park(&request.key);
                    }
                    if is_goodbye(&line) {
                        self.forget(&request.key);
                        return Ending::Closed;
                    }
                    line.clear();
                },
                () = sleep_until(reconnect_at.unwrap_or_else(Instant::now)), if reconnect_at.is_some() => {
                    self.forget(&request.key);
                    let _ = stream.write_all(b"MOVE\r\n").await;
                    return Ending::Closed;
                }
                changed = commands.changed() => if changed.is_err() { return Ending::Reset },
            }
        }
    }

    fn make_receipt(&self, key: &str) -> String {
        let mut endpoints = lock(&self.shared.endpoints);
        endpoints.get_mut(&self.endpoint).map_or_else(String::new, |endpoint| endpoint.establish(key))
    }

    /// The relay is gone: where packets pass through it, its client may arrive by another one.
    fn park(&self, key: &str) -> Ending {
        let now_ms = self.shared.log.now();
        if !self.shared.rules.packet_passthrough {
            self.forget(key);
        } else if let Some(endpoint) = lock(&self.shared.endpoints).get_mut(&self.endpoint)
            && let Some(state) = endpoint.connections.get_mut(key)
        {
            *state = ConnectionState::Parked(now_ms);
        }
        Ending::Closed
    }

    fn forget(&self, key: &str) {
        if let Some(endpoint) = lock(&self.shared.endpoints).get_mut(&self.endpoint) {
            endpoint.connections.remove(key);
        }
    }
}

/// Whether a line is the client's last.
fn is_goodbye(line: &[u8]) -> bool {
    line.starts_with(b"bye")
}

/// Returns a line to the client, unless the endpoint is silent; returns whether the relay is still there.
async fn return_line(stream: &mut BufReader<TcpStream>, line: &[u8], behaviour: Behaviour) -> bool {
    let reply = if is_goodbye(line) { b"BYE\r\n".as_slice() } else { line };
    behaviour == Behaviour::Silent || stream.write_all(reply).await.is_ok()
}
