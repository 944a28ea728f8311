//! Tests: clients of endpoints that drain.

use std::collections::BTreeSet;

use super::super::api::*;
use super::world::*;

/// The steps stopped once when no connection stood while one was still being set up: it was never told.
#[test]
fn clients_that_their_leaving_server_does_not_send_away_are_told_even_if_they_stand_later() {
    let mut world = World::new(settings(), &ready(1));
    for (id, drained_by_endpoint) in [(1, false), (2, true), (3, false)] {
        let request = RequestId(id);
        let (class, client, deadline) = (Some(ClassId(0)), None, world.now + 2000.0);
        let (setup_time_used, load, mid_flow, is_returning, group) = (0.0, None, false, false, None);
        let connection = Request {
            id: request,
            class,
            client,
            group,
            deadline,
            setup_time_used,
            load,
            mid_flow,
            is_returning,
            drained_by_endpoint,
        };
        world.arrive(connection);
    }
    world.establish(RequestId(1), 5.0);
    world.establish(RequestId(2), 5.0);
    let leaving = [entry(0, EndpointState::Draining, 0.0)];
    world.handle(Event::List { kind: ListKind::Delta, endpoints: leaving.to_vec() });
    let moved = |w: &World, id| w.log.contains(&Action::Migrate(RequestId(id)));
    world.pass(150.0);
    world.end(RequestId(1), Outcome::Cancelled);
    world.pass(120.0);
    world.establish(RequestId(3), 270.0);
    world.pass(300.0);
    assert_eq!([1, 2, 3].map(|id| moved(&world, id)), [true, false, true]);
}

/// Each list that began a drain armed steps of its own, and all of them sent a share of every leaving
/// server's clients away: overlapping drains emptied servers in a fraction of the time.
#[test]
fn overlapping_drains_keep_the_pace_of_one() {
    let moved_early = |also: &[usize]| {
        let mut world = World::new(settings(), &ready(6));
        for id in 0..240 {
            world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
            world
                .load_balancer
                .placements
                .requests
                .by_id
                .get_mut(&RequestId(id))
                .unwrap()
                .request
                .drained_by_endpoint = false;
            world.establish(RequestId(id), 5.0);
        }
        let first: BTreeSet<_> = (0..240).filter(|id| world.sends(*id)[0] == endpoint(0)).collect();
        let mut moved = BTreeSet::new();
        for step in 0..40 {
            if let Some(i) = [0].iter().chain(also).nth(step) {
                world.give_list(ListKind::Delta, &[entry(*i, EndpointState::Draining, 0.0)]);
            }
            world.pass(10.0);
            for action in std::mem::take(&mut world.log) {
                if let Action::Migrate(id) = action {
                    world.end(id, Outcome::Cancelled);
                    moved.extend(first.contains(&id.0).then_some(id.0));
                }
            }
        }
        moved.len() as f64 / first.len() as f64
    };
    let (alone, overlapping) = (moved_early(&[]), moved_early(&[1, 2, 3, 4]));
    assert!((0.3..=0.55).contains(&alone), "{alone} of the clients were told after 0.4 s");
    assert!((overlapping - alone).abs() < 0.05, "{overlapping} beside {alone} were told after 0.4 s");
}
