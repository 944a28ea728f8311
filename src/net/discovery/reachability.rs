//! Checks whether discovery is still unreachable, between calls that are far apart.
//!
//! In a large cluster the next call may follow long after one that could not reach discovery, since all
//! relays call the same service. A connection without a request shows as much, and costs a service that is
//! back next to nothing.

use std::future::{Future, pending};
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::discovery::{CONNECT_TIMEOUT_MS, MIN_QUEUED_MS};
use crate::net::clock::Clock;
use crate::net::{duration_from_millis, is_local_shortage};
use crate::policy::api::Millis;

/// Pause before each check, in ms. The check has to end before the list lease does that the previous one has
/// renewed.
const CHECK_INTERVAL_MS: Millis = 3000.0;

/// What a check has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CheckResult {
    /// Discovery could not be reached at this time.
    UnreachableAt(Millis),
    /// Discovery may be reachable.
    PossiblyReachable,
}

/// A check that is pending, if any.
#[derive(Default)]
pub(super) struct ReachabilityCheck(Option<Pin<Box<dyn Future<Output = CheckResult>>>>);

impl ReachabilityCheck {
    /// Schedules a check, which replaces a pending one.
    pub(super) fn schedule(&mut self, address: SocketAddr, clock: Clock) {
        self.0 = Some(Box::pin(check_later(address, clock)));
    }

    /// Drops the pending check.
    pub(super) fn cancel(&mut self) {
        self.0 = None;
    }

    /// Waits for the pending check; forever if there is none. Dropping the future loses nothing.
    pub(super) async fn finished(&mut self) -> CheckResult {
        let Some(check) = &mut self.0 else { return pending().await };
        let result = check.await;
        self.0 = None;
        result
    }
}

async fn check_later(address: SocketAddr, clock: Clock) -> CheckResult {
    sleep(duration_from_millis(CHECK_INTERVAL_MS)).await;
    let checked_at = clock.now();
    if is_unreachable(address).await {
        CheckResult::UnreachableAt(checked_at)
    } else {
        CheckResult::PossiblyReachable
    }
}

/// Whether no connection can be established, or the other side closes it at once.
async fn is_unreachable(address: SocketAddr) -> bool {
    let connect = timeout(duration_from_millis(CONNECT_TIMEOUT_MS), TcpStream::connect(address));
    match connect.await {
        Ok(Ok(stream)) => is_closed_at_once(&stream).await,
        Ok(Err(e)) => !is_local_shortage(&e),
        Err(_) => true,
    }
}

async fn is_closed_at_once(stream: &TcpStream) -> bool {
    timeout(duration_from_millis(MIN_QUEUED_MS), stream.ready(Interest::READABLE)).await.is_ok()
}
