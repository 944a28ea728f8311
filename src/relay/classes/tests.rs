use super::*;

fn class(latency_objective: Millis) -> Class {
    Class {
        idempotency: Idempotency::Safe,
        latency_objective,
        message_latency_objective: None,
        priority_weight: 1.0,
    }
}

fn apply(classes: &mut ClassTable, now: Millis, listed: &[(&str, Millis)], in_use: &[usize]) {
    let names: Vec<_> = listed.iter().map(|(name, _)| name.to_string()).collect();
    let of: Vec<_> = listed.iter().map(|(_, latency_objective)| class(*latency_objective)).collect();
    classes.apply_settings(now, &names, &of, &in_use.iter().map(|i| ClassId(*i)).collect());
}

#[test]
fn a_held_position_means_the_same_through_every_change() {
    let mut classes = ClassTable::default();
    apply(&mut classes, 0.0, &[("a", 1.0), ("b", 2.0)], &[]);
    // Another order, one added, one with another objective.
    apply(&mut classes, 10.0, &[("c", 3.0), ("b", 2.0), ("a", 9.0)], &[0, 1]);
    assert_eq!(classes.by_position()[..2], [class(1.0), class(2.0)]);
    let at = |name| classes.position(name).unwrap();
    assert_eq!(at("b"), ClassId(1));
    assert_eq!(classes.by_position()[at("a").0], class(9.0), "new requests get what is in force");
    assert_eq!(classes.by_position()[at("c").0], class(3.0));
    // What comes back as it was has its old place.
    apply(&mut classes, 20.0, &[("a", 1.0)], &[0]);
    assert_eq!(classes.position("a"), Some(ClassId(0)));
}

#[test]
fn a_dropped_class_is_named_for_a_while_by_new_flows_and_longer_mid_flow() {
    let mut classes = ClassTable::default();
    apply(&mut classes, 0.0, &[("a", 1.0)], &[]);
    apply(&mut classes, 100.0, &[("b", 1.0)], &[]);
    let dropped = AcceptedClass { name: "a".into(), accepted_until: Some(100.0 + DROPPED_CLASS_GRACE_MS) };
    let in_force = AcceptedClass { name: "b".into(), accepted_until: None };
    assert_eq!(classes.accepted(), [dropped, in_force]);
    assert_eq!(classes.position("a"), Some(ClassId(0)));
    // A second reading that lacks it too does not give it more time.
    apply(&mut classes, 500.0, &[("b", 1.0)], &[]);
    assert_eq!(classes.accepted()[0].accepted_until, Some(100.0 + DROPPED_CLASS_GRACE_MS));
}

#[test]
fn ten_thousand_changes_grow_nothing_and_free_nothing_that_is_held() {
    let mut classes = ClassTable::default();
    apply(&mut classes, 0.0, &[("first", 0.5)], &[]);
    for n in 0..10_000 {
        apply(&mut classes, f64::from(n), &[(&format!("n{n}"), f64::from(n))], &[0]);
        let at = classes.position(&format!("n{n}")).unwrap();
        assert_eq!(classes.by_position()[at.0], class(f64::from(n)));
    }
    assert_eq!(classes.by_position()[0], class(0.5));
    assert!(classes.slots.len() <= MAX_UNUSED_DROPPED_CLASSES + 3, "{} positions", classes.slots.len());
}
