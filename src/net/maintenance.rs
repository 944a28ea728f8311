//! Drives the maintenance service, which grants maintenance windows: passes the endpoint list, datagrams,
//! operators' calls and the time to the service, sends its messages and logs its events. Where the
//! configuration has no section for maintenance, there is no service.

use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use sandgw_cluster::drain_gossip::DiscoveryAnswer;
use sandgw_maintenance::call::Call;
use sandgw_maintenance::plan::{CapacityPlan, Endpoint};
use sandgw_maintenance::{MaintenanceService, ServiceConfig, WholeMillis, WindowId, WindowRow, codec};
use tokio::time::MissedTickBehavior;

use super::Shared;
use super::accept::wait_for_accepting;
use crate::config::Config;
use crate::policy::api::{EndpointEntry, EndpointState, ListKind, Millis};
use crate::relay::operator_calls::OperatorCallError;

/// Longest time that a call waits for the leader's decision. After this time, the reply says that the window
/// is still undecided.
const MAX_DECISION_WAIT_MS: Millis = 3000.0;
/// How often a waiting call checks whether the leader has decided.
const DECISION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The number of ticks of the service in a lease.
const TICKS_PER_LEASE: WholeMillis = 60;
/// The shortest and the longest interval between ticks.
const MIN_TICK_MS: WholeMillis = 10;
const MAX_TICK_MS: WholeMillis = 500;

/// Creates the maintenance service; `None` where the configuration has no section for it. `now` is in
/// milliseconds.
pub fn create_service(config: &Config, now: Millis) -> Option<MaintenanceService> {
    let section = config.maintenance.as_ref()?;
    let service_config = ServiceConfig {
        local_index: config.settings.local_index,
        relay_count: config.peers.len().max(1) as u32,
        floors: section.floors.clone(),
        timing: section.timing,
        voters: section.voters.clone(),
        may_override: section.may_override.clone(),
    };
    Some(MaintenanceService::new(service_config, now as WholeMillis))
}

impl Shared {
    /// Runs a step of the service, then sends its messages and logs its events. Returns `None` where there is
    /// no service.
    fn with_maintenance<T>(&self, step: impl FnOnce(&mut MaintenanceService, WholeMillis) -> T) -> Option<T> {
        let mut service = self.maintenance.as_ref()?.borrow_mut();
        let result = step(&mut service, self.clock.now() as WholeMillis);
        for outgoing in service.take_outbox() {
            self.send_datagram_to_peer(outgoing.to, codec::encode(&outgoing.message).as_bytes());
        }
        for event in service.take_events() {
            if event.is_alarm() { warn!("maintenance: {event}") } else { info!("maintenance: {event}") }
        }
        Some(result)
    }

    /// Passes an update of the endpoint list to the maintenance service and to the core. `requested_at` is
    /// when discovery was called for the update.
    pub(super) fn handle_list_update(
        self: &Rc<Self>,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
        requested_at: Millis,
    ) {
        self.with_maintenance(|service, now| update_plan(service.plan_mut(), kind, &entries, now));
        let revision = self.endpoint_list.borrow().revision_and_entries().0;
        let is_full = kind == ListKind::Full;
        let is_answer = is_full || kind == ListKind::Delta;
        self.with_core(|relay, now| match revision.filter(|_| is_answer) {
            Some(revision) => {
                let answer = DiscoveryAnswer { revision, requested_at, is_full };
                relay.apply_discovery_answer(now, answer, entries)
            }
            None => relay.load_cached_list(now, revision, entries),
        });
    }

    /// Handles a datagram if it is about maintenance windows, and returns whether it is.
    pub(super) fn handle_maintenance_datagram(&self, peer: u32, datagram: &[u8]) -> bool {
        let text = std::str::from_utf8(datagram).ok().filter(|text| text.starts_with(codec::PREFIX));
        let Some(text) = text.filter(|_| self.maintenance.is_some()) else { return false };
        debug!("maintenance: relay {peer} sent {text}");
        self.with_maintenance(|service, now| service.handle_datagram(now, peer, text));
        true
    }

