//! Serves the operators' address: each caller sends one line, the call, and gets one line, the reply. Only a
//! few callers are served at a time.
//!
//! Operators get replies even when the process has no descriptor left: one descriptor is kept in reserve, and
//! the caller that is least likely to send its call soon is evicted to make room for another.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use log::{debug, info, warn};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::accept::ACCEPT_PAUSE;
use super::admission::MAX_OPERATOR_CALLERS;
use super::{Shared, schema_version};
use crate::relay::operator_calls::{self, CallParser, MAX_CALL_BYTES, OperatorCall, OperatorCallError};

/// How long a caller may take to send its call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long writing the reply and waiting for the caller to close may take together.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that are read from an evicted caller after its reply.
const MAX_DRAIN_BYTES: usize = 16 * MAX_CALL_BYTES;

/// How far a caller has got with its call. Callers are evicted in the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    Answered,
    NothingReceived,
    PartlyReceived,
}

/// A connected caller.
struct Caller {
    progress: Progress,
    eviction: Rc<Notify>,
}

/// The connected callers, keyed by ids that grow in the order of their arrival.
#[derive(Default)]
struct Callers(RefCell<BTreeMap<u64, Caller>>);

impl Callers {
    fn insert(&self, id: u64) -> Rc<Notify> {
        let eviction = Rc::new(Notify::new());
        let caller = Caller { progress: Progress::NothingReceived, eviction: eviction.clone() };
        self.0.borrow_mut().insert(id, caller);
        eviction
    }

    fn remove(&self, id: u64) {
        self.0.borrow_mut().remove(&id);
    }

    fn set_progress(&self, id: u64, progress: Progress) {
        self.0.borrow_mut().entry(id).and_modify(|caller| caller.progress = progress);
    }

    fn is_full(&self) -> bool {
        self.0.borrow().len() >= MAX_OPERATOR_CALLERS
    }

    /// Evicts one caller: the oldest of those that have their reply, else of those that have sent nothing,
    /// else of those that have sent a part of their call.
    fn evict(&self) {
        let mut callers = self.0.borrow_mut();
        let first = callers.iter().min_by_key(|(id, caller)| (caller.progress, **id)).map(|(id, _)| *id);
        if let Some(caller) = first.and_then(|id| callers.remove(&id)) {
            caller.eviction.notify_one();
        }
    }
}

/// A spare descriptor, which is closed to accept a caller when the process has no other descriptor left.
#[derive(Default)]
struct Reserve(RefCell<Option<OwnedFd>>);

impl Reserve {
    fn refill(&self, listener: &TcpListener) {
        let mut descriptor = self.0.borrow_mut();
        if descriptor.is_none() {
            *descriptor = listener.as_fd().try_clone_to_owned().ok();
        }
    }

    /// Closes the spare descriptor. Returns whether there was a spare descriptor.
    fn close(&self) -> bool {
        self.0.take().is_some()
    }

    fn is_empty(&self) -> bool {
        self.0.borrow().is_none()
    }
}

/// Accepts and serves operators' callers for as long as the program runs.
pub async fn serve_callers(shared: Rc<Shared>, listener: TcpListener) {
    let callers = Rc::new(Callers::default());
    let reserve = Rc::new(Reserve::default());
    let listener = Rc::new(listener);
    let mut next_id = 0;
    loop {
        let Some(stream) = accept_caller(&listener, &callers, &reserve).await else { continue };
        if callers.is_full() {
            callers.evict();
            // The evicted caller is closed before the next caller is accepted.
            tokio::task::yield_now().await;
        }
        let id = next_id;
        next_id += 1;
        let eviction = callers.insert(id);
        let shared = shared.clone();
        let callers = callers.clone();
        let reserve = reserve.clone();
        let listener = listener.clone();
        spawn_local(async move {
            serve_caller(&shared, &callers, id, &eviction, stream).await;
            callers.remove(id);
            // Takes the descriptor that the caller's connection has just freed, before a client's connection
            // gets it.
            reserve.refill(&listener);
        });
    }
}

/// Accepts a caller, with the spare descriptor where no other descriptor is left. Returns `None` where no
/// caller could be accepted.
async fn accept_caller(listener: &TcpListener, callers: &Callers, reserve: &Reserve) -> Option<TcpStream> {
    reserve.refill(listener);
    let error = match listener.accept().await {
        Ok((stream, _)) => return Some(stream),
        Err(e) => e,
    };
    debug!("operators: accepting a caller failed: {error}");
    if !reserve.close() {
        tokio::time::sleep(ACCEPT_PAUSE).await;
        reserve.refill(listener);
        if reserve.is_empty() {
            callers.evict();
        }
        return None;
    }
    // The system reports a shortage of descriptors even when no caller waits to be accepted. In that case
    // this poll accepts no caller, and the next call of this function takes the spare descriptor again before
    // any other task opens a descriptor.
    let accepted = poll_fn(|context| Poll::Ready(listener.poll_accept(context))).await;
    let Poll::Ready(Ok((stream, _))) = accepted else { return None };
    Some(stream)
}

