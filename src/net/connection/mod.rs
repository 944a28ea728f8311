//! Drives one client's connection and its endpoint's: through placing, forwards and standing.

use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use log::{Level, debug, log_enabled};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::accept::Seat;
use super::pool::Pooled;
use super::{Shared, local_shortage, span};
use crate::handover::Message;
use crate::listener::{AttemptAnswer, ClientProtocol, ReadProgress};
use crate::policy::api::RequestId;
use crate::policy::api::{Key, Millis, Outcome};
use crate::relay::TransferredConnection;
use crate::relay::{Attempt, ConnectionCommand, IncomingRequest, LocalReply};

/// How long a last word may take to reach a client, and the client to close after it.
const LINGER: Duration = Duration::from_millis(500);
/// Most that a client may go on sending after its last word before it is cut off, which is all the same to one
/// that sends at full speed what nobody reads.
const LINGER_BYTES: usize = 64 * 1024;
/// Most that is read of an endpoint that was left.
const LEFT_BYTES: usize = 1024 * 1024;
/// Most that is read at once of a connection that has to make room.
const UNREAD: usize = 4096;
/// How long one side may go on after the other has ended, or take nothing of what the other has left it.
const HALF_OPEN: Duration = Duration::from_secs(3);
/// An endpoint that has left a message unanswered for so long is silent: it has vanished, and its client is
/// told to move. The rules want that within 7 s of the silence, and clients speak only every 2 s.
const SILENCE: Millis = 4500.0;
/// How often a message without an answer counts as slow.
const SLOW_STEP: Millis = 1000.0;
/// How often it is looked whether a client has left whose bytes there is no more room for: what it has sent stands
/// before its end.
const LOOK: Duration = Duration::from_millis(40);
/// How long a client that is told to move is kept for the end of a message that the endpoint has begun.
const BOUNDARY: Duration = Duration::from_millis(500);

/// Serves a client until its connection has ended, or has to make room for another.
pub async fn serve<F: ClientProtocol>(shared: Rc<Shared>, client: TcpStream, protocol: F, seat: Seat) {
    let accepted = shared.clock.now();
    let _ = client.set_nodelay(true);
    let (input, reply) = (shared.pool.get(), shared.pool.get());
    let room = seat.room();
    let mut session = Session { shared, client, protocol, input, reply, seat, answered: false };
    let ended = tokio::select! {
        biased;
        () = room.notified() => {
            if !session.answered {
                session.protocol.write_local_reply(LocalReply::Rejected(session.shared.retry_after()), &mut session.reply);
            }
            session.make_room()
        }
        ended = session.run(accepted) => ended,
    };
    if let Err(e) = ended {
        debug!("client: {e}");
    }
}

/// Goes on with a connection that stood at the process before.
pub async fn adopt<F: ClientProtocol>(shared: Rc<Shared>, passed: Passed<F>, seat: Seat) {
    let Passed { connection, protocol, client, upstream, up, down } = passed;
    let (mut input, mut first, reply) = (shared.pool.get(), shared.pool.get(), shared.pool.get());
    input.extend_from_slice(&up);
    first.extend_from_slice(&down);
    let (sender, mut commands) = unbounded_channel();
    let id = shared.relay.borrow_mut().adopt_connection(shared.clock.now(), connection);
    shared.connections.borrow_mut().insert(id, sender);
    let _registered = Registered { shared: shared.clone(), id };
    shared.settle();
    let room = seat.room();
    let mut session = Session { shared, client, protocol, input, reply, seat, answered: true };
    let ended = tokio::select! {
        biased;
        // Once it has ended, it may be told to while it is waited for to close.
        () = room.notified() => session.make_room(),
        ended = session.stand(id, upstream, first, &mut commands) => ended,
    };
    if let Err(e) = ended {
        debug!("client: {e}");
    }
}

/// A standing connection on its way from one process to the next.
pub struct Passed<F> {
    pub connection: TransferredConnection,
    pub protocol: F,
    pub client: TcpStream,
    pub upstream: TcpStream,
    pub up: Vec<u8>,
    pub down: Vec<u8>,
}

struct Session<F> {
    shared: Rc<Shared>,
    client: TcpStream,
    protocol: F,
    /// From the client, not yet understood or forwarded.
    input: Pooled,
    /// For the client.
    reply: Pooled,
    seat: Seat,
    /// It has its final answer.
    answered: bool,
}

