//! Simulated clusters of processes that support different schema versions, over random schedules of datagram
//! loss, partitions, restarts and finalization, with processes that are limited to an older version.

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

/// The time after the last change within which all processes write the newest version that all can read.
const SETTLE_TIME_MS: f64 = 2.0 * QUIET_PERIOD_MS + REQUEST_TIMEOUT_MS;
const STEP_MS: f64 = 50.0;

/// The process of one relay.
enum Process {
    Down,
    /// A process from before schema versions had numbers.
    Unversioned,
    /// A process of this program.
    Versioned(Box<VersionedChannel>),
}

struct Simulation {
    processes: Vec<Process>,
    started_at: Vec<f64>,
    rng: SmallRng,
    now: f64,
    /// The probability that a datagram is lost.
    loss_rate: f64,
    /// The partition of each process; datagrams between different partitions are lost.
    partition: Vec<u8>,
    /// Datagrams on their way, by time of arrival and number: sender, receiver and text.
    in_flight: BTreeMap<(u64, u64), (usize, usize, String)>,
    sent_count: u64,
    /// Pairs of a receiver and an unversioned sender whose datagram it received since the sender's last start.
    heard_unversioned: BTreeSet<(usize, usize)>,
    /// The version that the cluster has finalized.
    finalized_version: SchemaVersion,
    /// For each pair of sender and unversioned receiver, the times of the first and the last datagram that the
    /// receiver could not read since the sender last sent it a readable one.
    unreadable_sends: BTreeMap<(usize, usize), (f64, f64)>,
    /// The rows that each process received.
    received_rows: BTreeMap<usize, Vec<QuotaRows>>,
}

fn up_to(newest: u8) -> SupportedVersions {
    SupportedVersions::up_to(SchemaVersion::new(newest.into()).unwrap()).unwrap()
}

impl Simulation {
    fn new(process_count: usize, seed: u64, loss_rate: f64) -> Simulation {
        Simulation {
            processes: (0..process_count).map(|_| Process::Down).collect(),
            started_at: vec![0.0; process_count],
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            loss_rate,
            partition: vec![0; process_count],
            in_flight: BTreeMap::new(),
            sent_count: 0,
            heard_unversioned: BTreeSet::new(),
            finalized_version: SchemaVersion::FIRST,
            unreadable_sends: BTreeMap::new(),
            received_rows: BTreeMap::new(),
        }
    }

    /// Starts or restarts a process: an unversioned one if `newest` is 0, otherwise one of this program that
    /// supports versions up to `newest`. A process that does not support the finalized version does not start.
    /// A restart takes longer than the transit time of a datagram.
    fn start(&mut self, i: usize, newest: u8) {
        if !matches!(std::mem::replace(&mut self.processes[i], Process::Down), Process::Down) {
            self.run(250.0);
        }
        self.started_at[i] = self.now;
        self.heard_unversioned.retain(|(_, sender)| *sender != i);
        self.unreadable_sends.retain(|(_, receiver), _| *receiver != i);
        let process_count = self.processes.len() as u32;
        self.processes[i] = match newest {
            0 => Process::Unversioned,
            // A relay reads the finalized version from its folder, or learns it from other relays before it
            // serves.
            _ => match VersionNegotiator::new(
                up_to(newest),
                self.finalized_version,
                RelayPosition { local_index: i as u32, relay_count: process_count },
                self.rng.random(),
                self.now,
            ) {
                Ok(negotiator) => Process::Versioned(Box::new(VersionedChannel::new(negotiator))),
                Err(_) => Process::Down,
            },
        };
    }

