//! Leader election with a pre-vote phase.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Consensus, ConsensusOutput, ELECTION_MIN, ELECTION_SPREAD, FIRST_ELECTION_MIN,
    FIRST_ELECTION_SPREAD, Role,
};
use crate::{
    core::Millis,
    protocol::consensus::{ConsensusBody, Payload, Position, ReplicaId},
    state::log::{HardState, Persist},
};

/// Why a replica requests votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ElectionCause {
    /// It has heard from no leader, and asks first whether votes would be granted.
    PreVote,
    /// A majority would grant its vote.
    PreVoteWon,
    /// The leader has asked it to take over.
    TakeOver,
}

impl Consensus {
    pub(super) fn reset_election_timer(&mut self, now: Millis) {
        match self.last_leader_contact {
            Some(_) => self.set_election_timer(now, ELECTION_MIN, ELECTION_SPREAD),
            None => self.set_election_timer(now, FIRST_ELECTION_MIN, FIRST_ELECTION_SPREAD),
        }
    }

    fn set_election_timer(&mut self, now: Millis, min: Millis, spread: u64) {
        self.election_at = now + min + Millis(self.next_random() % spread);
    }

    /// Enters a newer term as a follower, with the vote already cast in it, if any.
    pub(super) fn enter_term(
        &mut self,
        now: Millis,
        term: u64,
        vote: Option<ReplicaId>,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.hard_state = HardState { term, vote };
        out.push(ConsensusOutput::Persist(Persist::HardState(self.hard_state.clone())));
        self.step_down(now);
    }

    pub(super) fn step_down(&mut self, now: Millis) {
        self.role = Role::Follower { leader: None };
        self.reset_election_timer(now);
    }

    pub(super) fn follow_leader(&mut self, now: Millis, leader: &ReplicaId) {
        self.role = Role::Follower { leader: Some(leader.clone()) };
        self.last_leader = Some(leader.clone());
        self.last_leader_contact = Some(now);
        self.reset_election_timer(now);
    }

    /// Requests votes from the other voters. A pre-vote asks whether they would grant a vote and
    /// leaves the term unchanged.
    pub(super) fn request_votes(
        &mut self,
        now: Millis,
        cause: ElectionCause,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let pre = cause == ElectionCause::PreVote;
        if pre {
            self.reset_election_timer(now);
        } else {
            let own = Some(self.id.clone());
            self.enter_term(now, self.term() + 1, own, out);
            // There is no leader in this term. If votes are split, nobody waits for one.
            self.set_election_timer(now, FIRST_ELECTION_MIN, FIRST_ELECTION_SPREAD);
        }
        self.role = Role::Candidate { pre, votes: BTreeSet::from([self.id.clone()]) };
        let last = self.log.last();
        let by_leader = cause == ElectionCause::TakeOver;
        for peer in self.other_voters() {
            self.send(&peer, ConsensusBody::Vote { pre, last, by_leader }, out);
        }
        self.count_votes(now, out);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_vote(
        &mut self,
        now: Millis,
        from: &ReplicaId,
        term: u64,
        pre: bool,
        last: Position,
        by_leader: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        // A replica in contact with a leader neither votes nor raises its term, unless the leader
        // wants it. Otherwise a member that was removed, or that receives no messages, would depose
        // a working leader.
        let hears_leader = self.is_leader()
            || self.last_leader_contact.is_some_and(|contact| now.since(contact) < ELECTION_MIN);
        let has_leader = hears_leader && !by_leader;
        let wanted_term = if pre { term + 1 } else { term };
        let is_newer = wanted_term > self.term();
        let may_repeat = !pre && term == self.term() && self.may_vote_for(from);
        let up_to_date = last >= self.log.last();
        let granted = !has_leader && up_to_date && (is_newer || may_repeat);
        if !pre && !has_leader && is_newer {
            let vote = granted.then(|| from.clone());
            self.enter_term(now, term, vote, out);
        } else if granted && !pre {
            self.hard_state.vote = Some(from.clone());
            out.push(ConsensusOutput::Persist(Persist::HardState(self.hard_state.clone())));
            self.reset_election_timer(now);
        }
        self.send(from, ConsensusBody::VoteReply { pre, granted }, out);
    }

    fn may_vote_for(&self, candidate: &ReplicaId) -> bool {
        let is_follower = matches!(self.role, Role::Follower { leader: None });
        let vote = self.hard_state.vote.as_ref();
        is_follower && vote.is_none_or(|vote| vote == candidate)
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Millis,
        from: &ReplicaId,
        term: u64,
        pre: bool,
        granted: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if term > self.term() && !granted {
            self.enter_term(now, term, None, out);
            return;
        }
        let is_candidate = |asks: &bool| *asks == pre;
        match &mut self.role {
            Role::Candidate { pre: asks, votes } if is_candidate(asks) && granted => {
                // A vote counts only in the term in which it was requested.
                if !pre && term != self.hard_state.term {
                    return;
                }
                votes.insert(from.clone());
            }
            _ => return,
        }
        self.count_votes(now, out);
    }

    fn count_votes(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        let Role::Candidate { pre, votes } = &self.role else { return };
        let pre = *pre;
        let voters = self.voters();
        let given = voters.iter().filter(|voter| votes.contains(*voter)).count();
        if given < voters.len() / 2 + 1 {
            return;
        }
        if pre {
            self.request_votes(now, ElectionCause::PreVoteWon, out);
        } else {
            let votes = votes.clone();
            self.become_leader(now, &votes, out);
        }
    }

    fn become_leader(
        &mut self,
        now: Millis,
        votes: &BTreeSet<ReplicaId>,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let last_contact = self.last_leader_contact.replace(now);
        let first_index = self.log.last().index + 1;
        self.role = Role::Leader { progress: BTreeMap::new(), first_index };
        self.next_heartbeat = now;
        self.append(now, 0, Payload::Noop, out);
        self.track_silence(votes, last_contact);
        self.flush(now, out);
    }

    /// Counts the silence of the last leader from when it was last heard from, if it is lost: it
    /// has not taken part in the election.
    fn track_silence(&mut self, votes: &BTreeSet<ReplicaId>, last_contact: Option<Millis>) {
        let (Some(leader), Some(contact)) = (&self.last_leader, last_contact) else { return };
        let Role::Leader { progress, .. } = &mut self.role else { return };
        if !votes.contains(leader)
            && let Some(last) = progress.get_mut(leader)
        {
            last.acked = contact;
        }
    }
}
