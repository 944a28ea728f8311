//! Drives the subscription to discovery's list: calls it whenever the load balancer requests the list.
//!
//! The answers go to the core; when a call follows a failed one is decided by `crate::discovery` and by the
//! core. Each call has a connection of its own.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use log::{debug, warn};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::http_call::fetch;
use super::{Shared, span};
use crate::discovery::{CallError, RETRY_MS};
use crate::help::Help;
use crate::policy::api::{Discovery, EndpointEntry, ListKind, Millis};
use crate::relay::Relay;

/// Shortest time between two subscriptions that broke and were renewed without the load balancer's pause.
/// Otherwise a service that answers calls and breaks every subscription would be called without end.
const MIN_RENEWAL_INTERVAL_MS: Millis = 3000.0;

/// A call that fails sooner than this after it was made did not wait for its turn: there is no service.
const MIN_QUEUED_MS: Millis = 100.0;

/// The entries of an answer.
struct ListAnswer {
    kind: ListKind,
    entries: Vec<EndpointEntry>,
}

/// How a call has ended.
enum CallEnd {
    Answered(ListAnswer),
    Failed(FailedCall),
    /// Discovery is at another address: the call is given up, since it would go on for seconds at the old
    /// one.
    AddressChanged,
}

/// A call without a list.
struct FailedCall {
    error: CallError,
    /// Whether the call was a watch.
    is_watch: bool,
    /// The connection came up.
    has_connected: bool,
    elapsed: Millis,
}

impl FailedCall {
    /// Whether discovery could not be reached: the connection did not come up or was turned away at once,
    /// or a call that discovery was not to hold had no answer at all. One that is turned away after a wait
    /// has reached a service that is crowded.
    fn shows_outage(&self) -> bool {
        let is_turned_away =
            matches!(self.error, CallError::Io(_) | CallError::Cut(_) | CallError::Status(_));
        let is_unanswered = matches!(self.error, CallError::Late) && !self.is_watch;
        !self.has_connected || is_turned_away && self.elapsed < MIN_QUEUED_MS || is_unanswered
    }
}

/// What follows a call.
#[derive(PartialEq)]
enum NextStep {
    CallAgain,
    /// The load balancer decides when the next call is made.
    WaitForRequest,
}

/// Calls whenever the load balancer requests the list, until a call fails; and at once where discovery has
/// moved. Where lists are pushed the load balancer requests nothing: an agent on this machine has the list,
/// and is called all the time.
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
        // The next call follows an answer at once: within 200 ms it continues the same subscription.
        while subscription.call_once().await == NextStep::CallAgain {}
    }
}

struct Subscription {
    shared: Rc<Shared>,
    /// Discovery is at another address, and has not answered there yet.
    is_address_new: bool,
    /// When a subscription was renewed last without the load balancer's pause.
    last_renewal: Millis,
}

impl Subscription {
    fn new(shared: Rc<Shared>) -> Self {
        Subscription { shared, is_address_new: false, last_renewal: f64::NEG_INFINITY }
    }

    fn is_pushed(&self) -> bool {
        self.shared.config.borrow().settings.discovery == Discovery::Pushed
    }

    /// Makes one call and takes its answer.
    async fn call_once(&mut self) -> NextStep {
        let address = self.shared.config.borrow().discovery;
        let request = self.shared.endpoint_list.borrow_mut().next_request();
        let limit = span(self.shared.endpoint_list.borrow().timeout());
        let is_watch = self.shared.endpoint_list.borrow().is_watch();
        let requested_at = self.shared.clock.now();
        let has_connected = Cell::new(false);
        let ended = tokio::select! {
            biased;
            () = self.shared.discovery_address_changed.notified() => CallEnd::AddressChanged,
            answer = timeout(limit, call(&self.shared, address, &request, &has_connected)) => {
                match answer.unwrap_or(Err(CallError::Late)) {
                    Ok(answer) => CallEnd::Answered(answer),
                    Err(error) => CallEnd::Failed(FailedCall {
                        error,
                        is_watch,
                        has_connected: has_connected.get(),
                        elapsed: self.shared.clock.now() - requested_at,
                    }),
                }
            }
        };
        match ended {
            CallEnd::AddressChanged => {
                self.is_address_new = true;
                NextStep::CallAgain
            }
            CallEnd::Answered(answer) => {
                self.is_address_new = false;
                self.handle_answer(answer, requested_at);
                NextStep::CallAgain
            }
            CallEnd::Failed(failed) => {
                let FailedCall { error, elapsed, .. } = &failed;
                warn!("discovery at {address}: {error}, after {elapsed:.0} ms; {}", error.help());
                let poll_failed = if failed.shows_outage() {
                    Relay::discovery_unreachable
                } else {
                    Relay::discovery_poll_failed
                };
                self.shared.core(poll_failed);
                self.handle_failure(&failed.error).await
            }
        }
    }

    fn handle_answer(&self, answer: ListAnswer, requested_at: Millis) {
        let ListAnswer { kind, entries } = answer;
        let elapsed = self.shared.clock.now() - requested_at;
        debug!("list: {kind:?}, {} entries after {elapsed:.0} ms", entries.len());
        for entry in &entries {
            debug!("list: {} {:?} size {} in {}", entry.id.0, entry.state, entry.weight, entry.zone.0);
        }
        self.shared.handle_list_update(kind, entries, requested_at);
        self.shared.core(Relay::discovery_answered);
    }

    async fn handle_failure(&mut self, error: &CallError) -> NextStep {
        let was_subscribed = self.shared.endpoint_list.borrow_mut().poll_failed();
        if self.is_address_new || self.is_pushed() {
            // An agent's list counts as known. After a move, the load balancer may have backed off from the
            // old address for longer than there is time.
            sleep(span(RETRY_MS)).await;
            return NextStep::CallAgain;
        }
        // A call that has timed out has taken its time already.
        let is_silent = matches!(error, CallError::Late);
        let now = self.shared.clock.now();
        if was_subscribed && (is_silent || now - self.last_renewal > MIN_RENEWAL_INTERVAL_MS) {
            self.last_renewal = now;
            self.renew(is_silent).await;
            return NextStep::CallAgain;
        }
        self.shared.core(|relay, now| relay.apply_list(now, ListKind::Failed, Vec::new()));
        NextStep::WaitForRequest
    }

    /// Begins a subscription anew after a pause. The service may be well: a change that a silent or broken
    /// subscription hides has to be known soon.
    async fn renew(&mut self, is_silent: bool) {
        let relay_count = self.shared.config.borrow().settings.relay_count;
        let pause = span(self.shared.endpoint_list.borrow_mut().renewal_delay(relay_count, is_silent));
        self.shared.core(Relay::subscription_lost);
        tokio::select! {
            () = self.shared.discovery_address_changed.notified() => self.is_address_new = true,
            () = sleep(pause) => {}
        }
    }
}

/// Calls discovery; says beside the answer whether the connection has come up.
async fn call(
    shared: &Shared,
    address: SocketAddr,
    path: &str,
    has_connected: &Cell<bool>,
) -> Result<ListAnswer, CallError> {
    // A connection for each call: a reused one that discovery has dropped would fail a call needlessly.
    let stream = TcpStream::connect(address).await?;
    has_connected.set(true);
    let body = fetch(stream, &address.to_string(), path).await?;
    let (kind, entries) = shared.endpoint_list.borrow_mut().apply_answer(&body)?;
    Ok(ListAnswer { kind, entries })
}
