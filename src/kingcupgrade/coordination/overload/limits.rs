//! From which scheduling delay on an entry sheds load.

use crate::core::Millis;

/// What the detour through another entry costs a refused caller: its retry delay, a new connection
/// and the round trips for them.
pub(super) const DETOUR_COST: Millis = Millis(50);

/// Whether the other entries of the own failure domain have room for refused callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerRoom {
    /// There are no reports, or they are outdated.
    #[default]
    Unknown,
    /// At least half of the entries have room, so that a refused caller probably reaches one that
    /// has.
    Available,
    /// Most of the entries have none.
    Short,
}

impl PeerRoom {
    /// Derives it from the number of other entries in the failure domain and of those with room.
    /// Entries that report nothing count as entries without room.
    pub fn of(entries: usize, with_room: usize) -> PeerRoom {
        match entries {
            0 => PeerRoom::Unknown,
            _ if with_room * 2 >= entries => PeerRoom::Available,
            _ => PeerRoom::Short,
        }
    }

    /// Returns the name used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            PeerRoom::Unknown => "unknown",
            PeerRoom::Available => "available",
            PeerRoom::Short => "short",
        }
    }
}

/// The scheduling delays from which load is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DelayLimits {
    /// Above this delay the refused fraction grows.
    pub(super) shedding: Millis,
    /// If two tasks in a row wait longer than this, all requests are refused.
    pub(super) saturation: Millis,
}

impl DelayLimits {
    /// The limits while it isn't known that others have room.
    ///
    /// The first is a pause that callers of streams don't notice yet: below it a short surge is
    /// served a little late, which serves more callers than refusing a fraction. A request waits
    /// for two tasks to be scheduled before it is sent on, and its caller leaves after half a
    /// second or little more.
    const DEFAULT: DelayLimits = DelayLimits { shedding: Millis(100), saturation: Millis(200) };

    /// The limits while others have room. From a delay as long as the detour on, a caller is served
    /// sooner by another entry. A request that waits for two tasks is then as late as with four
    /// detours, so the ratio of the two limits is the same.
    const WITH_DETOUR: DelayLimits =
        DelayLimits { shedding: DETOUR_COST, saturation: Millis(2 * DETOUR_COST.0) };

    /// Returns the limits for the room that others have.
    pub(super) fn of(room: PeerRoom) -> DelayLimits {
        match room {
            PeerRoom::Available => DelayLimits::WITH_DETOUR,
            PeerRoom::Unknown | PeerRoom::Short => DelayLimits::DEFAULT,
        }
    }
}
