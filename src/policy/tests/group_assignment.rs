//! Tests: how groups are sized and spread over endpoints.

#![allow(clippy::too_many_lines, reason = "one scenario, told in order")]

use std::collections::{BTreeMap, BTreeSet};

use super::super::api::*;
use super::world::*;

/// A large group would outgrow one server; scattered over all it would cost each of them.
#[test]
fn a_large_group_splits_over_few_servers() {
    let mut world = World::new(settings(), &ready(12));
    for id in 0..120 {
        let group = if id % 3 == 0 { "large".to_owned() } else { format!("g{}", id % 40) };
        world.ask(id, Some(0), Some(&group), &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
    }
    let used: BTreeSet<_> = (0..120).filter(|id| id % 3 == 0).flat_map(|id| world.sends(id)).collect();
    assert!((2..=7).contains(&used.len()), "{} servers", used.len());
}

/// Many balancers with a handful of connections each: their plans differed, and a group was scattered over
/// the fleet. Sizes are told from a sample with a prior, and a client picks among the parts by a nested
/// choice.
#[test]
fn many_balancers_with_few_connections_place_a_group_alike() {
    let many = Settings { relay_count: 200, ..settings() };
    let mut worlds: Vec<_> = (0..40).map(|_| World::new(many.clone(), &ready(80))).collect();
    let mut used = BTreeMap::<EndpointId, usize>::new();
    let (mut alike, mut of) = (0, 0);
    for (i, world) in worlds.iter_mut().enumerate() {
        // Each meets the group in another number among others: a twelfth to a third of what it sees.
        for id in 0..12 {
            let group = if id % (3 + i as u64 % 10) == 0 { "large".to_owned() } else { format!("g{i}-{id}") };
            world.ask(id, Some(0), Some(&group), &format!("c{i}-{id}"), 2000.0);
            world.establish(RequestId(id), 5.0);
        }
        for id in 100..130 {
            world.ask(id, Some(0), Some("large"), &format!("same{id}"), 2000.0);
            *used.entry(world.sends(id)[0].clone()).or_default() += 1;
            world.end(RequestId(id), Outcome::Ok);
        }
    }
    for id in 100..130 {
        let at: Vec<_> = worlds.iter().map(|w| w.sends(id)[0].clone()).collect();
        let most = at.iter().map(|s| at.iter().filter(|t| *t == s).count()).max().unwrap();
        (alike, of) = (alike + most, of + at.len());
    }
    assert!(alike * 3 > of * 2, "{alike} of {of} first sends on the server that most balancers pick");
    assert!((2..=50).contains(&used.len()), "{} of 80 servers", used.len());
}

/// With a handful of connections each, balancers that pool their samples plan alike: one adds up and answers.
/// Other peers' answers and unknown senders change nothing; without leave nothing is sent.
#[test]
fn a_sample_goes_to_one_peer_and_its_answer_sizes_the_groups() {
    let pool = Settings { relay_count: 100, local_index: 7, peer_messages: true, ..settings() };
    let mut world = World::new(pool.clone(), &ready(40));
    for id in 0..3 {
        world.ask(id, Some(0), Some("g0"), &format!("c{id}"), 2000.0);
    }
    let sample =
        |a: &&Action| matches!(a, Action::SendToPeer { peer: 0, message: PeerMessage::GroupSizes(_) });
    let tells = |w: &World| w.log.iter().filter(sample).count();
    assert_eq!(tells(&world), 1, "one sample while its answer is out");
    let group = |w: &World| {
        let told = w.log.iter().find_map(|a| match a {
            Action::SendToPeer { message: PeerMessage::GroupSizes(sizes), .. } => {
                sizes.groups.first().map(|first| first.group_slot)
            }
            _ => None,
        });
        told.unwrap()
    };
    let sizes = vec![
        GroupArrivals { group_slot: group(&world), arrivals: 900.0 },
        GroupArrivals { group_slot: 1, arrivals: 100.0 },
    ];
    let sum = GroupSizes { is_sum: true, total: 1000.0, groups: sizes };
    let message = PeerMessage::GroupSizes(sum.clone());
    let spread = |world: &mut World, from: u64| {
        for id in from..from + 60 {
            world.ask(id, Some(0), Some("g0"), &format!("c{id}"), 2000.0);
            world.end(RequestId(id), Outcome::Ok);
        }
        (from..from + 60).flat_map(|id| world.sends(id)).collect::<BTreeSet<_>>().len()
    };
    let mut stranger = World::new(pool.clone(), &ready(40));
    stranger.handle(Event::PeerMessage { peer: 9, message: message.clone() });
    stranger.ask(1, Some(0), Some("g9"), "c", 2000.0);
    assert!(stranger.load_balancer.placements.endpoints.by_id.len() == 40);
    stranger.log.clear();
    stranger
        .handle(Event::PeerMessage { peer: 100, message: PeerMessage::GroupSizes(GroupSizes::default()) });
    assert!(stranger.log.is_empty(), "an answer to an unknown balancer");
    // Nor does an answer that counts less than the own sample, or nothing, change a placement.
    let (mut told, mut untold) = (World::new(pool.clone(), &ready(40)), World::new(pool.clone(), &ready(40)));
    told.handle(Event::PeerMessage {
        peer: 0,
        message: PeerMessage::GroupSizes(GroupSizes {
            total: 0.0,
            groups: vec![GroupArrivals { group_slot: 9, arrivals: 0.0 }],
            ..sum
        }),
    });
    for id in 0..20 {
        told.ask(id, Some(0), Some(&format!("g{}", id % 3)), &format!("c{id}"), 2000.0);
        untold.ask(id, Some(0), Some(&format!("g{}", id % 3)), &format!("c{id}"), 2000.0);
        assert_eq!(told.sends(id), untold.sends(id));
    }
    let peer = world.load_balancer.merged_sample.collector;
    world.handle(Event::PeerMessage { peer, message });
    assert!(spread(&mut world, 1000) > 10, "nine tenths of all connections need many servers");
    // A sample is answered with the sum, whatever it holds and however often it comes.
    world.log.clear();
    let sample = PeerMessage::GroupSizes(GroupSizes {
        is_sum: false,
        total: 5.0,
        groups: vec![GroupArrivals { group_slot: 77, arrivals: 5.0 }],
    });
    (0..2).for_each(|_| world.handle(Event::PeerMessage { peer: 3, message: sample.clone() }));
    let answer = world.log.last().cloned();
    let Some(Action::SendToPeer { peer: 3, message: PeerMessage::GroupSizes(sizes) }) = answer else {
        panic!("no answer")
    };
    assert!(sizes.is_sum && sizes.groups.contains(&GroupArrivals { group_slot: 77, arrivals: 5.0 }));
    let mut alone = World::new(Settings { peer_messages: false, ..pool }, &ready(40));
    (0..20).for_each(|id| alone.ask(id, Some(0), Some("g"), &format!("c{id}"), 2000.0));
    assert_eq!(tells(&alone), 0);
}

/// A balancer that started again knew no group's size: all of a large group went to one server until it had
/// met enough of it anew. From what was kept it plans as before.
#[test]
fn a_balancer_that_starts_again_plans_from_what_was_kept() {
    let mut before = World::new(settings(), &ready(12));
    for id in 0..120 {
        let group = if id % 3 == 0 { "large".to_owned() } else { format!("g{}", id % 40) };
        before.ask(id, Some(0), Some(&group), &format!("c{id}"), 2000.0);
        before.establish(RequestId(id), 5.0);
    }
    let kept = before.load_balancer.cluster.take_changes(before.now, usize::MAX).updated;
    // A store that has lost some is given all of it again.
    before.load_balancer.cluster.track_changes();
    let again = before.load_balancer.cluster.take_changes(before.now, usize::MAX);
    assert!(again.updated.len() == kept.len() && again.names.len() == 12, "{again:?}");
    let places = |world: &mut World| -> Vec<EndpointId> {
        let place = |id: u64| {
            world.ask(id, Some(0), Some("large"), &format!("c{id}"), 2000.0);
            let at = world.sends(id)[0].clone();
            world.end(RequestId(id), Outcome::Ok);
            at
        };
        (1000..1040).map(place).collect()
    };
    let mut after = World::new(settings(), &ready(12));
    after.load_balancer.cluster.restore(after.now, kept.into_iter());
    let mut fresh = World::new(settings(), &ready(12));
    let set = |places: Vec<EndpointId>| places.into_iter().collect::<BTreeSet<_>>();
    let held: BTreeSet<_> = (0..120).filter(|id| id % 3 == 0).flat_map(|id| before.sends(id)).collect();
    let (after, fresh) = (places(&mut after), set(places(&mut fresh)));
    let kept = after.iter().filter(|at| held.contains(*at)).count();
    let after = set(after);
    assert!(after.len() > 1 && fresh.len() == 1, "{after:?} with what was kept, {fresh:?} without");
    assert!(kept >= 36, "{kept} of 40 go to those that hold the group: {after:?} of {held:?}");
}
