//! The schedule by which connections are migrated off a relay on standby: in equal steps, so that the other
//! relays never get many of them at once. Pure arithmetic on milliseconds.

use crate::policy::api::Millis;

/// First step after the begin of standby. New connections still arrive for as long after the first health
/// check that says `STANDBY`, and a client that is asked to reconnect before may return to this relay.
const FIRST_MIGRATION_MS: Millis = 300.0;
/// By then all clients have been asked. What is left of a drain is for endpoints' last messages and for
/// connections that were being set up.
const LAST_MIGRATION_MS: Millis = 2500.0;
/// Between two steps.
pub const MIGRATION_STEP_MS: Millis = 100.0;

/// How many of the connections that remain are to be migrated now, at this time after the begin of standby.
pub fn migrations_due(elapsed_ms: Millis, remaining: usize) -> usize {
    if elapsed_ms < FIRST_MIGRATION_MS {
        return 0;
    }
    let steps_left = ((LAST_MIGRATION_MS - elapsed_ms) / MIGRATION_STEP_MS).floor().max(1.0);
    (remaining as f64 / steps_left).ceil() as usize
}

#[cfg(test)]
mod tests;
