//! Tests: attempts after a failure, the retry budget, and requests that have no time for another attempt.

use super::super::api::*;
use super::world::*;

/// A store behind all servers jams: attempts at once after errors (189 a request) kept it jammed.
#[test]
fn an_error_is_not_answered_by_another_attempt_at_once() {
    let mut world = World::new(settings(), &ready(6));
    world.ask(1, Some(0), None, "c", 2500.0);
    world.end(RequestId(1), Outcome::Error);
    assert_eq!(world.sends(1).len(), 1);
    world.pass(400.0);
    assert_eq!(world.sends(1).len(), 2);
}

/// A connect failure is no sign of a jam: the next server along the table takes over at once.
#[test]
fn a_connect_failure_fails_over_at_once_and_the_server_is_skipped() {
    let mut world = World::new(settings(), &ready(6));
    world.ask(1, Some(0), Some("g"), "c", 2500.0);
    world.end(RequestId(1), Outcome::ConnectFailed);
    let sends = world.sends(1);
    assert_eq!(sends.len(), 2);
    world.ask(2, Some(0), Some("g"), "c", 2500.0);
    assert_eq!(world.sends(2)[0], sends[1]);
    // It is tried again after a while.
    world.pass(300.0);
    world.ask(3, Some(0), Some("g"), "c", 2500.0);
    assert_eq!(world.sends(3)[0], sends[0]);
}

/// Late set-ups at several servers are a common fault: none is struck off, and the set-ups out are few.
#[test]
fn a_common_fault_strikes_no_server_and_closes_the_window() {
    let mut world = World::new(settings(), &ready(6));
    for id in 0..24 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2500.0);
    }
    for id in 0..12 {
        world.end(RequestId(id), Outcome::Error);
        world.pass(24.0);
    }
    let out =
        |w: &World| w.asks.values().filter(|a| a.attempts.last().is_some_and(|t| t.ended.is_none())).count();
    let before = out(&world);
    for id in 100..120 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2500.0);
    }
    assert_eq!(out(&world), before, "the window let new set-ups out");
    assert!(
        world.load_balancer.placements.endpoints.by_id.values().all(|s| s.ejection.consecutive_failures == 0)
    );
}

/// Further attempts beyond the budget (5 in 10 s where 73 requests allowed 4.7): each is asked for, whatever
/// ended the one before, and what can't have one gets its answer at once.
#[test]
fn further_attempts_keep_the_budget_to_the_edges_of_its_window() {
    let budget = |free, share| Settings {
        retry_budget: Some(RetryBudget { window: 2000.0, min_retries: free, retry_ratio: share }),
        ..settings()
    };
    let refused = |w: &World, id| {
        let is = |a: &Action| matches!(a, Action::Reject { request, .. } if *request == RequestId(id));
        w.log.iter().any(is)
    };
    let fails_over = |w: &mut World, id| {
        w.ask(id, Some(0), None, &format!("c{id}"), 9000.0);
        w.end(RequestId(id), Outcome::ConnectFailed);
        assert!(refused(w, id) || w.sends(id).len() == 2);
        w.sends(id).len() == 2
    };
    // Nothing free and no share: no further attempt at all.
    let mut world = World::new(budget(0.0, 0.0), &ready(6));
    assert!((0..4).all(|id| !fails_over(&mut world, id)));
    // One free: again only once the first is out of the window, and not on its edge.
    let mut world = World::new(budget(1.0, 0.0), &ready(6));
    assert!(fails_over(&mut world, 0) && !fails_over(&mut world, 1));
    world.pass(2000.0);
    assert!(!fails_over(&mut world, 2));
    world.pass(8.0);
    assert!(fails_over(&mut world, 3));
    // A share of those taken, refused ones too; what has left the window counts no more.
    let mut world = World::new(budget(0.0, 0.25), &ready(6));
    assert_eq!((0..4).filter(|id| fails_over(&mut world, *id)).count(), 1);
    assert_eq!((4..8).filter(|id| fails_over(&mut world, *id)).count(), 1);
    world.pass(2008.0);
    assert!(!fails_over(&mut world, 8));
    // A paced retry that the budget can't bear is not waited for.
    let mut world = World::new(budget(0.0, 0.0), &ready(6));
    world.ask(1, Some(0), None, "c", 2500.0);
    world.end(RequestId(1), Outcome::Error);
    assert!(refused(&world, 1));
    // What may have run and can't be repeated harmlessly fails instead.
    world.ask(2, Some(2), None, "c", 2500.0);
    world.end(RequestId(2), Outcome::Error);
    assert!(world.log.contains(&Action::Fail(RequestId(2))));
    // Waits and the queue ask too.
    let mut world = World::new(budget(1.0, 0.0), &ready(6));
    for id in 0..2 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2500.0);
        world.end(RequestId(id), Outcome::Reset);
    }
    world.pass(600.0);
    assert_eq!(world.further.len(), 1);
}

/// A request with no time left for another attempt was held up to its deadline: it is answered at once.
#[test]
fn what_has_no_time_for_another_attempt_is_answered_at_once() {
    let mut world = World::new(settings(), &ready(6));
    world.ask(1, Some(0), None, "c", 60.0);
    world.end(RequestId(1), Outcome::Error);
    world.pass(40.0);
    assert_eq!(world.sends(1).len(), 2, "half of the time left is time for another");
    world.end(RequestId(1), Outcome::Error);
    world.pass(8.0);
    assert!(world.sends(1).len() < 4 && world.asks[&RequestId(1)].deadline > world.now);
    world.end(RequestId(1), Outcome::ConnectFailed);
    world.end(RequestId(1), Outcome::ConnectFailed);
    assert!(matches!(world.log.last(), Some(Action::Reject { request: RequestId(1), .. })));
}

/// Connections for which there was no endpoint were held until a moment before their clients gave up. What
/// is not expected to be placed within the wanted time is refused, and a place that comes free before is
/// taken at once.
#[test]
fn a_flow_is_held_for_a_streamer_no_longer_than_its_set_up_may_take() {
    for deadline in [200.0, 300.0, 900.0, 3000.0] {
        let mut world = World::new(settings(), &[]);
        let came = world.now;
        world.ask(1, Some(0), None, "c", deadline);
        let refused = |w: &World| w.log.iter().any(|a| matches!(a, Action::Reject { .. }));
        while !refused(&world) && world.now < came + deadline {
            world.pass(4.0);
        }
        let held = world.now - came;
        assert!(held <= (deadline / 2.0).min(300.0), "held for {held} of {deadline} ms");
        assert!(held >= (deadline / 2.0).min(300.0) - 75.0, "held for {held} ms only");
    }
    // Of a class that the settings do not name nobody knows what is wanted: half of its client's patience.
    let mut world = World::new(settings(), &[]);
    world.ask(1, None, None, "c", 3000.0);
    world.pass(1600.0);
    assert!(matches!(world.log.last(), Some(Action::Reject { .. })), "held to the end");
    let mut world = World::new(settings(), &[]);
    world.ask(1, Some(0), None, "c", 2000.0);
    world.pass(100.0);
    world.give_list(ListKind::Full, &ready(1));
    world.pass(70.0);
    assert_eq!(world.sends(1).len(), 1, "a streamer that comes is used soon");
}
