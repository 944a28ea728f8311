//! Faults: endpoints that drain, crash and come back, relays that are killed, surges and bursts of clients,
//! and lists that fail.

use rand::RngExt;
use rand::seq::SliceRandom;

use super::checks::Rule;
use super::timeline::{RequestRef, ScheduledEvent};
use super::world::{ENDPOINTS, FAULTS_MS, ObservedConnection, Placement, World, new_relay};
use crate::policy::api::{EndpointState, ListKind, Millis, Outcome, RequestId};
use crate::tests::{START, endpoint};

/// No new fault after the faults less this: the last have ended by then.
const LAST_FAULTS_MS: Millis = 4_500.0;
/// An endpoint's clients are asked to reconnect within this of the notice, and one that was established
/// since within a step.
const MIGRATED_WITHIN_MS: Millis = 1_300.0;
/// Parts of the relays that are killed at once; at least one is.
const KILLED_FRACTIONS: [f64; 3] = [0.0, 0.1, 0.7];

impl World {
    pub(super) fn handle_fault(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Fault if self.now < START + FAULTS_MS - LAST_FAULTS_MS => {
                self.draw_fault();
                let pause = self.random_span(100.0, 900.0);
                self.after(pause, ScheduledEvent::Fault);
            }
            ScheduledEvent::Surge(on) => self.surge = on,
            ScheduledEvent::DescriptorsFree { relay } => self.relays[relay].descriptors_short = false,
            ScheduledEvent::EndpointRemoved { endpoint, drained } => self.remove_endpoint(endpoint, drained),
            ScheduledEvent::EndpointReturns { endpoint } => self.return_endpoint(endpoint),
            ScheduledEvent::RelayStarts { relay } => self.start_relay(relay),
            // What is not due any more once the faults have ended, or is for a relay that does not run.
            _ => {}
        }
    }

    fn draw_fault(&mut self) {
        let endpoint = self.random.random_range(0..ENDPOINTS);
        let relay = self.random_relay();
        let unready = self.endpoints.iter().filter(|e| e.state != EndpointState::Ready).count();
        let removable = self.endpoints[endpoint].state == EndpointState::Ready && unready < ENDPOINTS / 2;
        match self.random.random_range(0..11) {
            0..3 if removable => self.drain_endpoint(endpoint),
            3 if removable => self.after(0.0, ScheduledEvent::EndpointRemoved { endpoint, drained: false }),
            4 if removable => {
                // It restarts at once.
                self.after(0.0, ScheduledEvent::EndpointRemoved { endpoint, drained: false });
                self.after(1.0, ScheduledEvent::EndpointReturns { endpoint });
            }
            5 => {
                self.after(0.0, ScheduledEvent::Surge(true));
                self.after(1_500.0, ScheduledEvent::Surge(false));
            }
            6 => {
                self.relays[relay].descriptors_short = true;
                let shortage = self.random_span(500.0, 2_500.0);
                self.after(shortage, ScheduledEvent::DescriptorsFree { relay });
            }
            7 => {
                self.send_list(relay, ListKind::Failed, Vec::new());
                // The whole list follows a failed call. What a relay is told is as old as its way takes.
                let whole = self.full_list();
                self.send_list(relay, ListKind::Full, whole);
            }
            8 => self.break_connections(endpoint, 0.5),
            9 => self.kill_relays(),
            10 => self.let_all_clients_leave(),
            _ => {}
        }
    }

    fn drain_endpoint(&mut self, endpoint: usize) {
        self.endpoints[endpoint].state = EndpointState::Draining;
        self.announce(endpoint);
        let drain = self.random_span(2_500.0, 4_000.0);
        self.after(drain, ScheduledEvent::EndpointRemoved { endpoint, drained: true });
    }

    fn remove_endpoint(&mut self, endpoint: usize, drained: bool) {
        if drained {
            self.check_migrated(endpoint);
        }
        self.endpoints[endpoint].state = EndpointState::Removed;
        self.announce(endpoint);
        self.break_connections(endpoint, 1.0);
        let away = self.random_span(500.0, 3_000.0);
        self.after(away, ScheduledEvent::EndpointReturns { endpoint });
    }

    fn return_endpoint(&mut self, endpoint: usize) {
        let returned = &mut self.endpoints[endpoint];
        if returned.state == EndpointState::Ready {
            return;
        }
        returned.state = EndpointState::Ready;
        returned.started = self.now;
        returned.cold_attempts.clear();
        self.announce(endpoint);
    }

    /// An endpoint that drained leaves now: those of its clients that it does not migrate itself were asked
    /// to reconnect.
    fn check_migrated(&mut self, i: usize) {
        let now = self.now;
        let mut all = Vec::new();
        for (relay, process) in self.relays.iter().enumerate() {
            let since = process.draining.get(&endpoint(i));
            if !since.is_some_and(|since| now - since > MIGRATED_WITHIN_MS) {
                continue;
            }
            let long_there = |c: &ObservedConnection| {
                let long = |at: &Placement| at.endpoint == endpoint(i) && now - at.since > MIGRATED_WITHIN_MS;
                c.established.as_ref().is_some_and(long)
            };
            let due = process.connections.iter().filter(|(_, c)| !c.drained_by_endpoint && long_there(c));
            all.extend(due.map(|(id, c)| (relay, *id, c.migrated)));
            all.push((relay, RequestId(u64::MAX), true));
        }
        for (relay, id, migrated) in all {
            self.check(Rule::Migrated, migrated, || {
                format!("the client of {id:?} at relay {relay} was not asked to reconnect before s{i} left")
            });
        }
    }

    /// Ends established connections of an endpoint, a fraction of them, and their clients come again.
    fn break_connections(&mut self, i: usize, fraction: f64) {
        for relay in 0..self.relays.len() {
            let at =
                |c: &ObservedConnection| c.established.as_ref().is_some_and(|at| at.endpoint == endpoint(i));
            let connections = self.relays[relay].connections.iter().filter(|(_, c)| at(c));
            for id in connections.map(|(id, _)| *id).collect::<Vec<_>>() {
                if self.random.random_bool(fraction) {
                    let client = self.relays[relay].connections[&id].client;
                    self.close(RequestRef { relay, id }, Outcome::Reset);
                    self.reconnect(client, true);
                }
            }
        }
    }

    /// One, a tenth, or seven in ten at once; some always run.
    fn kill_relays(&mut self) {
        let relays = self.relays.len();
        let fraction = KILLED_FRACTIONS[self.random.random_range(0..KILLED_FRACTIONS.len())];
        let count = ((relays as f64 * fraction) as usize).max(1);
        let mut running = self.running_relays();
        running.shuffle(&mut self.random);
        let max = running.len().saturating_sub(relays / 4).min(count);
        for relay in running.drain(..max) {
            self.kill_relay(relay);
            let away = self.random_span(100.0, 2_000.0);
            self.after(away, ScheduledEvent::RelayStarts { relay });
        }
    }

    /// A relay's process is killed, with all that it knows. Its clients come again, and find others.
    fn kill_relay(&mut self, relay: usize) {
        self.timeline.drop_process(relay);
        let process = &mut self.relays[relay];
        process.running = false;
        process.descriptors_short = false;
        process.timers.clear();
        for connection in std::mem::take(&mut process.connections).into_values() {
            if connection.is_open() && !connection.migrated {
                self.reconnect(connection.client, connection.established.is_some());
            }
        }
    }

    /// It starts again with a cached list, its own or a newer one, and is told the whole list a moment later.
    fn start_relay(&mut self, relay: usize) {
        let seed = self.random.random();
        let own_cache = self.random.random_bool(0.5);
        let whole = self.full_list();
        let started = new_relay(self.relays.len(), relay, seed, self.now);
        let process = &mut self.relays[relay];
        process.relay = started;
        process.running = true;
        process.draining.clear();
        process.starts.clear();
        let cached = if own_cache { process.list.values().cloned().collect() } else { whole.clone() };
        self.receive_list(relay, ListKind::Cached, cached);
        self.send_list(relay, ListKind::Full, whole);
    }

    /// All clients that wait leave in one moment, whatever their requests wait for.
    fn let_all_clients_leave(&mut self) {
        let mut all = Vec::new();
        for (relay, process) in self.relays.iter().enumerate() {
            all.extend(process.connections.keys().map(|id| RequestRef { relay, id: *id }));
        }
        for request in all {
            self.leave(request);
        }
    }
}
