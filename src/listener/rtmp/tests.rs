//! Tests that the RTMP protocol parses an endpoint's reply alike, however it is split over reads.

use super::*;

/// A protocol that has completed the handshake with an endpoint and written `connect` to it.
fn awaiting_reply() -> RtmpProtocol {
    let settings = RtmpSettings { class: "live".into(), client_timeout: 1000.0 };
    let mut protocol = RtmpProtocol::new(settings, ([127, 0, 0, 1], 1).into(), false);
    protocol.stage = ClientStage::Requested { transaction: 1.0 };
    protocol.attempt = Some(AttemptStage::Reply { reader: ChunkReader::default(), consumed: 0 });
    protocol
}

fn reply(name: &str, code: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    write_command(
        &mut out,
        3,
        DEFAULT_CHUNK_BYTES,
        &encode_command(name, 1.0, information_object("status", code, "of a test")),
    );
    out.to_vec()
}

fn read_all(reads: &[&[u8]]) -> (AttemptAnswer, Vec<u8>) {
    let (mut protocol, mut input) = (awaiting_reply(), BytesMut::new());
    let mut answer = AttemptAnswer::Incomplete;
    for read in reads {
        assert_eq!(answer, AttemptAnswer::Incomplete, "the reply was decided before the last read");
        input.extend_from_slice(read);
        answer = protocol.read_answer(&mut input, &mut BytesMut::new());
    }
    (answer, input.to_vec())
}

#[test]
fn a_reply_is_parsed_alike_wherever_it_is_split_and_whatever_follows_it() {
    let cases = [
        ("_result", "NetConnection.Connect.Success", AttemptAnswer::Established),
        ("_error", "NetConnection.Connect.Rejected", AttemptAnswer::Ended(Outcome::Rejected)),
        ("_error", "NetConnection.Connect.Failed", AttemptAnswer::Ended(Outcome::Error)),
    ];
    for (name, code, answer) in &cases {
        let bytes = reply(name, code);
        for at in 1..bytes.len() {
            let (head, tail) = bytes.split_at(at);
            assert_eq!(read_all(&[head]).0, AttemptAnswer::Incomplete, "{code} split at {at}");
            assert_eq!(read_all(&[head, tail]).0, *answer, "{code} split at {at}");
        }
        for (name, code, _) in &cases {
            let both = [&bytes[..], &reply(name, code)].concat();
            let (first, left) = read_all(&[&both]);
            assert_eq!(first, *answer);
            assert!(
                first != AttemptAnswer::Established || left == both,
                "all bytes of the reply go to the client"
            );
        }
    }
    assert_eq!(
        read_all(&[&[0xff; 100]]).0,
        AttemptAnswer::Ended(Outcome::Error),
        "bytes that are not a chunk stream"
    );
}

/// Without an announcement, a close between two chunks is in order and a close inside a chunk counts as a
/// reset. A request to reconnect announces the outcome, however the connection then ends.
#[test]
fn a_close_between_two_chunks_is_ok_and_a_reconnect_request_announces_the_outcome() {
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
