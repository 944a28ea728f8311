//! Operators' calls as they are parsed, and the reasons why they are refused.

use sandgw_maintenance::RefusalReason;
use sandgw_maintenance::call::{Call, WindowRequest, parse};

#[test]
fn what_is_of_no_known_form_is_refused_as_such() {
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
fn each_says_what_happened_and_what_to_do() {
    for reason in RefusalReason::ALL {
        assert!(!reason.to_string().is_empty() && !reason.help().is_empty(), "{reason:?}");
        assert_ne!(reason.to_string(), reason.help());
    }
}
