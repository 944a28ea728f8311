//! Drives the subscription to the endpoint list: calls discovery whenever the load balancer requests the
//! list.
//!
//! Answers are passed to the core. `crate::discovery` and the core decide when a failed call is followed by
//! another. Each call uses a new connection.

mod calls;
mod reachability;

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use log::{debug, info, warn};
use tokio::time::{Instant, sleep_until};

use self::calls::{CallEvent, OpenCall, OpenCalls, OverdueCall};
use self::reachability::{CheckResult, ReachabilityCheck};
use super::{Shared, duration_from_millis, is_local_shortage};
use crate::discovery::{CallError, FailedCall, RETRY_MS, Reachability, SECOND_CALL_AFTER_MS, SentCall};
use crate::help::Help;
use crate::policy::api::{Discovery, EndpointEntry, ListKind, Millis};
use crate::relay::Relay;

/// Shortest time between two renewals of a broken subscription that skip the load balancer's backoff. Without
/// this limit, a discovery service that answers calls but breaks every subscription would be called in a
/// loop.
const MIN_RENEWAL_INTERVAL_MS: Millis = 3000.0;

/// When the next call is made.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NextCall {
    /// The latest call has not ended yet.
    AfterLatest,
    /// The load balancer requests the list when the next call is due.
    WhenRequested,
    At(Instant),
}

/// Calls discovery whenever the load balancer requests the list, and at once when the address of discovery
/// changes. Calls follow each other until one fails. Where lists are pushed, the load balancer requests none:
/// an agent on this machine has the list, and is called continuously.
pub async fn watch(shared: Rc<Shared>) {
    let mut subscription = Subscription::new(shared);
    if subscription.is_pushed() {
        subscription.shared.list_requested.notify_one();
    }
    loop {
        subscription.run_step().await;
    }
}

struct Subscription {
    shared: Rc<Shared>,
    calls: OpenCalls,
    next_call: NextCall,
    /// Pending while the latest call could not reach discovery and the next one is not due.
    reachability_check: ReachabilityCheck,
    /// Whether the address of discovery has changed and discovery has not answered at the new address yet.
    is_address_new: bool,
    /// When a subscription was last renewed without the load balancer's backoff.
    last_renewal: Millis,
}

impl Subscription {
    fn new(shared: Rc<Shared>) -> Self {
        Subscription {
            shared,
            calls: OpenCalls::default(),
            next_call: NextCall::WhenRequested,
            reachability_check: ReachabilityCheck::default(),
            is_address_new: false,
            last_renewal: f64::NEG_INFINITY,
        }
    }

    fn is_pushed(&self) -> bool {
        self.shared.config.borrow().settings.discovery == Discovery::Pushed
    }

    /// Waits for the next event, and handles it.
    async fn run_step(&mut self) {
        let due = if let NextCall::At(at) = self.next_call { Some(at) } else { None };
        let takes_requests = self.next_call == NextCall::WhenRequested;
        tokio::select! {
            biased;
            () = self.shared.discovery_address_changed.notified() => self.handle_new_address(),
            event = self.calls.next_event() => self.handle_call_event(event),
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => self.start_call(),
            () = self.shared.list_requested.notified(), if takes_requests => self.schedule_call(0.0),
            result = self.reachability_check.finished() => self.handle_reachability_check(result),
        }
    }

    /// Calls the new address at once. The calls to the old address could last for seconds more.
    fn handle_new_address(&mut self) {
        self.calls.clear();
        self.is_address_new = true;
        self.start_call();
    }

    fn start_call(&mut self) {
        self.next_call = NextCall::AfterLatest;
        self.reachability_check.cancel();
        let address = self.shared.config.borrow().discovery;
        let mut list = self.shared.endpoint_list.borrow_mut();
        let path = list.next_request();
        let call = list.sent_call(self.shared.clock.now());
        self.calls.set_latest(OpenCall::start(address, path, call, list.timeout()));
    }

    /// Schedules the next call, in `delay` ms at the earliest. A service that has not answered an overdue
    /// call yet is given time to do so, unless its address is new.
    fn schedule_call(&mut self, delay: Millis) {
        let at = Instant::now() + duration_from_millis(delay);
        let earliest = self.calls.overdue_since().filter(|_| !self.is_address_new);
        let earliest = earliest.map(|since| since + duration_from_millis(SECOND_CALL_AFTER_MS));
        self.next_call = NextCall::At(earliest.map_or(at, |earliest| earliest.max(at)));
    }

    fn handle_call_event(&mut self, event: CallEvent) {
        match event {
            CallEvent::LatestEnded(ended, Ok(body)) | CallEvent::OverdueEnded(ended, Ok(body)) => {
                self.handle_body(&ended, &body);
            }
            CallEvent::LatestEnded(ended, Err(error)) => self.handle_failed_call(&ended, error),
            CallEvent::LatestOverdue(overdue) => self.handle_overdue_call(&overdue),
            // The calls after it decide when the next one is made.
            CallEvent::OverdueEnded(ended, Err(error)) => {
                let elapsed = self.elapsed_since(ended.call);
                info!("discovery at {}: {error}, after {elapsed:.0} ms; {}", ended.address, error.help());
            }
            CallEvent::OverdueGivenUp(call) => {
                let elapsed = self.elapsed_since(call.call);
                info!(
                    "discovery at {}: a call without an answer is closed after {elapsed:.0} ms",
                    call.address
                );
            }
        }
    }

