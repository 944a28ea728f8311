//! Clusters of old and new processes over random schedules: loss, partitions, restarts, pinned versions and
//! finalize.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sandgw_schema_version::quota_rows::QuotaRows;
use sandgw_schema_version::version_negotiator::{
    ADVERTISEMENT_TTL_MS, QUIET_PERIOD_MS, REQUEST_TIMEOUT_MS, RelayPosition, VersionNegotiator,
};
use sandgw_schema_version::versioned_channel::{Datagram, VersionedChannel};
use sandgw_schema_version::{SchemaVersion, SupportedVersions};

/// All are at the newest that all can read so long after the last change.
const SETTLED: f64 = 2.0 * QUIET_PERIOD_MS + REQUEST_TIMEOUT_MS;
const STEP: f64 = 50.0;

/// A process: one of before forms had numbers, or one of this program.
enum Process {
    Down,
    Old,
    New(Box<VersionedChannel>),
}

struct Sim {
    processes: Vec<Process>,
    since: Vec<f64>,
    rng: SmallRng,
    now: f64,
    lost: f64,
    /// Processes of different sides don't hear each other.
    side: Vec<u8>,
    in_flight: BTreeMap<(u64, u64), (usize, usize, String)>,
    sent: u64,
    /// Who has heard an old process in its present life.
    heard: BTreeSet<(usize, usize)>,
    floor: SchemaVersion,
    /// Datagrams that an old process could not read, by pair, since it last got one that it could.
    dark: BTreeMap<(usize, usize), (f64, f64)>,
    rows: BTreeMap<usize, Vec<QuotaRows>>,
}

fn up_to(most: u8) -> SupportedVersions {
    SupportedVersions::up_to(SchemaVersion::new(most.into()).unwrap()).unwrap()
}

impl Sim {
    fn new(n: usize, seed: u64, lost: f64) -> Sim {
        Sim {
            processes: (0..n).map(|_| Process::Down).collect(),
            since: vec![0.0; n],
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            lost,
            side: vec![0; n],
            in_flight: BTreeMap::new(),
            sent: 0,
            heard: BTreeSet::new(),
            floor: SchemaVersion::FIRST,
            dark: BTreeMap::new(),
            rows: BTreeMap::new(),
        }
    }

    /// Starts a process anew: of before for 0, else of this program up to that form. One that can't read
    /// what is finalized does not start. It takes longer than a datagram's way.
    fn start(&mut self, i: usize, most: u8) {
        if !matches!(std::mem::replace(&mut self.processes[i], Process::Down), Process::Down) {
            self.run(250.0);
        }
        self.since[i] = self.now;
        self.heard.retain(|(_, of)| *of != i);
        self.dark.retain(|(_, of), _| *of != i);
        let n = self.processes.len() as u32;
        self.processes[i] = match most {
            0 => Process::Old,
            // Kept in the folder, or told by the others before it serves.
            _ => match VersionNegotiator::new(
                up_to(most),
                self.floor,
                RelayPosition { local_index: i as u32, relay_count: n },
                self.rng.random(),
                self.now,
            ) {
                Ok(negotiator) => Process::New(Box::new(VersionedChannel::new(negotiator))),
                Err(_) => Process::Down,
            },
        };
    }

    fn transmit(&mut self, from: usize, to: usize, text: String) {
        assert!(text.len() <= 256, "{text}");
        let readable = text.starts_with(['1', '2']);
        let is_advertisement = !text.contains('|') || text.ends_with("|?");
        if let Process::Old = self.processes[to]
            && !is_advertisement
            && self.finalized(from) == Some(SchemaVersion::FIRST)
        {
            if readable {
                self.dark.remove(&(from, to));
            } else {
                let heard = self.heard.contains(&(from, to));
                assert!(!heard, "{from} sends {text} to {to}, which it has heard as an old one");
                let (first, last) = self.dark.entry((from, to)).or_insert((self.now, self.now));
                *last = self.now;
                assert!(
                    *last - *first < ADVERTISEMENT_TTL_MS + 100.0,
                    "{from} sends {to} only what it can't read"
                );
                assert!(
                    self.now - self.since[to] < ADVERTISEMENT_TTL_MS + 100.0,
                    "{from} takes {to} for its predecessor"
                );
            }
        }
        if self.rng.random_bool(self.lost) || self.side[from] != self.side[to] {
            return;
        }
        self.sent += 1;
        let at = self.now + self.rng.random_range(5.0..40.0);
        self.in_flight.insert((at as u64, self.sent), (from, to, text));
    }

