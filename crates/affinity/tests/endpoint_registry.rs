//! Incarnations: a lookup never gives an endpoint that is gone, draining or another process by now,
//! wherever the entry came from.

mod common;

use std::collections::HashMap;
use std::sync::Arc;

use common::*;
use proptest::prelude::*;
use sandgw_affinity::endpoint_registry::{EndpointTag, ListedState};
use sandgw_affinity::replication::Replication;
use sandgw_affinity::{Affinity, Record};

#[derive(Clone, Debug)]
enum Op {
    /// A change of the list: endpoint, start, state.
    Change(u8, u8, u8),
    /// A whole list: for each endpoint its state, or that it is missing, and its start.
    Whole(Vec<(u8, u8)>),
    Session(u64, u8),
    GroupConnection(u64, u8),
    /// Restored, or reported by a relay that knows another list: client or group, endpoint, start.
    Restored(u64, u8, u8),
    Reported(u64, u8, u8),
}

const ENDPOINTS: u8 = 5;

fn op() -> impl Strategy<Value = Op> {
    let (s, start, key) = (0..ENDPOINTS, 0u8..4, 0u64..12);
    prop_oneof![
        2 => (s.clone(), start.clone(), 0u8..3).prop_map(|(s, at, st)| Op::Change(s, at, st)),
        1 => proptest::collection::vec((0u8..4, 0u8..4), ENDPOINTS as usize).prop_map(Op::Whole),
        3 => (key.clone(), s.clone()).prop_map(|(k, s)| Op::Session(k, s)),
        3 => (key.clone(), s.clone()).prop_map(|(k, s)| Op::GroupConnection(k, s)),
        2 => (key.clone(), s.clone(), start.clone()).prop_map(|(k, s, at)| Op::Restored(k, s, at)),
        2 => (key, s, start).prop_map(|(k, s, at)| Op::Reported(k, s, at)),
    ]
}

fn id(s: u8) -> Arc<str> {
    Arc::from(format!("s-{s}"))
}

fn state(n: u8) -> ListedState {
    [ListedState::Ready, ListedState::Draining, ListedState::Removed][usize::from(n)]
}

fn start(n: u8) -> f64 {
    f64::from(n) * 1000.0
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn only_the_incarnation_meant_is_given_and_only_while_it_is_ready(ops in proptest::collection::vec(op(), 1..200)) {
        let mut affinity = Affinity::new(limits(), START);
        let mut replication = Replication::new(1);
        // What the list says: start and state. And which incarnations each key may have been placed at.
        let mut listed: HashMap<u8, (u8, ListedState)> = HashMap::new();
        let mut clients: HashMap<u64, Vec<(u8, u8)>> = HashMap::new();
        let mut groups: HashMap<u64, Vec<(u8, u8)>> = HashMap::new();
        let mut now = START;
        for op in ops {
            now += 10.0;
            let change = |listed: &mut HashMap<u8, (u8, ListedState)>, s: u8, at: u8, st: ListedState| {
                // A start only moves forward.
                if listed.get(&s).is_none_or(|(was, _)| at >= *was) {
                    match st {
                        ListedState::Removed => drop(listed.remove(&s)),
                        st => drop(listed.insert(s, (at, st))),
                    }
                }
            };
            match op {
                Op::Change(s, at, st) => {
                    list(&mut affinity, now, false, &[(id(s), start(at), state(st))]);
                    change(&mut listed, s, at, state(st));
                }
                Op::Whole(all) => {
                    let named = all.iter().zip(0..).filter(|((st, _), _)| *st < 3);
                    let entries: Vec<_> = named.clone().map(|((st, at), s)| (id(s), start(*at), state(*st))).collect();
                    list(&mut affinity, now, true, &entries);
                    listed.retain(|s, _| all[usize::from(*s)].0 < 3);
                    named.for_each(|((st, at), s)| change(&mut listed, s, *at, state(*st)));
                }
                Op::Session(key, s) => {
                    affinity.record_session(now, key, &id(s));
                    clients.entry(key).or_default().extend(listed.get(&s).map(|(at, _)| (s, *at)));
                }
                Op::GroupConnection(key, s) => {
                    affinity.record_group_connection(now, key, &id(s), 1.0);
                    groups.entry(key).or_default().extend(listed.get(&s).map(|(at, _)| (s, *at)));
                }
                Op::Restored(key, s, at) => {
                    let holder = EndpointTag::of(&id(s), start(at));
                    let records = [
                        Record::Session { key, holder, at: now },
                        Record::Group { key, holders: vec![(holder, 1.0)], at: now },
                    ];
                    affinity.restore(now, records.into_iter());
                    clients.entry(key).or_default().push((s, at));
                    groups.entry(key).or_default().push((s, at));
                }
                Op::Reported(key, s, at) => {
                    let mut other = Affinity::new(limits(), START);
                    list(&mut other, now, true, &[(id(s), start(at), ListedState::Ready)]);
                    other.record_session(now, key, &id(s));
                    let update = other.location_updates(&[key]).remove(0);
                    replication.receive(&mut affinity, now, 1, update, &mut Vec::new());
                    clients.entry(key).or_default().push((s, at));
                }
            }
            let ready = |s: u8, at: u8| listed.get(&s) == Some(&(at, ListedState::Ready));
            for (key, places) in &clients {
                if let Some(given) = affinity.session(*key) {
                    let right = places.iter().any(|(s, at)| id(*s) == given && ready(*s, *at));
                    prop_assert!(right, "client {key} at {given}, placed {places:?}, listed {listed:?}");
                }
            }
            for (key, places) in &groups {
                for holder in affinity.group_holders(now, *key) {
                    let given = holder.endpoint;
                    let right = places.iter().any(|(s, at)| id(*s) == given && ready(*s, *at));
                    prop_assert!(right, "group {key} at {given}, placed {places:?}, listed {listed:?}");
                }
            }
        }
    }
}

