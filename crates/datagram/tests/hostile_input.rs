//! What is no datagram reads as none.

use sandgw_datagram::{MAX_BYTES, base36, binary};

#[test]
fn text_cut_at_any_byte_or_with_more_behind_it_reads_as_none() {
    let value = (70_000_u32, vec![1_u8, 2, 3]);
    let text = binary::encode('x', &value).unwrap();
    for end in 0..text.len() {
        assert_eq!(binary::decode::<(u32, Vec<u8>)>('x', &text[..end]), None, "cut at {end}");
    }
    assert_eq!(binary::decode::<(u32, Vec<u8>)>('x', &format!("{text}AAAA")), None);
    assert_eq!(binary::decode('x', &text), Some(value));
}

#[test]
fn what_would_be_too_long_is_not_written_and_not_read() {
    assert!(binary::encode('x', &vec![0_u8; MAX_BYTES]).is_none());
    assert!(binary::decode::<Vec<u8>>('x', &format!("x{}", "A".repeat(MAX_BYTES))).is_none());
}

#[test]
fn numbers_have_one_way_to_be_written() {
    for number in [0, 1, 35, 36, 1_790_000_000_000, (1 << 56) - 1] {
        assert_eq!(base36::decode(&base36::encode(number)), Some(number));
    }
    for text in ["", "A", "-1", "+1", " 1", "1 ", &base36::encode(1 << 56), "zzzzzzzzzzzzzzzzzzzz"] {
        assert_eq!(base36::decode(text), None, "{text:?}");
    }
}