/// Takes a connection's entry out of the command table when its driver ends, however it ends.
struct Registered {
    shared: Rc<Shared>,
    id: RequestId,
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.shared.connections.borrow_mut().remove(&self.id);
        self.shared.core(|relay, now| {
            relay.client_gone(now, self.id);
            relay.attempt_ended(now, self.id, Outcome::Cancelled);
        });
    }
}

impl<F: ClientProtocol> Session<F> {
    async fn run(&mut self, accepted: Millis) -> io::Result<()> {
        let limit = self.shared.clock.at(accepted + self.protocol.handshake_timeout());
        let mut spoken = false;
        let mut arrival = loop {
            let now = self.shared.clock.now();
            let does = self.shared.relay.borrow().serving_mode();
            let arrive = self.protocol.read_request(now, does, &mut self.input, &mut self.reply);
            let written = timeout_at(limit, self.client.write_all_buf(&mut *self.reply)).await;
            match arrive {
                _ if written.is_err() => return Ok(()),
                ReadProgress::Request(arrival) => break arrival,
                ReadProgress::Close => return self.close().await,
                ReadProgress::Incomplete => written??,
            }
            if spoken {
                self.seat.heard(self.protocol.request_begun(&self.input));
            }
            match timeout_at(limit, more(&self.client, &mut self.input)).await {
                Ok(Ok(n)) if n > 0 => spoken = true,
                Ok(_) => return Ok(()),
                // Its line came in the very moment: it is heard, not answered unread.
                Err(_) if matches!(self.input.look(&self.client), Ok(Some(n)) if n > 0) => spoken = true,
                Err(_) => {
                    self.protocol.write_local_reply(LocalReply::Failed, &mut self.reply);
                    return self.close().await;
                }
            }
        };
        if !self.seat.ask().await {
            self.protocol.write_local_reply(LocalReply::Rejected(self.shared.retry_after()), &mut self.reply);
            return self.close().await;
        }
        // Its end may have come with its line, before either was read: nothing is sent for it.
        if has_gone(&self.client, &mut self.input, self.protocol.accepts_early_data()) {
            self.protocol.write_local_reply(LocalReply::Failed, &mut self.reply);
            return self.close().await;
        }
        arrival.descriptors_short = self.seat.is_short();
        let deadline = arrival.deadline;
        // The core takes it, and what comes of it is logged later.
        let about = log_enabled!(Level::Debug).then(|| described(&arrival)).unwrap_or_default();
        let (sender, mut commands) = unbounded_channel();
        let id = self.shared.relay.borrow_mut().accept_request(self.shared.clock.now(), arrival);
        self.shared.connections.borrow_mut().insert(id, sender);
        debug!("flow {} arrives: {about}", id.0);
        let _registered = Registered { shared: self.shared.clone(), id };
        self.shared.settle();
        match self.place(id, deadline, &mut commands).await? {
            Placed::Up(upstream, first) => {
                let now = self.shared.clock.now();
                self.protocol.observe_client_bytes(now, &self.input);
                self.protocol.observe_endpoint_bytes(now, &first);
                self.stand(id, upstream, first, &mut commands).await
            }
            Placed::Answered(response) => {
                debug!("flow {}: answered {response:?}", id.0);
                self.protocol.write_local_reply(response, &mut self.reply);
                self.close().await
            }
            Placed::Left => {
                // At once: its place is another's while it is waited for to close.
                self.shared.core(|relay, now| relay.client_gone(now, id));
                // It may have ended its sending only, and still read.
                self.protocol.write_local_reply(LocalReply::Failed, &mut self.reply);
                self.close().await
            }
        }
    }

