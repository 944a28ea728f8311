//! Drawn schedules in memory: twelve relays, four zones, faults between them, and a judge who sees all.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_maintenance::call::{Call, Named};
use sandgw_maintenance::plan::{CapacityPlan, Endpoint, Floors};
use sandgw_maintenance::replicated_ledger::WindowStatus;
use sandgw_maintenance::{CapacityShare, Entry, MaintenanceService, Timing, WholeMillis, WindowId, codec};

const RELAYS: u32 = 12;
const STEP: WholeMillis = 20;
const LEASE: WholeMillis = 3000;
const BOUND: WholeMillis = 100;
/// Unix time is far from 0.
const START: WholeMillis = 1_790_000_000_000;

fn floors() -> Floors {
    // Of twelve endpoints of size one in four zones, eight are left: a zone and one more may be drained.
    let (zones, cold) = (BTreeMap::new(), (310, 8600));
    Floors { all: 8000, zones, relays: 11, most: 4, longest: 60_000, cold }
}

fn list(plan: &mut CapacityPlan, down: Option<u32>) {
    plan.clear();
    for n in (0..12).filter(|n| down != Some(n / 3)) {
        let (id, zone) = (format!("s-{n}"), format!("hall-{}", n / 3));
        plan.put(&Endpoint { id, zone, size: 1000, ready: true, started: 0 });
    }
}

struct Faults {
    lost: f64,
    doubled: f64,
    /// Longest delay, and how often one takes leases.
    delay: WholeMillis,
    stray: f64,
    /// Cuts, kills, stops and losses of a zone in each second.
    strikes: f64,
}

const CALM: Faults = Faults { lost: 0.0, doubled: 0.0, delay: 20, stray: 0.0, strikes: 0.0 };
const STORM: Faults = Faults { lost: 0.2, doubled: 0.1, delay: 150, stray: 0.01, strikes: 0.4 };

struct Tier {
    rng: StdRng,
    now: WholeMillis,
    desks: Vec<MaintenanceService>,
    ahead: Vec<WholeMillis>,
    /// Until when each is stopped, and is cut off.
    stopped: Vec<WholeMillis>,
    cut: Vec<WholeMillis>,
    sent: Vec<(WholeMillis, u32, u32, String)>,
    faults: Faults,
    down: Option<(u32, WholeMillis)>,
    lost_at: WholeMillis,
    believed: BTreeSet<WindowId>,
    /// When each window was first in a ledger.
    written: BTreeMap<WindowId, WholeMillis>,
    /// How often what the judge looks for was seen.
    breaks: u32,
    granted: BTreeMap<WindowId, WholeMillis>,
    datagrams: u64,
    longest: usize,
    timing: Timing,
    /// Three voters, not seven: a forgetful one is a third of the tier.
    few: bool,
}

impl Tier {
    fn new(seed: u64, faults: Faults, timing: Timing) -> Tier {
        let mut rng = StdRng::seed_from_u64(seed);
        let ahead: Vec<WholeMillis> = (0..RELAYS).map(|_| rng.random_range(0..=BOUND)).collect();
        let mut tier = Tier {
            rng,
            now: START,
            desks: Vec::new(),
            ahead,
            stopped: vec![0; RELAYS as usize],
            cut: vec![0; RELAYS as usize],
            sent: Vec::new(),
            faults,
            down: None,
            lost_at: 0,
            believed: BTreeSet::new(),
            written: BTreeMap::new(),
            breaks: 0,
            granted: BTreeMap::new(),
            datagrams: 0,
            longest: 0,
            timing,
            few: seed % 2 == 1,
        };
        tier.desks = (0..RELAYS).map(|local_index| tier.desk(local_index)).collect();
        tier
    }

    fn clock(&self, relay: u32) -> WholeMillis {
        self.now + self.ahead[relay as usize]
    }

    fn desk(&self, local_index: u32) -> MaintenanceService {
        let voters = if self.few { vec![0, 4, 8] } else { MaintenanceService::usual_voters(RELAYS) };
        let mut desk = MaintenanceService::new(
            (local_index, RELAYS),
            floors(),
            self.timing,
            voters,
            Vec::new(),
            self.clock(local_index),
        );
        list(desk.plan(), self.down.map(|(zone, _)| zone));
        desk
    }

    fn call(&mut self, relay: u32, call: Call) -> Option<WindowId> {
        let now = self.clock(relay);
        self.desks[relay as usize].call(now, call).ok().flatten()
    }

    fn ask(&mut self, relay: u32, what: Named, length: WholeMillis) -> Option<WindowId> {
        self.call(relay, Call::Window { what, length, after: 0, by: None })
    }

