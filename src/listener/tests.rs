//! What the front of lines makes of an endpoint's bytes, however they come.

use std::rc::Rc;

use bytes::BytesMut;

use super::line::{LineProtocol, LineRules};
use super::{Answer, ClientProtocol};
use crate::policy::api::Outcome;

fn protocol() -> LineProtocol {
    LineProtocol::new(Rc::new(LineRules::default()), 1000.0)
}

/// What comes of these reads, and what is left for the client.
fn answered(reads: &[&[u8]]) -> (Answer, Vec<u8>) {
    let (mut protocol, mut input) = (protocol(), BytesMut::new());
    let mut answer = Answer::More;
    for read in reads {
        assert_eq!(answer, Answer::More, "{reads:?} was decided before its end");
        input.extend_from_slice(read);
        answer = protocol.answer(&mut input, &mut BytesMut::new());
    }
    (answer, input.to_vec())
}

#[test]
fn an_answer_is_the_same_wherever_it_is_cut() {
    use Outcome::{Cancelled, Error, Rejected, Reset};
    let cases = [
        ("UP 17", Answer::Up),
        ("BUSY", Answer::Ended(Rejected)),
        ("BUSY 250", Answer::Ended(Rejected)),
        ("MOVE", Answer::Ended(Cancelled)),
        ("BYE", Answer::Ended(Reset)),
        ("ERR", Answer::Ended(Error)),
        ("UPPER", Answer::Ended(Error)),
        ("", Answer::Ended(Error)),
        ("\u{e9}\u{1b}[2J", Answer::Ended(Error)),
    ];
    for (word, answer) in cases {
        for end in ["\n", "\r\n"] {
            let line = format!("{word}{end}");
            for at in 1..line.len() {
                let (head, tail) = line.as_bytes().split_at(at);
                assert_eq!(answered(&[head]).0, Answer::More, "{line:?} without its end, cut at {at}");
                assert_eq!(answered(&[head, tail]).0, answer, "{line:?} cut at {at}");
            }
            assert_eq!(answered(&[line.as_bytes()]).0, answer, "{line:?}");
        }
    }
}

/// The first line decides, whatever stands behind it; all of the endpoint's bytes from `UP` on are the client's.
#[test]
fn a_second_answer_behind_the_first_changes_nothing() {
    for second in ["UP 2\r\n", "BUSY\r\n", "ERR\r\n", "BYE\r\n", "half"] {
        let both = format!("UP 1\r\n{second}");
        assert_eq!(answered(&[both.as_bytes()]), (Answer::Up, both.clone().into_bytes()));
        for (first, outcome) in [("BUSY", Outcome::Rejected), ("ERR", Outcome::Error), ("x", Outcome::Error)]
        {
            let both = format!("{first}\r\n{second}");
            assert_eq!(answered(&[both.as_bytes()]).0, Answer::Ended(outcome), "{both:?}");
        }
    }
}

/// An answer that never ends is one as soon as it is too long for a line, however much of it one read brings.
#[test]
fn an_answer_too_long_for_a_line_is_an_error_however_it_is_read() {
    let error = Answer::Ended(Outcome::Error);
    assert_eq!(answered(&[&[b'U'; 4095]]).0, Answer::More);
    assert_eq!(answered(&[&[b'U'; 4096]]).0, error);
    let longest = [b"UP ", &[b'1'; 4091][..], b"\r\n"].concat();
    assert_eq!(answered(&[&longest]).0, Answer::Up);
    assert_eq!(answered(&[&longest[..4000], &longest[4000..]]).0, Answer::Up);
    let over = [b"UP ", &[b'1'; 4092][..], b"\r\n"].concat();
    assert_eq!(answered(&[&over[..4096]]).0, error);
    assert_eq!(answered(&[&over[..4000], &over[4000..]]).0, error, "with its end in the second read");
    assert_eq!(answered(&[&over]).0, error, "in one read");
}

/// A line that has no end yet is held, so that a word of the relay's own may go before it; one that is too long is
/// passed on as it comes.
#[test]
fn half_a_line_is_held_and_an_endless_one_is_not() {
    let mut protocol = protocol();
    let mut held = |bytes: &[u8]| {
        protocol.endpoint_sent(0.0, bytes);
        protocol.held()
    };
    assert_eq!([held(b"one\r\nha"), held(b"lf"), held(b"\r"), held(b"\n"), held(b"\n")], [2, 4, 5, 0, 0]);
    assert_eq!([held(&[b'x'; 4095]), held(b"x"), held(&[b'x'; 9000]), held(b"\r\nab")], [4095, 0, 0, 2]);
}

#[test]
fn only_the_last_whole_line_announces_an_end() {
    let mut protocol = protocol();
    let mut said = |bytes: &[u8]| {
        protocol.endpoint_sent(0.0, bytes);
        protocol.announced()
    };
    assert_eq!([said(b"BY"), said(b"E\r"), said(b"\n")], [None, None, Some(Outcome::Ok)]);
    assert_eq!([said(b"more"), said(b"\r\n")], [Some(Outcome::Ok), None]);
    assert_eq!([said(b"MOVE\nBYE"), said(b"\nMOVE\n")], [Some(Outcome::Cancelled); 2]);
    assert_eq!([said(b"BYE NOW\r\n"), said(b"BYEBYEBYE\r\n"), said(b" BYE\r\n")], [None; 3]);
}