    /// Carries out forwards until one stands, or an answer is given, or the client leaves.
    async fn place(
        &mut self,
        id: RequestId,
        deadline: Millis,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> io::Result<Placed> {
        let shared = self.shared.clone();
        let limit = shared.clock.at(deadline);
        let early = self.protocol.accepts_early_data();
        loop {
            // Of what has come together the client's end counts first: nothing may begin after it.
            let command = tokio::select! {
                biased;
                () = gone(&self.client, &mut self.input, early) => return Ok(Placed::Left),
                command = commands.recv() => command,
                () = sleep_until(limit) => {
                    shared.core(|relay, now| relay.deadline_passed(now, id));
                    commands.recv().await
                }
            };
            let attempt = match command {
                Some(ConnectionCommand::StartAttempt(attempt)) => attempt,
                Some(ConnectionCommand::Reply(response)) => return Ok(Placed::Answered(response)),
                Some(ConnectionCommand::Migrate | ConnectionCommand::Transfer) => continue,
                None => return Ok(Placed::Left),
            };
            let endpoint = &attempt.endpoint;
            let sent = shared.clock.now();
            let connected = connect(&shared, &attempt);
            let waited = meanwhile(&self.client, &mut self.input, early, (commands, limit), connected).await;
            let waited = match waited {
                Waited::Done(Ok(_)) if has_gone(&self.client, &mut self.input, early) => Waited::Left,
                Waited::Done(Ok((address, upstream))) => match may_begin(&shared, &attempt, address) {
                    Ok(()) => {
                        let exchanged = exchange(&shared, &mut self.protocol, upstream, attempt.until);
                        meanwhile(&self.client, &mut self.input, early, (commands, limit), exchanged).await
                    }
                    Err(outcome) => Waited::Done(Err(outcome)),
                },
                Waited::Done(Err(outcome)) => Waited::Done(Err(outcome)),
                Waited::Left => Waited::Left,
                Waited::Answered(response) => Waited::Answered(response),
                Waited::Overdue => Waited::Overdue,
            };
            match waited {
                Waited::Left => return Ok(Placed::Left),
                // The core has answered for a connection that was overdue.
                Waited::Answered(response) => return Ok(Placed::Answered(response)),
                Waited::Overdue => shared.core(|relay, now| relay.deadline_passed(now, id)),
                Waited::Done(Ok((upstream, first))) => {
                    debug!(
                        "flow {}: stands at {} after {:.0} ms",
                        id.0,
                        endpoint.0,
                        shared.clock.now() - sent
                    );
                    shared.core(|relay, now| relay.connection_established(now, id, now - sent));
                    return Ok(Placed::Up(upstream, first));
                }
                Waited::Done(Err(outcome)) => {
                    debug!("flow {}: {} {outcome:?}", id.0, endpoint.0);
                    shared.core(|relay, now| relay.attempt_ended(now, id, outcome));
                }
            }
        }
    }

    /// Writes the last word and closes, in a way that the client gets to read it.
    async fn close(&mut self) -> io::Result<()> {
        self.seat.answered();
        self.answered = true;
        last_word(&self.client, &self.protocol, &mut self.input, &mut self.reply).await
    }

    /// Writes the last word and closes at once: somebody else waits for the descriptor. What has come by now is read
    /// all the same, and is answered by that word.
    fn make_room(&mut self) -> io::Result<()> {
        self.reply.flush(&self.client)?;
        let client = SockRef::from(&self.client);
        client.shutdown(Shutdown::Write)?;
        let mut read = 0;
        while read < LINGER_BYTES {
            match client.recv(&mut [MaybeUninit::uninit(); UNREAD]) {
                Ok(n) if n > 0 => read += n,
                _ => break,
            }
        }
        Ok(())
    }

    /// Ends a connection whose client's last word is in the reply. Its endpoint's connection is read to its end as well: a
    /// reset would take along what the client has sent just before.
    async fn leave(&mut self, upstream: TcpStream) -> io::Result<()> {
        self.answered = true;
        let Session { client, protocol, input, reply, seat, shared, .. } = self;
        let mut rest = shared.pool.get();
        let let_go = async move {
            // It fails only where the endpoint has ended as well.
            let _ = SockRef::from(&upstream).shutdown(Shutdown::Write);
            read_out(&upstream, &mut rest, LEFT_BYTES).await;
            drop(upstream);
            seat.answered();
        };
        let (ended, ()) = tokio::join!(last_word(client, protocol, input, reply), let_go);
        ended
    }

    /// Gives the connection to the process that serves now, with descriptors of its own; whether it could.
    fn pass(&self, id: RequestId, upstream: &TcpStream, up: &Pipe, down: &Pipe) -> bool {
        let connection = self.shared.relay.borrow().transfer_connection(id);
        let Some((connection, protocol)) = connection.zip(self.protocol.export(self.shared.clock.now()))
        else {
            return false;
        };
        let both = [self.client.as_fd().try_clone_to_owned(), upstream.as_fd().try_clone_to_owned()];
        let [Ok(client), Ok(upstream)] = both else { return false };
        let message = Message::Connection {
            connection: Box::new(connection),
            protocol: Box::new(protocol),
            up: up.bytes().into(),
            down: down.bytes().into(),
        };
        debug!("flow {}: passed on", id.0);
        self.shared.passing.0.send((message, [client, upstream])).is_ok()
    }

    /// Takes what the client of a standing connection has to say; whether there was anything.
    fn listen(&mut self, up: &mut Pipe) -> io::Result<bool> {
        let n = up.fill(&self.client, &self.shared)?;
        self.protocol.observe_client_bytes(self.shared.clock.now(), up.last(n));
        Ok(n > 0 || up.eof)
    }

    /// Passes everything on, both ways, until both sides have ended.
    async fn stand(
        &mut self,
        id: RequestId,
        upstream: TcpStream,
        first: Pooled,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> io::Result<()> {
        let shared = self.shared.clone();
        let input = std::mem::replace(&mut self.input, shared.pool.get());
        let (mut up, mut down) = (Pipe::with(input), Pipe::with(first));
        let ended = |outcome| {
            debug!("flow {}: stood, {outcome:?}", id.0);
            shared.core(|relay, now| relay.attempt_ended(now, id, outcome));
        };
        // Takes what the endpoint has to say; whether there was anything. Where it has broken the connection, all that it
        // had said before was read by then.
        let hear = |protocol: &mut F, down: &mut Pipe, broken: &mut bool| {
            let n = down.fill(&upstream, &shared).unwrap_or_else(|_| {
                (*broken, down.eof) = (true, true);
                0
            });
            if let Some(trip) = protocol.observe_endpoint_bytes(shared.clock.now(), down.last(n)) {
                shared.core(|relay, _| relay.record_round_trip(id, trip));
            }
            n > 0 || down.eof
        };
        let mut slow = Slow::default();
        let mut half_open = None;
        let mut moving: Option<(Outcome, Instant)> = None;
        // The endpoint's connection was reset. What it had said before is still to be read and passed on.
        let mut broken = false;
        // The core knows how the endpoint's connection has ended.
        let mut told = false;
        loop {
            let before = (up.len(), down.len());
            if up.flush(&upstream, 0).is_err() {
                up.cut();
                broken |= !down.eof;
            }
            let announced = self.protocol.announced_outcome();
            if down.eof && !told {
                // Known at once, however long the client takes to end its side.
                told = true;
                ended(match announced {
                    Some(outcome) => outcome,
                    None if broken => Outcome::Reset,
                    None if up.eof => Outcome::Cancelled,
                    None => self.protocol.outcome_at_end(),
                });
            }
            // The endpoint's own word goes before the relay's.
            moving = moving.filter(|_| !down.eof || announced.is_none());
            // Of a connection that moves, a place at which its client can be told is kept once there is one.
            let place = self
                .protocol
                .bytes_since_boundary()
                .filter(|partial| moving.is_some() && *partial <= down.len());
            let held = match place {
                Some(partial) => partial,
                None if down.eof && !broken && moving.is_none() => 0,
                None => self.protocol.incomplete_tail(),
            };
            if down.flush(&self.client, held).is_err() {
                ended(announced.unwrap_or(Outcome::Cancelled));
                return reset(&upstream);
            }
            let in_order = moving.is_none() && !broken;
            let ends = in_order && (up.ends_now(&upstream) | down.ends_now(&self.client));
            if up.shut && down.shut {
                return Ok(());
            }
            let over = down.shut && up.cut || broken && down.eof && down.len() <= held && moving.is_none();
            if over || half_open.is_some_and(|at| Instant::now() >= at) {
                // The client's side ends the way that the endpoint's was announced to end, or did.
                if broken && announced.is_none() {
                    return reset(&self.client);
                }
                return self.leave(upstream).await;
            }
            let one_sided = up.eof || down.eof || broken;
            let takes = up.eof && up.len() < before.0 || (down.eof || broken) && down.len() < before.1;
            if ends || takes || one_sided && half_open.is_none() {
                half_open = Some(Instant::now() + HALF_OPEN);
            }
            if let Some((outcome, limit)) = moving {
                // What has arrived by now goes first.
                if Instant::now() < limit {
                    let client = if up.takes() { self.listen(&mut up) } else { Ok(false) };
                    let Ok(client) = client else {
                        ended(announced.unwrap_or(Outcome::Cancelled));
                        return reset(&upstream);
                    };
                    let said = down.takes() && hear(&mut self.protocol, &mut down, &mut broken);
                    if client || said {
                        tokio::task::yield_now().await;
                        continue;
                    }
                }
                let whole =
                    self.protocol.bytes_since_boundary().and_then(|partial| down.len().checked_sub(partial));
                if whole.is_some() || Instant::now() >= limit {
                    ended(announced.unwrap_or(outcome));
                    if let Some(whole) = whole {
                        // What the endpoint has begun to say is left out: it can't end any more.
                        self.reply.extend_from_slice(&down.bytes()[..whole]);
                        if announced.is_none() {
                            self.protocol.write_migration(&mut self.reply);
                        }
                    }
                    return self.leave(upstream).await;
                }
            }
            let waits = down.len() <= held && !one_sided;
            let unanswered = self.protocol.unanswered_since().filter(|_| waits);
            let slow_at = slow.next(unanswered).map(|at| shared.clock.at(at));
            let limit = moving.map(|(_, limit)| limit);
            let wake = [half_open, slow_at, limit].into_iter().flatten().min();
            tokio::select! {
                ready = self.client.readable(), if up.takes() => {
                    if ready.and_then(|()| self.listen(&mut up)).is_err() {
                        ended(announced.unwrap_or(Outcome::Cancelled));
                        return reset(&upstream);
                    }
                }
                _ = upstream.readable(), if down.takes() => {
                    hear(&mut self.protocol, &mut down, &mut broken);
                }
                _ = self.client.writable(), if down.len() > held => {}
                _ = upstream.writable(), if up.len() > 0 => {}
                command = commands.recv(), if moving.is_none() => match command {
                    Some(ConnectionCommand::Migrate) if !down.eof => {
                        moving = Some((Outcome::Cancelled, Instant::now() + BOUNDARY));
                        // What has arrived is known only once the driver has looked.
                        tokio::task::yield_now().await;
                    }
                    // One that is ending ends here.
                    Some(ConnectionCommand::Transfer) if !one_sided && self.pass(id, &upstream, &up, &down) => {
                        return Ok(());
                    }
                    _ => {}
                },
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {
                    let now = shared.clock.now();
                    if let Some(age) = unanswered.map(|since| now - since).filter(|_| slow.due(now)) {
                        shared.core(|relay, _| relay.record_round_trip(id, age));
                        if age >= SILENCE && moving.is_none() {
                            debug!("flow {}: its streamer is silent", id.0);
                            moving = Some((Outcome::Reset, Instant::now() + BOUNDARY));
                            tokio::task::yield_now().await;
                        }
                    }
                }
            }
        }
    }
}

/// What has become of a connection that asked to be placed.
enum Placed {
    /// It stands: its endpoint, and the first bytes for its client.
    Up(TcpStream, Pooled),
    /// No endpoint takes it.
    Answered(LocalReply),
    /// Its client has ended the connection, or its sending on it, or does not wait for its answer.
    Left,
}

/// When a message without an answer next counts as slow.
#[derive(Default)]
struct Slow {
    since: Millis,
    next: Millis,
}

impl Slow {
    fn next(&mut self, unanswered: Option<Millis>) -> Option<Millis> {
        let since = unanswered?;
        if since != self.since {
            (self.since, self.next) = (since, since + SLOW_STEP);
        }
        Some(self.next)
    }

    fn due(&mut self, now: Millis) -> bool {
        let due = now >= self.next;
        if due {
            let silent = self.since + SILENCE;
            self.next = if now < silent { silent.min(now + SLOW_STEP) } else { now + SLOW_STEP };
        }
        due
    }
}

/// One direction of a standing connection. It holds a buffer only while it has bytes, and takes no more while the
/// receiver is slower than the sender.
struct Pipe {
    buffer: Option<Pooled>,
    eof: bool,
    shut: bool,
    /// The receiver takes nothing any more.
    cut: bool,
}

impl Pipe {
    fn with(buffer: Pooled) -> Self {
        Pipe { buffer: Some(buffer), eof: false, shut: false, cut: false }
    }

    fn bytes(&self) -> &[u8] {
        self.buffer.as_ref().map_or(&[], |b| &b[..])
    }

    fn len(&self) -> usize {
        self.bytes().len()
    }

    fn last(&self, n: usize) -> &[u8] {
        let bytes = self.bytes();
        &bytes[bytes.len() - n..]
    }

    fn takes(&self) -> bool {
        !self.eof && !self.cut && self.buffer.as_ref().is_none_or(|b| b.room() > 0)
    }

    fn cut(&mut self) {
        self.cut = true;
        self.buffer = None;
    }

    fn fill(&mut self, from: &TcpStream, shared: &Shared) -> io::Result<usize> {
        let buffer = self.buffer.get_or_insert_with(|| shared.pool.get());
        let read = buffer.fill(from)?;
        self.eof = read == Some(0);
        Ok(read.unwrap_or(0))
    }

    /// Passes on what the receiver takes now, but for so many bytes at the end.
    fn flush(&mut self, to: &TcpStream, held: usize) -> io::Result<()> {
        let Some(buffer) = &mut self.buffer else { return Ok(()) };
        buffer.flush_but(to, held)?;
        if buffer.is_empty() {
            self.buffer = None;
        }
        Ok(())
    }

    /// Ends the sending to the receiver once the sender has ended and all is passed on.
    fn ends_now(&mut self, to: &TcpStream) -> bool {
        let now = self.eof && !self.shut && !self.cut && self.len() == 0;
        if now {
            self.shut = true;
            // It fails only where the receiver has ended as well.
            let _ = SockRef::from(to).shutdown(Shutdown::Write);
        }
        now
    }
}

/// Ends a connection the way that the other side's has ended.
fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// What is left to do for a client once its answer is in the reply: what it sends is read to its end, for a while, or the
/// close would be a reset that may take the answer along. Nothing of it is understood any more.
async fn last_word<F: ClientProtocol>(
    client: &TcpStream,
    protocol: &F,
    input: &mut Pooled,
    reply: &mut Pooled,
) -> io::Result<()> {
    if protocol.closes_by_reset() {
        return reset(client);
    }
    let written = async {
        while !reply.is_empty() {
            client.writable().await?;
            reply.flush(client)?;
        }
        io::Result::Ok(())
    };
    timeout(LINGER, written).await??;
    SockRef::from(client).shutdown(Shutdown::Write)?;
    read_out(client, input, LINGER_BYTES).await;
    Ok(())
}

/// Reads what nobody wants any more until the connection's end, for a while: so many bytes, and then it waits only.
async fn read_out(stream: &TcpStream, buffer: &mut Pooled, most: usize) {
    let to_end = async {
        let mut read = 0;
        while read < most {
            buffer.clear();
            match more(stream, buffer).await {
                Ok(n) if n > 0 => read += n,
                _ => return,
            }
        }
        std::future::pending().await
    };
    let _ = timeout(LINGER, to_end).await;
}

/// What the log says of a connection that arrives.
fn described(a: &IncomingRequest) -> String {
    let key = |key: &Option<Key>| key.as_ref().map_or("-".into(), |k| k.0.clone());
    let (client, group) = (key(&a.client), key(&a.group));
    format!("client {client}, group {group}, mid-flow {}, returned {}", a.mid_flow, a.returned)
}

/// Waits for more bytes; 0 at the connection's end.
async fn more(stream: &TcpStream, buffer: &mut Pooled) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        if let Some(n) = buffer.fill(stream)? {
            return Ok(n);
        }
    }
}