    fn step(&mut self) {
        self.now += STEP;
        self.strike();
        let mut due: Vec<_> = self.sent.extract_if(.., |(at, ..)| *at <= self.now).collect();
        due.sort();
        for (_, from, to, text) in due {
            if self.now < self.stopped[to as usize] {
                // It waits in the socket of a process that is stopped.
                self.sent.push((self.stopped[to as usize], from, to, text));
            } else if self.now >= self.cut[from as usize].max(self.cut[to as usize]) {
                let now = self.clock(to);
                self.desks[to as usize].told(now, from, &text);
            }
        }
        for relay in 0..RELAYS {
            if self.now >= self.stopped[relay as usize] {
                let now = self.clock(relay);
                self.desks[relay as usize].plan().confirmed(now);
                self.desks[relay as usize].tick(now);
            }
            self.post(relay);
        }
        self.judge();
    }

    fn post(&mut self, from: u32) {
        let _ = self.desks[from as usize].take_events();
        for (to, message) in self.desks[from as usize].take_sends() {
            let text = codec::text(&message);
            (self.datagrams, self.longest) = (self.datagrams + 1, self.longest.max(text.len()));
            let copies = 1 + u32::from(self.rng.random_bool(self.faults.doubled));
            for _ in 0..copies {
                if !self.rng.random_bool(self.faults.lost) {
                    let stray = self.rng.random_bool(self.faults.stray);
                    let most = if stray { 3 * LEASE } else { self.faults.delay };
                    let at = self.now + self.rng.random_range(1..=most);
                    self.sent.push((at, from, to, text.clone()));
                }
            }
        }
    }

    fn strike(&mut self) {
        if self.down.is_some_and(|(_, until)| self.now >= until) {
            self.lists(None);
        }
        if !self.rng.random_bool(self.faults.strikes * STEP as f64 / 1000.0) {
            return;
        }
        let relay = self.rng.random_range(0..RELAYS);
        let until = self.now + self.rng.random_range(LEASE / 4..3 * LEASE);
        match self.rng.random_range(0..10) {
            0..3 => {
                // A voter half of the time.
                let relay = if self.rng.random_bool(0.5) { relay / 4 * 4 } else { relay };
                self.desks[relay as usize] = self.desk(relay);
                self.sent.retain(|(.., to, _)| *to != relay);
            }
            3..5 => self.stopped[relay as usize] = until,
            5..7 => self.cut[relay as usize] = until,
            7..9 => (0..RELAYS / 3).for_each(|n| self.cut[((relay + n) % RELAYS) as usize] = until),
            _ => self.lists(Some((relay % 4, until))),
        }
    }

    fn lists(&mut self, down: Option<(u32, WholeMillis)>) {
        (self.down, self.lost_at) = (down, self.now);
        self.desks.iter_mut().for_each(|desk| list(desk.plan(), down.map(|(zone, _)| zone)));
    }

    /// All that is believed to be granted leaves the floor; and what is new leaves it beside what is down.
    fn judge(&mut self) {
        let mut all = Vec::new();
        for (relay, desk) in self.desks.iter().enumerate() {
            let now = self.clock(relay as u32);
            let own = desk.node().own().values().filter(|own| desk.node().may_drain(own.window.id, now));
            all.extend(own.map(|own| {
                let (id, what) = (own.window.id, own.window.what);
                Entry { id, what, end: 0, forced: false }
            }));
        }
        let mut plan = CapacityPlan::new(floors(), RELAYS);
        list(&mut plan, None);
        let mut broken = !plan.holds(&plan.left(self.now, &all)) || all.len() > floors().most;
        let believed: BTreeSet<WindowId> = all.iter().map(|entry| entry.id).collect();
        for id in self.desks.iter().flat_map(|desk| desk.node().ledger()).map(|entry| entry.id) {
            self.written.entry(id).or_insert(self.now);
        }
        let twice = |desk: &MaintenanceService| {
            let ids = desk.node().ledger().iter().map(|entry| entry.id);
            ids.collect::<BTreeSet<_>>().len() < desk.node().ledger().len()
        };
        broken |= self.desks.iter().any(twice);
        let late = |id: &WindowId| self.written.get(id).is_none_or(|at| *at > self.lost_at + STEP);
        let new = believed.iter().any(|id| !self.granted.contains_key(id) && late(id));
        list(&mut plan, self.down.map(|(zone, _)| zone));
        // What was granted before the loss may be heard of after it, by a relay that was stopped.
        broken |= new && !plan.holds(&plan.left(self.now, &all));
        self.breaks += u32::from(broken);
        for id in &believed {
            self.granted.entry(*id).or_insert(self.now);
        }
        self.believed = believed;
    }

    fn run(&mut self, span: WholeMillis) {
        (0..span / STEP).for_each(|_| self.step());
    }

    fn drawn_call(&mut self) {
        let relay = self.rng.random_range(0..RELAYS);
        let zone = format!("hall-{}", self.rng.random_range(0..4));
        let what = match self.rng.random_range(0..4) {
            0 => Named::Endpoint(format!("s-{}", self.rng.random_range(0..12))),
            1 => Named::Zone(zone, CapacityShare::Part(2000)),
            2 => Named::Relay(self.rng.random_range(0..RELAYS)),
            _ => Named::Zone(zone, CapacityShare::All),
        };
        let length = self.rng.random_range(1000..12_000);
        self.ask(relay, what, length);
        let own: Vec<WindowId> = self.believed.iter().copied().collect();
        if own.is_empty() {
            return;
        }
        let id = own[self.rng.random_range(0..own.len())];
        match self.rng.random_range(0..4) {
            0 => self.call(id.relay, Call::Done(id)),
            1 => self.call(id.relay, Call::Extend(id, 3000)),
            _ => None,
        };
    }
}

