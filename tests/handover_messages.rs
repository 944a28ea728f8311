//! Tests of the hand-over's messages and of its two state machines, without sockets.

use sandgw::handover::*;

fn hello() -> Message {
    Message::Hello { version: FIRST_PROTOCOL_VERSION, relay_name: "n0".into() }
}

fn accepting_stopped() -> Message {
    Message::AcceptingStopped { descriptors: 9, standby: None, slow_start_pause: -1.0 }
}

/// Runs a hand-over whose connection breaks after this many messages. Returns whether the predecessor process
/// and the successor accept clients after that.
fn run_interrupted_hand_over(messages: usize, terminated: bool) -> (bool, bool) {
    let (mut predecessor, mut successor) = (PredecessorProcess::default(), SuccessorProcess::default());
    let (mut predecessor_accepts, mut successor_accepts, mut sent) = (true, false, 0);
    let mut queue = std::collections::VecDeque::from([(true, hello())]);
    while let Some((to_predecessor, message)) = queue.pop_front() {
        assert!(!(predecessor_accepts && successor_accepts));
        if sent == messages {
            break;
        }
        sent += 1;
        if to_predecessor {
            match predecessor.handle_message(&message, "n0") {
                PredecessorAction::SendSnapshot => {
                    queue.push_back((false, Message::AffinityRecords(Vec::new())));
                    queue.push_back((false, Message::SnapshotComplete));
                }
                PredecessorAction::StopAccepting => {
                    predecessor_accepts = false;
                    queue.push_back((false, accepting_stopped()));
                }
                PredecessorAction::GrantOwnership => queue.push_back((false, Message::OwnershipGranted)),
                PredecessorAction::Refuse(why) => panic!("{why}"),
            }
        } else {
            match successor.handle_message(&message) {
                SuccessorAction::Apply => {}
                SuccessorAction::RequestTakeover => queue.push_back((true, Message::TakeoverRequest)),
                SuccessorAction::ClaimOwnership => queue.push_back((true, Message::OwnershipClaim)),
                SuccessorAction::Serve => successor_accepts = true,
                SuccessorAction::Fail(why) => panic!("{why}"),
            }
        }
    }
    if !successor_accepts {
        // The successor has disconnected and never accepts clients.
        predecessor_accepts |= predecessor.resumes_accepting(terminated);
    }
    (predecessor_accepts, successor_accepts)
}

#[test]
fn exactly_one_process_accepts_wherever_the_hand_over_breaks() {
    for messages in 0..=7 {
        let (predecessor, successor) = run_interrupted_hand_over(messages, false);
        assert!(predecessor != successor, "after {messages} messages: {predecessor} {successor}");
    }
    assert_eq!(run_interrupted_hand_over(7, false), (false, true), "the hand-over is complete");
    // A predecessor that receives SIGTERM before it grants ownership continues to serve where the successor
    // fails.
    for messages in 0..=5 {
        assert_eq!(run_interrupted_hand_over(messages, true), (true, false), "after {messages} messages");
    }
    // A predecessor that receives SIGTERM after it has granted ownership only finishes its connections.
    assert_eq!(run_interrupted_hand_over(6, true), (false, false));
}

