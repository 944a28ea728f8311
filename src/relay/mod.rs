//! The core of a relay: owns the load balancer and the table of connections. The core turns what happens to
//! connections into events for the load balancer, and the load balancer's actions into commands for drivers.
//!
//! Inputs are method calls with the time in milliseconds on a monotonic clock; outputs are the commands of
//! [`Relay::take_commands`]. The core does no I/O, knows no wire format and never waits. Whatever the load
//! balancer decides, a request gets exactly one final reply and has at most one attempt in flight.

mod actions;
mod affinity;
mod classes;
mod commands;
mod connections;
mod counters;
mod discovery_events;
mod drain_exchange;
mod endpoints;
mod incoming;
mod list_lease;
mod migration_schedule;
pub mod operator_calls;
mod peer_messages;
mod quota_accounting;
pub mod quotas;
mod requests;
mod standby;
mod takeover;
mod timers;
mod transfer;

use std::collections::{BTreeSet, VecDeque};

use sandgw_cluster::drain_gossip::DrainGossip;

pub use self::classes::AcceptedClass;
pub use self::commands::{Attempt, Command, ConnectionCommand, LocalReply};
pub use self::counters::{Counters, OUTCOME_COUNT};
pub use self::endpoints::EndpointStatus;
pub use self::incoming::IncomingRequest;
pub use self::standby::ServingMode;
pub use self::transfer::TransferredConnection;

use self::classes::ClassTable;
use self::connections::ConnectionTable;
use self::endpoints::{EndpointTable, slow_round_trip_ms};
use self::list_lease::ListLeaseState;
use self::quota_accounting::QuotaAccounting;
use self::standby::StandbyState;
use self::timers::CoreTimer;
use crate::LoadBalancer;
use crate::policy::api::{Event, Millis, Settings};

/// The core of one relay.
pub struct Relay {
    pub(crate) load_balancer: LoadBalancer,
    classes: ClassTable,
    connections: ConnectionTable,
    endpoints: EndpointTable,
    /// Whether the core has received an endpoint list.
    has_endpoint_list: bool,
    list_lease: ListLeaseState,
    standby: StandbyState,
    quota: QuotaAccounting,
    /// Endpoints that drain or were removed, according to the list or to other relays' messages.
    drain_gossip: DrainGossip,
    /// Whether packets pass through: connections that the network reroutes then need no migration off this
    /// relay.
    packet_passthrough: bool,
    max_attempts: u32,
    /// Round-trip time above which a message counts as slow.
    slow_round_trip_ms: Millis,
    /// Events that the load balancer has not handled yet.
    events: VecDeque<Event>,
    /// Commands that no driver has taken yet.
    commands: Vec<Command>,
    counters: Counters,
}

impl Relay {
    /// Creates a relay without an endpoint list. `class_names` are the names of the settings' classes, in the
    /// same order.
    pub fn new(settings: Settings, class_names: Vec<String>, seed: u64, now: Millis) -> Self {
        let mut classes = ClassTable::default();
        classes.apply_settings(now, &class_names, &settings.classes, &BTreeSet::new());
        let settings = Settings { classes: classes.by_position(), ..settings };
        let mut relay = Relay {
            connections: ConnectionTable::default(),
            endpoints: EndpointTable::default(),
            has_endpoint_list: false,
            list_lease: ListLeaseState::default(),
            standby: StandbyState::default(),
            quota: QuotaAccounting::new(&settings, now),
            drain_gossip: DrainGossip::new(seed),
            packet_passthrough: settings.packet_passthrough,
            max_attempts: settings.max_attempts,
            slow_round_trip_ms: slow_round_trip_ms(&settings),
            events: VecDeque::new(),
            commands: Vec::new(),
            counters: Counters::default(),
            load_balancer: LoadBalancer::new(settings, seed, now),
            classes,
        };
        relay.send_due_usage_reports(now);
        relay
    }

    /// Applies new settings, with the names of their classes. Connections keep the class that they came with;
    /// the new limit on attempts applies to all connections from now on.
    pub fn apply_settings(&mut self, now: Millis, settings: Settings, class_names: &[String]) {
        let in_use = self.connections.classes_in_use();
        self.classes.apply_settings(now, class_names, &settings.classes, &in_use);
        let settings = Settings { classes: self.classes.by_position(), ..settings };
        self.max_attempts = settings.max_attempts;
        self.packet_passthrough = settings.packet_passthrough;
        self.slow_round_trip_ms = slow_round_trip_ms(&settings);
        self.apply_quota_settings(now, &settings);
        self.events.push_back(Event::Settings(Box::new(settings)));
        self.handle_queued_events(now);
        self.apply_list_lease(now);
    }

    /// The classes that requests may name.
    pub fn accepted_classes(&self) -> Vec<AcceptedClass> {
        self.classes.accepted()
    }

    /// Takes the commands since the last call, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Handles a timer that was set by [`Command::SetTimer`] and is due.
    pub fn timer_fired(&mut self, now: Millis, token: u64) {
        match CoreTimer::from_token(token) {
            Some(CoreTimer::MigrationStep) => self.run_migration_step(now),
            Some(CoreTimer::UsageReport) => self.send_due_usage_reports(now),
            Some(CoreTimer::QuotaGrant) => self.advance_quota_grants(now),
            Some(CoreTimer::DrainQuery) => self.send_drain_query(now),
            Some(CoreTimer::EndOfStart) => self.end_start(),
            None => {
                self.events.push_back(Event::Timer(token));
                self.handle_queued_events(now);
            }
        }
    }

    fn set_timer(&mut self, after: Millis, timer: CoreTimer) {
        self.commands.push(Command::SetTimer { after, token: timer.token() });
    }
}
