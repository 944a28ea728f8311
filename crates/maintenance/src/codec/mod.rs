//! What relays tell each other of windows, as plain text of at most 256 bytes.
//!
//! The first word is no kind that a process before this one reads, so that it ignores the rest.

use crate::replicated_ledger::{Accepted, Answer, Message, Term};
use crate::{CapacityShare, Entry, MOST, Refused, Scope, Tag, WholeMillis, Window, WindowId};

pub use sandgw_datagram::MAX_BYTES as MOST_BYTES;
use sandgw_datagram::base36::{decode as large, encode as small};
/// The first word: what it is of, and its form.
pub const FIRST: &str = "m1";

/// Writes a message. No message is made that does not fit.
///
/// ```
/// use sandgw_maintenance::replicated_ledger::{Message, Term};
/// use sandgw_maintenance::codec;
///
/// let message = Message::Claim { term: Term { round: 7, relay: 2, life: 40 } };
/// assert_eq!(codec::text(&message), "m1 c 7.2.14");
/// assert_eq!(codec::read("m1 c 7.2.14"), Some(message));
/// ```
pub fn text(message: &Message) -> String {
    let body = match message {
        Message::Claim { term } => format!("c {}", term_text(term)),
        Message::Vote { term, life, accepted } => {
            let of = accepted.term.as_ref().map_or_else(|| "-".into(), term_text);
            let rows = rows(&accepted.entries);
            format!("v {} {} {of} {}{rows}", term_text(term), small(*life), small(accepted.seq))
        }
        Message::Write { term, seq, entries } => {
            format!("w {} {}{}", term_text(term), small(*seq), rows(entries))
        }
        Message::Wrote { term, seq, life } => {
            format!("k {} {} {}", term_text(term), small(*seq), small(*life))
        }
        Message::Ask(w) => {
            let end = w.end.map_or_else(|| "-".into(), small);
            let (id, what, forced) = (w.id, what_text(w.what), mark(w.forced));
            format!("a {id} {what} {} {} {end} {forced}", small(w.from), small(w.length))
        }
        Message::Close(id) => format!("x {id}"),
        Message::Told { id, answer } => format!("t {id} {}", answer_text(answer)),
    };
    format!("{FIRST} {body}")
}

fn mark(forced: bool) -> &'static str {
    if forced { "f" } else { "n" }
}

fn term_text(term: &Term) -> String {
    format!("{}.{}.{}", small(term.round), small(u64::from(term.relay)), small(term.life))
}

fn what_text(what: Scope) -> String {
    let tag = |tag: Tag| small(u64::from(tag));
    match what {
        Scope::Zone(zone, CapacityShare::All) => format!("h{}", tag(zone)),
        Scope::Zone(zone, CapacityShare::Part(part)) => format!("p{}/{}", tag(zone), tag(part)),
        Scope::Endpoint(id) => format!("s{}", tag(id)),
        Scope::Relay(relay) => format!("r{}", tag(relay)),
    }
}

fn rows(entries: &[Entry]) -> String {
    let row = |e: &Entry| format!(" {}:{}:{}{}", e.id, what_text(e.what), mark(e.forced), small(e.end));
    entries.iter().take(MOST).map(row).collect()
}

fn answer_text(answer: &Answer) -> String {
    match answer {
        Answer::Granted { until, end } => format!("g {} {}", small(*until), small(*end)),
        Answer::Waits { ahead, first } => {
            let first = first.map_or_else(|| "-".into(), |id| id.to_string());
            format!("w {} {first}", small(u64::from(*ahead)))
        }
        Answer::Refused(Refused::Awaited(id)) => format!("n {id}"),
        Answer::Refused(refused) => {
            let at = Refused::ALL.iter().position(|r| r == refused).unwrap_or(0);
            format!("r {}", small(at as u64))
        }
    }
}

