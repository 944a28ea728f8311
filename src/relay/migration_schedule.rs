//! The schedule by which connections are migrated off a relay on standby: in equal steps, so that the other
//! relays never receive many connections at once. Pure arithmetic on milliseconds.

use crate::policy::api::Millis;

/// Time of the first step after the start of standby. New connections still arrive for this long after the
/// first health check that says `STANDBY`, and a client that is asked to reconnect earlier may return to this
/// relay.
const FIRST_MIGRATION_MS: Millis = 300.0;
/// Time after the start of standby by which all clients have been asked to reconnect. The rest of a drain is
/// for endpoints' last messages and for connections that were being set up.
const LAST_MIGRATION_MS: Millis = 2500.0;
/// Time between two steps of the migration off a relay on standby.
pub const MIGRATION_STEP_MS: Millis = 100.0;

/// How many of the remaining connections are to be migrated now, `elapsed_ms` after the start of standby.
pub fn migrations_due(elapsed_ms: Millis, remaining: usize) -> usize {
    if elapsed_ms < FIRST_MIGRATION_MS {
        return 0;
    }
    let steps_left = ((LAST_MIGRATION_MS - elapsed_ms) / MIGRATION_STEP_MS).floor().max(1.0);
    (remaining as f64 / steps_left).ceil() as usize
}

#[cfg(test)]
mod tests;
