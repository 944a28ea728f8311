//! Datagrams: the steps between the forms, cut and foreign ones, and every error's advice.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sandgw_schema_version::compatibility_table::{MOST_ROWS, QuotaRows};
use sandgw_schema_version::version_advertisement::VersionAdvertisement;
use sandgw_schema_version::version_negotiator::{QUIET, VersionNegotiator};
use sandgw_schema_version::versioned_channel::{Received, VersionedChannel};
use sandgw_schema_version::versioned_message::{Aside, MOST_BYTES, VersionedMessage, down, up};
use sandgw_schema_version::{SchemaVersion, SchemaVersionError, SupportedVersions};

fn word() -> VersionAdvertisement {
    let older = vec![(SchemaVersion::FIRST, 19_900.0)];
    VersionAdvertisement {
        range: SupportedVersions::up_to(SchemaVersion::NEWEST).unwrap(),
        finalized: SchemaVersion::FIRST,
        older,
    }
}

fn shares(bytes: usize) -> QuotaRows {
    QuotaRows::new(&format!("m{}", "x".repeat(bytes - 1))).unwrap()
}

fn post() -> VersionedChannel {
    let range = SupportedVersions::up_to(SchemaVersion::NEWEST).unwrap();
    let mut ladder = VersionNegotiator::new(range, SchemaVersion::FIRST, (0, 3), 1, 0.0).unwrap();
    ladder.told(QUIET, 1, &VersionAdvertisement { older: Vec::new(), ..word() }).unwrap();
    VersionedChannel::new(ladder)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// What the steps take apart they put together again, and no datagram is too long.
    #[test]
    fn a_step_down_and_up_again_loses_nothing(text in "[12][ -{}~]{0,200}", rows in 2usize..=MOST_ROWS) {
        let envelope = VersionedMessage { word: word(), text: Some(text), shares: Some(shares(rows)) };
        let (text, aside) = down(envelope.clone());
        prop_assert_eq!(&up(text, aside), &envelope);
        if let Some(datagram) = envelope.write() {
            prop_assert!(datagram.len() <= MOST_BYTES);
            let read = VersionedMessage::read(&datagram).unwrap();
            prop_assert_eq!((read.text, read.shares), (envelope.text, envelope.shares));
        }
    }

    /// Anything may come; it is counted and never stops a process.
    #[test]
    fn whatever_comes_is_read_or_counted(texts in proptest::collection::vec("\\PC{0,40}|3[0-9a-z]{0,9}(\\|[12m?][!-~]{0,20})*", 1..20)) {
        let (mut post, mut out) = (post(), Vec::new());
        let wrong = texts.iter().filter(|text| post.receive(QUIET, 1, text, &mut out).is_err()).count();
        let counts = post.counts();
        prop_assert_eq!(counts.cut + counts.future, wrong as u64);
    }
}

/// Every datagram of today is at most this long as a piece; it goes into an envelope whole.
#[test]
fn the_longest_text_of_form_1_fits() {
    let mut out = Vec::new();
    let piece = format!("2{}", "A".repeat(MOST_BYTES - 6));
    post().send(QUIET, 1, &piece, &mut out);
    assert_eq!(out, [(1, format!("3121|{piece}"))]);
    // A sample that fills a datagram goes without its smallest groups.
    out.clear();
    let sample = format!("1s {}", "abcdef12:ff ".repeat(30));
    post().send(QUIET, 1, &sample[..MOST_BYTES], &mut out);
    let text = out[0].1.strip_prefix("3121|").unwrap();
    assert!(sample.starts_with(&format!("{text} ")) && text.len() > 230, "{text}");
}

#[test]
fn rows_go_beside_a_text_where_they_fit_and_alone_after_it_where_they_do_not() {
    let (mut post, mut out) = (post(), Vec::new());
    post.keep(QUIET, 1, shares(30));
    post.send(QUIET, 1, "2AAAA", &mut out);
    let received = self::post().receive(QUIET, 1, &out[0].1, &mut Vec::new()).unwrap();
    assert_eq!(received, Received { text: Some("2AAAA".into()), shares: Some(shares(30)) });
    out.clear();
    post.keep(QUIET, 1, shares(MOST_ROWS));
    post.send(QUIET, 1, &format!("2{}", "A".repeat(200)), &mut out);
    assert!(out.len() == 1 && !out[0].1.contains("|m"), "{out:?}");
    assert!(post.timer(QUIET) <= 200.0);
    out.clear();
    post.due(QUIET + 200.0, &mut out);
    let rows: Vec<_> = out.iter().filter_map(|(_, text)| VersionedMessage::read(text).ok()?.shares).collect();
    assert_eq!(rows, [shares(MOST_ROWS)]);
}

/// Cut anywhere a datagram is an error or reads as less, and what is left of its word counts only whole.
#[test]
fn a_datagram_cut_short_or_of_a_form_to_come_is_an_error() {
    let whole = VersionedMessage { word: word(), text: Some("2AAAA".into()), shares: Some(shares(20)) };
    let text = whole.write().unwrap();
    for end in 0..text.len() {
        if let Ok(read) = VersionedMessage::read(&text[..end]) {
            assert_ne!(read, whole);
        }
    }
    let mut post = post();
    let mut read = |text: &str| post.receive(QUIET, 2, text, &mut Vec::new());
    assert!(matches!(read("3191|xabc"), Err(SchemaVersionError::Unknown { letter: 'x', .. })));
    assert!(matches!(read("4191"), Err(SchemaVersionError::Unknown { letter: '4', .. })));
    assert!(matches!(read("310"), Err(SchemaVersionError::Cut { .. })));
    assert!(matches!(read("3021"), Err(SchemaVersionError::NoForm { number: 0 })));
    assert!(matches!(read("3211"), Err(SchemaVersionError::Backwards { .. })));
    assert!(matches!(read("3599"), Err(SchemaVersionError::Finalized { .. })));
    assert!(matches!(read(""), Err(SchemaVersionError::Cut { .. })));
    assert!(matches!(read(&"3121|2".repeat(60)), Err(SchemaVersionError::Cut { .. })));
    assert_eq!((post.counts().cut, post.counts().future), (5, 3));
    // Of the first the word counted: a process that reads up to form 9 is no older one.
    assert_eq!(post.ladder.form_for(QUIET, 1), SchemaVersion::SECOND);
}

#[test]
fn each_error_says_what_can_be_done() {
    let form = |n| SchemaVersion::new(n).unwrap();
    let all = [
        SchemaVersionError::NoForm { number: 99 },
        SchemaVersionError::Backwards { oldest: form(2), newest: form(1) },
        SchemaVersionError::Future { form: form(9), newest: form(2) },
        SchemaVersionError::Unknown { letter: 'x', newest: form(2) },
        SchemaVersionError::Cut { bytes: 3, part: "the word" },
        SchemaVersionError::Finalized { finalized: form(2), range: SupportedVersions::SILENT },
        SchemaVersionError::OlderAlive { form: form(1), ago: 400.0 },
        SchemaVersionError::TooEarly { left: 900.0 },
    ];
    let help: std::collections::BTreeSet<_> = all.iter().map(SchemaVersionError::help).collect();
    assert_eq!(help.len(), all.len(), "each its own");
    assert!(all.iter().all(|e| e.to_string().len() > 20));
    let aside = Aside { word: word(), shares: None };
    assert_eq!(down(up(None, aside.clone())), (None, aside));
}
