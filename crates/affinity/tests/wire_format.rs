//! What relays send each other, byte for byte as the first version wrote it: a change here is a new
//! version, which processes of the first one would ignore.

use sandgw_affinity::codec::{
    BUCKETS, Client, ClusterMessage, DRAINING_PER_MESSAGE, EndpointHash, GroupRow, HolderRow, LocatedClients,
    MAX_MESSAGE_BYTES, StickyClients, TableKind,
};
use sandgw_affinity::endpoint_registry::EndpointTag;

#[test]
fn every_kind_of_piece_is_written_and_read_as_before() {
    let tag = EndpointTag([1, 2, 3, 4]);
    let client = |n: u8| Client([n, 0, 0xff, 3, n]);
    let (sessions, groups) = (TableKind::Sessions, TableKind::Groups);
    let holder = |tag, load_units| HolderRow { tag, load_units };
    let clients_of_endpoint = StickyClients { tag, age: 2, clients: vec![client(4)] };
    let group = GroupRow { key: [8; 8], holders: vec![holder(tag, 16), holder(EndpointTag([5; 4]), 1000)] };
    let whole = concat!(
        "2AQEAIAcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHB",
        "wcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcH",
    );
    let before = [
        (
            "2AAIBAgMEAgEA/wMBAgD/AwIJCQkJAQMA/wMD",
            ClusterMessage::LocationUpdate(vec![
                LocatedClients { tag, clients: vec![client(1), client(2)] },
                LocatedClients { tag: EndpointTag([9; 4]), clients: vec![client(3)] },
            ]),
        ),
        ("2Ae/9tvUNAQA", ClusterMessage::SyncRequest { round: 0xdead_beef, table: groups, digests: vec![] }),
        (whole, ClusterMessage::SyncRequest { round: 1, table: sessions, digests: vec![[7; 4]; BUCKETS] }),
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
    for (text, message) in before {
        assert_eq!(message.encode().as_deref(), Some(text), "{message:?}");
        assert_eq!(ClusterMessage::decode(text), Some(message));
    }
}

/// A relay of a version before a message was added reads none, and goes on; it has to fit a datagram all
/// the same.
#[test]
fn a_piece_of_a_later_version_reads_as_none_and_one_of_this_is_written_as_it_was() {
    let endpoint = |n: u8| EndpointHash([n, 1, 2, 3, 4, 5]);
    let (revision, endpoints) = (u64::MAX, vec![endpoint(0xff); DRAINING_PER_MESSAGE]);
    let most = ClusterMessage::Draining { revision, endpoints }.encode().expect("it fits");
    assert!(most.len() <= MAX_MESSAGE_BYTES, "{}", most.len());
    let added = [
        ("2CRSsAg", ClusterMessage::PollRate { interval_ms: 20, call_duration_ms: 300 }),
        ("2CgEC", ClusterMessage::OverloadNotice([1, 2])),
        ("2C6wCAQkBAgMEBQ", ClusterMessage::Draining { revision: 300, endpoints: vec![endpoint(9)] }),
        ("2DKwC", ClusterMessage::DrainQuery(300)),
    ];
    for (text, message) in added {
        assert_eq!(message.encode().as_deref(), Some(text), "{message:?}");
        assert_eq!(ClusterMessage::decode(text), Some(message));
    }
    // The next number, as a later version may write it.
    assert_eq!(ClusterMessage::decode("2DawC"), None);
}
