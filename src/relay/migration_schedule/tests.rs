use super::*;

/// All connections, also those established on the way, are asked in time, and never many at once.
#[test]
fn all_are_told_in_steps_that_end_in_time() {
    for connections in [0, 1, 2, 7, 100, 5000] {
        let mut remaining = connections;
        let mut at = 0.0;
        let mut max_due: usize = 0;
        while at <= LAST_MIGRATION_MS {
            if at == 1500.0 {
                remaining += connections / 10;
            }
            let due = migrations_due(at, remaining);
            assert!(due <= remaining && (due == 0 || at >= FIRST_MIGRATION_MS));
            remaining -= due;
            max_due = max_due.max(due);
            at += MIGRATION_STEP_MS;
        }
        assert_eq!(remaining, 0, "of {connections}");
        assert!(max_due <= connections / 10 + 1, "{max_due} of {connections} at once");
    }
    assert_eq!(migrations_due(LAST_MIGRATION_MS + 1000.0, 3), 3, "those that come late are asked at once");
}
