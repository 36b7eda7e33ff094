//! Splitting of a server-sent event stream at event boundaries.
//!
//! An upstream may fail in the middle of an event. Only complete events are forwarded, so that the
//! stream can be resumed at another upstream after the last one without the caller receiving part
//! of an event twice.

use bytes::{Bytes, BytesMut};

/// The maximum length of an event in bytes; more data without an event boundary is not an event
/// stream.
pub const MAX_EVENT_LEN: usize = 128 << 10;

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The beginning of an incomplete event.
    buffer: BytesMut,
}

/// One or more complete events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// The events as received.
    pub bytes: Bytes,
    /// The number of `data` lines.
    pub count: u32,
    /// The last numeric event id, if any.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete, or `None` if there are none.
    pub fn push(&mut self, data: &Bytes) -> Option<Events> {
        if self.buffer.is_empty() && data.ends_with(b"\n\n") {
            return Some(read_events(data.clone()));
        }
        // No event ends in what was buffered before, but its last byte may be half of a boundary.
        let searched = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(data);
        let end = searched + find_last_end(&self.buffer[searched..])?;
        Some(read_events(self.buffer.split_to(end).freeze()))
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the buffered bytes exceed the maximum length of an event.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_LEN
    }
}

/// Returns the offset just after the last event boundary.
fn find_last_end(bytes: &[u8]) -> Option<usize> {
    let boundary = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(boundary + 2)
}

fn read_events(bytes: Bytes) -> Events {
    let mut count = 0;
    let mut last_id = None;
    for line in bytes.split(|byte| *byte == b'\n') {
        if let Some(id) = line.strip_prefix(b"id:") {
            let id = std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok());
            last_id = id.or(last_id);
        }
        if line.starts_with(b"data:") {
            count += 1;
        }
    }
    Events { bytes, count, last_id }
}
