//! The messages of a hand-over and the two sides of it, without any socket.

use sandgw::relay::handover::*;

fn hello() -> Message {
    Message::Hello { form: FORM, name: "n0".into() }
}

fn yielded() -> Message {
    Message::Yield { descriptors: 9, standby: None, cold_in: -1.0 }
}

/// One hand-over between two sides that are cut off from each other after so many messages: who accepts then.
fn cut_after(messages: usize, terminated: bool) -> (bool, bool) {
    let (mut elder, mut successor) = (PredecessorProcess::default(), Successor::default());
    let (mut elder_accepts, mut successor_accepts, mut sent) = (true, false, 0);
    let mut queue = std::collections::VecDeque::from([(true, hello())]);
    while let Some((to_elder, message)) = queue.pop_front() {
        assert!(!(elder_accepts && successor_accepts));
        if sent == messages {
            break;
        }
        sent += 1;
        if to_elder {
            match elder.hears(&message, "n0") {
                ElderStep::Snapshot => {
                    queue.push_back((false, Message::Records(Vec::new())));
                    queue.push_back((false, Message::Whole));
                }
                ElderStep::Yield => {
                    elder_accepts = false;
                    queue.push_back((false, yielded()));
                }
                ElderStep::HandOver => queue.push_back((false, Message::Yours)),
                ElderStep::Refuse(why) => panic!("{why}"),
            }
        } else {
            match successor.hears(&message) {
                SuccessorStep::Absorb => {}
                SuccessorStep::Take => queue.push_back((true, Message::Take)),
                SuccessorStep::Claim => queue.push_back((true, Message::Claim)),
                SuccessorStep::Serve => successor_accepts = true,
                SuccessorStep::Fail(why) => panic!("{why}"),
            }
        }
    }
    if !successor_accepts {
        // It is gone; it never accepts by this link.
        elder_accepts |= elder.takes_back(terminated);
    }
    (elder_accepts, successor_accepts)
}

#[test]
fn wherever_it_is_cut_exactly_one_accepts() {
    for messages in 0..=7 {
        let (elder, successor) = cut_after(messages, false);
        assert!(elder != successor, "after {messages} messages: {elder} {successor}");
    }
    assert_eq!(cut_after(7, false), (false, true), "all of it");
    // Told to end before it has handed over, it serves on as ever where the other fails.
    for messages in 0..=5 {
        assert_eq!(cut_after(messages, true), (true, false), "after {messages} messages");
    }
    // The relay had been given away: it finishes what it has.
    assert_eq!(cut_after(6, true), (false, false));
}

#[test]
fn who_speaks_out_of_turn_or_is_another_is_refused() {
    let mut elder = PredecessorProcess::default();
    assert!(matches!(elder.hears(&Message::Take, "n0"), ElderStep::Refuse(_)));
    assert!(matches!(elder.hears(&hello(), "n1"), ElderStep::Refuse("it is another relay")));
    let none = Message::Hello { form: 0, name: "n0".into() };
    assert!(matches!(elder.hears(&none, "n0"), ElderStep::Refuse(ANOTHER_FORM)));
    assert_eq!(elder, PredecessorProcess::Asked, "none of it counts");
    // A form to come is met with the newest that is known here.
    assert_eq!(agreed(&Message::Hello { form: 9, name: String::new() }, 2), 2);
    assert_eq!(agreed(&hello(), 2), FORM);
    let mut successor = Successor::default();
    for early in [Message::Yours, yielded(), Message::Held { descriptors: 1 }, hello()] {
        assert!(matches!(successor.hears(&early), SuccessorStep::Fail(_)), "{early:?}");
    }
    assert_eq!(successor, Successor::Asking);
    assert_eq!(
        successor.hears(&Message::Refused("busy".into())),
        SuccessorStep::Fail("the running process refuses: busy".into())
    );
}

#[test]
fn messages_are_read_however_they_are_cut_and_what_is_none_is_refused() {
    let messages = [hello(), yielded(), Message::Sockets(vec!["a".into()]), Message::Yours];
    let bytes: Vec<u8> = messages.iter().flat_map(encode).collect();
    for size in 1..bytes.len() {
        let (mut frames, mut read) = (Frames::default(), Vec::new());
        for part in bytes.chunks(size) {
            frames.feed(part);
            while let Some(message) = frames.message().unwrap() {
                read.push(message);
            }
        }
        assert_eq!(read, messages, "in parts of {size}");
    }
    let mut frames = Frames::default();
    frames.feed(&u32::MAX.to_le_bytes());
    assert_eq!(frames.message(), Err(Malformed));
    let mut frames = Frames::default();
    frames.feed(&[2, 0, 0, 0, 250, 1]);
    assert_eq!(frames.message(), Err(Malformed));
}