/// Reads a message; nothing of one that is too long, of another form, cut short or with more behind it.
pub fn read(text: &str) -> Option<Message> {
    let mut words = text.split(' ').filter(|_| text.len() <= MOST_BYTES);
    (words.next()? == FIRST).then_some(())?;
    let kind = words.next()?;
    let words = &mut words;
    let message = match kind {
        "c" => Message::Claim { term: read_term(words.next()?)? },
        "v" => {
            let (term, life) = (read_term(words.next()?)?, large(words.next()?)?);
            let of = words.next()?;
            let of = if of == "-" { None } else { Some(read_term(of)?) };
            let accepted = Accepted { term: of, seq: large(words.next()?)?, entries: read_rows(words)? };
            Message::Vote { term, life, accepted }
        }
        "w" => {
            let (term, seq) = (read_term(words.next()?)?, large(words.next()?)?);
            Message::Write { term, seq, entries: read_rows(words)? }
        }
        "k" => {
            let (term, seq) = (read_term(words.next()?)?, large(words.next()?)?);
            Message::Wrote { term, seq, life: large(words.next()?)? }
        }
        "a" => Message::Ask(read_window(words)?),
        "x" => Message::Close(words.next()?.parse().ok()?),
        "t" => Message::Told { id: words.next()?.parse().ok()?, answer: read_answer(words)? },
        _ => return None,
    };
    words.next().is_none().then_some(message)
}

fn small_enough(text: &str) -> Option<u32> {
    large(text).and_then(|n| u32::try_from(n).ok())
}

fn read_term(text: &str) -> Option<Term> {
    let mut parts = text.split('.');
    let (round, relay) = (large(parts.next()?)?, small_enough(parts.next()?)?);
    let term = Term { round, relay, life: large(parts.next()?)? };
    parts.next().is_none().then_some(term)
}

fn read_what(text: &str) -> Option<Scope> {
    let rest = text.get(1..)?;
    Some(match text.get(..1)? {
        "h" => Scope::Zone(small_enough(rest)?, CapacityShare::All),
        "p" => {
            let (zone, part) = rest.split_once('/')?;
            Scope::Zone(small_enough(zone)?, CapacityShare::Part(small_enough(part)?))
        }
        "s" => Scope::Endpoint(small_enough(rest)?),
        "r" => Scope::Relay(small_enough(rest)?),
        _ => return None,
    })
}

fn read_mark(text: &str) -> Option<bool> {
    match text {
        "f" => Some(true),
        "n" => Some(false),
        _ => None,
    }
}

fn read_rows<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<Vec<Entry>> {
    let entries: Vec<Entry> = words.map(read_row).collect::<Option<_>>()?;
    (entries.len() <= MOST).then_some(entries)
}

fn read_row(text: &str) -> Option<Entry> {
    let mut parts = text.split(':');
    let (id, what) = (parts.next()?.parse().ok()?, read_what(parts.next()?)?);
    let last = parts.next()?;
    let (forced, end) = (read_mark(last.get(..1)?)?, large(last.get(1..)?)?);
    parts.next().is_none().then_some(Entry { id, what, end, forced })
}

fn read_window<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<Window> {
    let (id, what): (WindowId, _) = (words.next()?.parse().ok()?, read_what(words.next()?)?);
    let (from, length) = (large(words.next()?)?, large(words.next()?)?);
    let end = words.next()?;
    let end: Option<WholeMillis> = if end == "-" { None } else { Some(large(end)?) };
    Some(Window { id, what, from, length, end, forced: read_mark(words.next()?)? })
}

fn read_answer<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<Answer> {
    Some(match words.next()? {
        "g" => Answer::Granted { until: large(words.next()?)?, end: large(words.next()?)? },
        "w" => {
            let ahead = small_enough(words.next()?)?;
            let first = words.next()?;
            Answer::Waits { ahead, first: if first == "-" { None } else { Some(first.parse().ok()?) } }
        }
        "n" => Answer::Refused(Refused::Awaited(words.next()?.parse().ok()?)),
        "r" => Answer::Refused(*Refused::ALL.get(large(words.next()?)? as usize)?),
        _ => return None,
    })
}
