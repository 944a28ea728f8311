//! Carries out the attempts that the core starts for a request, one at a time.
//!
//! Input: the core's [`ConnectionCommand`]s. Output: an established upstream connection, a local reply for
//! the client, or a report that the client has disconnected. Each attempt's outcome is reported to the core,
//! which decides whether another attempt follows.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use log::debug;
use rustix::io::ioctl_fionread;
use socket2::SockRef;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::{ClientConnection, read_more};
use crate::listener::{AttemptAnswer, ClientProtocol, EarlyData};
use crate::net::pool::PooledBuffer;
use crate::net::{Shared, duration_from_millis, is_local_shortage};
use crate::policy::api::{Millis, Outcome, RequestId};
use crate::relay::{Attempt, ConnectionCommand, LocalReply};

/// How often the relay checks whether a client has disconnected while the client's buffer is full. With a
/// full buffer the relay cannot read on to the end of the stream.
const CLIENT_END_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How many bytes a client may have sent beyond the relay's buffer before its request is answered, unless its
/// protocol sets no limit. They fit the receive window that the system gives a connection, so that the end of
/// the connection arrives behind them.
const MAX_UNREAD_EARLY_BYTES: u64 = 16 * 1024;

/// The result of a request's attempts.
pub(super) enum Placement {
    /// An endpoint has accepted the request: the stream to the endpoint, and the first bytes that the
    /// endpoint has sent for the client.
    Established { upstream: TcpStream, first_bytes: PooledBuffer },
    /// No endpoint has accepted the request; the client gets this local reply.
    Answered(LocalReply),
    /// The client has closed the connection or its sending side, or has sent bytes before its protocol allows
    /// it.
    ClientDisconnected,
}

/// A transport connection to an attempt's endpoint, before the request is sent.
struct ConnectedUpstream {
    address: SocketAddr,
    stream: TcpStream,
}

/// A stream to an endpoint that has accepted the request, with the endpoint's first bytes for the client.
struct AcceptedUpstream {
    stream: TcpStream,
    first_bytes: PooledBuffer,
}

/// The result of one step of an attempt, or the reason why the step was abandoned.
enum StepResult<T> {
    Done(T),
    ClientDisconnected,
    Answered(LocalReply),
    DeadlinePassed,
}

