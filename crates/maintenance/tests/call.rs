//! Tests how operators' calls are parsed, and the messages of refusals.

use sandgw_maintenance::RefusalReason;
use sandgw_maintenance::call::{Call, WindowRequest, parse};

#[test]
fn malformed_calls_are_refused() {
    for line in [
        "window",
        "window hall",
        "window hall a",
        "window hall a all",
        "window hall a -1 60",
        "window hall a nan 60",
        "window hall a all 60 in",
        "window hall a all 60 by",
        "window hall a all 60 by x y",
        "window relay x 60",
        "window streamer s 1e9",
        "extend 1.a",
        "windows now",
        "cancel",
    ] {
        assert_eq!(parse(line), Some(Err(RefusalReason::Syntax)), "{line}");
    }
    assert_eq!(parse("done 1-2"), Some(Err(RefusalReason::UnknownWindow)));
    let call = parse("window hall a 0.5 60 in 9 by eve");
    assert!(matches!(call, Some(Ok(Call::Request(WindowRequest { delay: 9000, .. })))));
}

#[test]
fn every_refusal_reason_has_a_message_and_a_help_text() {
    for reason in RefusalReason::ALL {
        assert!(!reason.to_string().is_empty() && !reason.help().is_empty(), "{reason:?}");
        assert_ne!(reason.to_string(), reason.help());
    }
}
