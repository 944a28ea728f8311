//! Operators' calls about windows: one line in.

use crate::{CapacityShare, Refused, WholeMillis, WindowId};

/// What is to be drained, by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Named {
    /// A zone, or a part of it.
    Zone(String, CapacityShare),
    /// An endpoint.
    Endpoint(String),
    /// A relay.
    Relay(u32),
}

/// A call about windows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Ask for a window.
    Window {
        /// What is to be drained.
        what: Named,
        /// For how long.
        length: WholeMillis,
        /// In how long from now.
        after: WholeMillis,
        /// Who puts it over the floor.
        by: Option<String>,
    },
    /// All windows known here.
    Windows,
    /// A window is not wanted any more.
    Cancel(WindowId),
    /// A window is through.
    Done(WindowId),
    /// A window is to last longer by so much.
    Extend(WindowId, WholeMillis),
}

/// Reads a call, where its first word is one of these; spans are in seconds.
///
/// ```
/// use sandgw_maintenance::call::{Call, Named, read};
///
/// assert_eq!(read("windows"), Some(Ok(Call::Windows)));
/// assert_eq!(read("status"), None);
/// let what = Named::Endpoint("s-1".into());
/// let call = Call::Window { what, length: 600_000, after: 5_000, by: None };
/// assert_eq!(read("window streamer s-1 600 in 5"), Some(Ok(call)));
/// ```
pub fn read(line: &str) -> Option<Result<Call, Refused>> {
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    let of = |id: &str| id.parse::<WindowId>().map_err(|()| Refused::NoWindow);
    Some(match words.as_slice() {
        ["windows"] => Ok(Call::Windows),
        ["cancel", id] => of(id).map(Call::Cancel),
        ["done", id] => of(id).map(Call::Done),
        ["extend", id, by] => of(id).and_then(|id| Ok(Call::Extend(id, seconds(by)?))),
        ["window", rest @ ..] => window(rest),
        ["windows" | "cancel" | "done" | "extend", ..] => Err(Refused::SchemaVersion),
        _ => return None,
    })
}

fn window(words: &[&str]) -> Result<Call, Refused> {
    let (what, rest) = match words {
        ["hall", name, amount, rest @ ..] => (Named::Zone((*name).into(), size(amount)?), rest),
        ["streamer", name, rest @ ..] => (Named::Endpoint((*name).into()), rest),
        ["relay", relay, rest @ ..] => {
            (Named::Relay(relay.parse().map_err(|_| Refused::SchemaVersion)?), rest)
        }
        _ => return Err(Refused::SchemaVersion),
    };
    let (length, rest) = rest.split_first().ok_or(Refused::SchemaVersion)?;
    let (after, rest) = match rest {
        ["in", after, rest @ ..] => (seconds(after)?, rest),
        rest => (0, rest),
    };
    let by = match rest {
        [] => None,
        ["by", name] => Some((*name).to_owned()),
        _ => return Err(Refused::SchemaVersion),
    };
    Ok(Call::Window { what, length: seconds(length)?, after, by })
}

/// Sizes of endpoints are counted in thousandths.
fn size(text: &str) -> Result<CapacityShare, Refused> {
    if text == "all" {
        return Ok(CapacityShare::All);
    }
    let size = text.parse::<f64>().ok().filter(|n| (0.001..=4e6).contains(n));
    size.map(|n| CapacityShare::Part((n * 1000.0).ceil() as u32)).ok_or(Refused::SchemaVersion)
}

fn seconds(text: &str) -> Result<WholeMillis, Refused> {
    let seconds = text.parse::<f64>().ok().filter(|n| (0.0..=604_800.0).contains(n));
    seconds.map(|n| (n * 1000.0) as WholeMillis).ok_or(Refused::SchemaVersion)
}