impl<F: ClientProtocol> ClientConnection<F> {
    /// Carries out attempts until one succeeds, the core gives a local reply, or the client disconnects.
    pub(super) async fn run_attempts(
        &mut self,
        id: RequestId,
        deadline: Millis,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> io::Result<Placement> {
        let shared = self.shared.clone();
        let limit = shared.clock.instant_at(deadline);
        let early_data = self.protocol.early_data();
        loop {
            // When several events are ready at once, the client's disconnection is handled first, since no
            // attempt may begin after it.
            let command = tokio::select! {
                biased;
                () = wait_for_disconnect(&self.client, &mut self.input, early_data) =>
                    return Ok(Placement::ClientDisconnected),
                command = commands.recv() => command,
                () = sleep_until(limit) => {
                    shared.with_core(|relay, now| relay.deadline_passed(now, id));
                    commands.recv().await
                }
            };
            let attempt = match command {
                Some(ConnectionCommand::StartAttempt(attempt)) => attempt,
                Some(ConnectionCommand::Reply(response)) => return Ok(Placement::Answered(response)),
                Some(ConnectionCommand::Migrate | ConnectionCommand::Transfer) => continue,
                None => return Ok(Placement::ClientDisconnected),
            };
            let started = shared.clock.now();
            match self.run_attempt(&attempt, early_data, limit, commands).await {
                StepResult::ClientDisconnected => return Ok(Placement::ClientDisconnected),
                StepResult::Answered(response) => return Ok(Placement::Answered(response)),
                // The core answers the report with a reply command, which the next turn of the loop receives.
                StepResult::DeadlinePassed => shared.with_core(|relay, now| relay.deadline_passed(now, id)),
                StepResult::Done(Ok(AcceptedUpstream { stream, first_bytes })) => {
                    let endpoint = &attempt.endpoint.0;
                    let elapsed = shared.clock.now() - started;
                    debug!("connection {}: established with endpoint {endpoint} after {elapsed:.0} ms", id.0);
                    shared.with_core(|relay, now| relay.connection_established(now, id, now - started));
                    return Ok(Placement::Established { upstream: stream, first_bytes });
                }
                StepResult::Done(Err(outcome)) => {
                    debug!(
                        "connection {}: attempt at endpoint {} failed: {outcome:?}",
                        id.0, attempt.endpoint.0
                    );
                    shared.with_core(|relay, now| relay.attempt_ended(now, id, outcome));
                }
            }
        }
    }

    /// Carries out one attempt: connects to the endpoint, checks that the attempt may still begin, sends the
    /// request and reads the answer.
    async fn run_attempt(
        &mut self,
        attempt: &Attempt,
        early_data: EarlyData,
        limit: Instant,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> StepResult<Result<AcceptedUpstream, Outcome>> {
        let shared = self.shared.clone();
        let input = &mut self.input;
        let mut waiting = WaitingClient { client: &self.client, input, early_data, commands, limit };
        let connected = match waiting.run(connect(&shared, attempt)).await {
            StepResult::Done(Ok(_)) if waiting.has_disconnected() => return StepResult::ClientDisconnected,
            StepResult::Done(Ok(connected)) => connected,
            StepResult::Done(Err(outcome)) => return StepResult::Done(Err(outcome)),
            StepResult::ClientDisconnected => return StepResult::ClientDisconnected,
            StepResult::Answered(response) => return StepResult::Answered(response),
            StepResult::DeadlinePassed => return StepResult::DeadlinePassed,
        };
        if let Err(outcome) = check_may_begin(&shared, attempt, connected.address) {
            return StepResult::Done(Err(outcome));
        }
        waiting.run(exchange_request(&shared, &mut self.protocol, connected.stream, attempt.give_up_at)).await
    }
}

/// A client that waits for its reply while a step of an attempt is carried out.
struct WaitingClient<'a> {
    client: &'a TcpStream,
    input: &'a mut PooledBuffer,
    early_data: EarlyData,
    commands: &'a mut UnboundedReceiver<ConnectionCommand>,
    /// The request's deadline, as an instant of the runtime.
    limit: Instant,
}

impl WaitingClient<'_> {
    /// Carries out a step of an attempt. Abandons the step when the client disconnects, the core answers the
    /// client, or the request's deadline passes.
    async fn run<T>(&mut self, step: impl Future<Output = T>) -> StepResult<T> {
        let mut step = pin!(step);
        loop {
            tokio::select! {
                biased;
                () = wait_for_disconnect(self.client, self.input, self.early_data) =>
                    return StepResult::ClientDisconnected,
                command = self.commands.recv() => match command {
                    Some(ConnectionCommand::Reply(response)) => return StepResult::Answered(response),
                    None => return StepResult::ClientDisconnected,
                    // The other commands do not apply while an attempt is in progress.
                    Some(_) => {}
                },
                done = &mut step => return StepResult::Done(done),
                () = sleep_until(self.limit) => return StepResult::DeadlinePassed,
            }
        }
    }

    /// Whether the client has disconnected by now; see [`has_client_disconnected`].
    fn has_disconnected(&mut self) -> bool {
        has_client_disconnected(self.client, self.input, self.early_data)
    }
}

/// Waits until a client whose request is not answered yet disconnects, or sends more than its protocol accepts
/// before the answer. Early data that the protocol accepts is kept in the buffer.
async fn wait_for_disconnect(client: &TcpStream, input: &mut PooledBuffer, early_data: EarlyData) {
    loop {
        if input.spare_capacity() > 0 {
            if !matches!(read_more(client, input).await, Ok(read) if read > 0 && early_data != EarlyData::Refused)
            {
                return;
            }
        } else if has_excess_early_data(client, early_data) {
            return;
        } else if client.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            sleep(CLIENT_END_CHECK_INTERVAL).await;
        } else {
            return;
        }
    }
}

/// Whether the condition that [`wait_for_disconnect`] waits for holds now. The socket is read by a system
/// call, since the poller may not have reported the client's disconnection yet.
pub(super) fn has_client_disconnected(
    client: &TcpStream,
    input: &mut PooledBuffer,
    early_data: EarlyData,
) -> bool {
    while input.spare_capacity() > 0 {
        match input.fill_unpolled(client) {
            Ok(None) => return false,
            Ok(Some(read)) if read > 0 && early_data != EarlyData::Refused => {}
            Ok(_) | Err(_) => return true,
        }
    }
    has_excess_early_data(client, early_data)
}

