//! Repair of the members without an operator.
//!
//! Machines lose their disks or are replaced by empty ones elsewhere while nobody watches. A
//! record that waited for an operator would go on with one replica less, and the next loss would
//! stop it or lose what it acknowledged.

use super::{Consensus, ConsensusOutput, Role, members::CAUGHT_UP, replication::Progress};
use crate::{
    core::Millis,
    protocol::consensus::{Member, Payload, ReplicaId},
};

/// A blank replica that said so within this time is added: three signs, of which two may be lost.
const BLANK_TTL: Millis = Millis(3_000);
/// A voter silent for this long makes room for a learner that has caught up. It is longer than a
/// restart or an election takes; a voter that returns later comes back as a learner.
const SILENT_VOTER: Millis = Millis(4_500);
/// A learner silent for this long is dropped.
const SILENT_LEARNER: Millis = Millis(30_000);

impl Consensus {
    /// Proposes the next change of members that brings the record closer to `target` voters that
    /// live; one at a time.
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
            .swap_emptied(now)
            .or_else(|| self.add_blank(now))
            .or_else(|| self.drop_silent_voter(now, target))
            .or_else(|| self.drop_silent_learner(now));
        if let Some(members) = step {
            // Whoever leads is the leader here; the proposal can't be refused.
            let _ = self.propose(now, unix_ms, Payload::Members(members), out);
        }
    }

    /// Gives the vote of a replica whose disk is gone to the one that came back in its place.
    ///
    /// The old replica can't vote any more, so every majority of before that can still form
    /// shares a voter with every majority after it, and one step does.
    fn swap_emptied(&self, now: Millis) -> Option<Vec<Member>> {
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

    /// Adds a blank replica as a learner, in place of an earlier learner of its instance.
    fn add_blank(&self, now: Millis) -> Option<Vec<Member>> {
        let members = self.members();
        let is_member = |id: &ReplicaId| members.iter().any(|member| member.id == *id);
        let mut blanks = self.addable();
        let (id, _) = blanks.find(|(id, seen)| now.since(*seen) <= BLANK_TTL && !is_member(id))?;
        let kept = members.iter().filter(|member| member.voter || member.id.0 != id.0);
        let mut next: Vec<Member> = kept.cloned().collect();
        next.push(Member { id: id.clone(), voter: false });
        Some(next)
    }

    /// Removes a silent voter where a learner waits to take its place.
    fn drop_silent_voter(&self, now: Millis, target: usize) -> Option<Vec<Member>> {
        let members = self.members();
        let waits = |m: &Member| !m.voter && self.is_caught_up(now, &m.id);
        if members.iter().filter(|m| m.voter).count() < target || !members.iter().any(waits) {
            return None;
        }
        let silent = members.iter().find(|m| m.voter && self.silence(now, m) > SILENT_VOTER)?;
        let next: Vec<Member> = members.iter().filter(|m| *m != silent).cloned().collect();
        self.check_majority(now, &next).is_ok().then_some(next)
    }

    fn drop_silent_learner(&self, now: Millis) -> Option<Vec<Member>> {
        let members = self.members();
        let silent = members.iter().find(|m| !m.voter && self.silence(now, m) > SILENT_LEARNER)?;
        Some(members.iter().filter(|m| *m != silent).cloned().collect())
    }

    fn silence(&self, now: Millis, member: &Member) -> Millis {
        let Role::Leader { progress, .. } = &self.role else { return Millis::ZERO };
        progress.get(&member.id).map_or(Millis::ZERO, |p| now.since(p.acked))
    }

    /// Tells whether a member has nearly all of the log and answers.
    pub(super) fn is_caught_up(&self, now: Millis, id: &ReplicaId) -> bool {
        let last = self.log.last().index;
        let Role::Leader { progress, .. } = &self.role else { return false };
        let is_near = |p: &Progress| {
            p.matched > 0
                && p.matched + CAUGHT_UP >= last
                && now.since(p.acked) < super::ELECTION_MIN
        };
        progress.get(id).is_some_and(is_near)
    }
}
