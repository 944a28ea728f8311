//! Numbers in the digits 0 to 9 and a to z. Only lower-case letters are used, so each number has exactly one
//! encoding.

/// The base of the digits.
pub const BASE: u32 = 36;
/// Numbers from this value on are rejected, so that sums of a few decoded numbers never overflow, whatever
/// was received.
const DECODE_LIMIT: u64 = 1 << 56;

/// Encodes a number.
///
/// ```
/// use sandgw_datagram::base36::{decode, encode};
///
/// assert_eq!(encode(71), "1z");
/// assert_eq!(decode("1z"), Some(71));
/// assert_eq!(decode("1Z"), None);
/// ```
pub fn encode(mut number: u64) -> String {
    let mut digits = Vec::new();
    loop {
        digits.push(digit((number % u64::from(BASE)) as u32));
        number /= u64::from(BASE);
        if number == 0 {
            return digits.into_iter().rev().collect();
        }
    }
}

/// Decodes what [`encode`] wrote; `None` if the text is empty or contains another character, or the number is
/// 2^56 or more.
pub fn decode(text: &str) -> Option<u64> {
    let is_plain = !text.is_empty() && text.chars().all(|c| digit_value(c).is_some());
    let number = is_plain.then(|| u64::from_str_radix(text, BASE).ok()).flatten()?;
    (number < DECODE_LIMIT).then_some(number)
}

/// Returns the digit for a number below [`BASE`]; `0` for a greater number.
pub fn digit(number: u32) -> char {
    char::from_digit(number, BASE).unwrap_or('0')
}

/// Returns the value of a digit; `None` if the character is not a digit, or is a capital letter.
pub fn digit_value(digit: char) -> Option<u32> {
    digit.to_digit(BASE).filter(|_| !digit.is_ascii_uppercase())
}