    fn transmit(&mut self, from: usize, to: usize, text: String) {
        assert!(text.len() <= 256, "{text}");
        let is_readable = text.starts_with(['1', '2']);
        let is_advertisement = !text.contains('|') || text.ends_with("|?");
        if let Process::Unversioned = self.processes[to]
            && !is_advertisement
            && self.finalized(from) == Some(SchemaVersion::FIRST)
        {
            if is_readable {
                self.unreadable_sends.remove(&(from, to));
            } else {
                let heard = self.heard_unversioned.contains(&(from, to));
                assert!(
                    !heard,
                    "{from} sends {text} to {to}, although it has received a datagram from that unversioned process"
                );
                let (first, last) = self.unreadable_sends.entry((from, to)).or_insert((self.now, self.now));
                *last = self.now;
                assert!(
                    *last - *first < ADVERTISEMENT_TTL_MS + 100.0,
                    "{from} sends {to} only datagrams that it can't read"
                );
                assert!(
                    self.now - self.started_at[to] < ADVERTISEMENT_TTL_MS + 100.0,
                    "{from} still takes {to} for the process that ran before it"
                );
            }
        }
        if self.rng.random_bool(self.loss_rate) || self.partition[from] != self.partition[to] {
            return;
        }
        self.sent_count += 1;
        let at = self.now + self.rng.random_range(5.0..40.0);
        self.in_flight.insert((at as u64, self.sent_count), (from, to, text));
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
            Process::Unversioned => out.push(Datagram { peer: to as u32, text: text.to_owned() }),
            Process::Versioned(channel) => channel.send(self.now, to as u32, text, &mut out),
        }
        self.send_all(from, out);
    }

    fn deliver(&mut self, from: usize, to: usize, text: &str) {
        let is_sender_unversioned = matches!(self.processes[from], Process::Unversioned);
        let mut out = Vec::new();
        let needs_answer = match &mut self.processes[to] {
            Process::Down => false,
            Process::Unversioned => text.starts_with("2ask"),
            Process::Versioned(channel) => {
                if is_sender_unversioned && text.starts_with(['1', '2']) {
                    self.heard_unversioned.insert((to, from));
                }
                let received = channel.receive(self.now, from as u32, text, &mut out).unwrap_or_default();
                self.received_rows.entry(to).or_default().extend(received.rows);
                received.text.is_some_and(|text| text.starts_with("2ask"))
            }
        };
        self.send_all(to, out);
        if needs_answer {
            self.send(to, from, "2answer");
        }
    }

    /// Advances the time by `duration`. At random times each process sends a request to its collector and a
    /// message to a random process; advertisements and rows are sent when they are due.
    fn run(&mut self, duration: f64) {
        let (process_count, until) = (self.processes.len(), self.now + duration);
        while self.now < until {
            self.now += STEP_MS;
            while let Some(((at, _), _)) = self.in_flight.first_key_value()
                && *at as f64 <= self.now
            {
                let Some((_, (from, to, text))) = self.in_flight.pop_first() else { break };
                self.deliver(from, to, &text);
            }
            for i in 0..process_count {
                if let Process::Versioned(channel) = &mut self.processes[i] {
                    let mut out = Vec::new();
                    channel.poll(self.now, &mut out);
                    self.send_all(i, out);
                }
                if self.rng.random_bool(STEP_MS / 1500.0) {
                    let receiver = self.rng.random_range(0..process_count);
                    for (to, text) in [(self.collector(i), "2ask"), (receiver, "2news")] {
                        if to != i {
                            self.send(i, to, text);
                        }
                    }
                }
            }
            // A process is bound by the finalized version that it knows: in a partition it may not learn of a
            // newer one.
            for (i, version) in self.written_versions() {
                let finalized = self.finalized(i).unwrap_or(SchemaVersion::FIRST);
                assert!(
                    version >= finalized,
                    "{i} writes version {version} below the finalized version {finalized}"
                );
            }
        }
    }

    /// Returns the first other process that is up: a process that gets no answer asks the next one.
    fn collector(&self, i: usize) -> usize {
        let is_other_up = |other: &usize| *other != i && !matches!(self.processes[*other], Process::Down);
        (0..self.processes.len()).find(is_other_up).unwrap_or(i)
    }

    fn negotiators(&self) -> impl Iterator<Item = (usize, &VersionNegotiator)> {
        self.processes.iter().enumerate().filter_map(|(i, process)| match process {
            Process::Versioned(channel) => Some((i, &channel.negotiator)),
            _ => None,
        })
    }

    fn finalized(&self, i: usize) -> Option<SchemaVersion> {
        self.negotiators().find(|(index, _)| *index == i).map(|(_, negotiator)| negotiator.finalized())
    }

    /// For each process of this program that supports the finalized version, returns the version that it
    /// writes.
    fn written_versions(&self) -> Vec<(usize, SchemaVersion)> {
        let supporting = self
            .negotiators()
            .filter(|(_, negotiator)| negotiator.supported().newest() >= self.finalized_version);
        supporting.map(|(i, negotiator)| (i, negotiator.version(self.now))).collect()
    }

    /// Returns the newest version that all live processes support, or the finalized version if that is newer.
    fn common_version(&self) -> SchemaVersion {
        let unversioned = self
            .processes
            .iter()
            .any(|process| matches!(process, Process::Unversioned))
            .then_some(SchemaVersion::FIRST);
        let newest = self.negotiators().map(|(_, negotiator)| negotiator.supported().newest());
        newest.chain(unversioned).min().unwrap_or(SchemaVersion::FIRST).max(self.finalized_version)
    }

    /// Returns the processes that write another version than `version`, with the versions that they write.
    fn not_writing(&self, version: SchemaVersion) -> Vec<(usize, SchemaVersion)> {
        self.written_versions().into_iter().filter(|(_, written)| *written != version).collect()
    }

    /// Runs without further changes, and asserts that all processes switch to the newest version that all can
    /// read and keep it.
    fn assert_settles(&mut self) {
        self.run(SETTLE_TIME_MS);
        for _ in 0..10 {
            self.run(2000.0);
            let common = self.common_version();
            assert_eq!(self.not_writing(common), [], "all should write version {common}");
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

    /// Over random schedules, no process is sent only datagrams that it can't read, no process writes a version
    /// below the finalized one, and in the end all write the same version.
    #[test]
    fn random_schedules_keep_datagrams_readable_and_settle(
        process_count in 2usize..14, seed: u64, changes in proptest::collection::vec((0u8..8, any::<u16>(), 0.0..20_000.0), 1..14),
    ) {
        let mut sim = Simulation::new(process_count, seed, 0.2);
        (0..process_count).for_each(|i| sim.start(i, (seed >> i) as u8 % 3));
        for (action, selector, duration) in changes {
            let i = usize::from(selector) % process_count;
            match action {
                0 => sim.processes[i] = Process::Down,
                1..=4 => sim.start(i, (selector >> 8) as u8 % 3),
                5 => (0..process_count).for_each(|k| sim.partition[k] = (selector >> (k % 16)) as u8 & 1),
                6 => sim.partition.fill(0),
                _ => {
                    if let Process::Versioned(channel) = &mut sim.processes[i]
                        && let Ok(finalized) = channel.negotiator.finalize(sim.now)
                    {
                        sim.finalized_version = sim.finalized_version.max(finalized);
                    }
                }
            }
            sim.run(duration);
        }
        sim.partition.fill(0);
        sim.assert_settles();
    }
}

/// A rolling upgrade replaces 24 processes, three at a time, with a fifth of the datagrams lost. The cluster
/// writes version 2 only after the last process is replaced, and goes back to version 1 with the first
/// unversioned process of a rollback.
#[test]
fn rolling_upgrade_raises_the_version_at_its_end_and_rollback_lowers_it_at_once() {
    let mut sim = Simulation::new(24, 7, 0.2);
    (0..24).for_each(|i| sim.start(i, 0));
    sim.run(5000.0);
    let roll_out = |sim: &mut Simulation, newest: u8, end: usize| {
        for first in (0..end).step_by(3) {
            (first..first + 3).for_each(|i| sim.processes[i] = Process::Down);
            sim.run(1000.0);
            (first..first + 3).for_each(|i| sim.start(i, newest));
            sim.run(3000.0);
        }
    };
    roll_out(&mut sim, 2, 12);
    // The upgrade pauses half way for minutes.
    for _ in 0..60 {
        sim.run(4000.0);
        assert_eq!(sim.not_writing(SchemaVersion::FIRST), [], "half of the processes are unversioned");
    }
    roll_out(&mut sim, 2, 24);
    sim.assert_settles();
    assert_eq!(sim.common_version(), SchemaVersion::SECOND);
    // A single unversioned process makes the cluster go back. Meanwhile `transmit` asserts that the process is
    // not sent only datagrams that it can't read.
    sim.start(5, 0);
    sim.run(ADVERTISEMENT_TTL_MS + REQUEST_TIMEOUT_MS);
    assert!(sim.not_writing(SchemaVersion::FIRST).len() <= 3, "{:?}", sim.written_versions());
    sim.assert_settles();
    roll_out(&mut sim, 0, 24);
}

/// The two partitions write different versions when they are joined. All processes then go back to version 1,
/// and write version 2 after the last unversioned process is replaced.
#[test]
fn partitions_with_different_versions_settle_after_they_are_joined() {
    let mut sim = Simulation::new(12, 11, 0.2);
    (0..12).for_each(|i| sim.start(i, if i < 6 { 2 } else { 0 }));
    (0..12).for_each(|i| sim.partition[i] = u8::from(i >= 6));
    sim.run(SETTLE_TIME_MS);
    assert_eq!(sim.not_writing(SchemaVersion::SECOND), []);
    sim.partition.fill(0);
    sim.assert_settles();
    (6..12).for_each(|i| sim.start(i, 2));
    sim.assert_settles();
    assert_eq!(sim.common_version(), SchemaVersion::SECOND);
}

/// After finalization an unversioned process does not make the cluster go back, and a process of this program
/// that is limited to an older version does not start.
#[test]
fn finalized_version_is_kept() {
    let mut sim = Simulation::new(6, 3, 0.2);
    (0..6).for_each(|i| sim.start(i, 2));
    let Process::Versioned(channel) = &mut sim.processes[2] else { panic!() };
    assert!(channel.negotiator.finalize(1000.0).is_err(), "the quiet period is not over");
    sim.assert_settles();
    let Process::Versioned(channel) = &mut sim.processes[2] else { panic!() };
    assert_eq!(channel.negotiator.finalize(sim.now), Ok(SchemaVersion::SECOND));
    sim.run(QUIET_PERIOD_MS);
    let is_finalized = |process: &Process| matches!(process, Process::Versioned(channel) if channel.negotiator.finalized() == SchemaVersion::SECOND);
    assert!(sim.processes.iter().all(is_finalized), "relays advertise the finalized version to each other");
    sim.finalized_version = SchemaVersion::SECOND;
    sim.start(4, 0);
    sim.start(5, 1);
    assert!(matches!(sim.processes[5], Process::Down));
    sim.assert_settles();
}

/// While version 1 is written, rows can't be sent and stay queued. Once version 2 is written, only the latest
/// queued rows are sent.
#[test]
fn rows_are_queued_while_version_1_is_written() {
    let mut sim = Simulation::new(3, 5, 0.0);
    (0..3).for_each(|i| sim.start(i, 2));
    let rows = |n: usize| QuotaRows::new(&format!("m{}", "A".repeat(n + 1))).unwrap();
    for n in 0..5 {
        let Process::Versioned(channel) = &mut sim.processes[1] else { panic!() };
        channel.queue_rows(sim.now, 0, rows(n));
        sim.run(1000.0);
    }
    assert_eq!(sim.received_rows.get(&0), Some(&Vec::new()), "no rows are sent in version 1");
    sim.run(QUIET_PERIOD_MS + 3000.0);
    assert_eq!(sim.received_rows.get(&0), Some(&vec![rows(4)]), "only the latest rows are sent");
}

/// A relay that has not responded to a version 2 datagram, or whose advertisement has expired, may have been
/// replaced by an unversioned process that has nothing to send. It gets version 1.
#[test]
fn silent_relay_gets_version_1() {
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
        "the relay may still respond"
    );
    assert_eq!(negotiator.version_for(QUIET_PERIOD_MS + 1100.0, 1), SchemaVersion::FIRST);
    advertise(&mut negotiator, QUIET_PERIOD_MS + 1200.0);
    assert_eq!(negotiator.version_for(QUIET_PERIOD_MS + 1300.0, 1), SchemaVersion::SECOND);
}
