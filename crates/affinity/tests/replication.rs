//! Recovery from the other relays over a network that loses, duplicates and reorders messages.

mod common;

use std::collections::BTreeMap;

use common::*;
use proptest::prelude::*;
use sandgw_affinity::Limits;
use sandgw_affinity::codec::{ClusterMessage, LocatedClients, StickyClients, TableKind};

const ENDPOINTS: usize = 14;

/// Four relays that know the same clients and have each placed a quarter of the groups' connections.
fn world(net: Net, clients: u64, limits: Limits) -> World {
    let mut world = World::new(4, net, limits);
    for at in 0..4 {
        let fleet = endpoints(ENDPOINTS, 0.0);
        world.call(at, |a, _, now, _| {
            list(a, now, true, &fleet);
            for key in 0..clients {
                // Spread over the buckets.
                a.record_session(
                    now,
                    key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24,
                    &fleet[key as usize % ENDPOINTS].0,
                );
            }
        });
    }
    // Over two mean lives, so that every relay knows its past.
    for step in 0..400u64 {
        world.pass(275.0);
        for at in 0..4 {
            world.call(at, |a, _, now, _| {
                for n in 0..3 {
                    let group = (step * 7 + n) % 40;
                    a.record_group_connection(
                        now,
                        group << 50 | group,
                        &format!("s-{}", group as usize % ENDPOINTS),
                        1.0,
                    );
                }
            });
        }
    }
    world.sent.clear();
    world
}

fn known(world: &mut World, at: usize, clients: u64) -> usize {
    let affinity = &mut world.nodes[at].0;
    let right = |key: &u64| {
        let wanted = format!("s-{}", *key as usize % ENDPOINTS);
        affinity.session(key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24).is_some_and(|id| *id == *wanted)
    };
    (0..clients).filter(right).count()
}

fn sizes(world: &World, at: usize) -> BTreeMap<u64, f64> {
    let sizes = world.nodes[at].0.group_sizes(world.now, 1000);
    sizes.into_iter().map(|size| (size.group, size.load)).collect()
}

/// Starts relay 0 again from nothing and gives it this long.
fn recovered(net: Net, clients: u64, span: f64) -> World {
    let mut world = world(net, clients, limits());
    world.restart(0, 99);
    let fleet = endpoints(ENDPOINTS, 0.0);
    world.call(0, |a, _, now, _| list(a, now, true, &fleet));
    world.recover(0);
    world.pass(span);
    world
}

#[test]
fn a_relay_that_starts_again_knows_clients_and_groups_within_a_second() {
    let mut world = recovered(Net { delay: 32, ..Net::default() }, 700, 1000.0);
    assert_eq!(known(&mut world, 0, 700), 700);
    assert!(!world.nodes[0].1.is_recovering());
    let (got, wanted) = (sizes(&world, 0), sizes(&world, 1));
    assert_eq!(got.len(), wanted.len());
    for (group, size) in &wanted {
        // What three of four carry; in service they carry the fourth's as well by then.
        let share = got[group] / size / 0.75;
        assert!((0.93..1.07).contains(&share), "group {group}: {} for {size}", got[group]);
    }
    assert_eq!(world.nodes[0].1.resent_chunks(), 0);
    let estimate = world.nodes[0].0.estimated_load(world.now);
    let (load, confidence) = (estimate.load, estimate.confidence);
    let all = 0.75 * wanted.values().sum::<f64>();
    assert!((0.9..1.1).contains(&(load / all)) && confidence > 0.9, "{load} of {all}, {confidence}");
}

#[test]
fn pieces_lost_doubled_and_out_of_order_change_nothing_in_the_end() {
    for lost in [0.1, 0.3] {
        let net = Net { lost, doubled: 0.3, delay: 60 };
        let mut world = recovered(net, 700, 8000.0);
        assert_eq!(known(&mut world, 0, 700), 700, "{lost} lost");
        assert!(world.nodes[0].1.resent_chunks() > 0);
        // Duplicated chunks add no load: the sum is what the three carry.
        let load = world.nodes[0].0.estimated_load(world.now).load;
        let all = 0.75 * sizes(&world, 1).values().sum::<f64>();
        assert!((0.85..1.15).contains(&(load / all)), "{load} of {all} with {lost} lost");
    }
}

/// Only what differs is sent: a second relay asked for the same clients has next to nothing to tell.
#[test]
fn what_is_known_already_is_not_sent_again() {
    let sessions = |world: &World, from: usize| -> usize {
        world.sent.iter().filter(|s| s.1 == from).map(|s| s.2).sum()
    };
    let world = recovered(Net::default(), 700, 3000.0);
    // Clients are requested from relay 1 first; the others send their groups and a plan.
    let (first, others) = (sessions(&world, 1), sessions(&world, 2) + sessions(&world, 3));
    assert!(others < 2 * (first / 3), "{first} bytes from the first, {others} from the others");
    // About eight bytes a client, where one question once brought three answers of ten.
    assert!(first < 700 * 12 + 3000, "{first}");
}