    /// Carries out an operator's call about maintenance windows. The reply to a request or an extension is
    /// held until the leader has decided, for `MAX_DECISION_WAIT_MS` at most, so that most replies state the
    /// decision.
    ///
    /// # Errors
    /// The reason why the call was not carried out.
    pub(super) async fn window_call(&self, call: Call) -> Result<String, OperatorCallError> {
        if self.relay.borrow().is_handed_over() {
            return Err(OperatorCallError::HandedOver);
        }
        let awaits_decision = matches!(call, Call::Request(_) | Call::Extend { .. });
        let handled = self.with_maintenance(|service, now| service.handle_call(now, call));
        let window =
            handled.ok_or(OperatorCallError::Unknown)?.map_err(OperatorCallError::MaintenanceWindow)?;
        let Some(id) = window else { return Ok(self.describe_all_windows()) };
        if awaits_decision {
            self.wait_for_decision(id).await;
        }
        Ok(self.describe_window(id))
    }

    async fn wait_for_decision(&self, id: WindowId) {
        let deadline = self.clock.now() + MAX_DECISION_WAIT_MS;
        let is_undecided = || self.with_maintenance(|service, _| service.is_undecided(id)).unwrap_or(false);
        while self.clock.now() < deadline && is_undecided() {
            tokio::time::sleep(DECISION_POLL_INTERVAL).await;
        }
    }

    fn describe_window(&self, id: WindowId) -> String {
        let row = self.with_maintenance(|service, now| service.window_row(id, now)).flatten();
        row.map_or_else(|| format!("{id} closed"), |row| format_row(&row))
    }

    fn describe_all_windows(&self) -> String {
        let reply = self.with_maintenance(|service, now| {
            let mut parts = vec![service.describe_remaining(now)];
            parts.extend(service.alarms(now));
            parts.extend(service.window_rows(now).iter().map(format_row));
            parts.join("; ")
        });
        reply.unwrap_or_default()
    }
}

fn format_row(row: &WindowRow) -> String {
    format!("{} {}: {}", row.id, row.scope, row.status)
}

fn update_plan(plan: &mut CapacityPlan, kind: ListKind, entries: &[EndpointEntry], now: WholeMillis) {
    if matches!(kind, ListKind::Full | ListKind::Cached) {
        plan.clear_endpoints();
    }
    for entry in entries {
        match entry.state {
            EndpointState::Removed => plan.remove_endpoint(&entry.id.0),
            _ => plan.upsert_endpoint(&planned_endpoint(entry)),
        }
    }
    // A cached list may be out of date, so the plan does not count as confirmed by it.
    if matches!(kind, ListKind::Full | ListKind::Delta) {
        plan.confirm_list(now);
    }
}

/// Converts an entry of the endpoint list for the capacity plan, which counts capacity in thousandths.
fn planned_endpoint(entry: &EndpointEntry) -> Endpoint {
    Endpoint {
        id: entry.id.0.to_string(),
        zone: entry.zone.0.to_string(),
        capacity: (entry.weight.max(0.0) * 1000.0) as u64,
        is_ready: entry.state == EndpointState::Ready,
        started_at: entry.started.max(0.0) as WholeMillis,
    }
}

/// Ticks the maintenance service whenever this process accepts clients, for as long as the program runs.
pub async fn run_ticks(shared: Rc<Shared>) {
    let lease = shared.config.borrow().maintenance.as_ref().map(|section| section.timing.lease);
    let Some(lease) = lease else { return };
    let tick_ms = (lease / TICKS_PER_LEASE).clamp(MIN_TICK_MS, MAX_TICK_MS);
    let mut interval = tokio::time::interval(Duration::from_millis(tick_ms));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut gate = shared.accepting.subscribe();
    loop {
        wait_for_accepting(&mut gate, true).await;
        interval.tick().await;
        shared.with_maintenance(|service, now| service.tick(now));
    }
}