/// Waits until a client that waits for its answer ends the connection, or speaks where it may not; keeps what
/// it may send early.
async fn gone(client: &TcpStream, input: &mut Pooled, early: bool) {
    loop {
        if input.room() > 0 {
            if !matches!(more(client, input).await, Ok(n) if n > 0 && early) {
                return;
            }
        } else if client.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            sleep(LOOK).await;
        } else {
            return;
        }
    }
}

/// The same as it is now, by the system's word: the poller's may not have been heard yet.
fn has_gone(client: &TcpStream, input: &mut Pooled, early: bool) -> bool {
    while input.room() > 0 {
        match input.look(client) {
            Ok(None) => return false,
            Ok(Some(n)) if n > 0 && early => {}
            Ok(_) | Err(_) => return true,
        }
    }
    false
}

/// How waiting for something has ended while a client waits for its answer.
enum Waited<T> {
    Done(T),
    Left,
    Answered(LocalReply),
    Overdue,
}

/// Waits for a part of an attempt while its client is there, has not been answered and has time left.
async fn meanwhile<T>(
    client: &TcpStream,
    input: &mut Pooled,
    early: bool,
    (commands, limit): (&mut UnboundedReceiver<ConnectionCommand>, Instant),
    work: impl Future<Output = T>,
) -> Waited<T> {
    let mut work = pin!(work);
    loop {
        tokio::select! {
            biased;
            () = gone(client, input, early) => return Waited::Left,
            command = commands.recv() => match command {
                Some(ConnectionCommand::Reply(response)) => return Waited::Answered(response),
                None => return Waited::Left,
                // Nothing else is for a connection whose attempt is out.
                Some(_) => {}
            },
            done = &mut work => return Waited::Done(done),
            () = sleep_until(limit) => return Waited::Overdue,
        }
    }
}

