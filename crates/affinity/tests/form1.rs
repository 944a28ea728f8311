//! Form 1 of what relays tell, byte for byte as the program of before forms had numbers wrote it: a change here is
//! a new form, and old processes would read it as nothing.

use sandgw_affinity::codec::{
    BUCKETS, Client, ClusterMessage, EndpointHash, GroupRow, Kind, LEAVING, MOST_BYTES, StickyClients,
};
use sandgw_affinity::endpoint_registry::EndpointTag;

#[test]
fn every_kind_of_piece_is_written_and_read_as_before() {
    let tag = EndpointTag([1, 2, 3, 4]);
    let client = |n: u8| Client([n, 0, 0xff, 3, n]);
    let (sessions, groups) = (Kind::Sessions, Kind::Groups);
    let held = StickyClients { tag, age: 2, clients: vec![client(4)] };
    let group = GroupRow { key: [8; 8], holders: vec![(tag, 16), (EndpointTag([5; 4]), 1000)] };
    let whole = concat!(
        "2AQEAIAcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHB",
        "wcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcH",
    );
    let before = [
        (
            "2AAIBAgMEAgEA/wMBAgD/AwIJCQkJAQMA/wMD",
            ClusterMessage::LocationUpdate(vec![
                (tag, vec![client(1), client(2)]),
                (EndpointTag([9; 4]), vec![client(3)]),
            ]),
        ),
        ("2Ae/9tvUNAQA", ClusterMessage::SyncRequest { round: 0xdead_beef, kind: groups, digests: vec![] }),
        (whole, ClusterMessage::SyncRequest { round: 1, kind: sessions, digests: vec![[7; 4]; BUCKETS] }),
        ("2AqwCAAMAAawC", ClusterMessage::SyncPlan { round: 300, kind: sessions, counts: vec![0, 1, 300] }),
        (
            "2AwUfAgEBAgMEAgEEAP8DBA",
            ClusterMessage::Sessions { round: 5, bucket: 31, number: 2, rows: vec![held] },
        ),
        (
            "2BAUAAAEICAgICAgICAIBAgMEEAUFBQXoBw",
            ClusterMessage::Groups { round: 5, bucket: 0, number: 0, rows: vec![group] },
        ),
        (
            "2BQUBAwMBAqwC",
            ClusterMessage::Resend { round: 5, kind: groups, bucket: 3, numbers: vec![1, 2, 300] },
        ),
        ("2BgEGAP8DBg", ClusterMessage::LocationQuery(vec![client(6)])),
        ("2BwIBAgMEBf8", ClusterMessage::LoadReport(vec![([1, 2], 3), ([4, 5], 255)])),
        (
            "2COEhAgECrAIEBQE",
            ClusterMessage::ClusterLoads { total: 4321, rows: vec![([1, 2], 300), ([4, 5], 1)] },
        ),
    ];
    for (text, piece) in before {
        assert_eq!(piece.text().as_deref(), Some(text), "{piece:?}");
        assert_eq!(ClusterMessage::read(text), Some(piece));
    }
}

/// A relay of a version before a piece was added reads none, and goes on; it has to fit a datagram all the same.
#[test]
fn a_piece_of_a_later_version_reads_as_none_and_one_of_this_is_written_as_it_was() {
    let endpoint = |n: u8| EndpointHash([n, 1, 2, 3, 4, 5]);
    let (revision, endpoints) = (u64::MAX, vec![endpoint(0xff); LEAVING]);
    let most = ClusterMessage::Draining { revision, endpoints }.text().expect("it fits");
    assert!(most.len() <= MOST_BYTES, "{}", most.len());
    let added = [
        ("2CRSsAg", ClusterMessage::PollRate { each: 20, took: 300 }),
        ("2CgEC", ClusterMessage::OverloadNotice([1, 2])),
        ("2C6wCAQkBAgMEBQ", ClusterMessage::Draining { revision: 300, endpoints: vec![endpoint(9)] }),
        ("2DKwC", ClusterMessage::DrainQuery(300)),
    ];
    for (text, piece) in added {
        assert_eq!(piece.text().as_deref(), Some(text), "{piece:?}");
        assert_eq!(ClusterMessage::read(text), Some(piece));
    }
    // The next number, as a later version may write it.
    assert_eq!(ClusterMessage::read("2DawC"), None);
}