/// Whether a client whose bytes have filled the buffer has sent so many more that the end of its connection
/// may not arrive.
fn has_excess_early_data(client: &TcpStream, early_data: EarlyData) -> bool {
    early_data == EarlyData::Limited
        && ioctl_fionread(client).is_ok_and(|unread| unread > MAX_UNREAD_EARLY_BYTES)
}

/// Connects to an attempt's endpoint at the address that the endpoint list gives for it now.
async fn connect(shared: &Rc<Shared>, attempt: &Attempt) -> Result<ConnectedUpstream, Outcome> {
    let address = shared.endpoint_list.borrow().address(&attempt.endpoint).ok_or(Outcome::NotSent)?;
    let now = shared.clock.now();
    let remaining = duration_from_millis(attempt.give_up_at - now);
    let begin_within = duration_from_millis(attempt.write_by - now);
    let limit = duration_from_millis(shared.config.borrow().settings.connect_timeout).min(remaining);
    match timeout(limit.min(begin_within), TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(ConnectedUpstream { address, stream }),
        Ok(Err(e)) if is_local_shortage(&e) => Err(Outcome::NotSent),
        // The attempt's time to begin passed before the connect timeout, which shows no failure of the
        // endpoint.
        Err(_) if begin_within < limit => Err(Outcome::NotSent),
        Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
    }
}

/// Checks whether an attempt whose transport is connected may still send its request: the endpoint list or
/// the endpoint's state may have changed since the core decided. Nothing may be awaited between this check
/// and the write of the first byte.
fn check_may_begin(shared: &Shared, attempt: &Attempt, address: SocketAddr) -> Result<(), Outcome> {
    let now = shared.clock.now();
    let in_time = now < attempt.give_up_at.min(attempt.write_by);
    let same_address = shared.endpoint_list.borrow().address(&attempt.endpoint) == Some(address);
    // An endpoint that has begun to drain since the decision takes no new connections. An endpoint that was
    // already draining at the decision was chosen because it gets back a connection that it had.
    let began_draining = attempt.was_ready && !shared.relay.borrow().is_ready(&attempt.endpoint);
    if in_time && same_address && !began_draining { Ok(()) } else { Err(Outcome::NotSent) }
}

/// Sends the request to a connected endpoint and reads its answer, until `give_up_at` in Unix milliseconds.
/// Dropping the future cancels the attempt.
async fn exchange_request<F: ClientProtocol>(
    shared: &Rc<Shared>,
    protocol: &mut F,
    mut upstream: TcpStream,
    give_up_at: Millis,
) -> Result<AcceptedUpstream, Outcome> {
    let _ = upstream.set_nodelay(true);
    if let Some(silence) = protocol.unacknowledged_timeout() {
        // If the option can't be set, the relay only notices later that an endpoint has vanished.
        let _ = SockRef::from(&upstream).set_tcp_user_timeout(Some(silence));
    }
    let mut input = shared.pool.get();
    let mut output = shared.pool.get();
    protocol.begin_attempt(give_up_at - shared.clock.now(), &mut output);
    let mut is_sent = false;
    let exchange = async {
        loop {
            // The endpoint can't have acted on the request before the request's last byte is written.
            let outcome_if_broken = |is_sent| if is_sent { Outcome::Reset } else { Outcome::ConnectFailed };
            upstream.write_all_buf(&mut *output).await.map_err(|_| outcome_if_broken(is_sent))?;
            is_sent |= protocol.request_complete();
            let silence_timeout = protocol.established_when_silent().unwrap_or(Duration::MAX);
            match timeout(silence_timeout, read_more(&upstream, &mut input)).await {
                Ok(Ok(read)) if read > 0 => {}
                Ok(_) => return Err(outcome_if_broken(is_sent)),
                Err(_) => return Ok(()),
            }
            match protocol.read_answer(&mut input, &mut output) {
                AttemptAnswer::Incomplete if input.spare_capacity() == 0 => return Err(Outcome::Error),
                AttemptAnswer::Incomplete => {}
                AttemptAnswer::Established => return Ok(()),
                AttemptAnswer::Ended(outcome) => return Err(outcome),
            }
        }
    };
    timeout_at(shared.clock.instant_at(give_up_at), exchange).await.unwrap_or(Err(Outcome::TimedOut))?;
    Ok(AcceptedUpstream { stream: upstream, first_bytes: input })
}
