//! What operators ask for, as it is read, and why it is refused.

use sandgw_maintenance::Refused;
use sandgw_maintenance::call::{Call, read};

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
        assert_eq!(read(line), Some(Err(Refused::SchemaVersion)), "{line}");
    }
    assert_eq!(read("done 1-2"), Some(Err(Refused::NoWindow)));
    assert!(matches!(read("window hall a 0.5 60 in 9 by eve"), Some(Ok(Call::Window { after: 9000, .. }))));
}

#[test]
fn each_says_what_happened_and_what_to_do() {
    for refused in Refused::ALL {
        assert!(!refused.to_string().is_empty() && !refused.help().is_empty(), "{refused:?}");
        assert_ne!(refused.to_string(), refused.help());
    }
}
