//! What the connections of other instances may take of a process.

use crate::{
    core::{fleet::FleetSettings, settings::Role},
    protocol::frame::MAX_FRAME_LEN,
};

/// The connections that an instance accepts from each listed one: a new one may be there before the
/// last one is known to have failed.
const CONNECTIONS_PER_PEER: usize = 4;
/// The fraction of an entry's sockets that connections of other instances may take; callers and
/// upstreams need most.
const ENTRY_FRACTION: f64 = 0.125;
/// The same of a control instance, to which all entries connect.
const CONTROL_FRACTION: f64 = 0.75;
/// The number of such connections in any case.
const MIN_CONNECTIONS: usize = 32;
/// The fraction of the memory limit that messages may take while they are being received.
const MESSAGE_FRACTION: f64 = 0.125;
/// The same memory in bytes if there is no limit.
const DEFAULT_MESSAGE_MEMORY: u64 = 64 << 20;

/// The limits of the connections that an instance accepts from others.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// The number of connections whose peers have greeted.
    pub connections: usize,
    /// The memory for messages that are not complete, in bytes: for the longest one at least.
    pub message_memory: u64,
}

impl PeerLimits {
    /// Returns the limits among this many listed instances.
    pub fn among(instances: usize) -> PeerLimits {
        let connections = CONNECTIONS_PER_PEER * instances;
        PeerLimits { connections, message_memory: DEFAULT_MESSAGE_MEMORY }
    }

    /// Returns the limits of an instance that is not told how many others there are.
    pub fn of(settings: &FleetSettings) -> PeerLimits {
        let fraction = match settings.role {
            Role::Entry => ENTRY_FRACTION,
            Role::Control => CONTROL_FRACTION,
        };
        let by_sockets = (settings.max_sockets as f64 * fraction) as usize;
        let part = settings.memory_limit.map(|limit| (limit as f64 * MESSAGE_FRACTION) as u64);
        PeerLimits {
            connections: by_sockets.max(MIN_CONNECTIONS),
            message_memory: part.unwrap_or(DEFAULT_MESSAGE_MEMORY).max(MAX_FRAME_LEN as u64),
        }
    }
}
