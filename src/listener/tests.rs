//! Tests that the line protocol parses an endpoint's bytes alike, however they are split over reads, and what
//! a client's line costs.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;

use super::line::{LineProtocol, LineProtocolState};
use super::{AttemptAnswer, ClientProtocol, ReadProgress};
use crate::policy::api::Outcome;
use crate::relay::ServingMode;

fn protocol() -> LineProtocol {
    LineProtocol::new(Rc::new(LineProtocolState::default()), 1000.0)
}

/// Feeds the reads to the protocol; returns its last answer and the bytes that remain for the client.
fn read_all(reads: &[&[u8]]) -> (AttemptAnswer, Vec<u8>) {
    let (mut protocol, mut input) = (protocol(), BytesMut::new());
    let mut answer = AttemptAnswer::Incomplete;
    for read in reads {
        assert_eq!(answer, AttemptAnswer::Incomplete, "{reads:?} was decided before the last read");
        input.extend_from_slice(read);
        answer = protocol.read_answer(&mut input, &mut BytesMut::new());
    }
    (answer, input.to_vec())
}

#[test]
fn an_answer_is_parsed_alike_wherever_it_is_split() {
    use Outcome::{Cancelled, Error, Rejected, Reset};
    let cases = [
        ("UP 17", AttemptAnswer::Established),
        ("BUSY", AttemptAnswer::Ended(Rejected)),
        ("BUSY 250", AttemptAnswer::Ended(Rejected)),
        ("MOVE", AttemptAnswer::Ended(Cancelled)),
        ("BYE", AttemptAnswer::Ended(Reset)),
        ("ERR", AttemptAnswer::Ended(Error)),
        ("UPPER", AttemptAnswer::Ended(Error)),
        ("", AttemptAnswer::Ended(Error)),
        ("\u{e9}\u{1b}[2J", AttemptAnswer::Ended(Error)),
    ];
    for (text, answer) in cases {
        for end in ["\n", "\r\n"] {
            let line = format!("{text}{end}");
            for at in 1..line.len() {
                let (head, tail) = line.as_bytes().split_at(at);
                assert_eq!(
                    read_all(&[head]).0,
                    AttemptAnswer::Incomplete,
                    "{line:?} without the end of the line, split at {at}"
                );
                assert_eq!(read_all(&[head, tail]).0, answer, "{line:?} split at {at}");
            }
            assert_eq!(read_all(&[line.as_bytes()]).0, answer, "{line:?}");
        }
    }
}

/// The first line decides the attempt, whatever follows it. If that line is `UP`, all of the endpoint's
/// bytes, including `UP`, go to the client.
#[test]
fn bytes_after_the_first_answer_do_not_change_it() {
    for second in ["UP 2\r\n", "BUSY\r\n", "ERR\r\n", "BYE\r\n", "half"] {
        let both = format!("UP 1\r\n{second}");
        assert_eq!(read_all(&[both.as_bytes()]), (AttemptAnswer::Established, both.clone().into_bytes()));
        for (first, outcome) in [("BUSY", Outcome::Rejected), ("ERR", Outcome::Error), ("x", Outcome::Error)]
        {
            let both = format!("{first}\r\n{second}");
            assert_eq!(read_all(&[both.as_bytes()]).0, AttemptAnswer::Ended(outcome), "{both:?}");
        }
    }
}

/// An answer without a line end counts as an error as soon as it is too long for a line, however it is split
/// over reads.
#[test]
fn an_overlong_answer_is_an_error_wherever_it_is_split() {
    let error = AttemptAnswer::Ended(Outcome::Error);
    assert_eq!(read_all(&[&[b'U'; 4095]]).0, AttemptAnswer::Incomplete);
    assert_eq!(read_all(&[&[b'U'; 4096]]).0, error);
    let longest = [b"UP ", &[b'1'; 4091][..], b"\r\n"].concat();
    assert_eq!(read_all(&[&longest]).0, AttemptAnswer::Established);
    assert_eq!(read_all(&[&longest[..4000], &longest[4000..]]).0, AttemptAnswer::Established);
    let over = [b"UP ", &[b'1'; 4092][..], b"\r\n"].concat();
    assert_eq!(read_all(&[&over[..4096]]).0, error);
    assert_eq!(
        read_all(&[&over[..4000], &over[4000..]]).0,
        error,
        "the end of the line is in the second read"
    );
    assert_eq!(read_all(&[&over]).0, error, "the whole line is in one read");
}

/// An incomplete line is held back so that the relay may insert a message before it. A line over the length
/// limit is passed on as it arrives.
#[test]
fn an_incomplete_line_is_held_back_unless_it_is_overlong() {
    let mut protocol = protocol();
    let mut tail_after = |bytes: &[u8]| {
        protocol.observe_endpoint_bytes(0.0, bytes);
        protocol.incomplete_message_bytes()
    };
    assert_eq!(
        [
            tail_after(b"one\r\nha"),
            tail_after(b"lf"),
            tail_after(b"\r"),
            tail_after(b"\n"),
            tail_after(b"\n")
        ],
        [2, 4, 5, 0, 0]
    );
    assert_eq!(
        [tail_after(&[b'x'; 4095]), tail_after(b"x"), tail_after(&[b'x'; 9000]), tail_after(b"\r\nab")],
        [4095, 0, 0, 2]
    );
}

#[test]
fn only_the_last_complete_line_announces_an_outcome() {
    let mut protocol = protocol();
    let mut announced_after = |bytes: &[u8]| {
        protocol.observe_endpoint_bytes(0.0, bytes);
        protocol.announced_outcome()
    };
    assert_eq!(
        [announced_after(b"BY"), announced_after(b"E\r"), announced_after(b"\n")],
        [None, None, Some(Outcome::Ok)]
    );
    assert_eq!([announced_after(b"more"), announced_after(b"\r\n")], [Some(Outcome::Ok), None]);
    assert_eq!([announced_after(b"MOVE\nBYE"), announced_after(b"\nMOVE\n")], [Some(Outcome::Cancelled); 2]);
    assert_eq!(
        [announced_after(b"BYE NOW\r\n"), announced_after(b"BYEBYEBYE\r\n"), announced_after(b" BYE\r\n")],
        [None; 3]
    );
}

/// The longest line of options with short names that are all different: the first `count` of them.
fn open_line_with_options(count: usize) -> Vec<u8> {
    let options: String = (0..count).map(|n| format!(",{:x}=", n + 16)).collect();
    format!("OPEN 1 2 c=none,d=2000{options}\r\n").into_bytes()
}

/// The shortest of many times that reading a line takes.
fn shortest_read(line: &[u8]) -> Duration {
    let read = || {
        let (mut input, mut reply) = (BytesMut::from(line), BytesMut::new());
        let start = Instant::now();
        let progress = protocol().read_request(0.0, ServingMode::Active, &mut input, &mut reply);
        assert_eq!(progress, ReadProgress::Close, "the class is unknown");
        start.elapsed()
    };
    (0..200).map(|_| read()).min().unwrap()
}

/// Guards against a line whose cost grows with the square of its options: a few clients that sent such lines
/// made all others wait.
#[test]
fn the_cost_of_a_line_grows_with_its_length_and_not_with_the_square_of_its_options() {
    let (few, many) =
        (shortest_read(&open_line_with_options(200)), shortest_read(&open_line_with_options(800)));
    // Four times the options cost four times as much, or sixteen times where each is compared with all others.
    assert!(many < few * 8, "{few:?} for 200 options, {many:?} for 800");
}
