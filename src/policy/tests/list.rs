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

/// Guards against attempts by a list that discovery has not confirmed for too long.
#[test]
fn no_attempt_starts_while_the_list_may_not_be_used() {
    let mut world = World::new(settings(), &ready(2));
    let valid_until = world.now + 100.0;
    world.handle(Event::ListValidUntil(valid_until));
    world.ask(1, Some(0), None, "a", 2000.0);
    assert_eq!(world.sends(1).len(), 1, "the list may be used");
    world.end(RequestId(1), Outcome::Ok);
    world.pass(104.0);
    world.ask(2, Some(0), None, "a", 2000.0);
    world.pass(200.0);
    assert!(world.sends(2).is_empty(), "it may not");
    let valid_until = world.now + 6000.0;
    world.handle(Event::ListValidUntil(valid_until));
    assert_eq!(world.sends(2).len(), 1, "who waits is placed as soon as it may");
    world.end(RequestId(2), Outcome::Ok);
    world.finish();
}

/// A client that waits for the list is answered within the time that a set-up may take.
#[test]
fn who_waits_for_the_list_is_answered_long_before_its_deadline() {
    let mut world = World::new(settings(), &ready(2));
    let valid_until = world.now - 1.0;
    world.handle(Event::ListValidUntil(valid_until));
    world.ask(1, Some(0), None, "a", 2000.0);
    world.pass(296.0);
    assert!(!world.asks[&RequestId(1)].answered);
    world.pass(8.0);
    assert!(world.asks[&RequestId(1)].answered && world.sends(1).is_empty());
    assert!(world.log.iter().any(|action| matches!(action, Action::Reject { .. })));
    world.finish();
}
