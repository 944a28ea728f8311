//! Tests: endpoints at their load limit.

use super::super::api::*;
use super::world::*;

/// A jammed server was flooded again by every balancer: requests over its cap are held meanwhile.
#[test]
fn a_jammed_server_gets_nothing_until_it_has_room() {
    let mut world = World::new(settings(), &ready(1));
    for id in 0..4 {
        world.ask(id, Some(0), Some("g"), &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
    }
    world.handle(Event::Measured { request: RequestId(0), measurement: Measurement::MessageDelay(150.0) });
    let moves = world.log.iter().filter(|a| matches!(a, Action::Migrate(_))).count();
    assert_eq!(moves, 1);
    world.ask(9, Some(0), Some("g"), "c", 1000.0);
    world.pass(100.0);
    assert!(world.sends(9).is_empty());
    // Once enough has left it is let in again.
    world.end(RequestId(0), Outcome::Cancelled);
    world.end(RequestId(1), Outcome::Cancelled);
    world.pass(300.0);
    assert_eq!(world.sends(9), [endpoint(0)]);
}

/// After a mass reconnect caps at their floor kept servers all but idle for half a minute; resets in one
/// burst count once.
#[test]
fn a_low_cap_recovers_and_a_burst_of_resets_cuts_it_once() {
    let mut world = World::new(settings(), &ready(1));
    for id in 0..4 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
    }
    (0..4).for_each(|id| world.end(RequestId(id), Outcome::Reset));
    assert_eq!(world.load_balancer.placements.endpoints.by_id[&endpoint(0)].load_limit.limit, 3.0);
    world.load_balancer.placements.endpoints.by_id.get_mut(&endpoint(0)).unwrap().load_limit.limit = 0.5;
    world.pass(12_000.0);
    assert!(
        world.load_balancer.placements.endpoints.by_id[&endpoint(0)].load_limit.current(world.now, 1.0) > 1.5
    );
}
