//! A timer asks for each wake-up once, and for an earlier one when the deadline moves forward.

use sandgw_units::timer::{AcknowledgedTimer, OneShotTimer};

#[test]
fn a_one_shot_timer_arms_once_and_again_for_an_earlier_deadline() {
    let mut timer = OneShotTimer::default();
    assert_eq!(timer.arm(10.0, 100.0, 0.0), Some(90.0));
    assert_eq!(timer.arm(20.0, 100.0, 0.0), None, "it is pending");
    assert_eq!(timer.arm(20.0, 99.5, 0.0), None, "it shares the wake-up of a deadline this close");
    assert_eq!(timer.arm(20.0, 50.0, 0.0), Some(30.0), "an earlier deadline");
    assert_eq!(timer.arm(50.0, 40.0, 1.0), Some(1.0), "an overdue deadline, no sooner than asked for");
}

#[test]
fn an_acknowledged_timer_is_pending_until_it_is_reported_or_lost() {
    let mut timer = AcknowledgedTimer::default();
    assert_eq!(timer.arm(0.0, 100.0, 300.0), Some(100.0));
    assert_eq!(timer.arm(150.0, 200.0, 300.0), None, "late, but not lost yet");
    timer.acknowledge(50.0);
    assert_eq!(timer.arm(150.0, 200.0, 300.0), None, "a call before its time acknowledges nothing");
    timer.acknowledge(150.0);
    assert_eq!(timer.arm(150.0, 200.0, 300.0), Some(50.0));
    assert_eq!(timer.arm(501.0, 600.0, 300.0), Some(99.0), "overdue by more than it may be");
    assert_eq!(timer.arm(501.0, 501.0, 300.0), Some(1.0), "no sooner than after a millisecond");
}
