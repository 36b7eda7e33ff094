//! Leases on the dispatching of pools, held by majority vote within one failure domain.
//!
//! A failure domain cut off from all others must go on serving, so the vote needs nobody outside
//! it. Votes are kept in memory only: a voter that restarted may have forgotten a promise, and
//! therefore stays silent until any promise it could have made has run out.

mod messages;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{FailureDomain, Instance, Millis, Service},
    protocol::lease::{Claim, LeaseMessage},
    util::rendezvous::ranking,
};

/// How long a promise of a voter lasts.
pub const LEASE: Millis = Millis(2_000);
/// A holder stops this much before its voters' promises end, for clocks that run at other speeds.
const MARGIN: Millis = Millis(200);
/// How often leases are renewed.
const RENEWAL: Millis = Millis(500);
/// How often they are announced to the whole failure domain.
const ANNOUNCEMENT: Millis = Millis(1_000);
/// Each further rank waits this much longer before it asks for a lease without holder.
const RANK_DELAY: Millis = Millis(300);
/// An instance that has not won a lease this long after asking gives its votes back.
const ATTEMPT: Millis = Millis(250);
/// Milliseconds of the wall clock for each term; attempts are further apart.
const TERM_SPAN: u64 = 500;
/// Voters of a failure domain at most; more would cost messages and add no safety.
const MAX_VOTERS: usize = 7;
/// Rounds whose replies are still counted.
const KEPT_ROUNDS: usize = 8;

/// What the lease book wants done or has learned.
#[derive(Clone, Debug)]
pub enum LeaseOutput {
    /// Send a message.
    Send(Instance, LeaseMessage),
    /// This instance now holds the lease of a service's pool.
    Gained(Service, u64),
    /// This instance no longer holds the lease.
    Lost(Service, u64),
}

#[derive(Clone, Debug)]
struct Vote {
    term: u64,
    holder: Instance,
    until: Millis,
}

/// Who holds a pool's lease, as far as announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The instance.
    pub instance: Instance,
    /// The term of its lease.
    pub term: u64,
    heard: Millis,
}

#[derive(Clone, Debug)]
struct Round {
    sent: Millis,
    granted: BTreeMap<Claim, BTreeSet<Instance>>,
}

/// A lease asked for and not won yet.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    term: u64,
    asked: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    term: u64,
    until: Millis,
}

/// All leases of one failure domain, as one of its entries sees them.
#[derive(Clone, Debug)]
pub struct LeaseBook {
    instance: Instance,
    voters: Vec<Instance>,
    residents: Vec<Instance>,
    started: Millis,
    services: Vec<Service>,
    /// This instance's rank for each service; looked up with every tick.
    ranks: BTreeMap<Service, u64>,
    votes: BTreeMap<Service, Vote>,
    holders: BTreeMap<Service, Holder>,
    held: BTreeMap<Service, Lease>,
    attempts: BTreeMap<Service, Attempt>,
    /// When to ask again after an attempt that failed.
    retry_at: BTreeMap<Service, Millis>,
    /// The least term to ask for.
    first_term: u64,
    /// The highest term seen of each service.
    terms: BTreeMap<Service, u64>,
    rounds: BTreeMap<u64, Round>,
    next_round: u64,
    next_renewal: Millis,
    next_announcement: Millis,
    retired: bool,
    /// Services of which requests run here under a static share.
    sharing: Vec<Service>,
    /// When an instance's machine last answered that no such process runs.
    gone: BTreeMap<Instance, Millis>,
    /// When it was last told that time passes.
    ticked: Millis,
}

impl LeaseBook {
    /// Makes the book of `instance` among the `residents` of `domain`, itself included.
    ///
    /// `incarnation` is the wall clock at the start of the process, in milliseconds. Terms begin
    /// from it: were all voters restarted at once, they would otherwise begin at one again, and a
    /// new grant could bear the name of one that an instance elsewhere still uses.
    pub fn new(
        now: Millis,
        incarnation: u64,
        instance: Instance,
        domain: &FailureDomain,
        residents: Vec<Instance>,
    ) -> LeaseBook {
        let mut voters = ranking(domain.as_str(), residents.iter().cloned());
        voters.truncate(MAX_VOTERS);
        LeaseBook {
            instance,
            voters,
            residents,
            started: now,
            services: Vec::new(),
            ranks: BTreeMap::new(),
            votes: BTreeMap::new(),
            holders: BTreeMap::new(),
            held: BTreeMap::new(),
            attempts: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            first_term: incarnation / TERM_SPAN,
            terms: BTreeMap::new(),
            rounds: BTreeMap::new(),
            next_round: 1,
            next_renewal: now,
            next_announcement: now,
            retired: false,
            sharing: Vec::new(),
            gone: BTreeMap::new(),
            ticked: now,
        }
    }