    fn elapsed_since(&self, call: SentCall) -> Millis {
        self.shared.clock.now() - call.sent_at
    }

    /// Handles an answer to any of the calls. All calls asked for the same, so the others are closed.
    fn handle_body(&mut self, ended: &OpenCall, body: &Bytes) {
        self.calls.clear();
        let applied = self.shared.endpoint_list.borrow_mut().apply_answer(body);
        match applied {
            Ok((kind, entries)) => {
                self.is_address_new = false;
                self.handle_answer(ended.call, kind, entries);
                // The next call is made as soon as an answer is handled: within 200 ms, the call continues
                // the same subscription.
                self.start_call();
            }
            Err(error) => self.handle_failed_call(ended, error.into()),
        }
    }

    fn handle_answer(&self, call: SentCall, kind: ListKind, entries: Vec<EndpointEntry>) {
        let elapsed = self.elapsed_since(call);
        debug!("endpoint list: {kind:?}, {} entries after {elapsed:.0} ms", entries.len());
        for entry in &entries {
            debug!(
                "endpoint list: {} {:?}, size {}, zone {}",
                entry.id.0, entry.state, entry.weight, entry.zone.0
            );
        }
        self.shared.endpoint_list.borrow_mut().record_answer_time(call, self.shared.clock.now());
        self.shared.handle_list_update(kind, entries, call.sent_at);
        self.shared.has_discovery_answered.set(true);
        self.shared.with_core(|relay, now| relay.discovery_answered(now, call.confirmed_at(now)));
        self.shared.list_confirmed.notify_one();
    }

    /// Handles a call that may still be answered.
    fn handle_overdue_call(&mut self, overdue: &OverdueCall) {
        let failed = FailedCall {
            error: CallError::TimedOut,
            has_connected: true,
            is_local: false,
            elapsed: self.elapsed_since(overdue.call),
        };
        self.handle_failure(overdue.call, overdue.address, &failed);
    }

    fn handle_failed_call(&mut self, ended: &OpenCall, error: CallError) {
        let failed = FailedCall {
            is_local: matches!(&error, CallError::Io(e) if !ended.has_connected() && is_local_shortage(e)),
            error,
            has_connected: ended.has_connected(),
            elapsed: self.elapsed_since(ended.call),
        };
        self.handle_failure(ended.call, ended.address, &failed);
    }

    fn handle_failure(&mut self, call: SentCall, address: SocketAddr, failed: &FailedCall) {
        let FailedCall { error, elapsed, .. } = failed;
        let reachability = failed.reachability();
        warn!("discovery at {address}: {error}, after {elapsed:.0} ms; {reachability}; {}", error.help());
        match reachability {
            Reachability::Unreachable => self.handle_unreachable(call.sent_at),
            Reachability::PossiblyReachable => self.shared.with_core(Relay::discovery_poll_failed),
        }
        self.schedule_after_failure(error);
    }

    /// Handles a proof that discovery could not be reached at a time. The core is told again as long as that
    /// is so: the next call may be due long after.
    fn handle_unreachable(&mut self, at: Millis) {
        self.shared.with_core(|relay, now| relay.discovery_unreachable(now, at));
        self.shared.list_confirmed.notify_one();
        let address = self.shared.config.borrow().discovery;
        self.reachability_check.schedule(address, self.shared.clock);
    }

    fn handle_reachability_check(&mut self, result: CheckResult) {
        match result {
            CheckResult::UnreachableAt(at) => self.handle_unreachable(at),
            CheckResult::PossiblyReachable => debug!("discovery: accepts connections again"),
        }
    }

    fn schedule_after_failure(&mut self, error: &CallError) {
        let was_subscribed = self.shared.endpoint_list.borrow_mut().poll_failed();
        if self.is_address_new || self.is_pushed() {
            // The list of an agent counts as known, so the load balancer requests no call after a failure.
            // After a change of address, the load balancer's backoff from failures at the old address may be
            // longer than the relay can wait for a list.
            return self.schedule_call(RETRY_MS);
        }
        // The time limit of a call is already a pause, so `MIN_RENEWAL_INTERVAL_MS` is not applied after it.
        let is_timeout = matches!(error, CallError::TimedOut);
        let now = self.shared.clock.now();
        if was_subscribed && (is_timeout || now - self.last_renewal > MIN_RENEWAL_INTERVAL_MS) {
            self.last_renewal = now;
            return self.schedule_renewal(is_timeout);
        }
        self.next_call = NextCall::WhenRequested;
        self.shared.with_core(|relay, now| relay.apply_list(now, ListKind::Failed, Vec::new()));
    }

    /// Schedules the renewal of the subscription. Discovery may well be healthy, and the relay has to learn
    /// soon of list changes that a silent or broken subscription did not deliver.
    fn schedule_renewal(&mut self, is_timeout: bool) {
        let relay_count = self.shared.config.borrow().settings.relay_count;
        let delay = self.shared.endpoint_list.borrow_mut().renewal_delay(relay_count, is_timeout);
        self.shared.with_core(Relay::subscription_lost);
        self.schedule_call(delay);
    }
}
