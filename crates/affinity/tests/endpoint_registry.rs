//! Tests of incarnations: whatever the source of an entry, a lookup never returns an endpoint that is removed
//! or draining, or whose id belongs to a new process by now.

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
    /// A change of the endpoint list: endpoint, start, state.
    Change(u8, u8, u8),
    /// A full endpoint list: for each endpoint its state (3 where the list does not name it) and its start.
    FullList(Vec<(u8, u8)>),
    Session(u64, u8),
    GroupConnection(u64, u8),
    /// An entry restored from a store: client or group, endpoint, start.
    Restored(u64, u8, u8),
    /// An entry reported by a relay with a different endpoint list: client, endpoint, start.
    Reported(u64, u8, u8),
}

const ENDPOINTS: u8 = 5;

fn op() -> impl Strategy<Value = Op> {
    let (endpoint, start, key) = (0..ENDPOINTS, 0u8..4, 0u64..12);
    prop_oneof![
        2 => (endpoint.clone(), start.clone(), 0u8..3).prop_map(|(endpoint, at, listed_state)| Op::Change(endpoint, at, listed_state)),
        1 => proptest::collection::vec((0u8..4, 0u8..4), ENDPOINTS as usize).prop_map(Op::FullList),
        3 => (key.clone(), endpoint.clone()).prop_map(|(k, endpoint)| Op::Session(k, endpoint)),
        3 => (key.clone(), endpoint.clone()).prop_map(|(k, endpoint)| Op::GroupConnection(k, endpoint)),
        2 => (key.clone(), endpoint.clone(), start.clone()).prop_map(|(k, endpoint, at)| Op::Restored(k, endpoint, at)),
        2 => (key, endpoint, start).prop_map(|(k, endpoint, at)| Op::Reported(k, endpoint, at)),
    ]
}

fn id(endpoint: u8) -> Arc<str> {
    Arc::from(format!("s-{endpoint}"))
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
    fn lookups_return_only_ready_endpoints_of_the_recorded_incarnation(ops in proptest::collection::vec(op(), 1..200)) {
        let mut affinity = Affinity::new(limits(), START);
        let mut replication = Replication::new(1);
        // Start and state of each endpoint in the list, and the incarnations at which each key may have been
        // placed.
        let mut listed: HashMap<u8, (u8, ListedState)> = HashMap::new();
        let mut clients: HashMap<u64, Vec<(u8, u8)>> = HashMap::new();
        let mut groups: HashMap<u64, Vec<(u8, u8)>> = HashMap::new();
        let mut now = START;
        for op in ops {
            now += 10.0;
            let update_listed = |listed: &mut HashMap<u8, (u8, ListedState)>, endpoint: u8, at: u8, listed_state: ListedState| {
                // An entry with an earlier start than the known one is outdated.
                if listed.get(&endpoint).is_none_or(|(was, _)| at >= *was) {
                    match listed_state {
                        ListedState::Removed => drop(listed.remove(&endpoint)),
                        listed_state => drop(listed.insert(endpoint, (at, listed_state))),
                    }
                }
            };
            match op {
                Op::Change(endpoint, at, listed_state) => {
                    apply_list(&mut affinity, now, false, &[(id(endpoint), start(at), state(listed_state))]);
                    update_listed(&mut listed, endpoint, at, state(listed_state));
                }
                Op::FullList(all) => {
                    let named = all.iter().zip(0..).filter(|((listed_state, _), _)| *listed_state < 3);
                    let entries: Vec<_> = named.clone().map(|((listed_state, at), endpoint)| (id(endpoint), start(*at), state(*listed_state))).collect();
                    apply_list(&mut affinity, now, true, &entries);
                    listed.retain(|endpoint, _| all[usize::from(*endpoint)].0 < 3);
                    named.for_each(|((listed_state, at), endpoint)| update_listed(&mut listed, endpoint, *at, state(*listed_state)));
                }
                Op::Session(key, endpoint) => {
                    affinity.record_session(now, key, &id(endpoint));
                    clients.entry(key).or_default().extend(listed.get(&endpoint).map(|(at, _)| (endpoint, *at)));
                }
                Op::GroupConnection(key, endpoint) => {
                    affinity.record_group_connection(now, key, &id(endpoint), 1.0);
                    groups.entry(key).or_default().extend(listed.get(&endpoint).map(|(at, _)| (endpoint, *at)));
                }
                Op::Restored(key, endpoint, at) => {
                    let holder = EndpointTag::of(&id(endpoint), start(at));
                    let records = [
                        Record::Session { key, holder, at: now },
                        Record::Group { key, holders: vec![(holder, 1.0)], at: now },
                    ];
                    affinity.restore(now, records.into_iter());
                    clients.entry(key).or_default().push((endpoint, at));
                    groups.entry(key).or_default().push((endpoint, at));
                }
                Op::Reported(key, endpoint, at) => {
                    let mut other = Affinity::new(limits(), START);
                    apply_list(&mut other, now, true, &[(id(endpoint), start(at), ListedState::Ready)]);
                    other.record_session(now, key, &id(endpoint));
                    let update = other.location_updates(&[key]).remove(0);
                    replication.receive(&mut affinity, now, 1, update, &mut Vec::new());
                    clients.entry(key).or_default().push((endpoint, at));
                }
            }
            let ready = |endpoint: u8, at: u8| listed.get(&endpoint) == Some(&(at, ListedState::Ready));
            for (key, placements) in &clients {
                if let Some(returned) = affinity.session(*key) {
                    let is_correct = placements.iter().any(|(endpoint, at)| id(*endpoint) == returned && ready(*endpoint, *at));
                    prop_assert!(is_correct, "client {key} found at {returned}, but placed at {placements:?}, listed {listed:?}");
                }
            }
            for (key, placements) in &groups {
                for holder in affinity.group_holders(now, *key) {
                    let returned = holder.endpoint;
                    let is_correct = placements.iter().any(|(endpoint, at)| id(*endpoint) == returned && ready(*endpoint, *at));
                    prop_assert!(is_correct, "group {key} found at {returned}, but placed at {placements:?}, listed {listed:?}");
                }
            }
        }
    }
}