    /// Sets the services whose pools need a dispatcher.
    pub fn set_services(&mut self, services: Vec<Service>) {
        let ranks = services.iter().map(|service| (service.clone(), self.work_out_rank(service)));
        self.ranks = ranks.collect();
        self.services = services;
    }

    fn work_out_rank(&self, service: &Service) -> u64 {
        let ranked = ranking(service.as_str(), self.residents.iter().cloned());
        ranked.iter().position(|i| *i == self.instance).unwrap_or(ranked.len()) as u64
    }

    /// Sets the services of which requests run here under a static share.
    pub fn set_sharing(&mut self, services: Vec<Service>) {
        self.sharing = services;
    }

    /// Learns that an instance could not be dialled; `refused` if its machine answered that no such
    /// process runs.
    ///
    /// Of a process that stood still the word may be as old as that lasted, so it counts for nothing.
    pub fn on_dial_failed(&mut self, now: Millis, instance: &Instance, refused: bool) {
        if refused && now.since(self.ticked) <= MARGIN {
            self.gone.insert(instance.clone(), now);
        } else {
            self.gone.remove(instance);
        }
    }

    /// Tells whether the other voters may make a majority without this instance.
    ///
    /// A voter whose process was gone a moment ago can't vote before a lease has passed since: it
    /// stays silent for as long when it starts.
    pub fn may_be_outvoted(&self, now: Millis) -> bool {
        let is_gone = |voter: &Instance| {
            self.gone.get(voter).is_some_and(|at| now.since(*at) < LEASE.since(MARGIN))
        };
        let others = self.voters.iter().filter(|voter| **voter != self.instance);
        others.filter(|voter| !is_gone(voter)).count() > self.voters.len() / 2
    }

    /// Tells whether another instance may hold a service's lease, as far as can be known here.
    pub fn may_be_held(&self, now: Millis, service: &Service) -> bool {
        let vote = self.votes.get(service);
        let promised = vote.is_some_and(|v| v.holder != self.instance && now < v.until);
        promised || self.holder(now, service).is_some()
    }

    /// Returns the holder of a service's pool, if one was heard within a lease.
    pub fn holder(&self, now: Millis, service: &Service) -> Option<&Holder> {
        self.holders.get(service).filter(|holder| now.since(holder.heard) < LEASE)
    }

    /// Returns the term under which this instance holds the lease now.
    pub fn held_term(&self, now: Millis, service: &Service) -> Option<u64> {
        self.held.get(service).filter(|lease| now < lease.until).map(|lease| lease.term)
    }

    /// Returns until when this instance surely holds the lease, if it does.
    pub fn held_until(&self, now: Millis, service: &Service) -> Option<Millis> {
        self.held.get(service).map(|lease| lease.until).filter(|until| now < *until)
    }

    /// Ends leases that have run out; to be called before anything else is decided.
    ///
    /// A process stopped by a signal or a slow machine may wake long after its lease passed on.
    /// Grants given then would oversell the upstreams beside the new holder's.
    pub fn expire(&mut self, now: Millis, out: &mut Vec<LeaseOutput>) {
        let ended = |(service, lease): (&Service, &Lease)| {
            (now >= lease.until).then(|| (service.clone(), lease.term))
        };
        let ended: Vec<(Service, u64)> = self.held.iter().filter_map(ended).collect();
        for (service, term) in ended {
            self.held.remove(&service);
            out.push(LeaseOutput::Lost(service, term));
        }
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<LeaseOutput>) {
        self.ticked = now;
        self.expire(now, out);
        if self.retired {
            return;
        }
        self.give_up_attempts(now, out);
        let mut claims = self.new_attempts(now);
        if now >= self.next_renewal {
            self.next_renewal = now + RENEWAL;
            if now >= self.next_announcement {
                self.announce(now, out);
            }
            claims.extend(self.held_claims());
        }
        if !claims.is_empty() {
            self.request(now, claims, out);
        }
    }

