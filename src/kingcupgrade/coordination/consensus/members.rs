//! Members: who votes, who catches up, and who may be added or removed.

use super::{Consensus, ConsensusOutput, ELECTION_MIN, Role, replication::Progress};
use crate::{
    core::{Code, Instance, Millis, code::CodedError},
    protocol::consensus::{ConsensusBody, Member, Payload, ReplicaId},
};

/// A learner that lacks at most this many entries may vote.
pub(super) const CAUGHT_UP: u64 = 16;
/// How often a replica outside the record makes itself known.
const HELLO_INTERVAL: Millis = Millis(1_000);
/// A replica outside the record counts as present for this long after its last sign.
const HELLO_TTL: Millis = Millis(10_000);

impl Consensus {
    /// Returns the voters as of the end of the log.
    pub(super) fn voters(&self) -> Vec<ReplicaId> {
        self.members().iter().filter(|m| m.voter).map(|m| m.id.clone()).collect()
    }

    pub(super) fn other_voters(&self) -> Vec<ReplicaId> {
        self.voters().into_iter().filter(|id| *id != self.id).collect()
    }

    pub(super) fn is_voter(&self) -> bool {
        self.members().iter().any(|member| member.voter && member.id == self.id)
    }

    /// Keeps a leader's progress in step with the members; a new one counts as heard now.
    pub(super) fn track_members(&mut self, now: Millis) {
        let next = self.log.last().index;
        let own = self.id.clone();
        let ids: Vec<ReplicaId> =
            self.members().iter().map(|m| m.id.clone()).filter(|id| *id != own).collect();
        let Role::Leader { progress, .. } = &mut self.role else { return };
        progress.retain(|id, _| ids.contains(id));
        for id in ids {
            let fresh = Progress {
                next: next.max(1),
                matched: 0,
                acked: now,
                has_answered: false,
                snapshot: None,
            };
            progress.entry(id).or_insert(fresh);
        }
    }

    /// Proposes to add a replica that has made itself known, first without a vote.
    ///
    /// Asked again after a lost answer, it is accepted again and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Code::NotLeader`], or [`Code::MemberRefused`] with the reason.
    pub fn add_member(
        &mut self,
        now: Millis,
        unix_ms: u64,
        instance: &Instance,
        out: &mut Vec<ConsensusOutput>,
    ) -> Result<u64, CodedError> {
        self.check_change()?;
        if self.is_added(now, instance) {
            // The answer to the first request was lost; the members stay as they are.
            let members = self.members().to_vec();
            return self.propose(now, unix_ms, Payload::Members(members), out);
        }
        let present =
            |(id, seen): &(&ReplicaId, Millis)| id.0 == *instance && now.since(*seen) <= HELLO_TTL;
        let found = self.addable().filter(present).max_by_key(|(_, seen)| *seen);
        let Some((id, _)) = found else {
            return Err(refused(format!(
                "{instance} has not made itself known: start it with an empty data folder first"
            )));
        };
        let mut members = self.members().to_vec();
        members.push(Member { id: id.clone(), voter: false });
        self.propose(now, unix_ms, Payload::Members(members), out)
    }

    /// Tells whether the newest replica that an instance made known is a member already.
    fn is_added(&self, now: Millis, instance: &Instance) -> bool {
        let of_instance = self.blanks.iter().filter(|(id, _)| id.0 == *instance);
        let newest = of_instance.max_by_key(|(_, seen)| **seen);
        newest.is_some_and(|(id, seen)| {
            now.since(*seen) <= HELLO_TTL && self.members().iter().any(|m| m.id == *id)
        })
    }

    /// Proposes to remove a replica.
    ///
    /// Asked again after a lost answer, it is accepted again and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Code::NotLeader`], or [`Code::MemberRefused`] with the reason.
    pub fn remove_member(
        &mut self,
        now: Millis,
        unix_ms: u64,
        instance: &Instance,
        replica: Option<u64>,
        out: &mut Vec<ConsensusOutput>,
    ) -> Result<u64, CodedError> {
        self.check_change()?;
        let is_meant = |id: &ReplicaId| id.0 == *instance && replica.is_none_or(|r| r == id.1);
        let meant: Vec<&Member> = self.members().iter().filter(|m| is_meant(&m.id)).collect();
        let id = match meant.as_slice() {
            [] if self.was_member(is_meant) => {
                let members = self.members().to_vec();
                return self.propose(now, unix_ms, Payload::Members(members), out);
            }
            [] => return Err(refused(format!("{instance} is no member"))),
            [member] => member.id.clone(),
            _ => {
                return Err(refused(format!(
                    "{instance} is a member twice; name it as {instance}#NUMBER"
                )));
            }
        };
        if id == self.id {
            return Err(refused("the leader can't remove itself; stop it first".to_owned()));
        }
        let members: Vec<Member> =
            self.members().iter().filter(|member| member.id != id).cloned().collect();
        self.check_majority(now, &members)?;
        self.propose(now, unix_ms, Payload::Members(members), out)
    }