/// Connects to an attempt's endpoint: where that is now, and the connection.
async fn connect(shared: &Rc<Shared>, attempt: &Attempt) -> Result<(SocketAddr, TcpStream), Outcome> {
    let address = shared.endpoint_list.borrow().address(&attempt.endpoint).ok_or(Outcome::NotSent)?;
    let now = shared.clock.now();
    let (left, begin) = (span(attempt.until - now), span(attempt.begin_by - now));
    let limit = span(shared.config.borrow().settings.connect_timeout).min(left);
    match timeout(limit.min(begin), TcpStream::connect(address)).await {
        Ok(Ok(upstream)) => Ok((address, upstream)),
        Ok(Err(e)) if local_shortage(&e) => Err(Outcome::NotSent),
        // Too late to begin is no fault of the endpoint's, which may be there a moment later.
        Err(_) if begin < limit => Err(Outcome::NotSent),
        Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
    }
}

/// Whether an attempt may still begin, now that it is connected: much may have happened since it was decided. Its first
/// byte is written in the same breath.
fn may_begin(shared: &Shared, attempt: &Attempt, address: SocketAddr) -> Result<(), Outcome> {
    let now = shared.clock.now();
    let in_time = now < attempt.until.min(attempt.begin_by);
    let there = shared.endpoint_list.borrow().address(&attempt.endpoint) == Some(address);
    // What was ready and no longer is would get something new while it leaves. One that was leaving already gets back
    // what it holds.
    let leaves = attempt.was_ready && !shared.relay.borrow().is_ready(&attempt.endpoint);
    if in_time && there && !leaves { Ok(()) } else { Err(Outcome::NotSent) }
}

