//! The line with which a client requests a connection: `OPEN ID KEY name=value,...`.
//!
//! The parser takes the line without its line end and the time in milliseconds, and returns the request that
//! the line describes. The caller checks whether the class, the tenant and the id are acceptable.

use std::sync::Arc;

use crate::policy::api::{EndpointId, Key, Millis};
use crate::relay::IncomingRequest;

/// Shortest deadline that a client may state, counted from the arrival of its request.
const MIN_DEADLINE_MS: Millis = 1.0;
/// Longest deadline that a client may state, counted from the arrival of its request.
const MAX_DEADLINE_MS: Millis = 3_600_000.0;

/// The fields of `OPEN ID KEY name=value,...`.
pub(super) struct OpenLine<'a> {
    pub(super) id: &'a str,
    pub(super) key: &'a str,
    options: &'a str,
}

impl<'a> OpenLine<'a> {
    /// Splits the line into its fields; `None` where the line is not a valid `OPEN` line.
    pub(super) fn parse(line: &'a str) -> Option<Self> {
        let mut fields = line.split(' ');
        let command = fields.next()?;
        let id = fields.next()?;
        let key = fields.next()?;
        let options = fields.next()?;
        let printable = line.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
        let complete = command == "OPEN" && !id.is_empty() && !key.is_empty() && fields.next().is_none();
        (complete && printable).then_some(OpenLine { id, key, options })
    }

    /// The request that the options describe; `None` where an option is malformed or repeated, or the
    /// deadline is missing.
    pub(super) fn request(&self, now: Millis, groups: bool) -> Option<IncomingRequest> {
        let mut request = IncomingRequest {
            client: text_key(self.key),
            drained_by_endpoint: true,
            reroutable: true,
            ..IncomingRequest::default()
        };
        if self.repeats_an_option() {
            return None;
        }
        let mut deadline_ms = None;
        for option in self.options.split(',') {
            let (name, value) = option.split_once('=')?;
            match name {
                "c" => request.class = value.to_owned(),
                "d" => deadline_ms = Some(parse_deadline_ms(value)?),
                "t" => request.tenant = text_key(value),
                "g" if groups => request.group = text_key(value),
                "g" => request.client = text_key(value),
                "r" | "again" => request.is_returning |= value == "1",
                "mid" => request.mid_flow = value == "1",
                "at" => request.existing_endpoint = Some(EndpointId(Arc::from(value))),
                "h" => request.load = Some(parse_number(value)?).filter(|load| *load > 0.0),
                _ => {}
            }
        }
        request.deadline = now + deadline_ms?;
        Some(request)
    }

    /// Whether two options have the same name. The names are sorted, since a line may have a thousand of them.
    fn repeats_an_option(&self) -> bool {
        let mut names: Vec<&str> = self.options.split(',').filter_map(|o| o.split('=').next()).collect();
        names.sort_unstable();
        names.windows(2).any(|pair| pair[0] == pair[1])
    }
}

fn text_key(value: &str) -> Option<Key> {
    Some(Key(Arc::from(value)))
}

/// Parses a number in plain decimal notation, without sign or exponent.
fn parse_number(value: &str) -> Option<f64> {
    let decimal = value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    value.parse::<f64>().ok().filter(|_| decimal)
}

fn parse_deadline_ms(value: &str) -> Option<Millis> {
    parse_number(value).filter(|ms| (MIN_DEADLINE_MS..=MAX_DEADLINE_MS).contains(ms))
}
