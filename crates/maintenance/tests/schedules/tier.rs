//! An in-memory cluster of relays with an unreliable network. Relays are killed, stopped and isolated, zones
//! are lost, and invariants are checked after every step.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_maintenance::call::{Call, NamedScope, WindowRequest};
use sandgw_maintenance::plan::{CapacityFloors, CapacityPlan, Endpoint, SlowStart};
use sandgw_maintenance::{
    CapacityShare, GrantedWindow, MaintenanceService, ServiceConfig, Timing, WholeMillis, WindowId, codec,
};

pub const RELAYS: u32 = 12;
pub const LEASE: WholeMillis = 3000;
pub const CLOCK_SKEW_BOUND: WholeMillis = 100;
const STEP: WholeMillis = 20;
/// The start time of a schedule, a realistic Unix time in milliseconds.
const START: WholeMillis = 1_790_000_000_000;
const ENDPOINTS: u32 = 12;
const ENDPOINTS_PER_ZONE: u32 = 3;
const ZONES: u32 = ENDPOINTS / ENDPOINTS_PER_ZONE;
/// The voters of a cluster with few voters.
const FEW_VOTERS: [u32; 3] = [0, 4, 8];

/// The cluster has twelve endpoints of capacity one in four zones. A capacity of eight must remain, so a zone
/// and one more endpoint may be drained.
fn floors() -> CapacityFloors {
    CapacityFloors {
        total: 8000,
        zones: BTreeMap::new(),
        min_relays: 11,
        max_windows: 4,
        max_window_duration: 60_000,
        slow_start: SlowStart { initial_fraction: 310, warm_up_time: 8600 },
    }
}

/// Sets a plan's endpoint list to all endpoints except those of a lost zone.
fn set_list(plan: &mut CapacityPlan, lost_zone: Option<u32>) {
    plan.clear_endpoints();
    for n in (0..ENDPOINTS).filter(|n| lost_zone != Some(n / ENDPOINTS_PER_ZONE)) {
        plan.upsert_endpoint(&Endpoint {
            id: format!("s-{n}"),
            zone: format!("hall-{}", n / ENDPOINTS_PER_ZONE),
            capacity: 1000,
            is_ready: true,
            started_at: 0,
        });
    }
}

pub struct Faults {
    /// The probability that a datagram is lost.
    pub lost: f64,
    /// The probability that a datagram is sent twice.
    pub duplicated: f64,
    /// The longest delay of a datagram, unless it is delayed by leases.
    pub max_delay: WholeMillis,
    /// The probability that a datagram may be delayed by up to three leases.
    pub delayed_by_leases: f64,
    /// The rate at which relays are killed, stopped or isolated, or a zone is lost.
    pub faults_per_s: f64,
}

pub const NO_FAULTS: Faults =
    Faults { lost: 0.0, duplicated: 0.0, max_delay: 20, delayed_by_leases: 0.0, faults_per_s: 0.0 };
pub const MANY_FAULTS: Faults =
    Faults { lost: 0.2, duplicated: 0.1, max_delay: 150, delayed_by_leases: 0.01, faults_per_s: 0.4 };

/// A datagram in flight. Due datagrams are delivered in the order of this type.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Datagram {
    arrives_at: WholeMillis,
    from: u32,
    to: u32,
    text: String,
}

/// A zone whose endpoints are missing from the endpoint list.
#[derive(Clone, Copy)]
struct LostZone {
    zone: u32,
    until: WholeMillis,
}

pub struct Cluster {
    pub rng: StdRng,
    pub now: WholeMillis,
    pub services: Vec<MaintenanceService>,
    /// How far each relay's clock is ahead of `now`.
    clock_offsets: Vec<WholeMillis>,
    /// Until when each relay is stopped.
    stopped_until: Vec<WholeMillis>,
    /// Until when each relay is isolated from the others.
    isolated_until: Vec<WholeMillis>,
    in_flight: Vec<Datagram>,
    faults: Faults,
    lost_zone: Option<LostZone>,
    /// When a zone was last lost or restored.
    list_changed_at: WholeMillis,
    /// The windows that their relays believe to be granted now.
    believed_granted: BTreeSet<WindowId>,
    /// When each window first appeared in a relay's ledger.
    written_at: BTreeMap<WindowId, WholeMillis>,
    /// The number of steps in which an invariant was violated.
    pub violations: u32,
    /// When each window's relay first believed the window to be granted.
    pub granted_at: BTreeMap<WindowId, WholeMillis>,
    pub datagrams: u64,
    pub longest_datagram: usize,
    timing: Timing,
    /// Whether there are three voters instead of seven, so that a single restarted voter is a third of the
    /// voters.
    has_few_voters: bool,
}

