//! Drives maintenance windows: the list, datagrams, calls and the time go in, datagrams and words come out. All of it
//! rests where the configuration has no section for it.

use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use sandgw_cluster::drain_gossip::DiscoveryAnswer;
use sandgw_maintenance::call::Call;
use sandgw_maintenance::plan::Endpoint;
use sandgw_maintenance::{MaintenanceService, Row, WindowId, codec};

use super::{Shared, until};
use crate::config::Config;
use crate::policy::api::{EndpointEntry, EndpointState, ListKind, Millis};
use crate::relay::lifecycle::Refusal;

/// A caller waits so long at the most for what the office says, and is told meanwhile that it waits.
const PATIENCE: Millis = 3000.0;
/// How often it is looked for.
const LOOK: Duration = Duration::from_millis(20);

/// The desk, where there is a section for it.
pub fn desk(config: &Config, now: Millis) -> Option<MaintenanceService> {
    let own = config.maintenance.as_ref()?;
    let tier = (config.settings.local_index, config.peers.len().max(1) as u32);
    let (floors, voters, may) = (own.floors.clone(), own.voters.clone(), own.may_override.clone());
    Some(MaintenanceService::new(tier, floors, own.timing, voters, may, now as u64))
}

impl Shared {
    /// Has the desk do something, then sends and says what comes of it.
    fn at_desk<T>(&self, f: impl FnOnce(&mut MaintenanceService, u64) -> T) -> Option<T> {
        let mut desk = self.desk.as_ref()?.borrow_mut();
        let result = f(&mut desk, self.clock.now() as u64);
        for (peer, message) in desk.take_sends() {
            self.send(peer, codec::text(&message).as_bytes());
        }
        for event in desk.take_events() {
            if event.is_alarm() { warn!("maintenance: {event}") } else { info!("maintenance: {event}") }
        }
        Some(result)
    }

    /// News of the list, for the core and for the desk; `asked` is when the call was made that it answers.
    pub(super) fn listed(self: &Rc<Self>, kind: ListKind, entries: Vec<EndpointEntry>, asked: Millis) {
        self.at_desk(|desk, now| {
            let plan = desk.plan();
            if matches!(kind, ListKind::Full | ListKind::Cached) {
                plan.clear();
            }
            for e in &entries {
                match e.state {
                    EndpointState::Removed => plan.gone(&e.id.0),
                    _ => plan.put(&endpoint(e)),
                }
            }
            // What was held last may be old.
            if matches!(kind, ListKind::Full | ListKind::Delta) {
                plan.confirmed(now);
            }
        });
        let revision = self.endpoint_list.borrow().held().0;
        let whole = kind == ListKind::Full;
        self.core(|relay, now| match revision.filter(|_| whole || kind == ListKind::Delta) {
            Some(revision) => relay.answered(
                now,
                DiscoveryAnswer { revision, requested_at: asked, is_full: whole },
                entries,
            ),
            None => relay.known(now, revision, entries),
        });
    }

    /// Takes a datagram, if it is of windows.
    pub(super) fn told_of_windows(&self, peer: u32, datagram: &[u8]) -> bool {
        let text = std::str::from_utf8(datagram).ok().filter(|text| text.starts_with(codec::FIRST));
        let Some(text) = text.filter(|_| self.desk.is_some()) else { return false };
        debug!("maintenance: relay {peer} tells {text}");
        self.at_desk(|desk, now| desk.told(now, peer, text));
        true
    }

    /// Carries out an operator's call. What is asked for is waited for a little, so that most hear at once how it stands.
    pub(super) async fn window_call(&self, call: Call) -> Result<String, Refusal> {
        if self.relay.borrow().is_handed_over() {
            return Err(Refusal::HandedOver);
        }
        let asks = matches!(call, Call::Window { .. } | Call::Extend(..));
        let done = self.at_desk(|desk, now| desk.call(now, call)).ok_or(Refusal::Unknown)?;
        let Some(id) = done.map_err(Refusal::Window)? else { return Ok(self.all_windows()) };
        let until = self.clock.now() + PATIENCE;
        while asks && self.clock.now() < until && self.at_desk(|desk, _| desk.is_open(id)) == Some(true) {
            tokio::time::sleep(LOOK).await;
        }
        Ok(self.one_window(id))
    }

    fn one_window(&self, id: WindowId) -> String {
        let row = self.at_desk(|desk, now| desk.row(id, now)).flatten();
        row.map_or_else(|| format!("{id} closed"), |row| said(&row))
    }

    fn all_windows(&self) -> String {
        let says = self.at_desk(|desk, now| {
            let rows: Vec<String> = desk.rows(now).iter().map(said).collect();
            [vec![desk.says_left(now)], desk.alarms(now), rows].concat().join("; ")
        });
        says.unwrap_or_default()
    }
}

fn said(row: &Row) -> String {
    format!("{} {}: {}", row.id, row.what, row.standing)
}

fn endpoint(e: &EndpointEntry) -> Endpoint {
    Endpoint {
        id: e.id.0.to_string(),
        zone: e.zone.0.to_string(),
        size: (e.weight.max(0.0) * 1000.0) as u64,
        ready: e.state == EndpointState::Ready,
        started: e.started.max(0.0) as u64,
    }
}

/// Lets the time pass at the desk, for as long as the program runs and while it serves.
pub async fn keep(shared: Rc<Shared>) {
    let lease = shared.config.borrow().maintenance.as_ref().map(|own| own.timing.lease);
    let Some(lease) = lease else { return };
    let mut interval = tokio::time::interval(Duration::from_millis((lease / 60).clamp(10, 500)));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut gate = shared.gate.subscribe();
    loop {
        until(&mut gate, true).await;
        interval.tick().await;
        shared.at_desk(|desk, now| desk.tick(now));
    }
}
