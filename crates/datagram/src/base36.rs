//! Numbers in the digits 0 to 9 and a to z. Small letters only: a number has one way to be written.

/// The base of the digits.
pub const BASE: u32 = 36;
/// Numbers from here on are not read: sums of a few that are never overflow, whatever came.
const LIMIT: u64 = 1 << 56;

/// Writes a number.
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

/// Reads what [`encode`] wrote; `None` of what is empty, has another character in it, or is 2^56 and more.
pub fn decode(text: &str) -> Option<u64> {
    let is_plain = !text.is_empty() && text.chars().all(|c| digit_value(c).is_some());
    let number = is_plain.then(|| u64::from_str_radix(text, BASE).ok()).flatten()?;
    (number < LIMIT).then_some(number)
}

/// One digit of a number below [`BASE`]; `0` for a greater one.
pub fn digit(number: u32) -> char {
    char::from_digit(number, BASE).unwrap_or('0')
}

/// The number of one digit; `None` of what is no digit, or a capital letter.
pub fn digit_value(digit: char) -> Option<u32> {
    digit.to_digit(BASE).filter(|_| !digit.is_ascii_uppercase())
}