    fn send_all(&mut self, from: usize, datagrams: Vec<Datagram>) {
        for datagram in datagrams {
            self.transmit(from, datagram.peer as usize, datagram.text);
        }
    }

    fn send(&mut self, from: usize, to: usize, text: &str) {
        let mut out = Vec::new();
        match &mut self.processes[from] {
            Process::Down => {}
            Process::Old => out.push(Datagram { peer: to as u32, text: text.to_owned() }),
            Process::New(channel) => channel.send(self.now, to as u32, text, &mut out),
        }
        self.send_all(from, out);
    }

    fn deliver(&mut self, from: usize, to: usize, text: &str) {
        let old = matches!(self.processes[from], Process::Old);
        let mut out = Vec::new();
        let question = match &mut self.processes[to] {
            Process::Down => false,
            Process::Old => text.starts_with("2ask"),
            Process::New(channel) => {
                if old && text.starts_with(['1', '2']) {
                    self.heard.insert((to, from));
                }
                let received = channel.receive(self.now, from as u32, text, &mut out).unwrap_or_default();
                self.rows.entry(to).or_default().extend(received.rows);
                received.text.is_some_and(|text| text.starts_with("2ask"))
            }
        };
        self.send_all(to, out);
        if question {
            self.send(to, from, "2answer");
        }
    }

    /// Everybody asks a collector and tells some other; words go as they are due.
    fn run(&mut self, span: f64) {
        let (n, until) = (self.processes.len(), self.now + span);
        while self.now < until {
            self.now += STEP;
            while let Some(((at, _), _)) = self.in_flight.first_key_value()
                && *at as f64 <= self.now
            {
                let Some((_, (from, to, text))) = self.in_flight.pop_first() else { break };
                self.deliver(from, to, &text);
            }
            for i in 0..n {
                if let Process::New(channel) = &mut self.processes[i] {
                    let mut out = Vec::new();
                    channel.poll(self.now, &mut out);
                    self.send_all(i, out);
                }
                if self.rng.random_bool(STEP / 1500.0) {
                    let keeper = self.rng.random_range(0..n);
                    for (to, text) in [(self.collector(i), "2ask"), (keeper, "2news")] {
                        if to != i {
                            self.send(i, to, text);
                        }
                    }
                }
            }
            // What it knows to be finalized is what binds a process; a cut may keep it from hearing of it.
            for (i, form) in self.written_versions() {
                let least = self.finalized(i).unwrap_or(SchemaVersion::FIRST);
                assert!(form >= least, "{i}: form {form}, finalized {least}");
            }
        }
    }

    /// The first other process that is there: who gets no answer asks the next.
    fn collector(&self, i: usize) -> usize {
        let there = |k: &usize| *k != i && !matches!(self.processes[*k], Process::Down);
        (0..self.processes.len()).find(there).unwrap_or(i)
    }

    fn negotiators(&self) -> impl Iterator<Item = (usize, &VersionNegotiator)> {
        self.processes.iter().enumerate().filter_map(|(i, p)| match p {
            Process::New(channel) => Some((i, &channel.negotiator)),
            _ => None,
        })
    }

    fn finalized(&self, i: usize) -> Option<SchemaVersion> {
        self.negotiators().find(|(n, _)| *n == i).map(|(_, negotiator)| negotiator.finalized())
    }

    /// What each process of this program writes that can read what is finalized.
    fn written_versions(&self) -> Vec<(usize, SchemaVersion)> {
        let reads =
            self.negotiators().filter(|(_, negotiator)| negotiator.supported().newest() >= self.floor);
        reads.map(|(i, negotiator)| (i, negotiator.version(self.now))).collect()
    }

