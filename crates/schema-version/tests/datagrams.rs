//! Datagrams: conversion between versions, truncated datagrams, datagrams of other programs or newer
//! versions, and the help text of every error.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sandgw_datagram::MAX_BYTES;
use sandgw_schema_version::quota_rows::{MAX_ROWS_BYTES, QuotaRows};
use sandgw_schema_version::version_advertisement::{OlderSighting, VersionAdvertisement};
use sandgw_schema_version::version_negotiator::{QUIET_PERIOD_MS, RelayPosition, VersionNegotiator};
use sandgw_schema_version::versioned_channel::{Datagram, Received, VersionedChannel};
use sandgw_schema_version::versioned_message::{
    Downgraded, SecondVersionParts, VersionedMessage, downgrade, upgrade,
};
use sandgw_schema_version::{SchemaVersion, SchemaVersionError, SupportedVersions};

fn advertisement() -> VersionAdvertisement {
    let older_sightings = vec![OlderSighting { version: SchemaVersion::FIRST, age_ms: 19_900.0 }];
    VersionAdvertisement {
        supported: SupportedVersions::up_to(SchemaVersion::NEWEST).unwrap(),
        finalized: SchemaVersion::FIRST,
        older_sightings,
    }
}

fn quota_rows(bytes: usize) -> QuotaRows {
    QuotaRows::new(&format!("m{}", "x".repeat(bytes - 1))).unwrap()
}

fn channel() -> VersionedChannel {
    let supported = SupportedVersions::up_to(SchemaVersion::NEWEST).unwrap();
    let mut negotiator = VersionNegotiator::new(
        supported,
        SchemaVersion::FIRST,
        RelayPosition { local_index: 0, relay_count: 3 },
        1,
        0.0,
    )
    .unwrap();
    negotiator
        .handle_advertisement(
            QUIET_PERIOD_MS,
            1,
            &VersionAdvertisement { older_sightings: Vec::new(), ..advertisement() },
        )
        .unwrap();
    VersionedChannel::new(negotiator)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A downgrade followed by an upgrade loses nothing, and no datagram is too long.
    #[test]
    fn downgrade_and_upgrade_lose_nothing(text in "[12][ -{}~]{0,200}", row_bytes in 2usize..=MAX_ROWS_BYTES) {
        let message = VersionedMessage { advertisement: advertisement(), text: Some(text), rows: Some(quota_rows(row_bytes)) };
        prop_assert_eq!(&upgrade(downgrade(message.clone())), &message);
        if let Some(datagram) = message.encode() {
            prop_assert!(datagram.len() <= MAX_BYTES);
            let decoded = VersionedMessage::decode(&datagram).unwrap();
            prop_assert_eq!((decoded.text, decoded.rows), (message.text, message.rows));
        }
    }

    /// Any received text is either read or counted as an error, and never stops a process.
    #[test]
    fn any_received_text_is_read_or_counted(texts in proptest::collection::vec("\\PC{0,40}|3[0-9a-z]{0,9}(\\|[12m?][!-~]{0,20})*", 1..20)) {
        let (mut channel, mut out) = (channel(), Vec::new());
        let error_count = texts.iter().filter(|text| channel.receive(QUIET_PERIOD_MS, 1, text, &mut out).is_err()).count();
        let counters = channel.counters();
        prop_assert_eq!(counters.malformed + counters.too_new, error_count as u64);
    }
}

/// No binary message that relays send is longer than the one here. It fits whole into a version 2 datagram.
#[test]
fn longest_version_1_text_fits_into_a_version_2_datagram() {
    let mut out = Vec::new();
    let message = format!("2{}", "A".repeat(MAX_BYTES - 6));
    channel().send(QUIET_PERIOD_MS, 1, &message, &mut out);
    assert_eq!(out, [Datagram { peer: 1, text: format!("3121|{message}") }]);
    // A load sample that fills a whole version 1 datagram is sent without its smallest groups.
    out.clear();
    let sample = format!("1s {}", "abcdef12:ff ".repeat(30));
    channel().send(QUIET_PERIOD_MS, 1, &sample[..MAX_BYTES], &mut out);
    let text = out[0].text.strip_prefix("3121|").unwrap();
    assert!(sample.starts_with(&format!("{text} ")) && text.len() > 230, "{text}");
}