/// Asks an endpoint that is connected: the connection with its first bytes for the client, or how the attempt ended.
/// Dropped, it gives the attempt up.
async fn exchange<F: ClientProtocol>(
    shared: &Rc<Shared>,
    protocol: &mut F,
    mut upstream: TcpStream,
    until: Millis,
) -> Result<(TcpStream, Pooled), Outcome> {
    let _ = upstream.set_nodelay(true);
    if let Some(silence) = protocol.unacknowledged_timeout() {
        // Where it can't be set, a vanished endpoint is noticed later.
        let _ = SockRef::from(&upstream).set_tcp_user_timeout(Some(silence));
    }
    let (mut input, mut out) = (shared.pool.get(), shared.pool.get());
    protocol.begin_attempt(until - shared.clock.now(), &mut out);
    let mut whole = false;
    let exchanged = async {
        loop {
            // Before the last byte is written nothing can have run there.
            let broken = |whole| if whole { Outcome::Reset } else { Outcome::ConnectFailed };
            upstream.write_all_buf(&mut *out).await.map_err(|_| broken(whole))?;
            whole |= protocol.request_complete();
            let quiet = protocol.established_when_silent().unwrap_or(Duration::MAX);
            match timeout(quiet, more(&upstream, &mut input)).await {
                Ok(Ok(n)) if n > 0 => {}
                Ok(_) => return Err(broken(whole)),
                Err(_) => return Ok(()),
            }
            match protocol.read_answer(&mut input, &mut out) {
                AttemptAnswer::Incomplete if input.room() == 0 => return Err(Outcome::Error),
                AttemptAnswer::Incomplete => {}
                AttemptAnswer::Established => return Ok(()),
                AttemptAnswer::Ended(outcome) => return Err(outcome),
            }
        }
    };
    timeout_at(shared.clock.at(until), exchanged).await.unwrap_or(Err(Outcome::TimedOut))?;
    Ok((upstream, input))
}
