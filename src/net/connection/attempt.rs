//! Carries out the attempts that the core starts for a request, one at a time.
//!
//! Input: [`ConnectionCommand`]s. Output: an established upstream connection, a reply for the client, or
//! the client's end; and each attempt's outcome to the core. Whether another attempt follows is the core's
//! decision.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use log::debug;
use socket2::SockRef;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::{ClientConnection, read_more};
use crate::listener::{AttemptAnswer, ClientProtocol};
use crate::net::pool::Pooled;
use crate::net::{Shared, local_shortage, span};
use crate::policy::api::{Millis, Outcome, RequestId};
use crate::relay::{Attempt, ConnectionCommand, LocalReply};

/// How often a client is checked for its end while its full buffer keeps the end from being read.
const CLIENT_END_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// What has become of a request.
pub(super) enum Placement {
    /// An endpoint has taken it: the stream to it, and its first bytes for the client.
    Established { upstream: TcpStream, first: Pooled },
    /// No endpoint takes it.
    Answered(LocalReply),
    /// The client has ended the connection, or its sending, or has sent before it may.
    ClientGone,
}

/// An endpoint that an attempt has connected to.
struct ConnectedUpstream {
    address: SocketAddr,
    stream: TcpStream,
}

/// An endpoint that has accepted the request, with its first bytes for the client.
struct AcceptedUpstream {
    stream: TcpStream,
    first: Pooled,
}

/// How a step of an attempt has ended while the client waits for its reply.
enum StepEnd<T> {
    Done(T),
    ClientGone,
    Answered(LocalReply),
    DeadlinePassed,
}

impl<F: ClientProtocol> ClientConnection<F> {
    /// Carries out attempts until one succeeds, or a reply is given, or the client has gone.
    pub(super) async fn run_attempts(
        &mut self,
        id: RequestId,
        deadline: Millis,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> io::Result<Placement> {
        let shared = self.shared.clone();
        let limit = shared.clock.at(deadline);
        let speaks_early = self.protocol.accepts_early_data();
        loop {
            // Of several events at once the client's end counts first: no attempt may begin after it.
            let command = tokio::select! {
                biased;
                () = client_gone(&self.client, &mut self.input, speaks_early) => return Ok(Placement::ClientGone),
                command = commands.recv() => command,
                () = sleep_until(limit) => {
                    shared.core(|relay, now| relay.deadline_passed(now, id));
                    commands.recv().await
                }
            };
            let attempt = match command {
                Some(ConnectionCommand::StartAttempt(attempt)) => attempt,
                Some(ConnectionCommand::Reply(response)) => return Ok(Placement::Answered(response)),
                Some(ConnectionCommand::Migrate | ConnectionCommand::Transfer) => continue,
                None => return Ok(Placement::ClientGone),
            };
            let started = shared.clock.now();
            match self.run_attempt(&attempt, speaks_early, limit, commands).await {
                StepEnd::ClientGone => return Ok(Placement::ClientGone),
                StepEnd::Answered(response) => return Ok(Placement::Answered(response)),
                // The core replies to a request whose deadline has passed.
                StepEnd::DeadlinePassed => shared.core(|relay, now| relay.deadline_passed(now, id)),
                StepEnd::Done(Ok(AcceptedUpstream { stream, first })) => {
                    let endpoint = &attempt.endpoint.0;
                    let elapsed = shared.clock.now() - started;
                    debug!("connection {}: established with {endpoint} after {elapsed:.0} ms", id.0);
                    shared.core(|relay, now| relay.connection_established(now, id, now - started));
                    return Ok(Placement::Established { upstream: stream, first });
                }
                StepEnd::Done(Err(outcome)) => {
                    debug!("connection {}: attempt at {} ended: {outcome:?}", id.0, attempt.endpoint.0);
                    shared.core(|relay, now| relay.attempt_ended(now, id, outcome));
                }
            }
        }
    }

    /// Carries out one attempt: connects, checks that it may still begin, and exchanges the request.
    async fn run_attempt(
        &mut self,
        attempt: &Attempt,
        speaks_early: bool,
        limit: Instant,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> StepEnd<Result<AcceptedUpstream, Outcome>> {
        let shared = self.shared.clone();
        let input = &mut self.input;
        let mut waiting = WaitingClient { client: &self.client, input, speaks_early, commands, limit };
        let connected = match waiting.run(connect(&shared, attempt)).await {
            StepEnd::Done(Ok(_)) if waiting.has_gone() => return StepEnd::ClientGone,
            StepEnd::Done(Ok(connected)) => connected,
            StepEnd::Done(Err(outcome)) => return StepEnd::Done(Err(outcome)),
            StepEnd::ClientGone => return StepEnd::ClientGone,
            StepEnd::Answered(response) => return StepEnd::Answered(response),
            StepEnd::DeadlinePassed => return StepEnd::DeadlinePassed,
        };
        if let Err(outcome) = may_begin(&shared, attempt, connected.address) {
            return StepEnd::Done(Err(outcome));
        }
        waiting.run(exchange(&shared, &mut self.protocol, connected.stream, attempt.until)).await
    }
}

/// A client that waits for its reply while a step of an attempt is carried out.
struct WaitingClient<'a> {
    client: &'a TcpStream,
    input: &'a mut Pooled,
    speaks_early: bool,
    commands: &'a mut UnboundedReceiver<ConnectionCommand>,
    /// The request's deadline.
    limit: Instant,
}

impl WaitingClient<'_> {
    /// Carries out a step while the client is there, has not been answered and its deadline has not passed.
    async fn run<T>(&mut self, step: impl Future<Output = T>) -> StepEnd<T> {
        let mut step = pin!(step);
        loop {
            tokio::select! {
                biased;
                () = client_gone(self.client, self.input, self.speaks_early) => return StepEnd::ClientGone,
                command = self.commands.recv() => match command {
                    Some(ConnectionCommand::Reply(response)) => return StepEnd::Answered(response),
                    None => return StepEnd::ClientGone,
                    // No other command concerns a connection whose attempt is in progress.
                    Some(_) => {}
                },
                done = &mut step => return StepEnd::Done(done),
                () = sleep_until(self.limit) => return StepEnd::DeadlinePassed,
            }
        }
    }

