//! What the front of RTMP makes of an endpoint's reply, however it comes.

use super::*;

/// A front whose `connect` is written to an endpoint that has shaken hands.
fn asked() -> RtmpProtocol {
    let settings = RtmpSettings { class: "live".into(), give_up: 1000.0 };
    let mut protocol = RtmpProtocol::new(settings, ([127, 0, 0, 1], 1).into(), false);
    protocol.stage = Stage::Known(1.0);
    protocol.attempt = Some(Attempt::Reply(Reader::default(), 0));
    protocol
}

fn reply(name: &str, code: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    write_command(&mut out, 3, FIRST_CHUNK, &encode(name, 1.0, information("status", code, "of a test")));
    out.to_vec()
}

fn answered(reads: &[&[u8]]) -> (Answer, Vec<u8>) {
    let (mut protocol, mut input) = (asked(), BytesMut::new());
    let mut answer = Answer::More;
    for read in reads {
        assert_eq!(answer, Answer::More, "decided before its end");
        input.extend_from_slice(read);
        answer = protocol.answer(&mut input, &mut BytesMut::new());
    }
    (answer, input.to_vec())
}

#[test]
fn a_reply_is_the_same_wherever_it_is_cut_and_whatever_stands_behind_it() {
    let cases = [
        ("_result", "NetConnection.Connect.Success", Answer::Up),
        ("_error", "NetConnection.Connect.Rejected", Answer::Ended(Outcome::Rejected)),
        ("_error", "NetConnection.Connect.Failed", Answer::Ended(Outcome::Error)),
    ];
    for (name, code, answer) in &cases {
        let bytes = reply(name, code);
        for at in 1..bytes.len() {
            let (head, tail) = bytes.split_at(at);
            assert_eq!(answered(&[head]).0, Answer::More, "{code} cut at {at}");
            assert_eq!(answered(&[head, tail]).0, *answer, "{code} cut at {at}");
        }
        for (name, code, _) in &cases {
            let both = [&bytes[..], &reply(name, code)].concat();
            let (first, left) = answered(&[&both]);
            assert_eq!(first, *answer);
            assert!(first != Answer::Up || left == both, "all of it is the client's");
        }
    }
    assert_eq!(answered(&[&[0xff; 100]]).0, Answer::Ended(Outcome::Error), "no chunk stream");
}

/// Only a message says of the end what a reset leaves open.
#[test]
fn an_end_between_two_chunks_is_in_order_and_a_word_before_it_is_told() {
    let mut protocol = asked();
    assert_eq!((protocol.announced(), protocol.endpoint_end()), (None, Outcome::Ok));
    let bytes = reply("onStatus", "NetConnection.Connect.ReconnectRequest");
    protocol.endpoint_sent(0.0, &bytes[..20]);
    assert_eq!((protocol.announced(), protocol.endpoint_end()), (None, Outcome::Reset));
    protocol.endpoint_sent(0.0, &bytes[20..]);
    assert_eq!(
        (protocol.announced(), protocol.endpoint_end()),
        (Some(Outcome::Cancelled), Outcome::Cancelled)
    );
}