impl Cluster {
    pub fn new(seed: u64, faults: Faults, timing: Timing) -> Cluster {
        let mut rng = StdRng::seed_from_u64(seed);
        let clock_offsets = (0..RELAYS).map(|_| rng.random_range(0..=CLOCK_SKEW_BOUND)).collect();
        let mut cluster = Cluster {
            rng,
            now: START,
            services: Vec::new(),
            clock_offsets,
            stopped_until: vec![0; RELAYS as usize],
            isolated_until: vec![0; RELAYS as usize],
            in_flight: Vec::new(),
            faults,
            lost_zone: None,
            list_changed_at: 0,
            believed_granted: BTreeSet::new(),
            written_at: BTreeMap::new(),
            violations: 0,
            granted_at: BTreeMap::new(),
            datagrams: 0,
            longest_datagram: 0,
            timing,
            has_few_voters: seed % 2 == 1,
        };
        cluster.services = (0..RELAYS).map(|local_index| cluster.new_service(local_index)).collect();
        cluster
    }

    fn clock(&self, relay: u32) -> WholeMillis {
        self.now + self.clock_offsets[relay as usize]
    }

    /// Returns the service of a relay that starts now.
    fn new_service(&self, local_index: u32) -> MaintenanceService {
        let few = self.has_few_voters;
        let voters = if few { FEW_VOTERS.to_vec() } else { MaintenanceService::default_voters(RELAYS) };
        let config = ServiceConfig {
            local_index,
            relay_count: RELAYS,
            floors: floors(),
            timing: self.timing,
            voters,
            may_override: Vec::new(),
        };
        let mut service = MaintenanceService::new(config, self.clock(local_index));
        set_list(service.plan_mut(), self.lost_zone.map(|lost| lost.zone));
        service
    }

    fn call(&mut self, relay: u32, call: Call) -> Option<WindowId> {
        let now = self.clock(relay);
        self.services[relay as usize].handle_call(now, call).ok().flatten()
    }

    pub fn request(&mut self, relay: u32, scope: NamedScope, duration: WholeMillis) -> Option<WindowId> {
        let request = WindowRequest { scope, duration, delay: 0, override_by: None };
        self.call(relay, Call::Request(request))
    }

