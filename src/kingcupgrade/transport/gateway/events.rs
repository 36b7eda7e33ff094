//! The events of a streamed answer, cut out of its bytes.
//!
//! An upstream may stop in the middle of an event. Only whole events are passed on, so that an
//! answer can go on elsewhere after the last one, and no caller sees half of one twice.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most; more without an end is no event stream.
const MAX_EVENT_LEN: usize = 1 << 20;

/// Cuts bytes into whole events.
#[derive(Debug, Default)]
pub struct EventCutter {
    rest: BytesMut,
}

/// Whole events, and what they say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Their bytes.
    pub bytes: Bytes,
    /// How many they are.
    pub count: u32,
    /// The id of the last one that has one.
    pub last_id: Option<u64>,
}

impl EventCutter {
    /// Takes in bytes and returns the whole events so far, `None` if there is none.
    pub fn push(&mut self, data: &Bytes) -> Option<Events> {
        if self.rest.is_empty() && data.ends_with(b"\n\n") {
            return Some(read_events(data.clone()));
        }
        self.rest.extend_from_slice(data);
        let end = find_last_end(&self.rest)?;
        Some(read_events(self.rest.split_to(end).freeze()))
    }

    /// Returns how many bytes wait for the end of their event.
    pub fn pending(&self) -> usize {
        self.rest.len()
    }

    /// Tells whether what waits can't be an event any more.
    pub fn is_overfull(&self) -> bool {
        self.rest.len() > MAX_EVENT_LEN
    }

    /// Returns what waits for its end, at the end of an answer.
    pub fn finish(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

fn find_last_end(bytes: &[u8]) -> Option<usize> {
    let place = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(place + 2)
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
