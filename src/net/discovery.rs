//! Drives the subscription to the endpoint list: calls discovery whenever the load balancer requests the
//! list.
//!
//! Answers are passed to the core. `crate::discovery` and the core decide when a failed call is followed by
//! another. Each call uses a new connection.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use log::{debug, warn};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::http_call::fetch;
use super::{Shared, duration_from_millis};
use crate::discovery::{CallError, RETRY_MS};
use crate::help::Help;
use crate::policy::api::{Discovery, EndpointEntry, ListKind, Millis};
use crate::relay::Relay;

/// Shortest time between two renewals of a broken subscription that skip the load balancer's backoff. Without
/// this limit, a discovery service that answers calls but breaks every subscription would be called in a
/// loop.
const MIN_RENEWAL_INTERVAL_MS: Millis = 3000.0;

/// A call that fails sooner than this was not queued by an overloaded service: discovery is unreachable.
const MIN_QUEUED_MS: Millis = 100.0;

/// An answer of discovery: a part of the endpoint list, or all of it.
struct ListAnswer {
    kind: ListKind,
    entries: Vec<EndpointEntry>,
}

/// How a call ended.
enum CallOutcome {
    Answered(ListAnswer),
    Failed(FailedCall),
    /// The address of discovery has changed. The call is cancelled, since it could last for seconds more at
    /// the old address.
    AddressChanged,
}

/// A call that brought no list.
struct FailedCall {
    error: CallError,
    /// Whether discovery was to hold the call until the list changes.
    is_watch: bool,
    /// Whether the connection to discovery was opened.
    has_connected: bool,
    elapsed: Millis,
}

impl FailedCall {
    /// Whether the failure means that discovery is unreachable: no connection was opened, the call broke off
    /// or was refused at once, or a call that discovery was not to hold got no answer within its time limit.
    /// A call that is refused only after a wait has reached a service that is overloaded.
    fn indicates_outage(&self) -> bool {
        let is_broken_or_refused =
            matches!(self.error, CallError::Io(_) | CallError::Truncated(_) | CallError::Status(_));
        let is_unanswered = matches!(self.error, CallError::TimedOut) && !self.is_watch;
        !self.has_connected || is_broken_or_refused && self.elapsed < MIN_QUEUED_MS || is_unanswered
    }
}

/// What the driver does after a call.
#[derive(PartialEq)]
enum NextStep {
    CallAgain,
    /// The load balancer requests the list when the next call is due.
    WaitForRequest,
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
        subscription.is_address_new = tokio::select! {
            () = subscription.shared.list_requested.notified() => false,
            () = subscription.shared.discovery_address_changed.notified() => true,
        };
        // The next call is made as soon as an answer is handled: within 200 ms, the call continues the same
        // subscription.
        while subscription.call_once().await == NextStep::CallAgain {}
    }
}

struct Subscription {
    shared: Rc<Shared>,
    /// Whether the address of discovery has changed and discovery has not answered at the new address yet.
    is_address_new: bool,
    /// When a subscription was last renewed without the load balancer's backoff.
    last_renewal: Millis,
}

impl Subscription {
    fn new(shared: Rc<Shared>) -> Self {
        Subscription { shared, is_address_new: false, last_renewal: f64::NEG_INFINITY }
    }

    fn is_pushed(&self) -> bool {
        self.shared.config.borrow().settings.discovery == Discovery::Pushed
    }

