use super::*;

fn feed_parts(parts: &[&[u8]]) -> Option<Result<OperatorCall, OperatorCallError>> {
    let mut parser = CallParser::default();
    parts.iter().find_map(|part| parser.feed(part))
}

#[test]
fn a_call_is_parsed_however_it_is_split_and_with_either_line_end() {
    for (text, call) in [
        ("status", OperatorCall::Status),
        ("standby", OperatorCall::Standby),
        ("active", OperatorCall::Active),
    ] {
        for end in ["\n", "\r\n"] {
            let whole = format!("{text}{end}");
            for at in 1..whole.len() {
                let (head, tail) = whole.as_bytes().split_at(at);
                assert_eq!(feed_parts(&[head, tail]), Some(Ok(call.clone())), "{whole:?} cut at {at}");
                assert_eq!(feed_parts(&[head]), None, "{whole:?} without an end");
                assert_eq!(
                    feed_parts(&[head, b""]),
                    Some(Err(OperatorCallError::Truncated)),
                    "{whole:?} ended at {at}"
                );
            }
        }
    }
}

#[test]
fn an_invalid_call_is_refused_with_its_error() {
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
        assert_eq!(feed_parts(&[bytes]), Some(Err(refusal)), "{bytes:?}");
    }
    // However many bytes arrive, the parser keeps no more than a call.
    let mut parser = CallParser::default();
    let refusal = long.chunks(7).find_map(|part| parser.feed(part));
    assert_eq!(refusal, Some(Err(OperatorCallError::TooLong)));
    assert!(parser.buffer.len() <= MAX_CALL_BYTES + 1);
}