    pub fn run(&mut self, span: WholeMillis) {
        for _ in 0..span / STEP {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.maybe_inject_fault();
        self.deliver_due();
        for relay in 0..RELAYS {
            if self.now >= self.stopped_until[relay as usize] {
                let now = self.clock(relay);
                let service = &mut self.services[relay as usize];
                service.plan_mut().confirm_list(now);
                service.tick(now);
            }
            self.send_outbox(relay);
        }
        self.check_invariants();
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let due = self.in_flight.extract_if(.., |datagram| datagram.arrives_at <= now);
        let mut due: Vec<Datagram> = due.collect();
        due.sort();
        for datagram in due {
            let from = datagram.from as usize;
            let to = datagram.to as usize;
            if self.now < self.stopped_until[to] {
                // The datagram waits in the socket buffer of the stopped process.
                self.in_flight.push(Datagram { arrives_at: self.stopped_until[to], ..datagram });
            } else if self.now >= self.isolated_until[from].max(self.isolated_until[to]) {
                let now = self.clock(datagram.to);
                self.services[to].handle_datagram(now, datagram.from, &datagram.text);
            }
        }
    }

    fn send_outbox(&mut self, from: u32) {
        let _ = self.services[from as usize].take_events();
        for sent in self.services[from as usize].take_outbox() {
            let text = codec::encode(&sent.message);
            self.datagrams += 1;
            self.longest_datagram = self.longest_datagram.max(text.len());
            let copies = 1 + u32::from(self.rng.random_bool(self.faults.duplicated));
            for _ in 0..copies {
                self.send_copy(from, sent.to, &text);
            }
        }
    }

    fn send_copy(&mut self, from: u32, to: u32, text: &str) {
        if self.rng.random_bool(self.faults.lost) {
            return;
        }
        let may_take_leases = self.rng.random_bool(self.faults.delayed_by_leases);
        let max_delay = if may_take_leases { 3 * LEASE } else { self.faults.max_delay };
        let arrives_at = self.now + self.rng.random_range(1..=max_delay);
        self.in_flight.push(Datagram { arrives_at, from, to, text: text.to_owned() });
    }

    /// Kills, stops or isolates relays, or loses a zone, at random.
    fn maybe_inject_fault(&mut self) {
        if self.lost_zone.is_some_and(|lost| self.now >= lost.until) {
            self.set_lost_zone(None);
        }
        if !self.rng.random_bool(self.faults.faults_per_s * STEP as f64 / 1000.0) {
            return;
        }
        let relay = self.rng.random_range(0..RELAYS);
        let until = self.now + self.rng.random_range(LEASE / 4..3 * LEASE);
        match self.rng.random_range(0..10) {
            0..3 => {
                // Half of the kills hit relay 0, 4 or 8, which are the voters of a cluster with few voters.
                let is_voter = self.rng.random_bool(0.5);
                self.restart(if is_voter { relay / 4 * 4 } else { relay });
            }
            3..5 => self.stopped_until[relay as usize] = until,
            5..7 => self.isolated_until[relay as usize] = until,
            7..9 => {
                for n in 0..RELAYS / 3 {
                    self.isolated_until[((relay + n) % RELAYS) as usize] = until;
                }
            }
            _ => self.set_lost_zone(Some(LostZone { zone: relay % ZONES, until })),
        }
    }

    fn restart(&mut self, relay: u32) {
        self.services[relay as usize] = self.new_service(relay);
        self.in_flight.retain(|datagram| datagram.to != relay);
    }

    fn set_lost_zone(&mut self, lost_zone: Option<LostZone>) {
        self.lost_zone = lost_zone;
        self.list_changed_at = self.now;
        for service in &mut self.services {
            set_list(service.plan_mut(), lost_zone.map(|lost| lost.zone));
        }
    }

    /// Checks that the windows that relays believe to be granted meet the floor, stay within the limit of
    /// windows, and occur only once in each ledger; and that newly granted windows meet the floor even
    /// without the lost zone.
    fn check_invariants(&mut self) {
        let believed = self.believed_windows();
        let ids: BTreeSet<WindowId> = believed.iter().map(|entry| entry.id).collect();
        self.record_written();
        let mut plan = CapacityPlan::new(floors(), RELAYS);
        set_list(&mut plan, None);
        let breaks_floor = !plan.meets_floors(&plan.remaining_capacity(self.now, &believed));
        let has_too_many = believed.len() > floors().max_windows;
        let has_duplicate = self.services.iter().any(has_duplicate_entry);
        set_list(&mut plan, self.lost_zone.map(|lost| lost.zone));
        // A relay that was stopped may learn only after the loss that its window was granted before the loss.
        let has_new_grant = ids.iter().any(|id| self.is_newly_granted(id));
        let new_grant_breaks_floor =
            has_new_grant && !plan.meets_floors(&plan.remaining_capacity(self.now, &believed));
        let violated = breaks_floor || has_too_many || has_duplicate || new_grant_breaks_floor;
        self.violations += u32::from(violated);
        for id in &ids {
            self.granted_at.entry(*id).or_insert(self.now);
        }
        self.believed_granted = ids;
    }

    /// Returns the windows that their relays believe to be granted, in the order of the relays.
    fn believed_windows(&self) -> Vec<GrantedWindow> {
        let mut believed = Vec::new();
        for (relay, service) in self.services.iter().enumerate() {
            let now = self.clock(relay as u32);
            let ledger = service.ledger();
            for window in ledger.local_windows().values().map(|local| local.window) {
                if ledger.may_drain(window.id, now) {
                    let (id, scope) = (window.id, window.scope);
                    believed.push(GrantedWindow { id, scope, end: 0, overrides_floor: false });
                }
            }
        }
        believed
    }

    fn record_written(&mut self) {
        for service in &self.services {
            for entry in service.ledger().granted() {
                self.written_at.entry(entry.id).or_insert(self.now);
            }
        }
    }

    /// Whether no relay believed the window granted before, and it was written after the endpoint list last
    /// changed.
    fn is_newly_granted(&self, id: &WindowId) -> bool {
        let is_written_since =
            self.written_at.get(id).is_none_or(|written| *written > self.list_changed_at + STEP);
        !self.granted_at.contains_key(id) && is_written_since
    }

    /// Requests a random window, and closes or extends a random granted window or leaves it alone.
    pub fn random_call(&mut self) {
        let relay = self.rng.random_range(0..RELAYS);
        let zone = format!("hall-{}", self.rng.random_range(0..ZONES));
        let scope = match self.rng.random_range(0..4) {
            0 => NamedScope::Endpoint(format!("s-{}", self.rng.random_range(0..ENDPOINTS))),
            1 => NamedScope::Zone(zone, CapacityShare::Part(2000)),
            2 => NamedScope::Relay(self.rng.random_range(0..RELAYS)),
            _ => NamedScope::Zone(zone, CapacityShare::All),
        };
        let duration = self.rng.random_range(1000..12_000);
        self.request(relay, scope, duration);
        let granted: Vec<WindowId> = self.believed_granted.iter().copied().collect();
        if granted.is_empty() {
            return;
        }
        let id = granted[self.rng.random_range(0..granted.len())];
        match self.rng.random_range(0..4) {
            0 => self.call(id.relay, Call::Done(id)),
            1 => self.call(id.relay, Call::Extend { id, extension: 3000 }),
            _ => None,
        };
    }
}

/// Whether a relay's ledger contains a window twice.
fn has_duplicate_entry(service: &MaintenanceService) -> bool {
    let granted = service.ledger().granted();
    let ids: BTreeSet<WindowId> = granted.iter().map(|entry| entry.id).collect();
    ids.len() < granted.len()
}