#[test]
fn a_message_out_of_turn_or_from_another_relay_is_refused() {
    let mut predecessor = PredecessorProcess::default();
    assert!(matches!(
        predecessor.handle_message(&Message::TakeoverRequest, "n0"),
        PredecessorAction::Refuse(_)
    ));
    assert!(matches!(
        predecessor.handle_message(&hello(), "n1"),
        PredecessorAction::Refuse(RefusalReason::OtherRelay)
    ));
    let none = Message::Hello { version: 0, relay_name: "n0".into() };
    assert!(matches!(
        predecessor.handle_message(&none, "n0"),
        PredecessorAction::Refuse(RefusalReason::VersionMismatch)
    ));
    assert_eq!(predecessor, PredecessorProcess::AwaitingHello, "a refused message changed the state");
    assert_eq!(RefusalReason::OtherRelay.to_string(), "it is another relay");
    assert_eq!(RefusalReason::VersionMismatch.to_string(), VERSION_MISMATCH);
    // A later version is answered with the newest one that this process speaks.
    assert_eq!(negotiate_version(&Message::Hello { version: 9, relay_name: String::new() }, 2), 2);
    assert_eq!(negotiate_version(&hello(), 2), FIRST_PROTOCOL_VERSION);
    let mut successor = SuccessorProcess::default();
    for early in [
        Message::OwnershipGranted,
        accepting_stopped(),
        Message::DescriptorsInUse { descriptors: 1 },
        hello(),
    ] {
        assert!(matches!(successor.handle_message(&early), SuccessorAction::Fail(_)), "{early:?}");
    }
    assert_eq!(successor, SuccessorProcess::ReceivingSnapshot);
    let refusal = TakeoverError::Refused("busy".into());
    assert_eq!(refusal.to_string(), "the running process refuses: busy");
    assert_eq!(successor.handle_message(&Message::Refused("busy".into())), SuccessorAction::Fail(refusal));
}

#[test]
fn messages_are_decoded_in_parts_of_any_size_and_malformed_ones_are_rejected() {
    let messages = [
        hello(),
        accepting_stopped(),
        Message::ListeningSockets(vec!["a".into()]),
        Message::OwnershipGranted,
    ];
    let bytes: Vec<u8> = messages.iter().flat_map(encode).collect();
    for size in 1..bytes.len() {
        let (mut decoder, mut read) = (MessageDecoder::default(), Vec::new());
        for part in bytes.chunks(size) {
            decoder.feed(part);
            while let Some(message) = decoder.next_message().unwrap() {
                read.push(message);
            }
        }
        assert_eq!(read, messages, "in parts of {size} bytes");
    }
    let mut decoder = MessageDecoder::default();
    decoder.feed(&u32::MAX.to_le_bytes());
    let too_long = decoder.next_message().unwrap_err();
    assert_eq!(too_long, DecodeError::TooLong { bytes: u32::MAX as usize });
    assert_eq!(too_long.to_string(), VERSION_MISMATCH);
    let mut decoder = MessageDecoder::default();
    decoder.feed(&[2, 0, 0, 0, 250, 1]);
    let invalid = decoder.next_message().unwrap_err();
    assert!(matches!(invalid, DecodeError::InvalidBody(_)), "{invalid:?}");
    assert_eq!(invalid.to_string(), VERSION_MISMATCH);
}

/// Processes of two builds hand over to each other: variants and fields are encoded by position, so their
/// bytes must not change.
#[test]
fn messages_keep_their_bytes() {
    let agreement = Message::VersionAgreement { version: 2, listened_ms: 0.0, advertisement: "w".into() };
    let list = Message::EndpointList { discovery: "d".into(), revision: Some(7), entries: vec!["e".into()] };
    let messages: [(Message, &[u8]); 13] = [
        (hello(), &[0, 1, 2, b'n', b'0']),
        (Message::Refused("n".into()), &[1, 1, b'n']),
        (list, &[2, 1, b'd', 1, 7, 1, 1, b'e']),
        (Message::AffinityRecords(Vec::new()), &[3, 0]),
        (Message::ListeningSockets(vec!["a".into()]), &[5, 1, 1, b'a']),
        (Message::SnapshotComplete, &[6]),
        (Message::TakeoverRequest, &[7]),
        (accepting_stopped(), &[8, 9, 0, 0, 0, 0, 0, 0, 0, 0xf0, 0xbf]),
        (Message::OwnershipClaim, &[9]),
        (Message::OwnershipGranted, &[10]),
        (Message::DescriptorsInUse { descriptors: 3 }, &[12, 3]),
        (agreement, &[13, 2, 0, 0, 0, 0, 0, 0, 0, 0, 1, b'w']),
        (Message::ConnectionIds(vec![5]), &[14, 1, 5]),
    ];
    for (message, body) in messages {
        let bytes = encode(&message);
        assert_eq!(bytes[..4], (body.len() as u32).to_le_bytes(), "{message:?}");
        assert_eq!(&bytes[4..], body, "{message:?}");
    }
}