    /// The newest form that all alive read, and not under what is finalized.
    fn common(&self) -> SchemaVersion {
        let old = self.processes.iter().any(|p| matches!(p, Process::Old)).then_some(SchemaVersion::FIRST);
        let newest = self.negotiators().map(|(_, negotiator)| negotiator.supported().newest());
        newest.chain(old).min().unwrap_or(SchemaVersion::FIRST).max(self.floor)
    }

    /// The processes that don't write this form.
    fn not_writing(&self, version: SchemaVersion) -> Vec<(usize, SchemaVersion)> {
        self.written_versions().into_iter().filter(|(_, written)| *written != version).collect()
    }

    /// Nothing changes any more: all come to the newest that all can read, and stay.
    fn settles(&mut self) {
        self.run(SETTLED);
        for _ in 0..10 {
            self.run(2000.0);
            let common = self.common();
            assert_eq!(self.not_writing(common), [], "not {common}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(24),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever happens: nobody is sent only what it can't read, nothing goes below what is finalized, and
    /// all meet.
    #[test]
    fn over_drawn_schedules_all_read_what_they_are_sent_and_meet(
        n in 2usize..14, seed: u64, changes in proptest::collection::vec((0u8..8, any::<u16>(), 0.0..20_000.0), 1..14),
    ) {
        let mut sim = Sim::new(n, seed, 0.2);
        (0..n).for_each(|i| sim.start(i, (seed >> i) as u8 % 3));
        for (what, who, span) in changes {
            let i = usize::from(who) % n;
            match what {
                0 => sim.processes[i] = Process::Down,
                1..=4 => sim.start(i, (who >> 8) as u8 % 3),
                5 => (0..n).for_each(|k| sim.side[k] = (who >> (k % 16)) as u8 & 1),
                6 => sim.side.fill(0),
                _ => {
                    if let Process::New(channel) = &mut sim.processes[i]
                        && let Ok(form) = channel.negotiator.finalize(sim.now)
                    {
                        sim.floor = sim.floor.max(form);
                    }
                }
            }
            sim.run(span);
        }
        sim.side.fill(0);
        sim.settles();
    }
}

/// 24 processes are replaced three at a time with a fifth of the datagrams lost: form 2 once the last is
/// new, not before; and back the same way.
#[test]
fn a_rolling_upgrade_goes_up_at_its_end_and_back_at_once() {
    let mut sim = Sim::new(24, 7, 0.2);
    (0..24).for_each(|i| sim.start(i, 0));
    sim.run(5000.0);
    let roll = |sim: &mut Sim, most: u8, stop: usize| {
        for first in (0..stop).step_by(3) {
            (first..first + 3).for_each(|i| sim.processes[i] = Process::Down);
            sim.run(1000.0);
            (first..first + 3).for_each(|i| sim.start(i, most));
            sim.run(3000.0);
        }
    };
    roll(&mut sim, 2, 12);
    // Stopped half way for minutes.
    for _ in 0..60 {
        sim.run(4000.0);
        assert_eq!(sim.not_writing(SchemaVersion::FIRST), [], "half of it is old");
    }
    roll(&mut sim, 2, 24);
    sim.settles();
    assert_eq!(sim.common(), SchemaVersion::SECOND);
    // One old process is enough to go back, and it is told nothing that it can't read meanwhile.
    sim.start(5, 0);
    sim.run(ADVERTISEMENT_TTL_MS + REQUEST_TIMEOUT_MS);
    assert!(sim.not_writing(SchemaVersion::FIRST).len() <= 3, "{:?}", sim.written_versions());
    sim.settles();
    roll(&mut sim, 0, 24);
}

/// Both sides of a cut are at different forms when it heals: down at once, and up after the last old one.
#[test]
fn a_cut_that_heals_with_both_sides_at_different_forms() {
    let mut sim = Sim::new(12, 11, 0.2);
    (0..12).for_each(|i| sim.start(i, if i < 6 { 2 } else { 0 }));
    (0..12).for_each(|i| sim.side[i] = u8::from(i >= 6));
    sim.run(SETTLED);
    assert_eq!(sim.not_writing(SchemaVersion::SECOND), []);
    sim.side.fill(0);
    sim.settles();
    (6..12).for_each(|i| sim.start(i, 2));
    sim.settles();
    assert_eq!(sim.common(), SchemaVersion::SECOND);
}

/// After finalize an old process is no reason to go back, and a new one that is pinned does not start.
#[test]
fn what_is_finalized_stays() {
    let mut sim = Sim::new(6, 3, 0.2);
    (0..6).for_each(|i| sim.start(i, 2));
    let Process::New(channel) = &mut sim.processes[2] else { panic!() };
    assert!(channel.negotiator.finalize(1000.0).is_err(), "too early");
    sim.settles();
    let Process::New(channel) = &mut sim.processes[2] else { panic!() };
    assert_eq!(channel.negotiator.finalize(sim.now), Ok(SchemaVersion::SECOND));
    sim.run(QUIET_PERIOD_MS);
    let is_finalized = |p: &Process| matches!(p, Process::New(channel) if channel.negotiator.finalized() == SchemaVersion::SECOND);
    assert!(sim.processes.iter().all(is_finalized), "it is told among relays");
    sim.floor = SchemaVersion::SECOND;
    sim.start(4, 0);
    sim.start(5, 1);
    assert!(matches!(sim.processes[5], Process::Down));
    sim.settles();
}

/// Rows that can't be told while an old process is alive are kept aside, and go once they can, the latest
/// of them.
#[test]
fn rows_are_kept_aside_while_form_1_is_written() {
    let mut sim = Sim::new(3, 5, 0.0);
    (0..3).for_each(|i| sim.start(i, 2));
    let rows = |n: usize| QuotaRows::new(&format!("m{}", "A".repeat(n + 1))).unwrap();
    for n in 0..5 {
        let Process::New(channel) = &mut sim.processes[1] else { panic!() };
        channel.queue_rows(sim.now, 0, rows(n));
        sim.run(1000.0);
    }
    assert_eq!(sim.rows.get(&0), Some(&Vec::new()), "told in form 1");
    sim.run(QUIET_PERIOD_MS + 3000.0);
    assert_eq!(sim.rows.get(&0), Some(&vec![rows(4)]), "the latest alone");
}

/// A relay that is silent since it was written to in form 2, or whose word is old, may have been replaced
/// by an old one that has nothing to say: it gets form 1.
#[test]
fn who_is_silent_gets_form_1() {
    let mut negotiator = VersionNegotiator::new(
        up_to(2),
        SchemaVersion::FIRST,
        RelayPosition { local_index: 0, relay_count: 2 },
        1,
        0.0,
    )
    .unwrap();
    let advertisement = negotiator.advertisement(QUIET_PERIOD_MS);
    let advertise = |negotiator: &mut VersionNegotiator, now| {
        negotiator.handle_advertisement(now, 1, &advertisement).unwrap()
    };
    advertise(&mut negotiator, QUIET_PERIOD_MS);
    assert_eq!(
        negotiator.version_for(QUIET_PERIOD_MS + ADVERTISEMENT_TTL_MS - 1.0, 1),
        SchemaVersion::SECOND
    );
    assert_eq!(negotiator.version_for(QUIET_PERIOD_MS + ADVERTISEMENT_TTL_MS + 1.0, 1), SchemaVersion::FIRST);
    negotiator.record_sent(QUIET_PERIOD_MS, 1, SchemaVersion::SECOND, true);
    assert_eq!(
        negotiator.version_for(QUIET_PERIOD_MS + 100.0, 1),
        SchemaVersion::SECOND,
        "it may still answer"
    );
    assert_eq!(negotiator.version_for(QUIET_PERIOD_MS + 1100.0, 1), SchemaVersion::FIRST);
    advertise(&mut negotiator, QUIET_PERIOD_MS + 1200.0);
    assert_eq!(negotiator.version_for(QUIET_PERIOD_MS + 1300.0, 1), SchemaVersion::SECOND);
}
