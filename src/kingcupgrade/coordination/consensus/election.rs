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

impl Consensus {
    pub(super) fn reset_election_timer(&mut self, now: Millis) {
        let (min, spread) = match self.last_leader_contact {
            Some(_) => (ELECTION_MIN, ELECTION_SPREAD),
            None => (FIRST_ELECTION_MIN, FIRST_ELECTION_SPREAD),
        };
        let random = self.next_random() % spread;
        self.election_at = now + min + Millis(random);
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
        self.last_leader_contact = Some(now);
        self.reset_election_timer(now);
    }

    /// Requests votes from the other voters. With `pre`, runs a pre-vote, which asks whether they
    /// would grant a vote and leaves the term unchanged.
    pub(super) fn request_votes(&mut self, now: Millis, pre: bool, out: &mut Vec<ConsensusOutput>) {
        if !pre {
            let own = Some(self.id.clone());
            self.enter_term(now, self.term() + 1, own, out);
        }
        self.reset_election_timer(now);
        self.role = Role::Candidate { pre, votes: BTreeSet::from([self.id.clone()]) };
        let last = self.log.last();
        for peer in self.other_voters() {
            self.send(&peer, ConsensusBody::Vote { pre, last }, out);
        }
        self.count_votes(now, out);
    }

    pub(super) fn on_vote(
        &mut self,
        now: Millis,
        from: &ReplicaId,
        term: u64,
        pre: bool,
        last: Position,
        out: &mut Vec<ConsensusOutput>,
    ) {
        // A replica in contact with a leader neither votes nor raises its term. Otherwise a member
        // that was removed, or that receives no messages, would depose a working leader.
        let has_leader = self.is_leader()
            || self.last_leader_contact.is_some_and(|contact| now.since(contact) < ELECTION_MIN);
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
            self.request_votes(now, false, out);
        } else {
            self.become_leader(now, out);
        }
    }

    fn become_leader(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        self.last_leader_contact = Some(now);
        let first_index = self.log.last().index + 1;
        self.role = Role::Leader { progress: BTreeMap::new(), first_index };
        self.next_heartbeat = now;
        self.append(now, 0, Payload::Noop, out);
        self.flush(now, out);
    }
}
