//! Formats the status of schema versions for operators. `sandgw-schema-version` decides which versions are
//! used.

use sandgw_schema_version::Millis;
use sandgw_schema_version::versioned_channel::VersionedChannel;

/// Maximum number of outdated relays that the status line names.
const MAX_NAMED_RELAYS: usize = 8;
const MS_PER_S: Millis = 1000.0;

/// The reply to the operators' call `forms`: one line.
pub fn status(channel: &VersionedChannel, now: Millis) -> String {
    let negotiator = &channel.negotiator;
    let counters = channel.counters();
    let (version, supported) = (negotiator.version(now), negotiator.supported());
    let mut line = format!("writes form {version}, reads {supported}, finalized {}", negotiator.finalized());
    if let Some(oldest) = negotiator.oldest_sighting(now) {
        let age_s = oldest.age_ms / MS_PER_S;
        line += &format!("; a process that reads up to form {} was alive {age_s:.0} s ago", oldest.version);
    } else if version < supported.newest() {
        line += &format!("; goes up in {:.0} s", negotiator.remaining_quiet_ms(now) / MS_PER_S);
    }
    line += &outdated_relays(&negotiator.outdated_peers(now));
    line + &format!("; unread: {} cut, {} of forms to come", counters.malformed, counters.too_new)
}

fn outdated_relays(relays: &[u32]) -> String {
    if relays.is_empty() {
        return String::new();
    }
    let named: Vec<String> = relays.iter().take(MAX_NAMED_RELAYS).map(u32::to_string).collect();
    let more = if relays.len() > MAX_NAMED_RELAYS { " and more" } else { "" };
    format!("; older are relays {}{more}", named.join(" "))
}
