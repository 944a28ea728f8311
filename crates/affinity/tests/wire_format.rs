//! Tests that cluster messages keep the encoding of the first version, byte for byte. A change of the
//! encoding would need a new version, which processes of the first version would ignore.

use sandgw_affinity::codec::{
    BUCKETS, Client, ClusterMessage, DRAINING_PER_MESSAGE, EndpointHash, GroupRow, HolderRow, LocatedClients,
    MAX_MESSAGE_BYTES, StickyClients, TableKind,
};
use sandgw_affinity::endpoint_registry::EndpointTag;

#[test]
fn every_message_kind_keeps_its_encoding() {
    let tag = EndpointTag([1, 2, 3, 4]);
    let client = |n: u8| Client([n, 0, 0xff, 3, n]);
    let (sessions, groups) = (TableKind::Sessions, TableKind::Groups);
    let holder = |tag, load_units| HolderRow { tag, load_units };
    let clients_of_endpoint = StickyClients { tag, age: 2, clients: vec![client(4)] };
    let group = GroupRow { key: [8; 8], holders: vec![holder(tag, 16), holder(EndpointTag([5; 4]), 1000)] };
    let full_request = concat!(
        "2AQEAIAcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHB",
        "wcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcH",
    );
    let encodings = [
        (
            "2AAIBAgMEAgEA/wMBAgD/AwIJCQkJAQMA/wMD",
            ClusterMessage::LocationUpdate(vec![
                LocatedClients { tag, clients: vec![client(1), client(2)] },
                LocatedClients { tag: EndpointTag([9; 4]), clients: vec![client(3)] },
            ]),
        ),
        ("2Ae/9tvUNAQA", ClusterMessage::SyncRequest { round: 0xdead_beef, table: groups, digests: vec![] }),
        (
            full_request,
            ClusterMessage::SyncRequest { round: 1, table: sessions, digests: vec![[7; 4]; BUCKETS] },
        ),
        (
            "2AqwCAAMAAawC",
            ClusterMessage::SyncPlan { round: 300, table: sessions, chunk_counts: vec![0, 1, 300] },
        ),
        (
            "2AwUfAgEBAgMEAgEEAP8DBA",
            ClusterMessage::Sessions { round: 5, bucket: 31, chunk: 2, rows: vec![clients_of_endpoint] },
        ),
        (
            "2BAUAAAEICAgICAgICAIBAgMEEAUFBQXoBw",
            ClusterMessage::Groups { round: 5, bucket: 0, chunk: 0, rows: vec![group] },
        ),
        (
            "2BQUBAwMBAqwC",
            ClusterMessage::Resend { round: 5, table: groups, bucket: 3, chunks: vec![1, 2, 300] },
        ),
        ("2BgEGAP8DBg", ClusterMessage::LocationQuery(vec![client(6)])),
        ("2BwIBAgMEBf8", ClusterMessage::LoadReport(vec![([1, 2], 3), ([4, 5], 255)])),
        (
            "2COEhAgECrAIEBQE",
            ClusterMessage::ClusterLoads { total: 4321, rows: vec![([1, 2], 300), ([4, 5], 1)] },
        ),
    ];
    for (text, message) in encodings {
        assert_eq!(message.encode().as_deref(), Some(text), "{message:?}");
        assert_eq!(ClusterMessage::decode(text), Some(message));
    }
}

/// A relay ignores message kinds that were added in a later version and continues. The added kinds must fit a
/// datagram too.
#[test]
fn added_kinds_keep_their_encoding_and_unknown_kinds_are_ignored() {
    let endpoint = |n: u8| EndpointHash([n, 1, 2, 3, 4, 5]);
    let (revision, endpoints) = (u64::MAX, vec![endpoint(0xff); DRAINING_PER_MESSAGE]);
    let largest =
        ClusterMessage::Draining { revision, endpoints }.encode().expect("the message fits a datagram");
    assert!(largest.len() <= MAX_MESSAGE_BYTES, "{}", largest.len());
    let added_kinds = [
        ("2CRSsAg", ClusterMessage::PollRate { interval_ms: 20, call_duration_ms: 300 }),
        ("2CgEC", ClusterMessage::OverloadNotice([1, 2])),
        ("2C6wCAQkBAgMEBQ", ClusterMessage::Draining { revision: 300, endpoints: vec![endpoint(9)] }),
        ("2DKwC", ClusterMessage::DrainQuery(300)),
    ];
    for (text, message) in added_kinds {
        assert_eq!(message.encode().as_deref(), Some(text), "{message:?}");
        assert_eq!(ClusterMessage::decode(text), Some(message));
    }
    // The next variant number, which a later version may use.
    assert_eq!(ClusterMessage::decode("2DawC"), None);
}