    fn held_claims(&self) -> Vec<Claim> {
        self.held.iter().map(|(service, lease)| Claim(service.clone(), lease.term)).collect()
    }

    /// Gives back the votes of attempts that did not win.
    ///
    /// Two instances that ask at the same time may win part of the votes each. If both kept theirs
    /// and went on asking, neither could ever win, and the pool would stay without dispatcher.
    fn give_up_attempts(&mut self, now: Millis, out: &mut Vec<LeaseOutput>) {
        let is_over = |(_, attempt): &(&Service, &Attempt)| now.since(attempt.asked) >= ATTEMPT;
        let over = self.attempts.iter().filter(is_over);
        let claims: Vec<Claim> =
            over.map(|(service, attempt)| Claim(service.clone(), attempt.term)).collect();
        for Claim(service, _) in &claims {
            // A vote that comes later counts no more: it is given back here.
            self.attempts.remove(service);
            let pause = RANK_DELAY.0 * (self.rank(service) + 1);
            self.retry_at.insert(service.clone(), now + Millis(pause));
        }
        if !claims.is_empty() {
            self.release(now, &claims, out);
        }
    }

    fn new_attempts(&mut self, now: Millis) -> Vec<Claim> {
        let mut claims = Vec::new();
        for service in self.services.clone() {
            let has_own = self.held.contains_key(&service) || self.attempts.contains_key(&service);
            if has_own || !self.may_ask(now, &service) {
                continue;
            }
            let term = self.terms.entry(service.clone()).or_insert(0);
            *term = (*term + 1).max(self.first_term);
            self.attempts.insert(service.clone(), Attempt { term: *term, asked: now });
            claims.push(Claim(service, *term));
        }
        claims
    }

    /// Tells whether a lease is without holder for long enough that this instance's rank asks.
    fn may_ask(&self, now: Millis, service: &Service) -> bool {
        let heard = self.holders.get(service).map_or(self.started, |holder| holder.heard);
        let is_due = self.retry_at.get(service).is_none_or(|at| now >= *at);
        is_due && now.since(heard) >= LEASE + Millis(RANK_DELAY.0 * self.rank(service))
    }

    fn rank(&self, service: &Service) -> u64 {
        self.ranks.get(service).copied().unwrap_or(0)
    }

    fn request(&mut self, now: Millis, claims: Vec<Claim>, out: &mut Vec<LeaseOutput>) {
        let round = self.next_round;
        self.next_round += 1;
        self.rounds.insert(round, Round { sent: now, granted: BTreeMap::new() });
        while self.rounds.len() > KEPT_ROUNDS {
            self.rounds.pop_first();
        }
        for voter in self.voters.clone() {
            let message = LeaseMessage::Request { round, claims: claims.clone() };
            out.push(LeaseOutput::Send(voter, message));
        }
    }

    fn announce(&mut self, now: Millis, out: &mut Vec<LeaseOutput>) {
        // A little early, so that the renewal it falls on is not missed by a tick.
        self.next_announcement = now + ANNOUNCEMENT.since(Millis(RENEWAL.0 / 2));
        let claims = self.held_claims();
        if claims.is_empty() {
            return;
        }
        let own = self.instance.clone();
        self.on_announce(now, &own, &claims);
        for resident in self.residents.iter().filter(|i| **i != self.instance) {
            let message = LeaseMessage::Announce { claims: claims.clone() };
            out.push(LeaseOutput::Send(resident.clone(), message));
        }
    }

    /// Gives up all leases and asks for none again.
    pub fn retire(&mut self, now: Millis, out: &mut Vec<LeaseOutput>) {
        self.retired = true;
        let claims = self.held_claims();
        for (service, lease) in std::mem::take(&mut self.held) {
            out.push(LeaseOutput::Lost(service, lease.term));
        }
        if !claims.is_empty() {
            self.release(now, &claims, out);
        }
    }

    fn release(&mut self, now: Millis, claims: &[Claim], out: &mut Vec<LeaseOutput>) {
        let own = self.instance.clone();
        self.on_release(now, &own, claims);
        for resident in self.residents.iter().filter(|i| **i != self.instance) {
            let message = LeaseMessage::Release { claims: claims.to_vec() };
            out.push(LeaseOutput::Send(resident.clone(), message));
        }
    }

    fn note_term(&mut self, service: &Service, term: u64) {
        let known = self.terms.entry(service.clone()).or_insert(0);
        *known = (*known).max(term);
    }
}
