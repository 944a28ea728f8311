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
    let settings_classes: Vec<_> =
        listed.iter().map(|(_, latency_objective)| class(*latency_objective)).collect();
    classes.apply_settings(now, &names, &settings_classes, &in_use.iter().map(|i| ClassId(*i)).collect());
}

#[test]
fn a_position_in_use_keeps_its_class_when_settings_change() {
    let mut classes = ClassTable::default();
    apply(&mut classes, 0.0, &[("a", 1.0), ("b", 2.0)], &[]);
    // The new settings list the classes in another order, add one, and change the objective of one.
    apply(&mut classes, 10.0, &[("c", 3.0), ("b", 2.0), ("a", 9.0)], &[0, 1]);
    assert_eq!(classes.by_position()[..2], [class(1.0), class(2.0)]);
    let position = |name| classes.position(name).unwrap();
    assert_eq!(position("b"), ClassId(1));
    assert_eq!(classes.by_position()[position("a").0], class(9.0), "new requests get the class in force");
    assert_eq!(classes.by_position()[position("c").0], class(3.0));
    // A class that returns unchanged gets its old position.
    apply(&mut classes, 20.0, &[("a", 1.0)], &[0]);
    assert_eq!(classes.position("a"), Some(ClassId(0)));
}

#[test]
fn a_dropped_class_accepts_new_requests_for_a_grace_time_and_keeps_its_position() {
    let mut classes = ClassTable::default();
    apply(&mut classes, 0.0, &[("a", 1.0)], &[]);
    apply(&mut classes, 100.0, &[("b", 1.0)], &[]);
    let dropped = AcceptedClass { name: "a".into(), accepted_until: Some(100.0 + DROPPED_CLASS_GRACE_MS) };
    let in_force = AcceptedClass { name: "b".into(), accepted_until: None };
    assert_eq!(classes.accepted(), [dropped, in_force]);
    assert_eq!(classes.position("a"), Some(ClassId(0)));
    // Further settings that lack the class do not extend its grace time.
    apply(&mut classes, 500.0, &[("b", 1.0)], &[]);
    assert_eq!(classes.accepted()[0].accepted_until, Some(100.0 + DROPPED_CLASS_GRACE_MS));
}

#[test]
fn the_table_stays_small_and_keeps_a_class_in_use_through_ten_thousand_changes() {
    let mut classes = ClassTable::default();
    apply(&mut classes, 0.0, &[("first", 0.5)], &[]);
    for n in 0..10_000 {
        apply(&mut classes, f64::from(n), &[(&format!("n{n}"), f64::from(n))], &[0]);
        let position = classes.position(&format!("n{n}")).unwrap();
        assert_eq!(classes.by_position()[position.0], class(f64::from(n)));
    }
    assert_eq!(classes.by_position()[0], class(0.5));
    assert!(classes.slots.len() <= MAX_UNUSED_DROPPED_CLASSES + 3, "{} positions", classes.slots.len());
}
