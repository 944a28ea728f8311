use super::*;

/// The clients of all connections, also of those established meanwhile, are asked to reconnect in time, and
/// never many at once.
#[test]
fn all_connections_are_migrated_in_small_steps_that_end_in_time() {
    for connections in [0, 1, 2, 7, 100, 5000] {
        let mut remaining = connections;
        let mut elapsed_ms = 0.0;
        let mut max_due: usize = 0;
        while elapsed_ms <= LAST_MIGRATION_MS {
            if elapsed_ms == 1500.0 {
                remaining += connections / 10;
            }
            let due = migrations_due(elapsed_ms, remaining);
            assert!(due <= remaining && (due == 0 || elapsed_ms >= FIRST_MIGRATION_MS));
            remaining -= due;
            max_due = max_due.max(due);
            elapsed_ms += MIGRATION_STEP_MS;
        }
        assert_eq!(remaining, 0, "of {connections}");
        assert!(max_due <= connections / 10 + 1, "{max_due} of {connections} at once");
    }
    assert_eq!(
        migrations_due(LAST_MIGRATION_MS + 1000.0, 3),
        3,
        "connections that come late are migrated at once"
    );
}