/// One drawn schedule: how often the floor broke, and how many windows were granted.
fn storm(seed: u64, timing: Timing) -> (u32, usize, usize) {
    let mut tier = Tier::new(seed, STORM, timing);
    tier.run(LEASE + 200);
    for _ in 0..15 {
        tier.drawn_call();
        tier.run(1000);
    }
    tier.run(12_000);
    (tier.breaks, tier.granted.len(), tier.longest)
}

#[test]
fn the_floor_is_broken_in_none_of_200_drawn_schedules() {
    let mut windows = 0;
    for seed in 0..200 {
        let (breaks, granted, longest) = storm(seed, Timing::of(LEASE, BOUND));
        assert_eq!(breaks, 0, "seed {seed}");
        assert!(longest <= codec::MOST_BYTES, "{longest} bytes");
        windows += granted;
    }
    println!("{windows} windows granted in 200 schedules");
    assert!(windows > 400, "{windows} windows granted: too few to show anything");
}

/// The judge can tell: the same schedules with voters that take part at once after a start.
#[test]
fn without_the_abstention_the_floor_breaks_in_some() {
    let timing = Timing { abstain: 0, ..Timing::of(LEASE, BOUND) };
    assert!((0..200).any(|seed| storm(seed, timing).0 > 0));
}

#[test]
fn without_faults_all_are_through_in_the_time_that_capacity_allows() {
    for seed in 0..5 {
        let mut tier = Tier::new(seed, CALM, Timing::of(LEASE, BOUND));
        tier.run(LEASE + 200);
        let (asked, mut least) = (tier.now, 0);
        // At three relays at once; of zones one fits at a time, and windows of the same could go together.
        let mut ids = Vec::new();
        for n in 0..4u32 {
            let length = tier.rng.random_range(10_000..30_000);
            let what = Named::Zone(format!("hall-{n}"), CapacityShare::All);
            ids.push(tier.ask([1, 5, 10][n as usize % 3], what, length).unwrap());
            least += length;
        }
        let through = |tier: &Tier| {
            // What is over for long is shown no more.
            let own =
                |id: &WindowId| tier.desks[id.relay as usize].node().own().get(id).map(|own| own.standing);
            ids.iter().all(|id| own(id).is_none_or(|standing| standing == WindowStatus::Ended))
        };
        while !through(&tier) && tier.now < asked + 2 * least {
            tier.step();
        }
        let took = tier.now - asked;
        println!("seed {seed}: {took} ms of at least {least}, {} datagrams", tier.datagrams);
        assert_eq!(tier.breaks, 0);
        assert!(took as f64 <= 1.1 * least as f64, "{took} ms, where {least} would do");
    }
}

/// A whole zone waits while single endpoints come and go, of which there are always enough to keep it out.
#[test]
fn who_waits_longest_is_not_kept_out_by_those_that_fit() {
    let mut tier = Tier::new(1, CALM, Timing::of(LEASE, BOUND));
    tier.run(LEASE + 200);
    let mut zone = None;
    for n in 0..60u32 {
        // Of many lengths: their ends never come together by chance.
        let relay = [1, 5][n as usize % 2];
        tier.ask(
            relay,
            Named::Endpoint(format!("s-{}", [0, 3, 9, 1, 4, 10, 2, 5, 11][n as usize % 9])),
            4000 + u64::from(n) * 977 % 2900,
        );
        if n == 15 {
            zone = tier.ask(10, Named::Zone("hall-2".into(), CapacityShare::All), 5000);
        }
        tier.run(1200);
    }
    let (zone, granted) = (zone.unwrap(), &tier.granted);
    let begun = granted.get(&zone).expect("the hall is never granted");
    let behind = granted.iter().filter(|(id, at)| id.asked > zone.asked && *at < begun).count();
    println!("the hall began {} ms after it was asked for, {behind} before it", begun - zone.asked);
    // Those before it are through in two turns, and it needs three of four places at once.
    assert!(begun - zone.asked <= 15_000, "{} ms", begun - zone.asked);
    assert_eq!(tier.breaks, 0);
}

/// A tier in which nobody asks is silent.
#[test]
fn nothing_is_told_where_nothing_is_asked_for() {
    let mut tier = Tier::new(1, CALM, Timing::of(LEASE, BOUND));
    tier.run(20_000);
    assert_eq!(tier.datagrams, 0);
    let id = tier.ask(3, Named::Endpoint("s-1".into()), 2000).unwrap();
    tier.run(20_000);
    assert!(tier.granted.contains_key(&id));
    let told = tier.datagrams;
    tier.run(20_000);
    assert_eq!(tier.datagrams, told, "silent again");
}