/// A rolling deploy replaces 95% of the endpoints within 24 s. From the notice on, entries of those that
/// leave give nothing, whether placed here, restored, or reported by a relay later; what stays is found.
#[test]
fn entries_of_replaced_streamers_stop_at_the_notice() {
    let mut affinity = Affinity::new(limits(), START);
    let mut fleet = endpoints(20, 0.0);
    list(&mut affinity, START, true, &fleet);
    let tag = |i: usize| EndpointTag::of(&format!("s-{i}"), 0.0);
    for key in 0..1000u64 {
        let at = (key % 20) as usize;
        affinity.record_session(START, key, &fleet[at].0.clone());
        affinity.record_group_connection(START, key, &fleet[at].0.clone(), 1.0);
    }
    // All but the last leave, one after another, and successors join.
    for leaving in 0..19 {
        let now = START + 24_000.0 / 19.0 * leaving as f64;
        fleet[leaving].2 = ListedState::Draining;
        fleet.push((Arc::from(format!("n-{leaving}")), now, ListedState::Ready));
        list(&mut affinity, now, false, &fleet[leaving..=leaving]);
        list(&mut affinity, now, false, &fleet[fleet.len() - 1..]);
        // Restored and reported after the notice.
        let late = [Record::Session { key: 5000 + leaving as u64, holder: tag(leaving), at: now }];
        affinity.restore(now, late.into_iter());
        for key in 0..1000u64 {
            let at = (key % 20) as usize;
            let wanted = (at > leaving).then(|| format!("s-{at}"));
            assert_eq!(affinity.session(key).map(|id| id.to_string()), wanted, "client {key}");
            assert_eq!(
                affinity.group_holders(now, key).first().map(|holder| holder.endpoint.to_string()),
                wanted,
                "group {key}"
            );
        }
        assert_eq!(affinity.session(5000 + leaving as u64), None);
    }
    assert!(affinity.statistics().stale_lookups > 0);
    // One that is named ready again, without a new start, is found again; with a new start it is not.
    list(&mut affinity, START + 25_000.0, false, &[(fleet[0].0.clone(), 0.0, ListedState::Ready)]);
    assert_eq!(affinity.session(0).as_deref(), Some("s-0"));
    list(&mut affinity, START + 25_000.0, false, &[(fleet[0].0.clone(), START, ListedState::Ready)]);
    assert_eq!(affinity.session(0), None);
}

/// What was loaded names incarnations that no list has named: it is believed when one does, and only then.
#[test]
fn loaded_entries_wait_for_the_first_list() {
    let mut affinity = Affinity::new(limits(), START);
    let record = |key, id: &str, started| Record::Session {
        key,
        holder: EndpointTag::of(id, started),
        at: START - 5000.0,
    };
    let records = [record(1, "s-0", 0.0), record(2, "s-1", 500.0), record(3, "other", 0.0)];
    assert_eq!(affinity.restore(START, records.into_iter()).accepted, 3);
    assert_eq!((affinity.session(1), affinity.session(2)), (None, None));
    list(&mut affinity, START, true, &endpoints(2, 0.0));
    assert_eq!(affinity.session(1).as_deref(), Some("s-0"));
    assert_eq!(affinity.session(2), None, "s-1 has started again since");
    assert_eq!(affinity.session(3), None, "of another fleet");
}

/// The clock was stepped back between two starts, or the snapshot is of a machine whose clock was ahead: what
/// lies ahead counts as set now, and ages. Numbers that no clock gives do no harm.
#[test]
fn a_clock_stepped_back_makes_no_entry_that_never_ages() {
    let mut affinity = Affinity::new(limits(), START);
    list(&mut affinity, START, true, &endpoints(1, 0.0));
    let holder = EndpointTag::of("s-0", 0.0);
    let times = [START + 86_400_000.0, f64::INFINITY, f64::NAN, f64::NEG_INFINITY, -1.0, START - 1000.0];
    let records = times.iter().zip(0..).map(|(at, key)| Record::Session { key, holder, at: *at });
    let done = affinity.restore(START, records);
    assert_eq!((done.accepted, done.in_future, done.expired), (5, 4, 1));
    assert!(affinity.session(0).is_some());
    // The clock goes back while it runs: time stands still here until it has caught up.
    affinity.record_session(START - 3_600_000.0, 9, "s-0");
    assert!(affinity.session(9).is_some());
    let later = START + affinity.limits().max_age + 200.0;
    affinity.record_session(later, 10, "s-0");
    assert_eq!((affinity.session(0), affinity.session(9)), (None, None));
}
