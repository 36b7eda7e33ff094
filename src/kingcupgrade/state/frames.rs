//! Checksummed frames in a file.
//!
//! One synced write is one frame, so a crash can tear only the last one. Header and payload have a
//! checksum each: with one for both, a damaged length in the middle of the file would look like a
//! torn end, and everything after it, acknowledged long ago, would be dropped without a word.

use crc32fast::hash;

/// Marks the beginning of a frame.
const MAGIC: [u8; 4] = *b"KCF1";
/// Magic, payload length, payload checksum, header checksum.
const HEADER_LEN: usize = 16;
/// The largest payload, a bound for damaged lengths.
const MAX_PAYLOAD_LEN: usize = 1 << 30;

/// What follows the last whole frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// Nothing.
    Clean,
    /// A write that a crash cut short, beginning at this offset.
    Torn(usize),
    /// A damaged frame at this offset that whole ones follow, or that is complete.
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

/// Returns the payloads of the whole frames at the beginning of `bytes`, and what follows them.
pub fn decode(bytes: &[u8]) -> (Vec<&[u8]>, Tail) {
    let mut payloads = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let Some(header) = read_header(&bytes[at..]) else {
            return (payloads, judge_headless(bytes, at));
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
    let is_whole = header[..4] == MAGIC && hash(&header[..12]) == word(12);
    let len = word(4) as usize;
    (is_whole && len <= MAX_PAYLOAD_LEN).then_some(Header { len, checksum: word(8) })
}

/// Judges a place where no header can be read: torn if nothing whole follows it.
fn judge_headless(bytes: &[u8], at: usize) -> Tail {
    let later = (at + 1..bytes.len()).any(|place| read_header(&bytes[place..]).is_some());
    if later { Tail::Corrupt(at) } else { Tail::Torn(at) }
}
