//! Handling of lease messages: requests, replies, announcements and releases.

use super::{CLOCK_MARGIN, Holder, LEASE_DURATION, Lease, LeaseManager, LeaseOutput, Vote};
use crate::{
    core::{Instance, Millis, Service},
    protocol::lease::{Claim, LeaseMessage},
};

impl LeaseManager {
    /// Handles a message from an instance of the same failure domain.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: &Instance,
        message: &LeaseMessage,
        out: &mut Vec<LeaseOutput>,
    ) {
        if !self.local_entries.contains(from) {
            return;
        }
        match message {
            LeaseMessage::Request { round, claims } => {
                self.on_request(now, from, *round, claims, out)
            }
            LeaseMessage::Reply { round, granted, refused, .. } => {
                self.on_reply(now, from, *round, granted, refused, out);
            }
            LeaseMessage::Announce { claims } => {
                let accepted = self.on_announce(now, from, claims);
                if !self.voters.contains(&self.instance) {
                    self.reply(from, 0, accepted, Vec::new(), out);
                }
            }
            LeaseMessage::Release { claims } => self.on_release(now, from, claims),
        }
    }

    fn on_request(
        &mut self,
        now: Millis,
        from: &Instance,
        round: u64,
        claims: &[Claim],
        out: &mut Vec<LeaseOutput>,
    ) {
        let may_have_lost_votes = now.since(self.started) < LEASE_DURATION;
        if may_have_lost_votes || !self.voters.contains(&self.instance) {
            return;
        }
        let (mut granted, mut refused) = (Vec::new(), Vec::new());
        for claim in claims {
            let Claim(service, term) = claim;
            match self.votes.get(service) {
                Some(vote) if !may_grant(vote, now, from, *term) => {
                    refused.push(Claim(service.clone(), vote.term));
                }
                _ => {
                    let vote =
                        Vote { term: *term, holder: from.clone(), until: now + LEASE_DURATION };
                    self.votes.insert(service.clone(), vote);
                    self.note_term(service, *term);
                    granted.push(claim.clone());
                }
            }
        }
        self.reply(from, round, granted, refused, out);
    }

    fn reply(
        &self,
        to: &Instance,
        round: u64,
        granted: Vec<Claim>,
        refused: Vec<Claim>,
        out: &mut Vec<LeaseOutput>,
    ) {
        let sharing = self.static_share_services.clone();
        let reply = LeaseMessage::Reply { round, granted, refused, sharing };
        out.push(LeaseOutput::Send(to.clone(), reply));
    }

    fn on_reply(
        &mut self,
        now: Millis,
        from: &Instance,
        round: u64,
        granted: &[Claim],
        refused: &[Claim],
        out: &mut Vec<LeaseOutput>,
    ) {
        for Claim(service, term) in refused {
            self.note_term(service, *term);
        }
        let majority = self.voters.len() / 2 + 1;
        let Some(state) = self.rounds.get_mut(&round) else { return };
        let until = (state.sent_at + LEASE_DURATION).since(CLOCK_MARGIN);
        let mut won = Vec::new();
        for claim in granted {
            let voters = state.granted.entry(claim.clone()).or_default();
            voters.insert(from.clone());
            if voters.len() >= majority {
                won.push(claim.clone());
            }
        }
        for Claim(service, term) in won {
            self.on_won(now, service, term, until, out);
        }
    }

    fn on_won(
        &mut self,
        now: Millis,
        service: Service,
        term: u64,
        until: Millis,
        out: &mut Vec<LeaseOutput>,
    ) {
        if now >= until {
            return;
        }
        match self.held.get_mut(&service) {
            Some(lease) if lease.term == term => lease.until = lease.until.max(until),
            Some(_) => {}
            None if self.attempts.get(&service).is_none_or(|attempt| attempt.term != term) => {}
            None => {
                self.attempts.remove(&service);
                self.retry_at.remove(&service);
                self.held.insert(service.clone(), Lease { term, until });
                out.push(LeaseOutput::Gained(service, term));
                self.announce(now, out);
            }
        }
    }

    /// Records the announced lease holders and returns the claims that are not outdated.
    pub(super) fn on_announce(
        &mut self,
        now: Millis,
        from: &Instance,
        claims: &[Claim],
    ) -> Vec<Claim> {
        let mut accepted = Vec::new();
        for Claim(service, term) in claims {
            self.note_term(service, *term);
            let known = self.holder(now, service);
            if known.is_some_and(|known| known.term > *term) {
                continue;
            }
            let holder = Holder { instance: from.clone(), term: *term, last_heard: now };
            self.holders.insert(service.clone(), holder);
            accepted.push(Claim(service.clone(), *term));
        }
        accepted
    }

    pub(super) fn on_release(&mut self, now: Millis, from: &Instance, claims: &[Claim]) {
        for Claim(service, term) in claims {
            if let Some(vote) = self.votes.get_mut(service)
                && vote.holder == *from
                && vote.term == *term
            {
                vote.until = now;
            }
            if let Some(holder) = self.holders.get_mut(service)
                && holder.instance == *from
            {
                // As if the last message had arrived a lease duration ago, so that the other
                // entries wait only for their rank's delay.
                holder.last_heard = now.since(LEASE_DURATION);
            }
        }
    }
}

/// Returns whether a voter that has given `vote` may grant `term` to `from`.
fn may_grant(vote: &Vote, now: Millis, from: &Instance, term: u64) -> bool {
    let renews = vote.holder == *from && term >= vote.term;
    let is_free = now >= vote.until && term > vote.term;
    renews || is_free
}
