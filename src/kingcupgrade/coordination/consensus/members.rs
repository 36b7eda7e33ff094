//! Membership: voters, learners that catch up, and the changes that add or remove them.

use super::{Consensus, ConsensusOutput, ELECTION_MIN, Role, replication::Progress};
use crate::{
    core::{Code, Instance, Millis, code::CodedError},
    protocol::consensus::{ConsensusBody, Member, Payload, ReplicaId},
};

/// The number of entries that a learner may lack and still be promoted to a voter.
pub(super) const CAUGHT_UP_LAG: u64 = 16;
/// The interval at which a replica outside the record announces itself.
const HELLO_INTERVAL: Millis = Millis(1_000);
/// A replica that has heard from no leader for this long may have been removed: an election takes
/// two seconds at most.
const OUTSIDE_SILENCE: Millis = Millis(2_500);
/// A replica outside the record can be added for this long after its last hello.
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

    /// Tracks the replication progress of the current members; a new one counts as heard from at
    /// `now`.
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

    /// Proposes to add a replica that has announced itself, as a learner at first.
    ///
    /// A request repeated after a lost reply is accepted and changes nothing.
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
            // The reply to the first request was lost; the members stay the same.
            let members = self.members().to_vec();
            return self.propose(now, unix_ms, Payload::Members(members), out);
        }
        let is_present =
            |(id, seen): &(&ReplicaId, Millis)| id.0 == *instance && now.since(*seen) <= HELLO_TTL;
        let found = self.addable().filter(is_present).max_by_key(|(_, seen)| *seen);
        let Some((id, _)) = found else {
            return Err(refused(format!(
                "{instance} has not announced itself; start it with an empty data folder first"
            )));
        };
        let mut members = self.members().to_vec();
        members.push(Member { id: id.clone(), voter: false });
        self.propose(now, unix_ms, Payload::Members(members), out)
    }

    /// Returns whether the replica that an instance announced last is already a member.
    fn is_added(&self, now: Millis, instance: &Instance) -> bool {
        let from_instance = self.announced.iter().filter(|(id, _)| id.0 == *instance);
        let newest = from_instance.max_by_key(|(_, seen)| **seen);
        newest.is_some_and(|(id, seen)| {
            now.since(*seen) <= HELLO_TTL && self.members().iter().any(|m| m.id == *id)
        })
    }

    /// Proposes to remove a replica.
    ///
    /// A request repeated after a lost reply is accepted and changes nothing.
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
        let is_target = |id: &ReplicaId| id.0 == *instance && replica.is_none_or(|r| r == id.1);
        let targets: Vec<&Member> = self.members().iter().filter(|m| is_target(&m.id)).collect();
        let id = match targets.as_slice() {
            [] if self.was_member(is_target) => {
                let members = self.members().to_vec();
                return self.propose(now, unix_ms, Payload::Members(members), out);
            }
            [] => return Err(refused(format!("{instance} is no member"))),
            [member] => member.id.clone(),
            _ => {
                return Err(refused(format!(
                    "{instance} has several replicas; specify one as {instance}#NUMBER"
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

    /// Returns whether the snapshot or the log contains a former member that matches.
    fn was_member(&self, is_target: impl Fn(&ReplicaId) -> bool) -> bool {
        let contains = |members: &[Member]| members.iter().any(|member| is_target(&member.id));
        let snapshot = self.log.snapshot();
        let mut entries =
            (snapshot.position.index + 1..=self.log.last().index).filter_map(|i| self.log.entry(i));
        contains(&snapshot.members)
            || entries.any(|entry| matches!(&entry.payload, Payload::Members(m) if contains(m)))
    }

    /// Checks that no other membership change is in progress, and that this leader has committed an
    /// entry of its own term and so knows all earlier changes.
    pub(super) fn check_change(&self) -> Result<(), CodedError> {
        let Role::Leader { first_index, .. } = &self.role else {
            return Err(CodedError::new(Code::NotLeader, "this instance does not lead the record"));
        };
        let (_, set_at) = self.log.members();
        if self.commit < *first_index || set_at > self.commit {
            return Err(refused("another change is in progress; try again in a moment".to_owned()));
        }
        Ok(())
    }

    /// Checks that a majority of the voters in `members` is reachable.
    pub(super) fn check_majority(&self, now: Millis, members: &[Member]) -> Result<(), CodedError> {
        let voters = members.iter().filter(|member| member.voter).count();
        let reachable = self.count_reachable_voters(now, members);
        if reachable < voters / 2 + 1 {
            return Err(refused(format!(
                "only {reachable} of the {voters} voters that would remain are reachable"
            )));
        }
        Ok(())
    }

    fn count_reachable_voters(&self, now: Millis, members: &[Member]) -> usize {
        let Role::Leader { progress, .. } = &self.role else { return 0 };
        let is_reachable = |id: &ReplicaId| {
            // A new leader has not heard from any other voter yet, though `acked` is already set.
            // If it counted a lost voter as reachable, it would promote a new voter beside it.
            let is_recent = |p: &Progress| {
                p.has_answered
                    && now.since(p.acked) < ELECTION_MIN
                    && !self.is_replaced(id, p.acked)
            };
            *id == self.id || progress.get(id).is_some_and(is_recent)
        };
        members.iter().filter(|member| member.voter && is_reachable(&member.id)).count()
    }

    /// Returns whether the instance of a replica has announced another replica after `last_heard`.
    /// It then restarted with an empty data folder, which shows sooner than a timeout that the
    /// replica is lost.
    fn is_replaced(&self, id: &ReplicaId, last_heard: Millis) -> bool {
        let mut announced = self.announced.iter();
        announced.any(|(other, seen)| other.0 == id.0 && other != id && *seen > last_heard)
    }

    /// Returns whether a new voter can be added without risking the quorum: either all current
    /// voters are reachable, or the reachable ones are a majority even if the new voter fails.
    ///
    /// A lost voter counts towards the quorum until it is removed. If one of three voters is lost
    /// and a new one is promoted, there are four voters of which one is lost. If the new one is
    /// lost too, the remaining two can never commit anything again, not even a removal. Promotion
    /// therefore waits for the removal; until then, losing the new replica does no harm.
    fn tolerates_new_voter(&self, now: Millis) -> bool {
        let voters = self.voters().len();
        let reachable = self.count_reachable_voters(now, self.members());
        reachable == voters || reachable > voters.div_ceil(2)
    }

    /// Promotes a learner that has caught up to a voter.
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
        if self.tolerates_new_voter(now) {
            let last = self.log.last().index;
            let unix_ms = self.log.entry(last).map_or(0, |entry| entry.unix_ms);
            // `check_change` succeeds only on the leader, so the proposal can't be refused.
            let _ = self.propose(now, unix_ms, Payload::Members(members), out);
        }
    }

    /// Records which of the announced replicas have become members.
    ///
    /// A member sends no more hellos, so its last one may be out of date. If the member is lost and
    /// removed, that hello would cause it to be added again instead of the replica that its
    /// instance restarted as, and it could never catch up and be promoted. The announcement itself
    /// is kept: it still shows that the previous replica of the instance is lost.
    pub(super) fn track_joined(&mut self) {
        let members = self.log.members().0;
        let is_member = |id: &ReplicaId| members.iter().any(|member| member.id == *id);
        let joined = self.announced.keys().filter(|id| is_member(id)).cloned();
        self.joined.extend(joined);
        self.joined.retain(|id| self.announced.contains_key(id));
    }

    /// Returns the announced replicas that may be added, and when each was last heard from.
    pub(super) fn addable(&self) -> impl Iterator<Item = (&ReplicaId, Millis)> {
        let not_joined = |(id, _): &(&ReplicaId, &Millis)| !self.joined.contains(*id);
        self.announced.iter().filter(not_joined).map(|(id, seen)| (id, *seen))
    }

    /// Returns whether the replica belongs to no record, or may have been removed from it: a leader
    /// sends nothing to a replica that it has removed, not even that it has.
    fn may_be_outside(&self, now: Millis) -> bool {
        let heard = self.last_leader_contact.unwrap_or_default().max(self.running_since);
        self.members().is_empty() || (!self.is_leader() && now.since(heard) > OUTSIDE_SILENCE)
    }

    /// Announces a replica that may be outside the record to the control instances that are known.
    pub(super) fn send_hello(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        if now < self.next_heartbeat || !self.may_be_outside(now) {
            return;
        }
        self.next_heartbeat = now + HELLO_INTERVAL;
        // A replica without members knows no recipients. Replica number 0 marks a message that the
        // caller sends to all control instances.
        let to = ReplicaId(self.id.0.clone(), 0);
        self.send(&to, ConsensusBody::Hello, out);
    }
}

fn refused(detail: String) -> CodedError {
    CodedError::new(Code::MemberRefused, detail)
}