#[test]
fn rows_are_sent_beside_a_text_if_they_fit_and_in_a_later_datagram_otherwise() {
    let (mut channel, mut out) = (channel(), Vec::new());
    channel.queue_rows(QUIET_PERIOD_MS, 1, quota_rows(30));
    channel.send(QUIET_PERIOD_MS, 1, "2AAAA", &mut out);
    let received = self::channel().receive(QUIET_PERIOD_MS, 1, &out[0].text, &mut Vec::new()).unwrap();
    assert_eq!(received, Received { text: Some("2AAAA".into()), rows: Some(quota_rows(30)) });
    out.clear();
    channel.queue_rows(QUIET_PERIOD_MS, 1, quota_rows(MAX_ROWS_BYTES));
    channel.send(QUIET_PERIOD_MS, 1, &format!("2{}", "A".repeat(200)), &mut out);
    assert!(out.len() == 1 && !out[0].text.contains("|m"), "{out:?}");
    assert!(channel.next_poll_in_ms(QUIET_PERIOD_MS) <= 200.0);
    out.clear();
    channel.poll(QUIET_PERIOD_MS + 200.0, &mut out);
    let sent: Vec<_> =
        out.iter().filter_map(|datagram| VersionedMessage::decode(&datagram.text).ok()?.rows).collect();
    assert_eq!(sent, [quota_rows(MAX_ROWS_BYTES)]);
}

/// A datagram that is truncated anywhere is an error or decodes to less than the whole message, and its
/// advertisement counts only if it is whole. A datagram of a newer version is an error.
#[test]
fn truncated_datagrams_and_newer_versions_are_errors() {
    let whole = VersionedMessage {
        advertisement: advertisement(),
        text: Some("2AAAA".into()),
        rows: Some(quota_rows(20)),
    };
    let text = whole.encode().unwrap();
    for end in 0..text.len() {
        if let Ok(decoded) = VersionedMessage::decode(&text[..end]) {
            assert_ne!(decoded, whole);
        }
    }
    let mut channel = channel();
    let mut receive = |text: &str| channel.receive(QUIET_PERIOD_MS, 2, text, &mut Vec::new());
    assert!(matches!(receive("3191|xabc"), Err(SchemaVersionError::UnknownPart { prefix: 'x', .. })));
    assert!(matches!(receive("4191"), Err(SchemaVersionError::UnknownPart { prefix: '4', .. })));
    assert!(matches!(receive("310"), Err(SchemaVersionError::Malformed { .. })));
    assert!(matches!(receive("3021"), Err(SchemaVersionError::InvalidNumber { number: 0 })));
    assert!(matches!(receive("3211"), Err(SchemaVersionError::EmptyRange { .. })));
    assert!(matches!(receive("3599"), Err(SchemaVersionError::Finalized { .. })));
    assert!(matches!(receive(""), Err(SchemaVersionError::Malformed { .. })));
    assert!(matches!(receive(&"3121|2".repeat(60)), Err(SchemaVersionError::Malformed { .. })));
    assert_eq!((channel.counters().malformed, channel.counters().too_new), (5, 3));
    // The advertisement of the first datagram was handled: a process that supports versions up to 9 is not an
    // older process.
    assert_eq!(channel.negotiator.version_for(QUIET_PERIOD_MS, 1), SchemaVersion::SECOND);
}

#[test]
fn each_error_has_a_help_text_of_its_own() {
    let version = |number| SchemaVersion::new(number).unwrap();
    let all = [
        SchemaVersionError::InvalidNumber { number: 99 },
        SchemaVersionError::EmptyRange { oldest: version(2), newest: version(1) },
        SchemaVersionError::TooNew { version: version(9), newest: version(2) },
        SchemaVersionError::UnknownPart { prefix: 'x', newest: version(2) },
        SchemaVersionError::Malformed { bytes: 3, part: "the advertisement" },
        SchemaVersionError::Finalized { finalized: version(2), supported: SupportedVersions::UNADVERTISED },
        SchemaVersionError::OlderAlive { version: version(1), age_ms: 400.0 },
        SchemaVersionError::TooEarly { remaining_ms: 900.0 },
    ];
    let help: std::collections::BTreeSet<_> = all.iter().map(SchemaVersionError::help).collect();
    assert_eq!(help.len(), all.len(), "each error has a help text of its own");
    assert!(all.iter().all(|error| error.to_string().len() > 20));
    let parts = SecondVersionParts { advertisement: advertisement(), rows: None };
    let downgraded = Downgraded { text: None, parts };
    assert_eq!(downgrade(upgrade(downgraded.clone())), downgraded);
}
