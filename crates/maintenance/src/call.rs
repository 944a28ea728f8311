//! Parses operators' calls about windows. Each call is one line; durations in calls are in seconds.

use crate::{CapacityShare, RefusalReason, WholeMillis, WindowId};

/// The longest duration that a call may contain, in seconds: one week.
const MAX_DURATION_S: f64 = 604_800.0;
/// The smallest capacity that a call may contain, in the endpoint list's unit.
const MIN_CAPACITY: f64 = 0.001;
/// The largest capacity that a call may contain, in the endpoint list's unit.
const MAX_CAPACITY: f64 = 4e6;

/// What a window is to drain, by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NamedScope {
    /// A zone, or a part of it.
    Zone(String, CapacityShare),
    /// An endpoint.
    Endpoint(String),
    /// A relay.
    Relay(u32),
}

/// A request for a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowRequest {
    /// What is to be drained.
    pub scope: NamedScope,
    /// How long the window lasts once granted.
    pub duration: WholeMillis,
    /// The earliest start, as a delay from now.
    pub delay: WholeMillis,
    /// The operator who overrides the capacity floors, if the call names one.
    pub override_by: Option<String>,
}

/// A call about windows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Requests a window.
    Request(WindowRequest),
    /// Lists all windows that this relay knows of.
    List,
    /// Closes a window that is no longer wanted.
    Cancel(WindowId),
    /// Closes a window whose work is done.
    Done(WindowId),
    /// Extends a window.
    Extend {
        /// The window.
        id: WindowId,
        /// How much longer the window is to last.
        extension: WholeMillis,
    },
}

/// Parses a call. Returns `None` if the first word does not belong to a call about windows.
///
/// # Errors
///
/// Returns [`RefusalReason::Syntax`] if the call is malformed, and [`RefusalReason::UnknownWindow`] if
/// the window's id in the call is malformed.
///
/// ```
/// use sandgw_maintenance::call::{Call, NamedScope, WindowRequest, parse};
///
/// assert_eq!(parse("windows"), Some(Ok(Call::List)));
/// assert_eq!(parse("status"), None);
/// let scope = NamedScope::Endpoint("s-1".into());
/// let request = WindowRequest { scope, duration: 600_000, delay: 5_000, override_by: None };
/// assert_eq!(parse("window streamer s-1 600 in 5"), Some(Ok(Call::Request(request))));
/// ```
pub fn parse(line: &str) -> Option<Result<Call, RefusalReason>> {
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    Some(match words.as_slice() {
        ["windows"] => Ok(Call::List),
        ["cancel", id] => parse_id(id).map(Call::Cancel),
        ["done", id] => parse_id(id).map(Call::Done),
        ["extend", id, extension] => parse_extension(id, extension),
        ["window", arguments @ ..] => parse_request(arguments).map(Call::Request),
        ["windows" | "cancel" | "done" | "extend", ..] => Err(RefusalReason::Syntax),
        _ => return None,
    })
}

fn parse_id(text: &str) -> Result<WindowId, RefusalReason> {
    text.parse().map_err(|_| RefusalReason::UnknownWindow)
}

fn parse_extension(id: &str, extension: &str) -> Result<Call, RefusalReason> {
    Ok(Call::Extend { id: parse_id(id)?, extension: parse_duration(extension)? })
}

/// Parses the arguments of a request: the scope, the duration, optionally `in` with a delay, and optionally
/// `by` with an operator's name.
fn parse_request(arguments: &[&str]) -> Result<WindowRequest, RefusalReason> {
    let (scope, arguments) = parse_scope(arguments)?;
    let (duration, arguments) = arguments.split_first().ok_or(RefusalReason::Syntax)?;
    let (delay, arguments) = match arguments {
        ["in", delay, arguments @ ..] => (parse_duration(delay)?, arguments),
        arguments => (0, arguments),
    };
    let override_by = match arguments {
        [] => None,
        ["by", name] => Some((*name).to_owned()),
        _ => return Err(RefusalReason::Syntax),
    };
    Ok(WindowRequest { scope, duration: parse_duration(duration)?, delay, override_by })
}

/// Parses the scope. Returns the scope and the arguments that follow it.
fn parse_scope<'a, 'b>(arguments: &'a [&'b str]) -> Result<(NamedScope, &'a [&'b str]), RefusalReason> {
    match arguments {
        ["hall", name, capacity, rest @ ..] => {
            Ok((NamedScope::Zone((*name).into(), parse_capacity(capacity)?), rest))
        }
        ["streamer", name, rest @ ..] => Ok((NamedScope::Endpoint((*name).into()), rest)),
        ["relay", relay, rest @ ..] => {
            let relay = relay.parse().map_err(|_| RefusalReason::Syntax)?;
            Ok((NamedScope::Relay(relay), rest))
        }
        _ => Err(RefusalReason::Syntax),
    }
}

/// Parses a capacity in the endpoint list's unit. The result is in thousandths, rounded up.
fn parse_capacity(text: &str) -> Result<CapacityShare, RefusalReason> {
    if text == "all" {
        return Ok(CapacityShare::All);
    }
    let capacity = parse_within(text, MIN_CAPACITY, MAX_CAPACITY)?;
    Ok(CapacityShare::Part((capacity * 1000.0).ceil() as u32))
}

fn parse_duration(text: &str) -> Result<WholeMillis, RefusalReason> {
    let seconds = parse_within(text, 0.0, MAX_DURATION_S)?;
    Ok((seconds * 1000.0) as WholeMillis)
}

fn parse_within(text: &str, min: f64, max: f64) -> Result<f64, RefusalReason> {
    let number = text.parse::<f64>().ok();
    number.filter(|number| (min..=max).contains(number)).ok_or(RefusalReason::Syntax)
}