/// A rolling deployment replaces 95% of the endpoints within 24 s. Once the list names an endpoint as
/// draining, its entries are no longer returned, whether they were placed here or restored later. Entries of
/// the endpoint that stays are still found.
#[test]
fn entries_of_draining_endpoints_are_not_returned() {
    let mut affinity = Affinity::new(limits(), START);
    let mut endpoint_list = endpoints(20, 0.0);
    apply_list(&mut affinity, START, true, &endpoint_list);
    let tag = |i: usize| EndpointTag::of(&format!("s-{i}"), 0.0);
    for key in 0..1000u64 {
        let at = (key % 20) as usize;
        affinity.record_session(START, key, &endpoint_list[at].0.clone());
        affinity.record_group_connection(START, key, &endpoint_list[at].0.clone(), 1.0);
    }
    // All endpoints but the last begin to drain, one after another, and each is replaced by a new one.
    for draining in 0..19 {
        let now = START + 24_000.0 / 19.0 * draining as f64;
        endpoint_list[draining].2 = ListedState::Draining;
        endpoint_list.push((Arc::from(format!("n-{draining}")), now, ListedState::Ready));
        apply_list(&mut affinity, now, false, &endpoint_list[draining..=draining]);
        apply_list(&mut affinity, now, false, &endpoint_list[endpoint_list.len() - 1..]);
        // An entry that is restored after the endpoint began to drain.
        let late_records = [Record::Session { key: 5000 + draining as u64, holder: tag(draining), at: now }];
        affinity.restore(now, late_records.into_iter());
        for key in 0..1000u64 {
            let at = (key % 20) as usize;
            let expected = (at > draining).then(|| format!("s-{at}"));
            assert_eq!(affinity.session(key).map(|id| id.to_string()), expected, "client {key}");
            assert_eq!(
                affinity.group_holders(now, key).first().map(|holder| holder.endpoint.to_string()),
                expected,
                "group {key}"
            );
        }
        assert_eq!(affinity.session(5000 + draining as u64), None);
    }
    assert!(affinity.statistics().stale_lookups > 0);
    // An endpoint that is listed as ready again is found again if its start is the same, but not with a new
    // start.
    apply_list(
        &mut affinity,
        START + 25_000.0,
        false,
        &[(endpoint_list[0].0.clone(), 0.0, ListedState::Ready)],
    );
    assert_eq!(affinity.session(0).as_deref(), Some("s-0"));
    apply_list(
        &mut affinity,
        START + 25_000.0,
        false,
        &[(endpoint_list[0].0.clone(), START, ListedState::Ready)],
    );
    assert_eq!(affinity.session(0), None);
}

/// Restored entries refer to incarnations that no endpoint list has named yet. Lookups return them only once
/// a list names those incarnations.
#[test]
fn restored_entries_are_returned_only_once_the_list_names_their_holder() {
    let mut affinity = Affinity::new(limits(), START);
    let record = |key, id: &str, started| Record::Session {
        key,
        holder: EndpointTag::of(id, started),
        at: START - 5000.0,
    };
    let records = [record(1, "s-0", 0.0), record(2, "s-1", 500.0), record(3, "other", 0.0)];
    assert_eq!(affinity.restore(START, records.into_iter()).accepted, 3);
    assert_eq!((affinity.session(1), affinity.session(2)), (None, None));
    apply_list(&mut affinity, START, true, &endpoints(2, 0.0));
    assert_eq!(affinity.session(1).as_deref(), Some("s-0"));
    assert_eq!(affinity.session(2), None, "s-1 has restarted since");
    assert_eq!(affinity.session(3), None, "the list does not name the endpoint");
}

/// Guards against entries that never expire. If the clock was stepped back between two starts, or the stored
/// entries come from a machine whose clock was ahead, entries with times in the future count as set now, and
/// expire. Times that no clock returns, such as NaN, do no harm.
#[test]
fn entries_with_future_or_invalid_times_still_expire() {
    let mut affinity = Affinity::new(limits(), START);
    apply_list(&mut affinity, START, true, &endpoints(1, 0.0));
    let holder = EndpointTag::of("s-0", 0.0);
    let times = [START + 86_400_000.0, f64::INFINITY, f64::NAN, f64::NEG_INFINITY, -1.0, START - 1000.0];
    let records = times.iter().zip(0..).map(|(at, key)| Record::Session { key, holder, at: *at });
    let summary = affinity.restore(START, records);
    assert_eq!((summary.accepted, summary.in_future, summary.expired), (5, 4, 1));
    assert!(affinity.session(0).is_some());
    // The clock is stepped back while the relay runs: the tables keep the latest time until the clock has
    // caught up.
    affinity.record_session(START - 3_600_000.0, 9, "s-0");
    assert!(affinity.session(9).is_some());
    let later = START + affinity.limits().max_age + 200.0;
    affinity.record_session(later, 10, "s-0");
    assert_eq!((affinity.session(0), affinity.session(9)), (None, None));
}
