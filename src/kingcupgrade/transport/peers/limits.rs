//! What the connections of other instances may take of a process.

use crate::{core::fleet::FleetSettings, protocol::frame::MAX_FRAME_LEN};

/// The fraction of the memory limit that messages may take while they are being received.
const MESSAGE_FRACTION: f64 = 0.125;
/// The same memory in bytes if there is no limit.
const DEFAULT_MESSAGE_MEMORY: u64 = 64 << 20;

/// The limits of the connections that an instance accepts from others.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// The memory for messages that are not complete, in bytes: for the longest one at least.
    pub message_memory: u64,
}

impl PeerLimits {
    /// Returns the limits among listed instances.
    pub fn among_listed() -> PeerLimits {
        PeerLimits { message_memory: DEFAULT_MESSAGE_MEMORY }
    }

    /// Returns the limits of an instance that is not told how many others there are.
    pub fn of(settings: &FleetSettings) -> PeerLimits {
        let part = settings.memory_limit.map(|limit| (limit as f64 * MESSAGE_FRACTION) as u64);
        let message_memory = part.unwrap_or(DEFAULT_MESSAGE_MEMORY).max(MAX_FRAME_LEN as u64);
        PeerLimits { message_memory }
    }
}
