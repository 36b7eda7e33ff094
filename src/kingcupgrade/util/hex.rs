//! Hexadecimal encoding of bytes, for JSON.

/// Encodes `bytes` as lower-case hex digits.
pub fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 0xf]);
    digits.map(|digit| char::from(DIGITS[usize::from(digit)])).collect()
}

/// Decodes hex digits. Returns `None` if `text` is not a sequence of pairs of hex digits.
pub fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16).map(|digit| digit as u8);
    let pairs = text.as_bytes().chunks(2);
    pairs.map(|pair| Some(digit(*pair.first()?)? << 4 | digit(*pair.get(1)?)?)).collect()
}