#[test]
fn no_second_has_more_bytes_than_the_rate() {
    let limits = Limits { sync_bytes_per_s: 4096.0, bytes: 8 << 20, ..limits() };
    let mut world = world(Net { lost: 0.1, doubled: 0.0, delay: 20 }, 4000, limits);
    world.restart(0, 5);
    let fleet = endpoints(ENDPOINTS, 0.0);
    world.call(0, |a, _, now, _| list(a, now, true, &fleet));
    world.recover(0);
    world.pass(60_000.0);
    assert_eq!(known(&mut world, 0, 4000), 4000);
    for from in 1..4 {
        let sent: Vec<_> = world.sent.iter().filter(|s| s.1 == from).collect();
        for (i, first) in sent.iter().enumerate() {
            let second = sent[i..].iter().take_while(|s| s.0 < first.0 + 1000.0);
            let bytes: usize = second.map(|s| s.2).sum();
            // A second's worth, the burst after a rest, and a message that was begun.
            assert!(
                bytes as f64 <= limits.sync_bytes_per_s * 1.25 + 512.0,
                "{bytes} bytes in a second from {from}"
            );
        }
    }
}

/// Answers to a relay's earlier life come after its new start: they are no part of what it asked for.
#[test]
fn pieces_for_an_earlier_life_are_passed_over() {
    let mut world = world(Net { delay: 400, ..Net::default() }, 300, limits());
    world.restart(0, 1);
    world.recover(0);
    world.pass(300.0);
    world.restart(0, 2);
    let fleet = endpoints(ENDPOINTS, 0.0);
    world.call(0, |a, _, now, _| list(a, now, true, &fleet));
    world.recover(0);
    world.pass(8000.0);
    assert_eq!(known(&mut world, 0, 300), 300);
    let load = world.nodes[0].0.estimated_load(world.now).load;
    let all = 0.75 * sizes(&world, 1).values().sum::<f64>();
    assert!((0.85..1.15).contains(&(load / all)), "{load} of {all}: loads came in twice");
}

/// A configuration may give every start the same seed. The second start once drew the first one's numbers
/// and was answered what that had been answered.
#[test]
fn a_start_with_the_same_seed_is_a_new_one() {
    let mut world = world(Net::default(), 0, limits());
    let fleet = endpoints(ENDPOINTS, 0.0);
    let start = |world: &mut World| {
        world.restart(0, 1);
        world.call(0, |a, _, now, _| list(a, now, true, &fleet));
        world.recover(0);
        world.pass(500.0);
    };
    start(&mut world);
    world.call(1, |a, _, now, _| assert!(a.record_session(now, 0, "s-0")));
    start(&mut world);
    assert_eq!(known(&mut world, 0, 1), 1);
}

/// A silent relay is given up and the next one is queried; a whole cluster that starts is soon quiet.
#[test]
fn silent_relays_are_given_up() {
    let mut world = recovered(Net { lost: 1.0, ..Net::default() }, 10, 60_000.0);
    assert!(!world.nodes[0].1.is_recovering() && known(&mut world, 0, 10) == 0);
    let sent = world.sent.len();
    world.pass(60_000.0);
    assert_eq!(world.sent.len(), sent, "it goes on asking");
    (0..4).for_each(|at| world.restart(at, 40 + at as u64));
    (0..4).for_each(|at| world.recover(at));
    world.pass(60_000.0);
    assert!(world.nodes.iter().all(|(_, replication)| !replication.is_recovering()));
}

fn sticky_clients() -> impl Strategy<Value = Vec<StickyClients>> {
    let one = (any::<[u8; 4]>(), any::<u8>(), proptest::collection::vec(any::<[u8; 5]>(), 0..40));
    let one = one.prop_map(|(tag, age, clients)| StickyClients {
        tag: sandgw_affinity::endpoint_registry::EndpointTag(tag),
        age,
        clients: clients.into_iter().map(sandgw_affinity::codec::Client).collect(),
    });
    proptest::collection::vec(one, 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever a datagram holds, it is read as a message or ignored, and a message survives its encoding.
    #[test]
    fn any_text_is_read_or_passed_over(rows in sticky_clients(), flips in proptest::collection::vec((any::<usize>(), any::<u8>()), 0..8), other in ".{0,80}") {
        let _ = ClusterMessage::decode(&other);
        let located = |row: &StickyClients| LocatedClients { tag: row.tag, clients: row.clients.clone() };
        let messages = [
            ClusterMessage::LocationUpdate(rows.iter().map(located).collect()),
            ClusterMessage::Sessions { round: 9, bucket: 200, chunk: 60_000, rows },
            ClusterMessage::SyncPlan { round: 1, table: TableKind::Groups, chunk_counts: vec![u16::MAX; 40] },
        ];
        let mut world = World::new(2, Net::default(), limits());
        for message in messages {
            let Some(text) = message.encode() else { continue };
            prop_assert_eq!(ClusterMessage::decode(&text), Some(message));
            let mut bytes = text.into_bytes();
            for (at, by) in &flips {
                let at = at % bytes.len();
                bytes[at] ^= by & 0x7f;
            }
            if let Some(message) = String::from_utf8(bytes).ok().and_then(|t| ClusterMessage::decode(&t)) {
                world.call(0, |a, r, now, out| r.receive(a, now, 1, message, out));
            }
        }
        world.pass(5000.0);
    }
}
