//! What is drawn to be broken on a run.

use sandgw_test_cluster::fault_schedule::{Fault, FaultSchedule, ScheduleBounds};

#[test]
fn every_fault_ends_and_the_seed_says_all() {
    for seed in 0..200 {
        let bounds = ScheduleBounds { relays: 6, endpoints: 4, duration_ms: 30_000.0, faults: 12 };
        let schedule = FaultSchedule::draw(seed, &bounds);
        assert_eq!(schedule, FaultSchedule::draw(seed, &bounds));
        assert!(schedule.steps.is_sorted_by(|a, b| a.at_ms <= b.at_ms), "{schedule}");
        let count = |of: fn(&Fault) -> bool| schedule.steps.iter().filter(|step| of(&step.fault)).count();
        assert_eq!(
            count(|f| matches!(f, Fault::PauseRelay(_))),
            count(|f| matches!(f, Fault::ResumeRelay(_))),
            "{schedule}"
        );
        assert_eq!(
            count(|f| matches!(f, Fault::KillRelays(_) | Fault::TerminateRelays(_))),
            count(|f| matches!(f, Fault::StartRelays(_))),
            "{schedule}"
        );
    }
}