    /// Whether the client has gone by now.
    fn has_gone(&mut self) -> bool {
        has_client_gone(self.client, self.input, self.speaks_early)
    }
}

/// Waits until a client that waits for its reply ends the connection, or sends before it may. What it may
/// send early is kept in the buffer.
async fn client_gone(client: &TcpStream, input: &mut Pooled, speaks_early: bool) {
    loop {
        if input.spare_capacity() > 0 {
            if !matches!(read_more(client, input).await, Ok(read) if read > 0 && speaks_early) {
                return;
            }
        } else if client.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            sleep(CLIENT_END_CHECK_INTERVAL).await;
        } else {
            return;
        }
    }
}

/// Whether [`client_gone`] holds now, by a system call: the poller may not have reported the client's end
/// yet.
pub(super) fn has_client_gone(client: &TcpStream, input: &mut Pooled, speaks_early: bool) -> bool {
    while input.spare_capacity() > 0 {
        match input.fill_unpolled(client) {
            Ok(None) => return false,
            Ok(Some(read)) if read > 0 && speaks_early => {}
            Ok(_) | Err(_) => return true,
        }
    }
    false
}

/// Connects to an attempt's endpoint at its present address.
async fn connect(shared: &Rc<Shared>, attempt: &Attempt) -> Result<ConnectedUpstream, Outcome> {
    let address = shared.endpoint_list.borrow().address(&attempt.endpoint).ok_or(Outcome::NotSent)?;
    let now = shared.clock.now();
    let remaining = span(attempt.until - now);
    let begin_within = span(attempt.begin_by - now);
    let limit = span(shared.config.borrow().settings.connect_timeout).min(remaining);
    match timeout(limit.min(begin_within), TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(ConnectedUpstream { address, stream }),
        Ok(Err(e)) if local_shortage(&e) => Err(Outcome::NotSent),
        // The time to begin has passed before the connect timeout: that says nothing of the endpoint.
        Err(_) if begin_within < limit => Err(Outcome::NotSent),
        Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
    }
}

/// Whether an attempt may still begin, now that it is connected: the list or the endpoint's state may have
/// changed since the core decided. Nothing is awaited between this check and the first byte that is
/// written.
fn may_begin(shared: &Shared, attempt: &Attempt, address: SocketAddr) -> Result<(), Outcome> {
    let now = shared.clock.now();
    let in_time = now < attempt.until.min(attempt.begin_by);
    let same_address = shared.endpoint_list.borrow().address(&attempt.endpoint) == Some(address);
    // An endpoint that has begun to drain since takes nothing new. One that was draining already gets back
    // the connections that it had.
    let began_draining = attempt.was_ready && !shared.relay.borrow().is_ready(&attempt.endpoint);
    if in_time && same_address && !began_draining { Ok(()) } else { Err(Outcome::NotSent) }
}

/// Sends the request to a connected endpoint and reads its answer, until `until` in Unix milliseconds.
/// Dropped, it gives the attempt up.
async fn exchange<F: ClientProtocol>(
    shared: &Rc<Shared>,
    protocol: &mut F,
    mut upstream: TcpStream,
    until: Millis,
) -> Result<AcceptedUpstream, Outcome> {
    let _ = upstream.set_nodelay(true);
    if let Some(silence) = protocol.unacknowledged_timeout() {
        // Where it can't be set, a vanished endpoint is noticed later.
        let _ = SockRef::from(&upstream).set_tcp_user_timeout(Some(silence));
    }
    let mut input = shared.pool.get();
    let mut output = shared.pool.get();
    protocol.begin_attempt(until - shared.clock.now(), &mut output);
    let mut is_sent = false;
    let exchanged = async {
        loop {
            // Before its last byte is written the endpoint can't have acted on the request.
            let broken = |is_sent| if is_sent { Outcome::Reset } else { Outcome::ConnectFailed };
            upstream.write_all_buf(&mut *output).await.map_err(|_| broken(is_sent))?;
            is_sent |= protocol.request_complete();
            let quiet = protocol.established_when_silent().unwrap_or(Duration::MAX);
            match timeout(quiet, read_more(&upstream, &mut input)).await {
                Ok(Ok(read)) if read > 0 => {}
                Ok(_) => return Err(broken(is_sent)),
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
    timeout_at(shared.clock.at(until), exchanged).await.unwrap_or(Err(Outcome::TimedOut))?;
    Ok(AcceptedUpstream { stream: upstream, first: input })
}
