//! Form 1 of what relays tell, byte for byte as the program of before forms had numbers wrote it: a change here is
//! a new form, and old processes would read it as nothing.

use sandgw_affinity::codec::{
    BUCKETS, Client, GroupRow, Held, Kind, LEAVING, MOST_BYTES, Piece, StreamerHash,
};
use sandgw_affinity::endpoint_registry::Tag;

#[test]
fn every_kind_of_piece_is_written_and_read_as_before() {
    let tag = Tag([1, 2, 3, 4]);
    let client = |n: u8| Client([n, 0, 0xff, 3, n]);
    let (sessions, groups) = (Kind::Sessions, Kind::Groups);
    let held = Held { tag, age: 2, clients: vec![client(4)] };
    let group = GroupRow { key: [8; 8], holders: vec![(tag, 16), (Tag([5; 4]), 1000)] };
    let whole = concat!(
        "2AQEAIAcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHB",
        "wcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcH",
    );
    let before = [
        (
            "2AAIBAgMEAgEA/wMBAgD/AwIJCQkJAQMA/wMD",
            Piece::News(vec![(tag, vec![client(1), client(2)]), (Tag([9; 4]), vec![client(3)])]),
        ),
        ("2Ae/9tvUNAQA", Piece::Ask { round: 0xdead_beef, kind: groups, digests: vec![] }),
        (whole, Piece::Ask { round: 1, kind: sessions, digests: vec![[7; 4]; BUCKETS] }),
        ("2AqwCAAMAAawC", Piece::Plan { round: 300, kind: sessions, counts: vec![0, 1, 300] }),
        ("2AwUfAgEBAgMEAgEEAP8DBA", Piece::Sessions { round: 5, bucket: 31, number: 2, rows: vec![held] }),
        (
            "2BAUAAAEICAgICAgICAIBAgMEEAUFBQXoBw",
            Piece::Groups { round: 5, bucket: 0, number: 0, rows: vec![group] },
        ),
        ("2BQUBAwMBAqwC", Piece::Again { round: 5, kind: groups, bucket: 3, numbers: vec![1, 2, 300] }),
        ("2BgEGAP8DBg", Piece::Where(vec![client(6)])),
        ("2BwIBAgMEBf8", Piece::Holds(vec![([1, 2], 3), ([4, 5], 255)])),
        ("2COEhAgECrAIEBQE", Piece::Loads { total: 4321, rows: vec![([1, 2], 300), ([4, 5], 1)] }),
    ];
    for (text, piece) in before {
        assert_eq!(piece.text().as_deref(), Some(text), "{piece:?}");
        assert_eq!(Piece::read(text), Some(piece));
    }
}

/// A relay of a version before a piece was added reads none, and goes on; it has to fit a datagram all the same.
#[test]
fn a_piece_of_a_later_version_reads_as_none_and_one_of_this_is_written_as_it_was() {
    let streamer = |n: u8| StreamerHash([n, 1, 2, 3, 4, 5]);
    let (revision, streamers) = (u64::MAX, vec![streamer(0xff); LEAVING]);
    let most = Piece::Leaving { revision, streamers }.text().expect("it fits");
    assert!(most.len() <= MOST_BYTES, "{}", most.len());
    let added = [
        ("2CRSsAg", Piece::Calls { each: 20, took: 300 }),
        ("2CgEC", Piece::Late([1, 2])),
        ("2C6wCAQkBAgMEBQ", Piece::Leaving { revision: 300, streamers: vec![streamer(9)] }),
        ("2DKwC", Piece::Left(300)),
    ];
    for (text, piece) in added {
        assert_eq!(piece.text().as_deref(), Some(text), "{piece:?}");
        assert_eq!(Piece::read(text), Some(piece));
    }
    // The next number, as a later version may write it.
    assert_eq!(Piece::read("2DawC"), None);
}
