//! Tests: how the list of endpoints is asked for.

use super::super::api::*;
use super::world::*;

/// Balancers turned away by the list service together must not come back together, nor too late.
#[test]
fn a_failed_list_call_is_repeated_with_jitter() {
    let mut world = World::new(settings(), &ready(2));
    assert!(world.log.contains(&Action::Subscribe));
    world.log.clear();
    for _ in 0..8 {
        world.handle(Event::List { kind: ListKind::Failed, endpoints: Vec::new() });
        let (before, list_max_age) = (world.log.len(), world.settings.list_max_age);
        world.pass(list_max_age / 2.0 + 8.0);
        assert!(world.log[before..].contains(&Action::Subscribe));
    }
}
