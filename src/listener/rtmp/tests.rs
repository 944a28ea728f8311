//! How the RTMP protocol reads an endpoint's reply, however it is split over reads.

use super::*;

/// A protocol whose `connect` is written to an endpoint, after the handshake.
fn awaiting_reply() -> RtmpProtocol {
    let settings = RtmpSettings { class: "live".into(), give_up: 1000.0 };
    let mut protocol = RtmpProtocol::new(settings, ([127, 0, 0, 1], 1).into(), false);
    protocol.stage = Stage::Requested { transaction: 1.0 };
    protocol.attempt = Some(AttemptStage::Reply { reader: Reader::default(), consumed: 0 });
    protocol
}

fn reply(name: &str, code: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    write_command(
        &mut out,
        3,
        DEFAULT_CHUNK_BYTES,
        &encode(name, 1.0, information("status", code, "of a test")),
    );
    out.to_vec()
}

fn read_all(reads: &[&[u8]]) -> (AttemptAnswer, Vec<u8>) {
    let (mut protocol, mut input) = (awaiting_reply(), BytesMut::new());
    let mut answer = AttemptAnswer::Incomplete;
    for read in reads {
        assert_eq!(answer, AttemptAnswer::Incomplete, "decided before its end");
        input.extend_from_slice(read);
        answer = protocol.read_answer(&mut input, &mut BytesMut::new());
    }
    (answer, input.to_vec())
}

#[test]
fn a_reply_is_the_same_wherever_it_is_cut_and_whatever_stands_behind_it() {
    let cases = [
        ("_result", "NetConnection.Connect.Success", AttemptAnswer::Established),
        ("_error", "NetConnection.Connect.Rejected", AttemptAnswer::Ended(Outcome::Rejected)),
        ("_error", "NetConnection.Connect.Failed", AttemptAnswer::Ended(Outcome::Error)),
    ];
    for (name, code, answer) in &cases {
        let bytes = reply(name, code);
        for at in 1..bytes.len() {
            let (head, tail) = bytes.split_at(at);
            assert_eq!(read_all(&[head]).0, AttemptAnswer::Incomplete, "{code} cut at {at}");
            assert_eq!(read_all(&[head, tail]).0, *answer, "{code} cut at {at}");
        }
        for (name, code, _) in &cases {
            let both = [&bytes[..], &reply(name, code)].concat();
            let (first, left) = read_all(&[&both]);
            assert_eq!(first, *answer);
            assert!(first != AttemptAnswer::Established || left == both, "all of it is the client's");
        }
    }
    assert_eq!(read_all(&[&[0xff; 100]]).0, AttemptAnswer::Ended(Outcome::Error), "no chunk stream");
}

/// Only a message tells how a connection ends that is then reset.
#[test]
fn an_end_between_two_chunks_is_in_order_and_a_word_before_it_is_told() {
    let mut protocol = awaiting_reply();
    assert_eq!((protocol.announced_outcome(), protocol.outcome_at_end()), (None, Outcome::Ok));
    let bytes = reply("onStatus", "NetConnection.Connect.ReconnectRequest");
    protocol.observe_endpoint_bytes(0.0, &bytes[..20]);
    assert_eq!((protocol.announced_outcome(), protocol.outcome_at_end()), (None, Outcome::Reset));
    protocol.observe_endpoint_bytes(0.0, &bytes[20..]);
    assert_eq!(
        (protocol.announced_outcome(), protocol.outcome_at_end()),
        (Some(Outcome::Cancelled), Outcome::Cancelled)
    );
}
