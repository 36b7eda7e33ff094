//! Automatic membership repair.
//!
//! Instances lose their disks, or are replaced by empty ones on other hosts, while no operator is
//! available. If the record waited for an operator, it would run with one replica fewer, and the
//! next failure would stop it or lose acknowledged changes.

use super::{Consensus, ConsensusOutput, Role, members::CAUGHT_UP_LAG, replication::Progress};
use crate::{
    core::Millis,
    protocol::consensus::{Member, Payload, ReplicaId},
};

/// A replica outside the record is added if its last hello is no older than this: three hello
/// intervals, so that two hellos may be lost.
const ADD_TTL: Millis = Millis(3_000);
/// A voter that has not answered for this long is removed in favour of a learner that has caught
/// up; one that returns later is added again as a learner. Together with an election before it, it
/// must be over before another voter may be lost.
const VOTER_TIMEOUT: Millis = Millis(1_200);
/// A learner that has not answered for this long is removed.
const LEARNER_TIMEOUT: Millis = Millis(30_000);

impl Consensus {
    /// Proposes the next membership change that brings the record closer to `target` reachable
    /// voters. Only one change is in progress at a time.
    pub fn repair_members(
        &mut self,
        now: Millis,
        unix_ms: u64,
        target: usize,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if self.check_change().is_err() {
            return;
        }
        let step = self
            .replace_wiped_voter(now)
            .or_else(|| self.add_announced(now))
            .or_else(|| self.remove_silent_voter(now, target))
            .or_else(|| self.remove_silent_learner(now));
        if let Some(members) = step {
            // `check_change` succeeds only on the leader, so the proposal can't be refused.
            let _ = self.propose(now, unix_ms, Payload::Members(members), out);
        }
    }

    /// Replaces a voter whose disk was lost by the replica that its instance restarted as.
    ///
    /// The lost replica can't vote any more. Every majority of the old members that can still form
    /// therefore shares a voter with every majority of the new ones, so a single change is safe.
    fn replace_wiped_voter(&self, now: Millis) -> Option<Vec<Member>> {
        let members = self.members();
        let returned = members.iter().find(|learner| {
            let lost = |m: &Member| m.voter && m.id.0 == learner.id.0 && m.id != learner.id;
            !learner.voter && self.is_caught_up(now, &learner.id) && members.iter().any(lost)
        })?;
        let kept = members.iter().filter(|m| m.id.0 != returned.id.0).cloned();
        let mut next: Vec<Member> = kept.collect();
        next.push(Member { id: returned.id.clone(), voter: true });
        Some(next)
    }

    /// Adds a replica that announced itself as a learner, in place of an earlier learner of its
    /// instance.
    fn add_announced(&self, now: Millis) -> Option<Vec<Member>> {
        let members = self.members();
        let is_member = |id: &ReplicaId| members.iter().any(|member| member.id == *id);
        let mut announced = self.addable();
        let (id, _) = announced.find(|(id, seen)| now.since(*seen) <= ADD_TTL && !is_member(id))?;
        let kept = members.iter().filter(|member| member.voter || member.id.0 != id.0);
        let mut next: Vec<Member> = kept.cloned().collect();
        next.push(Member { id: id.clone(), voter: false });
        Some(next)
    }

    /// Removes a voter that does not answer if a learner is ready to take its place.
    fn remove_silent_voter(&self, now: Millis, target: usize) -> Option<Vec<Member>> {
        let members = self.members();
        let is_ready = |m: &Member| !m.voter && self.is_caught_up(now, &m.id);
        if members.iter().filter(|m| m.voter).count() < target || !members.iter().any(is_ready) {
            return None;
        }
        let silent = members.iter().find(|m| m.voter && self.silence(now, m) > VOTER_TIMEOUT)?;
        let next: Vec<Member> = members.iter().filter(|m| *m != silent).cloned().collect();
        self.check_majority(now, &next).is_ok().then_some(next)
    }

    fn remove_silent_learner(&self, now: Millis) -> Option<Vec<Member>> {
        let members = self.members();
        let silent = members.iter().find(|m| !m.voter && self.silence(now, m) > LEARNER_TIMEOUT)?;
        Some(members.iter().filter(|m| *m != silent).cloned().collect())
    }

    fn silence(&self, now: Millis, member: &Member) -> Millis {
        let Role::Leader { progress, .. } = &self.role else { return Millis::ZERO };
        progress.get(&member.id).map_or(Millis::ZERO, |p| now.since(p.acked))
    }

    /// Returns whether a member has nearly all of the log and has answered recently.
    pub(super) fn is_caught_up(&self, now: Millis, id: &ReplicaId) -> bool {
        let last = self.log.last().index;
        let Role::Leader { progress, .. } = &self.role else { return false };
        let is_caught_up = |p: &Progress| {
            p.matched > 0
                && p.matched + CAUGHT_UP_LAG >= last
                && now.since(p.acked) < super::ELECTION_MIN
        };
        progress.get(id).is_some_and(is_caught_up)
    }
}
