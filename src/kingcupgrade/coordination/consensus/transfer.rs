//! Transfer of the leadership by a leader that stops.

use super::{Consensus, ConsensusOutput, Role, replication::Progress};
use crate::protocol::consensus::ConsensusBody;

impl Consensus {
    /// Asks another voter to take over before this leader stops, as soon as one has the whole log:
    /// with less it would not be elected.
    pub fn transfer_leadership(&mut self, out: &mut Vec<ConsensusOutput>) {
        self.is_transferring = true;
        self.continue_transfer(out);
    }

    /// Returns whether this replica is handing over the leadership. It should append no further
    /// entries.
    pub fn is_transferring(&self) -> bool {
        self.is_transferring
    }

    /// Asks a voter to take over if this leader stops; it is asked again until it leads.
    pub(super) fn continue_transfer(&self, out: &mut Vec<ConsensusOutput>) {
        let Role::Leader { progress, .. } = &self.role else { return };
        if !self.is_transferring {
            return;
        }
        let last = self.log.last().index;
        let has_all = |p: &&Progress| p.matched == last;
        let voters = self.other_voters();
        let complete = voters.iter().filter(|id| progress.get(id).filter(has_all).is_some());
        if let Some(next) = complete.max_by_key(|id| progress.get(id).map(|p| p.acked)) {
            self.send(next, ConsensusBody::TakeOver, out);
        }
    }
}