async fn serve_caller(
    shared: &Rc<Shared>,
    callers: &Callers,
    id: u64,
    eviction: &Notify,
    mut stream: TcpStream,
) {
    let mut parser = CallParser::default();
    let call = tokio::select! {
        biased;
        () = eviction.notified() => {
            // `close_evicted` fails where the caller has sent no complete call or has closed its connection.
            let _ = close_evicted(shared, parser, &stream);
            return;
        }
        call = timeout(CALL_TIMEOUT, read_call(&mut parser, &mut stream, callers, id)) => call,
    };
    let call = match call {
        Ok(Some(call)) => call,
        Ok(None) => return,
        Err(_) => Err(OperatorCallError::Truncated),
    };
    let reply = match call {
        Ok(OperatorCall::MaintenanceWindow(call)) => shared.window_call(call).await,
        Err(OperatorCallError::MaintenanceWindow(_)) if shared.maintenance.is_none() => {
            Err(OperatorCallError::Unknown)
        }
        call => call.and_then(|call| run_call(shared, call)),
    };
    let reply = operator_calls::reply_line(reply);
    callers.set_progress(id, Progress::Answered);
    tokio::select! {
        biased;
        _ = timeout(REPLY_TIMEOUT, write_reply(&mut stream, &reply)) => {}
        () = eviction.notified() => {}
    }
}

/// Writes the reply, then reads until the caller closes: closing a connection with unread bytes resets it,
/// and the caller could lose the reply.
async fn write_reply(stream: &mut TcpStream, reply: &str) -> io::Result<()> {
    stream.write_all(reply.as_bytes()).await?;
    stream.shutdown().await?;
    let mut discarded = [0; MAX_CALL_BYTES];
    while stream.read(&mut discarded).await? > 0 {}
    Ok(())
}

/// Closes an evicted caller at once. A call that has arrived but was not read yet is carried out and
/// answered. There is no reply where the call is incomplete or about maintenance windows, which may need
/// waiting.
fn close_evicted(shared: &Rc<Shared>, mut parser: CallParser, stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let mut buffer = [0; MAX_CALL_BYTES];
    let mut call = None;
    while call.is_none() {
        let read = (&*socket).read(&mut buffer)?;
        call = parser.feed(&buffer[..read]);
    }
    let reply = match call {
        None
        | Some(Ok(OperatorCall::MaintenanceWindow(_)) | Err(OperatorCallError::MaintenanceWindow(_))) => {
            return Ok(());
        }
        Some(call) => operator_calls::reply_line(call.and_then(|call| run_call(shared, call))),
    };
    (&*socket).write_all(reply.as_bytes())?;
    socket.shutdown(Shutdown::Write)?;
    // Closing a connection with unread bytes resets it, and the caller could lose the reply.
    let mut total = 0;
    while total < MAX_DRAIN_BYTES {
        match (&*socket).read(&mut buffer) {
            Ok(read) if read > 0 => total += read,
            _ => break,
        }
    }
    Ok(())
}

/// Reads a call; `None` where the connection breaks.
async fn read_call(
    parser: &mut CallParser,
    stream: &mut TcpStream,
    callers: &Callers,
    id: u64,
) -> Option<Result<OperatorCall, OperatorCallError>> {
    let mut buffer = [0; MAX_CALL_BYTES];
    loop {
        let read = stream.read(&mut buffer).await.ok()?;
        if let Some(call) = parser.feed(&buffer[..read]) {
            return Some(call);
        }
        callers.set_progress(id, Progress::PartlyReceived);
    }
}

/// Carries out a call that needs no waiting.
fn run_call(shared: &Rc<Shared>, call: OperatorCall) -> Result<String, OperatorCallError> {
    if shared.relay.borrow().is_handed_over() {
        return Err(OperatorCallError::HandedOver);
    }
    match call {
        OperatorCall::SchemaVersions => return schema_version::status(shared),
        OperatorCall::Finalize => return schema_version::finalize(shared),
        OperatorCall::Status if !is_ready(shared) => return Err(OperatorCallError::NotReady),
        // Calls about maintenance windows do not get here: `Shared::window_call` carries them out, since they
        // may wait.
        OperatorCall::Status | OperatorCall::MaintenanceWindow(_) => {}
        OperatorCall::Standby => {
            warn!("operators: standby was called");
            shared.with_core(|relay, now| relay.enter_standby(now));
        }
        OperatorCall::Active => {
            info!("operators: active was called");
            shared.with_core(|relay, _| relay.activate());
        }
    }
    let relay = shared.relay.borrow();
    Ok(format!("{}, {} standing", relay.serving_mode(), relay.established_connections()))
}

fn is_ready(shared: &Shared) -> bool {
    *shared.accepting.borrow() && shared.relay.borrow().has_endpoint_list()
}
