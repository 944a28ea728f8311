//! Forwards an established connection's bytes both ways.
//!
//! Input: both streams, and the core's commands to migrate or transfer the connection. Output: the forwarded
//! bytes, and reports to the core of round-trip times and of the end of the upstream connection. The tunnel
//! ends once both sides have closed, once the client has been asked to reconnect, or once the connection is
//! transferred to the successor process.

use std::io;
use std::ops::ControlFlow;
use std::os::fd::AsFd;
use std::time::Duration;

use log::debug;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

use super::ClientConnection;
use super::close::reset_on_close;
use super::pipe::Pipe;
use super::response_timer::{ResponseTimer, SILENCE_TIMEOUT_MS};
use crate::handover::Message;
use crate::listener::ClientProtocol;
use crate::net::pool::PooledBuffer;
use crate::net::shared::OutgoingTransfer;
use crate::policy::api::{Millis, Outcome, RequestId};
use crate::relay::ConnectionCommand;

/// How long one side may stay open after the other side has closed, without taking any of the bytes that are
/// left for it.
const HALF_CLOSED_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the relay waits, before it asks a client to reconnect, for the end of a message that the endpoint
/// has begun.
const MESSAGE_BOUNDARY_TIMEOUT: Duration = Duration::from_millis(500);

/// An established connection's state while its bytes are forwarded.
struct Tunnel {
    id: RequestId,
    /// The stream between the relay and the endpoint.
    upstream: TcpStream,
    to_upstream: Pipe,
    to_client: Pipe,
    response_timer: ResponseTimer,
    /// When the connection is closed although one side is still open; set once the other side has closed.
    half_closed_deadline: Option<Instant>,
    migration: Option<Migration>,
    /// The upstream connection is broken. Bytes that the endpoint had sent before are still read and
    /// forwarded.
    is_upstream_broken: bool,
    /// The end of the upstream connection has been reported to the core, with its outcome.
    is_end_reported: bool,
}

/// A pending request to the client to reconnect, sent at the next boundary between the endpoint's messages.
#[derive(Clone, Copy)]
struct Migration {
    /// The outcome that is reported for the upstream connection.
    outcome: Outcome,
    /// When the connection is closed even if no message boundary has been reached.
    deadline: Instant,
}

impl Migration {
    fn begin(outcome: Outcome) -> Self {
        Migration { outcome, deadline: Instant::now() + MESSAGE_BOUNDARY_TIMEOUT }
    }
}

/// How a tunnel ends, and so how its connections are closed.
enum TunnelEnd {
    /// Both sides have closed in order, or the connection has been transferred to the successor process.
    Finished,
    /// The client's connection is broken, so the upstream connection is reset.
    ResetUpstream,
    /// The upstream connection is broken, so the client's connection is reset.
    ResetClient,
    /// The client gets its last reply, and both connections are read to their end and closed.
    Close,
}

/// The state of both directions after one forwarding pass.
struct ForwardPass {
    /// The outcome that the endpoint's last message has announced, if it announced the connection's end.
    announced: Option<Outcome>,
    /// How many of the last bytes that the endpoint has sent are withheld from the client for now.
    withheld: usize,
    /// At least one side has closed, or the upstream connection is broken.
    is_half_closed: bool,
}

/// How many bytes each direction had buffered at the beginning of a forwarding pass.
struct BufferedLengths {
    to_upstream: usize,
    to_client: usize,
}

impl Tunnel {
    fn new(id: RequestId, upstream: TcpStream, input: PooledBuffer, first_bytes: PooledBuffer) -> Self {
        Tunnel {
            id,
            upstream,
            to_upstream: Pipe::with_buffer(input),
            to_client: Pipe::with_buffer(first_bytes),
            response_timer: ResponseTimer::default(),
            half_closed_deadline: None,
            migration: None,
            is_upstream_broken: false,
            is_end_reported: false,
        }
    }

    fn lengths(&self) -> BufferedLengths {
        BufferedLengths { to_upstream: self.to_upstream.len(), to_client: self.to_client.len() }
    }

    fn is_past_half_closed_deadline(&self) -> bool {
        self.half_closed_deadline.is_some_and(|deadline| Instant::now() >= deadline)
    }

    /// Passes on the end of each stream whose bytes have all been written, unless the client migrates or the
    /// upstream connection is broken. Returns whether an end was passed on.
    fn shut_drained_sides(&mut self, client: &TcpStream) -> bool {
        let is_in_order = self.migration.is_none() && !self.is_upstream_broken;
        is_in_order
            && (self.to_upstream.shut_if_drained(&self.upstream) | self.to_client.shut_if_drained(client))
    }

