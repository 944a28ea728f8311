//! Forwards an established connection's bytes both ways.
//!
//! Input: both streams, and the core's commands to migrate or transfer the connection. Output: bytes, round
//! trips and the end of the upstream connection to the core. The tunnel ends once both sides have ended;
//! once the client has been asked to reconnect; or once the connection is transferred to the successor
//! process.

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
use super::close::reset;
use super::pipe::Pipe;
use super::response_timer::{ResponseTimer, SILENCE_TIMEOUT_MS};
use crate::handover::Message;
use crate::listener::ClientProtocol;
use crate::net::pool::Pooled;
use crate::net::shared::OutgoingTransfer;
use crate::policy::api::{Millis, Outcome, RequestId};
use crate::relay::ConnectionCommand;

/// How long one side may go on after the other has ended, without taking any of the bytes that are left for
/// it.
const HALF_OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a client that migrates is kept for the end of a message that the endpoint has begun.
const MESSAGE_BOUNDARY_TIMEOUT: Duration = Duration::from_millis(500);

/// An established connection's state while its bytes are forwarded.
struct Tunnel {
    id: RequestId,
    /// The stream to the endpoint.
    upstream: TcpStream,
    to_upstream: Pipe,
    to_client: Pipe,
    response_timer: ResponseTimer,
    /// When a connection of which one side has ended is closed.
    half_open_deadline: Option<Instant>,
    migration: Option<Migration>,
    /// The upstream connection was reset. What the endpoint had sent before is still to be read and
    /// forwarded.
    is_upstream_broken: bool,
    /// The core knows how the upstream connection has ended.
    is_end_reported: bool,
}

/// A client that is to be asked to reconnect at the next boundary between the endpoint's messages.
#[derive(Clone, Copy)]
struct Migration {
    /// How the upstream connection ends by it.
    outcome: Outcome,
    /// When the connection is closed without a boundary.
    deadline: Instant,
}

impl Migration {
    fn begin(outcome: Outcome) -> Self {
        Migration { outcome, deadline: Instant::now() + MESSAGE_BOUNDARY_TIMEOUT }
    }
}

/// How a tunnel ends.
enum TunnelEnd {
    /// Both sides have ended, or the connection is transferred.
    Finished,
    /// The client's connection is broken: so is the endpoint's.
    ResetUpstream,
    /// The endpoint's connection is broken: so is the client's.
    ResetClient,
    /// The client gets its last reply, and both connections are read to their end.
    Close,
}

/// What one pass over both directions has found.
struct ForwardPass {
    /// How the endpoint has announced that it ends the connection.
    announced: Option<Outcome>,
    /// Bytes at the end of what the endpoint has sent that the client does not get yet.
    withheld: usize,
    /// One side has ended.
    is_one_sided: bool,
}

/// How many bytes each direction had at the beginning of a pass.
struct BufferedLengths {
    to_upstream: usize,
    to_client: usize,
}

impl Tunnel {
    fn new(id: RequestId, upstream: TcpStream, input: Pooled, first: Pooled) -> Self {
        Tunnel {
            id,
            upstream,
            to_upstream: Pipe::with(input),
            to_client: Pipe::with(first),
            response_timer: ResponseTimer::default(),
            half_open_deadline: None,
            migration: None,
            is_upstream_broken: false,
            is_end_reported: false,
        }
    }

    fn lengths(&self) -> BufferedLengths {
        BufferedLengths { to_upstream: self.to_upstream.len(), to_client: self.to_client.len() }
    }

    fn is_half_open_timed_out(&self) -> bool {
        self.half_open_deadline.is_some_and(|deadline| Instant::now() >= deadline)
    }

    /// Passes an end on that is due in order; whether one was.
    fn shut_drained_sides(&mut self, client: &TcpStream) -> bool {
        let is_in_order = self.migration.is_none() && !self.is_upstream_broken;
        is_in_order
            && (self.to_upstream.shut_if_drained(&self.upstream) | self.to_client.shut_if_drained(client))
    }

