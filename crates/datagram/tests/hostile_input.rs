//! Text that is not a valid datagram decodes to `None`.

use sandgw_datagram::{MAX_BYTES, base36, binary};

#[test]
fn truncated_or_extended_text_is_rejected() {
    let value = (70_000_u32, vec![1_u8, 2, 3]);
    let text = binary::encode('x', &value).unwrap();
    for end in 0..text.len() {
        assert_eq!(binary::decode::<(u32, Vec<u8>)>('x', &text[..end]), None, "cut at {end}");
    }
    assert_eq!(binary::decode::<(u32, Vec<u8>)>('x', &format!("{text}AAAA")), None);
    assert_eq!(binary::decode('x', &text), Some(value));
}

#[test]
fn oversized_datagrams_are_neither_encoded_nor_decoded() {
    assert!(binary::encode('x', &vec![0_u8; MAX_BYTES]).is_none());
    assert!(binary::decode::<Vec<u8>>('x', &format!("x{}", "A".repeat(MAX_BYTES))).is_none());
}

#[test]
fn each_number_has_exactly_one_base36_encoding() {
    for number in [0, 1, 35, 36, 1_790_000_000_000, (1 << 56) - 1] {
        assert_eq!(base36::decode(&base36::encode(number)), Some(number));
    }
    for text in ["", "A", "-1", "+1", " 1", "1 ", &base36::encode(1 << 56), "zzzzzzzzzzzzzzzzzzzz"] {
        assert_eq!(base36::decode(text), None, "{text:?}");
    }
}