    /// Tells whether the log still shows a member like this from before.
    fn was_member(&self, is_meant: impl Fn(&ReplicaId) -> bool) -> bool {
        let held = |members: &[Member]| members.iter().any(|member| is_meant(&member.id));
        let snapshot = self.log.snapshot();
        let mut entries =
            (snapshot.position.index + 1..=self.log.last().index).filter_map(|i| self.log.entry(i));
        held(&snapshot.members)
            || entries.any(|entry| matches!(&entry.payload, Payload::Members(m) if held(m)))
    }

    /// Checks that no other change of members is under way, and that this leader knows all of them.
    pub(super) fn check_change(&self) -> Result<(), CodedError> {
        let Role::Leader { since, .. } = &self.role else {
            return Err(CodedError::new(Code::NotLeader, "this instance does not lead the record"));
        };
        let (_, set_at) = self.log.members();
        if self.commit < *since || set_at > self.commit {
            return Err(refused("another change is under way; try again in a moment".to_owned()));
        }
        Ok(())
    }

    /// Checks that enough of the voters in `members` can be heard now to go on.
    pub(super) fn check_majority(&self, now: Millis, members: &[Member]) -> Result<(), CodedError> {
        let voters = members.iter().filter(|member| member.voter).count();
        let heard = self.heard_voters(now, members);
        if heard < voters / 2 + 1 {
            return Err(refused(format!(
                "only {heard} of the {voters} voters that would remain can be heard"
            )));
        }
        Ok(())
    }

    fn heard_voters(&self, now: Millis, members: &[Member]) -> usize {
        let Role::Leader { progress, .. } = &self.role else { return 0 };
        let is_heard = |id: &ReplicaId| {
            // A new leader has heard nobody yet. One that took the lost voter for heard would give
            // a newcomer its vote beside it.
            let is_near = |p: &Progress| {
                p.has_answered
                    && now.since(p.acked) < ELECTION_MIN
                    && !self.is_replaced(id, p.acked)
            };
            *id == self.id || progress.get(id).is_some_and(is_near)
        };
        members.iter().filter(|member| member.voter && is_heard(&member.id)).count()
    }

    /// Tells whether a replica's instance has come back with an empty data folder since it was
    /// heard: that says sooner than silence that the replica is lost.
    fn is_replaced(&self, id: &ReplicaId, heard: Millis) -> bool {
        let mut blanks = self.blanks.iter();
        blanks.any(|(blank, seen)| blank.0 == id.0 && blank != id && *seen > heard)
    }

    /// Tells whether one more voter can be borne: the voters of now go on without it, or all of
    /// them are there.
    ///
    /// A lost member of three counts until it is removed. A newcomer that votes beside it makes
    /// four voters of which one is lost; if it is lost as well, the two that are left can never
    /// decide anything again, not even to remove one. So it waits until the lost one is removed,
    /// and its own loss costs nothing until then.
    fn bears_newcomer(&self, now: Millis) -> bool {
        let voters = self.voters().len();
        let heard = self.heard_voters(now, self.members());
        heard == voters || heard > voters.div_ceil(2)
    }

    /// Gives a vote to a learner that has caught up.
    pub(super) fn promote_learners(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        if self.check_change().is_err() {
            return;
        }
        let mut members = self.members().to_vec();
        if self.voter_target.is_some_and(|target| self.voters().len() >= target) {
            return;
        }
        let learner =
            members.iter_mut().find(|member| !member.voter && self.is_caught_up(now, &member.id));
        let Some(learner) = learner else { return };
        learner.voter = true;
        if self.bears_newcomer(now) {
            let last = self.log.last().index;
            let unix_ms = self.log.entry(last).map_or(0, |entry| entry.unix_ms);
            // Whoever leads is the leader here; the proposal can't be refused.
            let _ = self.propose(now, unix_ms, Payload::Members(members), out);
        }
    }

    /// Notes which of the replicas that were heard as blank have become members.
    ///
    /// A member says no more hellos, so its last one tells only that it was there. If it is lost
    /// and removed, that one would let it be added again in place of the replica that came back,
    /// and wait for a vote that it can never get. The hello itself is kept: it still tells that
    /// the replica before it is lost.
    pub(super) fn note_added(&mut self) {
        let members = self.log.members().0;
        let is_member = |id: &ReplicaId| members.iter().any(|member| member.id == *id);
        let joined = self.blanks.keys().filter(|id| is_member(id)).cloned();
        self.once_members.extend(joined);
        self.once_members.retain(|id| self.blanks.contains_key(id));
    }

    /// Lists the blank replicas that may be added, and when each was last heard.
    pub(super) fn addable(&self) -> impl Iterator<Item = (&ReplicaId, Millis)> {
        let never_members = |(id, _): &(&ReplicaId, &Millis)| !self.once_members.contains(*id);
        self.blanks.iter().filter(never_members).map(|(id, seen)| (id, *seen))
    }

    /// Makes a replica outside any record known to those that the settings name.
    pub(super) fn say_hello(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        if !self.members().is_empty() || now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HELLO_INTERVAL;
        // An empty record has no members to write to; the sender of outputs addresses this one
        // to all control instances.
        let to = ReplicaId(self.id.0.clone(), 0);
        self.send(&to, ConsensusBody::Hello, out);
    }
}

fn refused(detail: String) -> CodedError {
    CodedError::new(Code::MemberRefused, detail)
}