    /// Whether nothing is left to be forwarded to either side.
    fn is_exhausted(&self, withheld: usize) -> bool {
        let client_gone = self.to_client.is_shut && self.to_upstream.is_discarding;
        let is_drained = self.to_client.eof && self.to_client.len() <= withheld;
        client_gone || self.is_upstream_broken && is_drained && self.migration.is_none()
    }

    /// Starts the time that one side may go on for after the other's end, and starts it anew whenever the
    /// side that is left takes some of its bytes.
    fn update_half_open_deadline(&mut self, before: &BufferedLengths, has_shut: bool, is_one_sided: bool) {
        let upstream_takes = self.to_upstream.eof && self.to_upstream.len() < before.to_upstream;
        let upstream_ended = self.to_client.eof || self.is_upstream_broken;
        let client_takes = upstream_ended && self.to_client.len() < before.to_client;
        let is_progress = has_shut || upstream_takes || client_takes;
        if is_progress || is_one_sided && self.half_open_deadline.is_none() {
            self.half_open_deadline = Some(Instant::now() + HALF_OPEN_TIMEOUT);
        }
    }
}

impl<F: ClientProtocol> ClientConnection<F> {
    /// Forwards everything, both ways, until the connection has ended. `first` is what the endpoint has
    /// sent already.
    pub(super) async fn run_tunnel(
        &mut self,
        id: RequestId,
        upstream: TcpStream,
        first: Pooled,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> io::Result<()> {
        let input = std::mem::replace(&mut self.input, self.shared.pool.get());
        let mut tunnel = Tunnel::new(id, upstream, input, first);
        let end = loop {
            if let ControlFlow::Break(end) = self.step(&mut tunnel, commands).await {
                break end;
            }
        };
        match end {
            TunnelEnd::Finished => Ok(()),
            TunnelEnd::ResetUpstream => reset(&tunnel.upstream),
            TunnelEnd::ResetClient => reset(&self.client),
            TunnelEnd::Close => self.close_with_upstream(tunnel.upstream).await,
        }
    }

    /// Forwards what there is, and waits for more.
    async fn step(
        &mut self,
        tunnel: &mut Tunnel,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> ControlFlow<TunnelEnd> {
        let pass = self.forward(tunnel)?;
        if let Some(migration) = tunnel.migration {
            // What has arrived by now goes first.
            if Instant::now() < migration.deadline && self.read_both(tunnel, &pass)? {
                yield_now().await;
                return ControlFlow::Continue(());
            }
            self.finish_migration(tunnel, &pass, migration)?;
        }
        self.wait(tunnel, &pass, commands).await
    }

    /// Writes to both sides what they take now, and passes their ends on.
    fn forward(&mut self, tunnel: &mut Tunnel) -> ControlFlow<TunnelEnd, ForwardPass> {
        let before = tunnel.lengths();
        if tunnel.to_upstream.flush(&tunnel.upstream, 0).is_err() {
            tunnel.to_upstream.discard();
            tunnel.is_upstream_broken |= !tunnel.to_client.eof;
        }
        let announced = self.protocol.announced_outcome();
        if tunnel.to_client.eof && !tunnel.is_end_reported {
            // Reported at once, however long the client takes to end its side.
            tunnel.is_end_reported = true;
            self.report_end(tunnel.id, self.upstream_outcome(tunnel, announced));
        }
        // What the endpoint has announced itself goes before the relay's request to reconnect.
        tunnel.migration = tunnel.migration.filter(|_| !tunnel.to_client.eof || announced.is_none());
        let withheld = self.withheld_bytes(tunnel);
        if tunnel.to_client.flush(&self.client, withheld).is_err() {
            return self.end_by_client(tunnel, announced);
        }
        let has_shut = tunnel.shut_drained_sides(&self.client);
        if tunnel.to_upstream.is_shut && tunnel.to_client.is_shut {
            return ControlFlow::Break(TunnelEnd::Finished);
        }
        if tunnel.is_exhausted(withheld) || tunnel.is_half_open_timed_out() {
            // The client's side ends the way that the endpoint's was announced to end, or did.
            let is_reset = tunnel.is_upstream_broken && announced.is_none();
            return ControlFlow::Break(if is_reset { TunnelEnd::ResetClient } else { TunnelEnd::Close });
        }
        let is_one_sided = tunnel.to_upstream.eof || tunnel.to_client.eof || tunnel.is_upstream_broken;
        tunnel.update_half_open_deadline(&before, has_shut, is_one_sided);
        ControlFlow::Continue(ForwardPass { announced, withheld, is_one_sided })
    }

    /// How an upstream connection has ended whose end was read.
    fn upstream_outcome(&self, tunnel: &Tunnel, announced: Option<Outcome>) -> Outcome {
        match announced {
            Some(outcome) => outcome,
            None if tunnel.is_upstream_broken => Outcome::Reset,
            None if tunnel.to_upstream.eof => Outcome::Cancelled,
            None => self.protocol.outcome_at_end(),
        }
    }

    /// How many bytes at the end of what the endpoint has sent the client does not get yet. While the client
    /// migrates, a boundary between messages is not passed once there is one.
    fn withheld_bytes(&self, tunnel: &Tunnel) -> usize {
        let is_migrating = tunnel.migration.is_some();
        let partial = self.protocol.bytes_since_boundary();
        match partial.filter(|partial| is_migrating && *partial <= tunnel.to_client.len()) {
            Some(partial) => partial,
            None if tunnel.to_client.eof && !tunnel.is_upstream_broken && !is_migrating => 0,
            None => self.protocol.incomplete_tail(),
        }
    }

    /// Ends a tunnel whose client's connection is broken.
    fn end_by_client<T>(&self, tunnel: &Tunnel, announced: Option<Outcome>) -> ControlFlow<TunnelEnd, T> {
        self.report_end(tunnel.id, announced.unwrap_or(Outcome::Cancelled));
        ControlFlow::Break(TunnelEnd::ResetUpstream)
    }

    fn report_end(&self, id: RequestId, outcome: Outcome) {
        debug!("connection {}: established connection ended: {outcome:?}", id.0);
        self.shared.core(|relay, now| relay.attempt_ended(now, id, outcome));
    }

    /// Reads what both sides have sent; whether there was anything.
    fn read_both(&mut self, tunnel: &mut Tunnel, pass: &ForwardPass) -> ControlFlow<TunnelEnd, bool> {
        let client = if tunnel.to_upstream.can_read() { self.read_client(tunnel) } else { Ok(false) };
        let Ok(from_client) = client else { return self.end_by_client(tunnel, pass.announced) };
        let from_upstream = tunnel.to_client.can_read() && self.read_upstream(tunnel);
        ControlFlow::Continue(from_client || from_upstream)
    }

    /// Reads what the client has sent; whether there was anything.
    fn read_client(&mut self, tunnel: &mut Tunnel) -> io::Result<bool> {
        let read = tunnel.to_upstream.fill(&self.client, &self.shared)?;
        self.protocol.observe_client_bytes(self.shared.clock.now(), tunnel.to_upstream.last(read));
        Ok(read > 0 || tunnel.to_upstream.eof)
    }

    /// Reads what the endpoint has sent; whether there was anything. Where the endpoint has broken the
    /// connection, all that it had sent before was read by then.
    fn read_upstream(&mut self, tunnel: &mut Tunnel) -> bool {
        let filled = tunnel.to_client.fill(&tunnel.upstream, &self.shared);
        if filled.is_err() {
            tunnel.is_upstream_broken = true;
            tunnel.to_client.eof = true;
        }
        let read = filled.unwrap_or(0);
        let round_trip =
            self.protocol.observe_endpoint_bytes(self.shared.clock.now(), tunnel.to_client.last(read));
        if let Some(round_trip) = round_trip {
            self.shared.core(|relay, _| relay.record_round_trip(tunnel.id, round_trip));
        }
        read > 0 || tunnel.to_client.eof
    }

    /// Asks the client to reconnect if the endpoint's messages are at a boundary, or closes if it is time.
    fn finish_migration(
        &mut self,
        tunnel: &Tunnel,
        pass: &ForwardPass,
        migration: Migration,
    ) -> ControlFlow<TunnelEnd> {
        let buffered = tunnel.to_client.len();
        let whole_messages =
            self.protocol.bytes_since_boundary().and_then(|partial| buffered.checked_sub(partial));
        if whole_messages.is_none() && Instant::now() < migration.deadline {
            return ControlFlow::Continue(());
        }
        self.report_end(tunnel.id, pass.announced.unwrap_or(migration.outcome));
        if let Some(whole_messages) = whole_messages {
            // A message that the endpoint has begun is left out: it can't be completed any more.
            self.reply.extend_from_slice(&tunnel.to_client.bytes()[..whole_messages]);
            if pass.announced.is_none() {
                self.protocol.write_migration(&mut self.reply);
            }
        }
        ControlFlow::Break(TunnelEnd::Close)
    }

    /// Waits until a side can be read or written, a command comes, or a time has passed.
    async fn wait(
        &mut self,
        tunnel: &mut Tunnel,
        pass: &ForwardPass,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> ControlFlow<TunnelEnd> {
        let awaits_response = tunnel.to_client.len() <= pass.withheld && !pass.is_one_sided;
        let unanswered_since = self.protocol.unanswered_since().filter(|_| awaits_response);
        let next_report = tunnel.response_timer.next_report(unanswered_since);
        let next_report = next_report.map(|at| self.shared.clock.at(at));
        let migration_deadline = tunnel.migration.map(|migration| migration.deadline);
        let wake = [tunnel.half_open_deadline, next_report, migration_deadline].into_iter().flatten().min();
        tokio::select! {
            ready = self.client.readable(), if tunnel.to_upstream.can_read() => {
                if ready.and_then(|()| self.read_client(tunnel)).is_err() {
                    return self.end_by_client(tunnel, pass.announced);
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
            () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {
                self.check_response(tunnel, unanswered_since).await;
            }
        }
        ControlFlow::Continue(())
    }

    /// Carries out the core's command.
    async fn handle_command(
        &mut self,
        tunnel: &mut Tunnel,
        pass: &ForwardPass,
        command: Option<ConnectionCommand>,
    ) -> ControlFlow<TunnelEnd> {
        match command {
            Some(ConnectionCommand::Migrate) if !tunnel.to_client.eof => {
                tunnel.migration = Some(Migration::begin(Outcome::Cancelled));
                // The driver has to poll before it is known what has arrived.
                yield_now().await;
            }
            // A connection of which one side has ended is finished by this process.
            Some(ConnectionCommand::Transfer) if !pass.is_one_sided && self.transfer(tunnel) => {
                return ControlFlow::Break(TunnelEnd::Finished);
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    /// Reports a slow response if a report is due, and begins to migrate the client of a silent endpoint.
    async fn check_response(&mut self, tunnel: &mut Tunnel, unanswered_since: Option<Millis>) {
        let now = self.shared.clock.now();
        let age = unanswered_since.map(|since| now - since);
        let Some(age) = age.filter(|_| tunnel.response_timer.is_due(now)) else { return };
        self.shared.core(|relay, _| relay.record_round_trip(tunnel.id, age));
        if age >= SILENCE_TIMEOUT_MS && tunnel.migration.is_none() {
            debug!("connection {}: the endpoint is silent", tunnel.id.0);
            tunnel.migration = Some(Migration::begin(Outcome::Reset));
            yield_now().await;
        }
    }

    /// Sends the connection to the successor process, with duplicates of its descriptors; whether that was
    /// possible.
    fn transfer(&self, tunnel: &Tunnel) -> bool {
        let connection = self.shared.relay.borrow().transfer_connection(tunnel.id);
        let protocol = self.protocol.export(self.shared.clock.now());
        let Some((connection, protocol)) = connection.zip(protocol) else { return false };
        let Ok(client) = self.client.as_fd().try_clone_to_owned() else { return false };
        let Ok(upstream) = tunnel.upstream.as_fd().try_clone_to_owned() else { return false };
        let message = Message::Connection {
            connection: Box::new(connection),
            protocol: Box::new(protocol),
            up: tunnel.to_upstream.bytes().into(),
            down: tunnel.to_client.bytes().into(),
        };
        debug!("connection {}: transferred", tunnel.id.0);
        let transfer = OutgoingTransfer { message, sockets: [client, upstream] };
        self.shared.transfers.sender.send(transfer).is_ok()
    }
}
