//! The open calls to discovery: the latest one, and an earlier one that is overdue.
//!
//! A call that is overdue may still be answered, by a service that is slow or has many callers, so it stays
//! open. It may also have been lost, so another call follows. There are never more than these two.

use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

use crate::discovery::{CONNECT_TIMEOUT_MS, CallError, MAX_CALL_MS, SentCall};
use crate::net::duration_from_millis;
use crate::net::http_call::fetch;
use crate::policy::api::Millis;

type CallFuture = Pin<Box<dyn Future<Output = Result<Bytes, CallError>>>>;

/// A call to discovery whose end is awaited.
pub(super) struct OpenCall {
    pub(super) call: SentCall,
    pub(super) address: SocketAddr,
    started: Instant,
    /// When the call is overdue or, where it is overdue already, given up.
    limit: Instant,
    has_connected: Rc<Cell<bool>>,
    future: CallFuture,
}

/// How far a call has come.
enum CallProgress {
    Ended(Result<Bytes, CallError>),
    LimitReached,
}

impl OpenCall {
    /// Sends a call, which is overdue after `overdue_after` ms.
    pub(super) fn start(address: SocketAddr, path: String, call: SentCall, overdue_after: Millis) -> Self {
        let started = Instant::now();
        let has_connected = Rc::new(Cell::new(false));
        OpenCall {
            call,
            address,
            started,
            limit: started + duration_from_millis(overdue_after),
            has_connected: has_connected.clone(),
            future: Box::pin(make_call(address, path, has_connected)),
        }
    }

    /// Whether the connection to discovery was opened.
    pub(super) fn has_connected(&self) -> bool {
        self.has_connected.get()
    }

    async fn progress(&mut self) -> CallProgress {
        tokio::select! {
            biased;
            result = &mut self.future => CallProgress::Ended(result),
            () = sleep_until(self.limit) => CallProgress::LimitReached,
        }
    }
}

/// What has happened to an open call.
pub(super) enum CallEvent {
    /// The latest call has ended.
    LatestEnded(OpenCall, Result<Bytes, CallError>),
    /// The latest call is overdue. Unless it is a watch, or an earlier call is overdue too, it stays open.
    LatestOverdue(OverdueCall),
    /// The call that was overdue has ended.
    OverdueEnded(OpenCall, Result<Bytes, CallError>),
    /// The call that was overdue is given up.
    OverdueGivenUp(OpenCall),
}

/// A call that is overdue.
pub(super) struct OverdueCall {
    pub(super) call: SentCall,
    pub(super) address: SocketAddr,
}

/// The open calls. Dropping a call closes its connection.
#[derive(Default)]
pub(super) struct OpenCalls {
    latest: Option<OpenCall>,
    overdue: Option<OpenCall>,
}

impl OpenCalls {
    /// Replaces the latest call.
    pub(super) fn set_latest(&mut self, call: OpenCall) {
        self.latest = Some(call);
    }

    /// When the call that is overdue was sent, if one is open.
    pub(super) fn overdue_since(&self) -> Option<Instant> {
        self.overdue.as_ref().map(|call| call.started)
    }

    /// Closes all calls.
    pub(super) fn clear(&mut self) {
        *self = OpenCalls::default();
    }

    /// Waits until something happens to a call; forever if none is open. Dropping the future loses nothing.
    pub(super) async fn next_event(&mut self) -> CallEvent {
        tokio::select! {
            biased;
            (call, progress) = take_progressed(&mut self.latest) => match progress {
                CallProgress::Ended(result) => CallEvent::LatestEnded(call, result),
                CallProgress::LimitReached => CallEvent::LatestOverdue(self.keep_overdue(call)),
            },
            (call, progress) = take_progressed(&mut self.overdue) => match progress {
                CallProgress::Ended(result) => CallEvent::OverdueEnded(call, result),
                CallProgress::LimitReached => CallEvent::OverdueGivenUp(call),
            },
        }
    }

    /// Keeps a call open that is overdue. A watch that has fallen silent is broken, so it is closed.
    fn keep_overdue(&mut self, mut call: OpenCall) -> OverdueCall {
        let overdue = OverdueCall { call: call.call, address: call.address };
        if self.overdue.is_none() && !call.call.is_watch() {
            call.limit = call.started + duration_from_millis(MAX_CALL_MS);
            self.overdue = Some(call);
        }
        overdue
    }
}

/// Waits until a call progresses, and takes it; forever if there is none.
async fn take_progressed(slot: &mut Option<OpenCall>) -> (OpenCall, CallProgress) {
    let Some(call) = slot else { return pending().await };
    let progress = call.progress().await;
    match slot.take() {
        Some(call) => (call, progress),
        None => pending().await,
    }
}

/// Makes one call to discovery over a new connection, since a call over a reused connection that discovery
/// has closed would fail needlessly. Sets `has_connected` once the connection is open.
async fn make_call(
    address: SocketAddr,
    path: String,
    has_connected: Rc<Cell<bool>>,
) -> Result<Bytes, CallError> {
    let connect = timeout(duration_from_millis(CONNECT_TIMEOUT_MS), TcpStream::connect(address));
    let stream = connect.await.map_err(|_| CallError::TimedOut)??;
    has_connected.set(true);
    fetch(stream, &address.to_string(), &path).await
}
