//! What is drawn to be broken on a run.

use sandgw_test_cluster::fault_schedule::{Bounds, Fault, Script};

#[test]
fn every_fault_ends_and_the_seed_says_all() {
    for seed in 0..200 {
        let bounds = Bounds { relays: 6, endpoints: 4, length_ms: 30_000.0, faults: 12 };
        let script = Script::draw(seed, &bounds);
        assert_eq!(script, Script::draw(seed, &bounds));
        assert!(script.steps.is_sorted_by(|a, b| a.0 <= b.0), "{script}");
        let count = |of: fn(&Fault) -> bool| script.steps.iter().filter(|(_, f)| of(f)).count();
        assert_eq!(
            count(|f| matches!(f, Fault::Stop(_))),
            count(|f| matches!(f, Fault::GoOn(_))),
            "{script}"
        );
        assert_eq!(
            count(|f| matches!(f, Fault::Kill(_) | Fault::Terminate(_))),
            count(|f| matches!(f, Fault::Restart(_))),
            "{script}"
        );
    }
}