    /// Whether nothing is left that could be forwarded to either side.
    fn is_exhausted(&self, withheld: usize) -> bool {
        let is_client_gone = self.to_client.is_shut && self.to_upstream.is_discarding;
        let is_drained = self.to_client.eof && self.to_client.len() <= withheld;
        is_client_gone || self.is_upstream_broken && is_drained && self.migration.is_none()
    }

    /// Starts the time for which one side may stay open after the other side has closed, and restarts it
    /// whenever the side that is still open takes some of its bytes.
    fn update_half_closed_deadline(
        &mut self,
        before: &BufferedLengths,
        has_shut: bool,
        is_half_closed: bool,
    ) {
        let has_upstream_progressed = self.to_upstream.eof && self.to_upstream.len() < before.to_upstream;
        let has_upstream_ended = self.to_client.eof || self.is_upstream_broken;
        let has_client_progressed = has_upstream_ended && self.to_client.len() < before.to_client;
        let has_progressed = has_shut || has_upstream_progressed || has_client_progressed;
        if has_progressed || is_half_closed && self.half_closed_deadline.is_none() {
            self.half_closed_deadline = Some(Instant::now() + HALF_CLOSED_TIMEOUT);
        }
    }
}

impl<F: ClientProtocol> ClientConnection<F> {
    /// Forwards bytes both ways until the connection has ended. `first_bytes` are the bytes that the endpoint
    /// has sent already.
    pub(super) async fn run_tunnel(
        &mut self,
        id: RequestId,
        upstream: TcpStream,
        first_bytes: PooledBuffer,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> io::Result<()> {
        let input = std::mem::replace(&mut self.input, self.shared.pool.get());
        let mut tunnel = Tunnel::new(id, upstream, input, first_bytes);
        let end = loop {
            if let ControlFlow::Break(end) = self.step(&mut tunnel, commands).await {
                break end;
            }
        };
        match end {
            TunnelEnd::Finished => Ok(()),
            TunnelEnd::ResetUpstream => reset_on_close(&tunnel.upstream),
            TunnelEnd::ResetClient => reset_on_close(&self.client),
            TunnelEnd::Close => self.close_with_upstream(tunnel.upstream).await,
        }
    }

    /// Forwards the buffered bytes, then waits for the next event.
    async fn step(
        &mut self,
        tunnel: &mut Tunnel,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> ControlFlow<TunnelEnd> {
        let pass = self.forward(tunnel)?;
        if let Some(migration) = tunnel.migration {
            // Bytes that have arrived by now are forwarded before the client is asked to reconnect.
            if Instant::now() < migration.deadline && self.read_both(tunnel, &pass)? {
                yield_now().await;
                return ControlFlow::Continue(());
            }
            self.finish_migration(tunnel, &pass, migration)?;
        }
        self.wait(tunnel, &pass, commands).await
    }

    /// Writes to both sides as many bytes as they take now, and passes on the end of each side's stream.
    fn forward(&mut self, tunnel: &mut Tunnel) -> ControlFlow<TunnelEnd, ForwardPass> {
        let before = tunnel.lengths();
        if tunnel.to_upstream.flush(&tunnel.upstream, 0).is_err() {
            tunnel.to_upstream.discard();
            tunnel.is_upstream_broken |= !tunnel.to_client.eof;
        }
        let announced = self.protocol.announced_outcome();
        if tunnel.to_client.eof && !tunnel.is_end_reported {
            // The end is reported at once, however long the client takes to close its side.
            tunnel.is_end_reported = true;
            self.report_end(tunnel.id, self.upstream_outcome(tunnel, announced));
        }
        // If the endpoint has announced the end itself and closed, that announcement replaces the relay's
        // request to reconnect.
        tunnel.migration = tunnel.migration.filter(|_| !tunnel.to_client.eof || announced.is_none());
        let withheld = self.withheld_bytes(tunnel);
        if tunnel.to_client.flush(&self.client, withheld).is_err() {
            return self.end_on_client_failure(tunnel, announced);
        }
        let has_shut = tunnel.shut_drained_sides(&self.client);
        if tunnel.to_upstream.is_shut && tunnel.to_client.is_shut {
            return ControlFlow::Break(TunnelEnd::Finished);
        }
        if tunnel.is_exhausted(withheld) || tunnel.is_past_half_closed_deadline() {
            // An end that the endpoint has announced is a regular close. A broken upstream connection without
            // an announcement resets the client's connection.
            let is_reset = tunnel.is_upstream_broken && announced.is_none();
            return ControlFlow::Break(if is_reset { TunnelEnd::ResetClient } else { TunnelEnd::Close });
        }
        let is_half_closed = tunnel.to_upstream.eof || tunnel.to_client.eof || tunnel.is_upstream_broken;
        tunnel.update_half_closed_deadline(&before, has_shut, is_half_closed);
        ControlFlow::Continue(ForwardPass { announced, withheld, is_half_closed })
    }

    /// The outcome of an upstream connection after the end of its stream was read.
    fn upstream_outcome(&self, tunnel: &Tunnel, announced: Option<Outcome>) -> Outcome {
        match announced {
            Some(outcome) => outcome,
            None if tunnel.is_upstream_broken => Outcome::Reset,
            None if tunnel.to_upstream.eof => Outcome::Cancelled,
            None => self.protocol.outcome_at_end(),
        }
    }

    /// How many of the last bytes that the endpoint has sent are withheld from the client for now. While the
    /// client migrates, bytes after a message boundary are withheld, so that the request to reconnect can be
    /// sent at the boundary.
    fn withheld_bytes(&self, tunnel: &Tunnel) -> usize {
        let is_migrating = tunnel.migration.is_some();
        let partial_bytes = self.protocol.bytes_since_boundary();
        match partial_bytes.filter(|partial_bytes| is_migrating && *partial_bytes <= tunnel.to_client.len()) {
            Some(partial_bytes) => partial_bytes,
            None if tunnel.to_client.eof && !tunnel.is_upstream_broken && !is_migrating => 0,
            None => self.protocol.incomplete_message_bytes(),
        }
    }

    /// Reports the end of a tunnel whose client's connection is broken, and resets the upstream connection.
    fn end_on_client_failure<T>(
        &self,
        tunnel: &Tunnel,
        announced: Option<Outcome>,
    ) -> ControlFlow<TunnelEnd, T> {
        self.report_end(tunnel.id, announced.unwrap_or(Outcome::Cancelled));
        ControlFlow::Break(TunnelEnd::ResetUpstream)
    }

    fn report_end(&self, id: RequestId, outcome: Outcome) {
        debug!("connection {}: established connection ended: {outcome:?}", id.0);
        self.shared.with_core(|relay, now| relay.attempt_ended(now, id, outcome));
    }

    /// Reads bytes from both sides; returns whether there were any, or a stream has ended.
    fn read_both(&mut self, tunnel: &mut Tunnel, pass: &ForwardPass) -> ControlFlow<TunnelEnd, bool> {
        let client = if tunnel.to_upstream.can_read() { self.read_client(tunnel) } else { Ok(false) };
        let Ok(from_client) = client else { return self.end_on_client_failure(tunnel, pass.announced) };
        let from_upstream = tunnel.to_client.can_read() && self.read_upstream(tunnel);
        ControlFlow::Continue(from_client || from_upstream)
    }

    /// Reads bytes from the client; returns whether there were any, or the stream has ended.
    fn read_client(&mut self, tunnel: &mut Tunnel) -> io::Result<bool> {
        let read = tunnel.to_upstream.fill(&self.client, &self.shared)?;
        self.protocol.observe_client_bytes(self.shared.clock.now(), tunnel.to_upstream.last_bytes(read));
        Ok(read > 0 || tunnel.to_upstream.eof)
    }

    /// Reads bytes from the endpoint; returns whether there were any, or the stream has ended. When a read
    /// reports a broken connection, all bytes that the endpoint had sent before have been read.
    fn read_upstream(&mut self, tunnel: &mut Tunnel) -> bool {
        let filled = tunnel.to_client.fill(&tunnel.upstream, &self.shared);
        if filled.is_err() {
            tunnel.is_upstream_broken = true;
            tunnel.to_client.eof = true;
        }
        let read = filled.unwrap_or(0);
        let round_trip =
            self.protocol.observe_endpoint_bytes(self.shared.clock.now(), tunnel.to_client.last_bytes(read));
        if let Some(round_trip) = round_trip {
            self.shared.with_core(|relay, _| relay.record_round_trip(tunnel.id, round_trip));
        }
        read > 0 || tunnel.to_client.eof
    }

    /// Asks the client to reconnect if the buffered bytes contain a message boundary, or closes the
    /// connection if the migration's deadline has passed.
    fn finish_migration(
        &mut self,
        tunnel: &Tunnel,
        pass: &ForwardPass,
        migration: Migration,
    ) -> ControlFlow<TunnelEnd> {
        let buffered = tunnel.to_client.len();
        let whole_messages = self
            .protocol
            .bytes_since_boundary()
            .and_then(|partial_bytes| buffered.checked_sub(partial_bytes));
        if whole_messages.is_none() && Instant::now() < migration.deadline {
            return ControlFlow::Continue(());
        }
        self.report_end(tunnel.id, pass.announced.unwrap_or(migration.outcome));
        if let Some(whole_messages) = whole_messages {
            // A message that the endpoint has only begun is left out, since it can't be completed any more.
            self.reply.extend_from_slice(&tunnel.to_client.bytes()[..whole_messages]);
            if pass.announced.is_none() {
                self.protocol.write_migration(&mut self.reply);
            }
        }
        ControlFlow::Break(TunnelEnd::Close)
    }

    /// Waits until a side can be read or written, a command arrives, or a timer expires, and handles that
    /// event.
    async fn wait(
        &mut self,
        tunnel: &mut Tunnel,
        pass: &ForwardPass,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> ControlFlow<TunnelEnd> {
        let awaits_response = tunnel.to_client.len() <= pass.withheld && !pass.is_half_closed;
        let unanswered_since = self.protocol.unanswered_since().filter(|_| awaits_response);
        let next_report = tunnel.response_timer.next_report(unanswered_since);
        let next_report = next_report.map(|at| self.shared.clock.instant_at(at));
        let migration_deadline = tunnel.migration.map(|migration| migration.deadline);
        let wake_at =
            [tunnel.half_closed_deadline, next_report, migration_deadline].into_iter().flatten().min();
        tokio::select! {
            ready = self.client.readable(), if tunnel.to_upstream.can_read() => {
                if ready.and_then(|()| self.read_client(tunnel)).is_err() {
                    return self.end_on_client_failure(tunnel, pass.announced);
                }
            }
            _ = tunnel.upstream.readable(), if tunnel.to_client.can_read() => {
                self.read_upstream(tunnel);
            }
            _ = self.client.writable(), if tunnel.to_client.len() > pass.withheld => {}
            _ = tunnel.upstream.writable(), if tunnel.to_upstream.len() > 0 => {}
            command = commands.recv(), if tunnel.migration.is_none() => {
                return self.handle_command(tunnel, pass, command).await;
            }
            () = sleep_until(wake_at.unwrap_or_else(Instant::now)), if wake_at.is_some() => {
                self.check_response(tunnel, unanswered_since).await;
            }
        }
        ControlFlow::Continue(())
    }

    /// Carries out one command of the core.
    async fn handle_command(
        &mut self,
        tunnel: &mut Tunnel,
        pass: &ForwardPass,
        command: Option<ConnectionCommand>,
    ) -> ControlFlow<TunnelEnd> {
        match command {
            Some(ConnectionCommand::Migrate) if !tunnel.to_client.eof => {
                tunnel.migration = Some(Migration::begin(Outcome::Cancelled));
                // The runtime has to poll the sockets before the next pass can tell which bytes have already
                // arrived.
                yield_now().await;
            }
            // A connection with only one side open is not transferred; this process finishes it.
            Some(ConnectionCommand::Transfer) if !pass.is_half_closed && self.transfer(tunnel) => {
                return ControlFlow::Break(TunnelEnd::Finished);
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    /// Reports a slow response if a report is due, and begins to migrate the client if the endpoint is
    /// silent.
    async fn check_response(&mut self, tunnel: &mut Tunnel, unanswered_since: Option<Millis>) {
        let now = self.shared.clock.now();
        let age = unanswered_since.map(|since| now - since);
        let Some(age) = age.filter(|_| tunnel.response_timer.is_due(now)) else { return };
        self.shared.with_core(|relay, _| relay.record_round_trip(tunnel.id, age));
        if age >= SILENCE_TIMEOUT_MS && tunnel.migration.is_none() {
            debug!(
                "connection {}: the endpoint has not answered in time; asking the client to reconnect",
                tunnel.id.0
            );
            tunnel.migration = Some(Migration::begin(Outcome::Reset));
            yield_now().await;
        }
    }

    /// Queues the connection for transfer to the successor process, with duplicates of its descriptors.
    /// Returns whether that was possible.
    fn transfer(&self, tunnel: &Tunnel) -> bool {
        let connection = self.shared.relay.borrow().transfer_connection(tunnel.id);
        let protocol = self.protocol.export(self.shared.clock.now());
        let Some((connection, protocol)) = connection.zip(protocol) else { return false };
        let Ok(client) = self.client.as_fd().try_clone_to_owned() else { return false };
        let Ok(upstream) = tunnel.upstream.as_fd().try_clone_to_owned() else { return false };
        let message = Message::Connection {
            connection: Box::new(connection),
            protocol: Box::new(protocol),
            pending_to_endpoint: tunnel.to_upstream.bytes().into(),
            pending_to_client: tunnel.to_client.bytes().into(),
        };
        debug!("connection {}: queued for transfer to the successor process", tunnel.id.0);
        let transfer = OutgoingTransfer { message, sockets: [client, upstream] };
        self.shared.transfers.sender.send(transfer).is_ok()
    }
}
