//! How a relay names forms of shared state to its operators: texts only, the decisions are in `sandgw-forms`.

use sandgw_schema_version::Millis;
use sandgw_schema_version::versioned_channel::VersionedChannel;

/// Relays that a line names at the most.
const NAMED: usize = 8;

/// What the call `forms` is answered: one line.
pub fn status(post: &VersionedChannel, now: Millis) -> String {
    let (ladder, counts) = (&post.ladder, post.counts());
    let (form, range, finalized) = (ladder.form(now), ladder.range(), ladder.finalized());
    let mut line = format!("writes form {form}, reads {range}, finalized {finalized}");
    match ladder.sign(now) {
        Some((older, ago)) => {
            line += &format!("; a process that reads up to form {older} was alive {:.0} s ago", ago / 1000.0);
        }
        None if form < range.newest() => line += &format!("; goes up in {:.0} s", ladder.waits(now) / 1000.0),
        None => {}
    }
    let behind = ladder.behind(now);
    if !behind.is_empty() {
        let named: Vec<String> = behind.iter().take(NAMED).map(u32::to_string).collect();
        let more = if behind.len() > NAMED { " and more" } else { "" };
        line += &format!("; older are relays {}{more}", named.join(" "));
    }
    line + &format!("; unread: {} cut, {} of forms to come", counts.cut, counts.future)
}
