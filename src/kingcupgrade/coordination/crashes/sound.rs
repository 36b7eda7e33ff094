//! The causes that upstreams have written answers on lately.

use std::collections::HashMap;

use super::SOUND_TTL;
use crate::{core::Millis, protocol::crash::CrashCause};

/// The limit of causes that are remembered since they were last moved to the older ones.
const MAX_SOUND_CAUSES: usize = 8_192;

/// The causes with answers. Those of the last [`SOUND_TTL`] at least are kept, unless there are very
/// many.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundCauses {
    recent: HashMap<CrashCause, Millis>,
    older: HashMap<CrashCause, Millis>,
    /// When the recent ones were last moved to the older ones.
    moved: Millis,
}

impl SoundCauses {
    /// Records an answer on a cause.
    pub(super) fn insert(&mut self, answered: Millis, cause: CrashCause) {
        if answered.since(self.moved) > SOUND_TTL || self.recent.len() >= MAX_SOUND_CAUSES {
            self.older = std::mem::take(&mut self.recent);
            self.moved = answered;
        }
        let last = self.recent.entry(cause).or_insert(answered);
        *last = answered.max(*last);
    }

    /// Returns when an upstream last wrote an answer on a cause.
    pub(super) fn last(&self, cause: CrashCause) -> Option<Millis> {
        self.recent.get(&cause).max(self.older.get(&cause)).copied()
    }
}
