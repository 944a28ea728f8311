//! Health checks of the relays: clients use a relay that answers `PING`, and a dead one is found some
//! seconds later.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::log::RelayIndex;
use crate::process::wait_ready;
use crate::{Log, Millis, duration, lock};

/// The pause between two checks of a healthy relay.
const CHECK_INTERVAL_MS: Millis = 2000.0;
/// How long a healthy relay may leave `PING` unanswered.
const HEALTHY_TIMEOUT_MS: Millis = 1000.0;
/// How long a check waits for a relay that is not healthy.
const UNHEALTHY_TIMEOUT_MS: Millis = 60_000.0;
/// The pause after a check that failed.
const RETRY_INTERVAL_MS: Millis = 10.0;
/// How often [`HealthChecker::wait_for`] checks its condition.
const RECHECK_INTERVAL_MS: Millis = 20.0;

/// A relay as clients see it.
struct RelayHealth {
    listen: SocketAddr,
    healthy: bool,
}

/// The check of which relays clients can use. It ends when it is dropped.
pub struct HealthChecker {
    relays: Arc<Mutex<Vec<RelayHealth>>>,
    tasks: Vec<AbortHandle>,
}

impl HealthChecker {
    /// Checks the relays at these addresses, in the order of their numbers.
    pub fn new(listens: &[SocketAddr], log: &Log) -> HealthChecker {
        let relays = listens.iter().map(|listen| RelayHealth { listen: *listen, healthy: false }).collect();
        let relays = Arc::new(Mutex::new(relays));
        let spawn = |relay| tokio::spawn(check(relay, relays.clone(), log.clone())).abort_handle();
        let tasks = (0..listens.len()).map(spawn).collect();
        HealthChecker { relays, tasks }
    }

    /// The relays that are healthy now.
    pub fn healthy(&self) -> Vec<RelayIndex> {
        let relays = lock(&self.relays);
        relays.iter().enumerate().filter(|(_, relay)| relay.healthy).map(|(index, _)| index).collect()
    }

    /// Where a relay listens.
    pub(super) fn listen(&self, relay: RelayIndex) -> SocketAddr {
        lock(&self.relays)[relay].listen
    }

    /// Waits until so many relays are healthy, for at most `timeout_ms`; returns whether they are.
    pub async fn wait_for(&self, relays: usize, timeout_ms: Millis) -> bool {
        let all_healthy = async {
            while self.healthy().len() < relays {
                sleep(duration(RECHECK_INTERVAL_MS)).await;
            }
        };
        timeout(duration(timeout_ms), all_healthy).await.is_ok()
    }
}

impl Drop for HealthChecker {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Checks one relay, for ever.
async fn check(relay: RelayIndex, relays: Arc<Mutex<Vec<RelayHealth>>>, log: Log) {
    let discarded_log = Log::default();
    let listen = lock(&relays)[relay].listen;
    loop {
        let was_healthy = lock(&relays)[relay].healthy;
        // Only a relay that becomes ready is an event.
        let log = if was_healthy { &discarded_log } else { &log };
        let timeout_ms = if was_healthy { HEALTHY_TIMEOUT_MS } else { UNHEALTHY_TIMEOUT_MS };
        let healthy = wait_ready(relay, listen, log, timeout_ms).await.is_ok();
        lock(&relays)[relay].healthy = healthy;
        sleep(duration(if healthy { CHECK_INTERVAL_MS } else { RETRY_INTERVAL_MS })).await;
    }
}
