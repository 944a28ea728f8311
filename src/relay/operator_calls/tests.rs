use super::*;

fn fed(parts: &[&[u8]]) -> Option<Result<OperatorCall, OperatorCallError>> {
    let mut parser = CallParser::default();
    parts.iter().find_map(|part| parser.feed(part))
}

#[test]
fn a_call_is_read_however_it_is_cut_and_whichever_end_it_has() {
    for (text, call) in [
        ("status", OperatorCall::Status),
        ("standby", OperatorCall::Standby),
        ("active", OperatorCall::Active),
    ] {
        for end in ["\n", "\r\n"] {
            let whole = format!("{text}{end}");
            for at in 1..whole.len() {
                let (head, tail) = whole.as_bytes().split_at(at);
                assert_eq!(fed(&[head, tail]), Some(Ok(call.clone())), "{whole:?} cut at {at}");
                assert_eq!(fed(&[head]), None, "{whole:?} without an end");
                assert_eq!(
                    fed(&[head, b""]),
                    Some(Err(OperatorCallError::Truncated)),
                    "{whole:?} ended at {at}"
                );
            }
        }
    }
}

#[test]
fn whatever_is_no_call_has_one_refusal() {
    let long = [b'x'; 300];
    let cases: [(&[u8], OperatorCallError); 11] = [
        (b"\n", OperatorCallError::Empty),
        (b"\r\n", OperatorCallError::Empty),
        (b"", OperatorCallError::Truncated),
        (b"STATUS\n", OperatorCallError::Unknown),
        (b" status\n", OperatorCallError::Unknown),
        (b"status now\n", OperatorCallError::Unknown),
        (b"\xff\xfe\n", OperatorCallError::Unknown),
        (b"st\rtus\n", OperatorCallError::Unknown),
        (b"status\nstandby\n", OperatorCallError::TrailingBytes),
        (b"status\n\n", OperatorCallError::TrailingBytes),
        (&long, OperatorCallError::TooLong),
    ];
    for (bytes, refusal) in cases {
        assert_eq!(fed(&[bytes]), Some(Err(refusal)), "{bytes:?}");
    }
    // However much comes, no more than a call is kept.
    let mut parser = CallParser::default();
    let parts = long.chunks(7).find_map(|part| parser.feed(part));
    assert_eq!(parts, Some(Err(OperatorCallError::TooLong)));
    assert!(parser.buffer.len() <= MAX_CALL_BYTES + 1);
}
