//! Drives the watch on discovery's list.

use std::net::SocketAddr;
use std::rc::Rc;

use log::{debug, warn};
use tokio::net::TcpStream;

use super::http_call::fetch;
use super::{Shared, span};
use crate::discovery::{CallError, RETRY_MS};
use crate::help::Help;
use crate::policy::api::{Discovery, EndpointEntry, ListKind, Millis};
use crate::relay::Relay;

/// Least time between two watches that are followed by another call without the load balancer's pause. A service that answers
/// calls and breaks every watch would be asked without end.
const ANEW_EVERY: Millis = 3000.0;

/// Watches whenever the load balancer asks for it, until a call fails; and at once where discovery has moved. Where lists are
/// pushed the load balancer asks for nothing: an agent on this machine has what was sent to it, and is watched all the time.
pub async fn watch(shared: Rc<Shared>) {
    let pushed = || shared.config.borrow().settings.discovery == Discovery::Pushed;
    if pushed() {
        shared.list_requested.notify_one();
    }
    let mut anew = f64::NEG_INFINITY;
    loop {
        let mut moved = tokio::select! {
            () = shared.list_requested.notified() => false,
            () = shared.discovery_moved.notified() => true,
        };
        // The next call follows an answer at once: within 200 ms it continues the same watch.
        loop {
            let address = shared.config.borrow().discovery;
            let request = shared.endpoint_list.borrow_mut().request();
            let limit = span(shared.endpoint_list.borrow().timeout());
            let asked = shared.clock.now();
            let answer = tokio::select! {
                biased;
                // The watch that is out would go on for seconds, and tell of the old place only.
                () = shared.discovery_moved.notified() => {
                    moved = true;
                    continue;
                }
                answer = tokio::time::timeout(limit, call(&shared, address, &request)) => answer,
            };
            match answer.unwrap_or(Err(CallError::Late)) {
                Ok((kind, entries)) => {
                    moved = false;
                    let took = shared.clock.now() - asked;
                    debug!("list: {kind:?}, {} entries after {took:.0} ms", entries.len());
                    for e in &entries {
                        debug!("list: {} {:?} size {} in {}", e.id.0, e.state, e.weight, e.zone.0);
                    }
                    shared.handle_list_update(kind, entries, asked);
                }
                Err(e) => {
                    let took = shared.clock.now() - asked;
                    warn!("discovery at {address}: {e}, after {took:.0} ms; {}", e.help());
                    let going = shared.endpoint_list.borrow_mut().broken();
                    if moved || pushed() {
                        // What an agent has counts as told. After a move the load balancer may have backed off from the old
                        // place for longer than there is time.
                        tokio::time::sleep(span(RETRY_MS)).await;
                        continue;
                    }
                    // One that fell silent has taken its time already.
                    let (now, silent) = (shared.clock.now(), matches!(e, CallError::Late));
                    if going && (silent || now - anew > ANEW_EVERY) {
                        // The service may be well: what a silent or broken watch hides counts as told soon.
                        anew = now;
                        let relays = shared.config.borrow().settings.relay_count;
                        let pause = span(shared.endpoint_list.borrow_mut().anew(relays, silent));
                        shared.core(Relay::subscription_lost);
                        tokio::select! {
                            () = shared.discovery_moved.notified() => moved = true,
                            () = tokio::time::sleep(pause) => {}
                        }
                        continue;
                    }
                    shared.core(|relay, now| relay.apply_list(now, ListKind::Failed, Vec::new()));
                    break;
                }
            }
        }
    }
}

async fn call(
    shared: &Rc<Shared>,
    address: SocketAddr,
    asked: &str,
) -> Result<(ListKind, Vec<EndpointEntry>), CallError> {
    // A connection for each call: a kept one that discovery has dropped would fail a call for nothing.
    let stream = TcpStream::connect(address).await?;
    let body = fetch(stream, &address.to_string(), asked).await?;
    Ok(shared.endpoint_list.borrow_mut().answer(&body)?)
}
