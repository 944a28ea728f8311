//! A timer requests each wake-up once, and an earlier wake-up when the deadline moves forward.

use sandgw_units::timer::{AcknowledgedTimer, OneShotTimer};

#[test]
fn a_one_shot_timer_arms_once_and_again_for_an_earlier_deadline() {
    let mut timer = OneShotTimer::default();
    assert_eq!(timer.arm(10.0, 100.0, 0.0), Some(90.0));
    assert_eq!(timer.arm(20.0, 100.0, 0.0), None, "a wake-up is pending");
    assert_eq!(timer.arm(20.0, 99.5, 0.0), None, "deadlines this close share a wake-up");
    assert_eq!(timer.arm(20.0, 50.0, 0.0), Some(30.0), "an earlier deadline");
    assert_eq!(timer.arm(50.0, 40.0, 1.0), Some(1.0), "an overdue deadline gets the minimum delay");
}

#[test]
fn an_acknowledged_timer_is_pending_until_acknowledged_or_lost() {
    let mut timer = AcknowledgedTimer::default();
    assert_eq!(timer.arm(0.0, 100.0, 300.0), Some(100.0));
    assert_eq!(timer.arm(150.0, 200.0, 300.0), None, "late, but not lost yet");
    timer.acknowledge(50.0);
    assert_eq!(timer.arm(150.0, 200.0, 300.0), None, "an early call acknowledges nothing");
    timer.acknowledge(150.0);
    assert_eq!(timer.arm(150.0, 200.0, 300.0), Some(50.0));
    assert_eq!(timer.arm(501.0, 600.0, 300.0), Some(99.0), "the overdue wake-up counts as lost");
    assert_eq!(timer.arm(501.0, 501.0, 300.0), Some(1.0), "the delay is at least a millisecond");
}