    /// Makes one call and handles its answer or its failure.
    async fn call_once(&mut self) -> NextStep {
        let address = self.shared.config.borrow().discovery;
        let request = self.shared.endpoint_list.borrow_mut().next_request();
        let limit = duration_from_millis(self.shared.endpoint_list.borrow().timeout());
        let is_watch = self.shared.endpoint_list.borrow().is_watch();
        let requested_at = self.shared.clock.now();
        let has_connected = Cell::new(false);
        let outcome = tokio::select! {
            biased;
            () = self.shared.discovery_address_changed.notified() => CallOutcome::AddressChanged,
            answer = timeout(limit, call(&self.shared, address, &request, &has_connected)) => {
                match answer.unwrap_or(Err(CallError::TimedOut)) {
                    Ok(answer) => CallOutcome::Answered(answer),
                    Err(error) => CallOutcome::Failed(FailedCall {
                        error,
                        is_watch,
                        has_connected: has_connected.get(),
                        elapsed: self.shared.clock.now() - requested_at,
                    }),
                }
            }
        };
        match outcome {
            CallOutcome::AddressChanged => {
                self.is_address_new = true;
                NextStep::CallAgain
            }
            CallOutcome::Answered(answer) => {
                self.is_address_new = false;
                self.handle_answer(answer, requested_at);
                NextStep::CallAgain
            }
            CallOutcome::Failed(failed) => {
                let FailedCall { error, elapsed, .. } = &failed;
                let (verdict, poll_failed): (_, fn(&mut Relay, Millis)) = if failed.indicates_outage() {
                    ("unreachable", Relay::discovery_unreachable)
                } else {
                    ("overloaded", Relay::discovery_poll_failed)
                };
                warn!(
                    "discovery at {address}: {error}, after {elapsed:.0} ms; counts as {verdict}; {}",
                    error.help()
                );
                self.shared.with_core(poll_failed);
                self.handle_failure(&failed.error).await
            }
        }
    }

    fn handle_answer(&self, answer: ListAnswer, requested_at: Millis) {
        let ListAnswer { kind, entries } = answer;
        let elapsed = self.shared.clock.now() - requested_at;
        debug!("endpoint list: {kind:?}, {} entries after {elapsed:.0} ms", entries.len());
        for entry in &entries {
            debug!(
                "endpoint list: {} {:?}, size {}, zone {}",
                entry.id.0, entry.state, entry.weight, entry.zone.0
            );
        }
        self.shared.handle_list_update(kind, entries, requested_at);
        self.shared.with_core(Relay::discovery_answered);
    }

    async fn handle_failure(&mut self, error: &CallError) -> NextStep {
        let was_subscribed = self.shared.endpoint_list.borrow_mut().poll_failed();
        if self.is_address_new || self.is_pushed() {
            // The list of an agent counts as known, so the load balancer requests no call after a failure.
            // After a change of address, the load balancer's backoff from failures at the old address may be
            // longer than the relay can wait for a list.
            sleep(duration_from_millis(RETRY_MS)).await;
            return NextStep::CallAgain;
        }
        // The time limit of a call is already a pause, so `MIN_RENEWAL_INTERVAL_MS` is not applied after it.
        let is_timeout = matches!(error, CallError::TimedOut);
        let now = self.shared.clock.now();
        if was_subscribed && (is_timeout || now - self.last_renewal > MIN_RENEWAL_INTERVAL_MS) {
            self.last_renewal = now;
            self.pause_before_renewal(is_timeout).await;
            return NextStep::CallAgain;
        }
        self.shared.with_core(|relay, now| relay.apply_list(now, ListKind::Failed, Vec::new()));
        NextStep::WaitForRequest
    }

    /// Pauses before the subscription is renewed. Discovery may well be healthy, and the relay has to learn
    /// soon of list changes that a silent or broken subscription did not deliver.
    async fn pause_before_renewal(&mut self, is_timeout: bool) {
        let relay_count = self.shared.config.borrow().settings.relay_count;
        let pause = duration_from_millis(
            self.shared.endpoint_list.borrow_mut().renewal_delay(relay_count, is_timeout),
        );
        self.shared.with_core(Relay::subscription_lost);
        tokio::select! {
            () = self.shared.discovery_address_changed.notified() => self.is_address_new = true,
            () = sleep(pause) => {}
        }
    }
}

/// Makes one call to discovery, and sets `has_connected` once the connection is open.
async fn call(
    shared: &Shared,
    address: SocketAddr,
    path: &str,
    has_connected: &Cell<bool>,
) -> Result<ListAnswer, CallError> {
    // Each call opens a connection: a call over a reused connection that discovery has closed would fail
    // needlessly.
    let stream = TcpStream::connect(address).await?;
    has_connected.set(true);
    let body = fetch(stream, &address.to_string(), path).await?;
    let (kind, entries) = shared.endpoint_list.borrow_mut().apply_answer(&body)?;
    Ok(ListAnswer { kind, entries })
}
