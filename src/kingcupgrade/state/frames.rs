//! Checksummed frames in a file.
//!
//! Each synced write is one frame, so a crash can tear only the last one. Header and payload have
//! separate checksums. With a single checksum, a corrupt length in the middle of the file would
//! look like a torn write at its end, and all acknowledged frames after it would be dropped
//! silently.

use crc32fast::hash;

/// The first bytes of a frame.
const MAGIC: [u8; 4] = *b"KCF1";
/// The header length: magic, payload length, payload checksum and header checksum.
const HEADER_LEN: usize = 16;
/// The maximum payload length; a header with a larger one is corrupt.
const MAX_PAYLOAD_LEN: usize = 1 << 30;

/// What follows the last intact frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// Nothing.
    Clean,
    /// A torn write that begins at this offset.
    Torn(usize),
    /// A corrupt frame at this offset that is not a torn write: it is complete and not the last
    /// one, or an intact header follows it.
    Corrupt(usize),
}

/// Appends a frame to `buf`.
pub fn encode(payload: &[u8], buf: &mut Vec<u8>) {
    let len = u32::try_from(payload.len()).expect("a frame is smaller than 4 GiB");
    let start = buf.len();
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&hash(payload).to_le_bytes());
    let checksum = hash(&buf[start..]);
    buf.extend_from_slice(&checksum.to_le_bytes());
    buf.extend_from_slice(payload);
}

/// Returns the payloads of the intact frames at the beginning of `bytes`, and what follows them.
pub fn decode(bytes: &[u8]) -> (Vec<&[u8]>, Tail) {
    let mut payloads = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let Some(header) = read_header(&bytes[at..]) else {
            return (payloads, classify_unreadable(bytes, at));
        };
        let start = at + HEADER_LEN;
        let Some(payload) = bytes.get(start..start + header.len) else {
            return (payloads, Tail::Torn(at));
        };
        if hash(payload) != header.checksum {
            let is_last = start + header.len == bytes.len();
            return (payloads, if is_last { Tail::Torn(at) } else { Tail::Corrupt(at) });
        }
        payloads.push(payload);
        at = start + header.len;
    }
    (payloads, Tail::Clean)
}

struct Header {
    len: usize,
    checksum: u32,
}

fn read_header(bytes: &[u8]) -> Option<Header> {
    let header = bytes.get(..HEADER_LEN)?;
    let word = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let is_intact = header[..4] == MAGIC && hash(&header[..12]) == word(12);
    let len = word(4) as usize;
    (is_intact && len <= MAX_PAYLOAD_LEN).then_some(Header { len, checksum: word(8) })
}

/// Classifies an offset without a valid header: a torn write unless a valid header follows.
fn classify_unreadable(bytes: &[u8], at: usize) -> Tail {
    let is_followed = (at + 1..bytes.len()).any(|offset| read_header(&bytes[offset..]).is_some());
    if is_followed { Tail::Corrupt(at) } else { Tail::Torn(at) }
}
