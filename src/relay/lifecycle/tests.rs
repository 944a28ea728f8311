use super::*;

fn fed(parts: &[&[u8]]) -> Option<Result<Call, Refusal>> {
    let mut caller = Caller::default();
    parts.iter().find_map(|part| caller.feed(part))
}

#[test]
fn a_call_is_read_however_it_is_cut_and_whichever_end_it_has() {
    for (text, call) in [("status", Call::Status), ("standby", Call::Standby), ("active", Call::Active)] {
        for end in ["\n", "\r\n"] {
            let whole = format!("{text}{end}");
            for at in 1..whole.len() {
                let (head, tail) = whole.as_bytes().split_at(at);
                assert_eq!(fed(&[head, tail]), Some(Ok(call.clone())), "{whole:?} cut at {at}");
                assert_eq!(fed(&[head]), None, "{whole:?} without an end");
                assert_eq!(fed(&[head, b""]), Some(Err(Refusal::Cut)), "{whole:?} ended at {at}");
            }
        }
    }
}

#[test]
fn whatever_is_no_call_has_one_refusal() {
    let long = [b'x'; 300];
    let cases: [(&[u8], Refusal); 11] = [
        (b"\n", Refusal::Empty),
        (b"\r\n", Refusal::Empty),
        (b"", Refusal::Cut),
        (b"STATUS\n", Refusal::Unknown),
        (b" status\n", Refusal::Unknown),
        (b"status now\n", Refusal::Unknown),
        (b"\xff\xfe\n", Refusal::Unknown),
        (b"st\rtus\n", Refusal::Unknown),
        (b"status\nstandby\n", Refusal::More),
        (b"status\n\n", Refusal::More),
        (&long, Refusal::TooLong),
    ];
    for (bytes, refusal) in cases {
        assert_eq!(fed(&[bytes]), Some(Err(refusal)), "{bytes:?}");
    }
    // However much comes, no more than a call is kept.
    let mut caller = Caller::default();
    let parts = long.chunks(7).find_map(|part| caller.feed(part));
    assert_eq!(parts, Some(Err(Refusal::TooLong)));
    assert!(caller.bytes.len() <= CALL_BYTES + 1);
}

/// Whoever stands, and whoever comes to stand on the way, is told in time, and never many at once.
#[test]
fn all_are_told_in_steps_that_end_in_time() {
    for connections in [0, 1, 2, 7, 100, 5000] {
        let (mut left, mut at, mut most) = (connections, 0.0, 0);
        while at <= MOVES_UNTIL {
            if at == 1500.0 {
                left += connections / 10;
            }
            let now = moves_now(at, left);
            assert!(now <= left && (now == 0 || at >= MOVES_FROM));
            (left, most, at) = (left - now, most.max(now), at + MOVE_STEP);
        }
        assert_eq!(left, 0, "of {connections}");
        assert!(most <= connections / 10 + 1, "{most} of {connections} at once");
    }
    assert_eq!(moves_now(MOVES_UNTIL + 1000.0, 3), 3, "those that come late are told at once");
}
