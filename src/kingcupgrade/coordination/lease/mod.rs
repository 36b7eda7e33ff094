//! Leases for dispatching pools, granted by a majority of voters within one failure domain.
//!
//! A failure domain that is partitioned from all others must keep serving, so all voters are in the
//! failure domain itself. Votes are kept in memory only. A restarted voter has lost the votes it
//! gave, so it does not vote until all that it could have given have expired.

mod messages;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{FailureDomain, Instance, Millis, Service},
    protocol::lease::{Claim, LeaseMessage},
    util::rendezvous::ranking,
};

/// How long a vote, and thus a lease, is valid.
pub const LEASE_DURATION: Millis = Millis(2_000);
/// A holder stops this long before its voters' votes expire, to allow for clock drift.
const CLOCK_MARGIN: Millis = Millis(200);
/// How often leases are renewed.
const RENEWAL_INTERVAL: Millis = Millis(500);
/// How often held leases are announced to the whole failure domain.
const ANNOUNCEMENT_INTERVAL: Millis = Millis(1_000);
/// Additional delay per rank before an instance requests a lease that has no holder.
const RANK_DELAY: Millis = Millis(300);
/// How long an instance waits for a majority before it releases the votes.
const ATTEMPT_TIMEOUT: Millis = Millis(250);
/// Milliseconds of wall-clock time per term. Attempts of an instance are further apart than this,
/// so the clock advances faster than the terms.
const MILLIS_PER_TERM: u64 = 500;
/// Maximum number of voters in a failure domain; more would add messages but no safety.
const MAX_VOTERS: usize = 7;
/// Number of most recent request rounds whose replies are still counted.
const MAX_ROUNDS: usize = 8;

/// An action requested or a change reported by the lease manager.
#[derive(Clone, Debug)]
pub enum LeaseOutput {
    /// Send a message.
    Send(Instance, LeaseMessage),
    /// This instance gained the lease of a service's pool, with this term.
    Gained(Service, u64),
    /// This instance lost the lease that it held with this term.
    Lost(Service, u64),
}

#[derive(Clone, Debug)]
struct Vote {
    term: u64,
    holder: Instance,
    until: Millis,
}

/// The holder of a pool's lease, as last announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The instance.
    pub instance: Instance,
    /// The term of the lease.
    pub term: u64,
    last_heard: Millis,
}

#[derive(Clone, Debug)]
struct Round {
    sent_at: Millis,
    granted: BTreeMap<Claim, BTreeSet<Instance>>,
}

/// A request for a lease that has no majority yet.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    term: u64,
    requested_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    term: u64,
    until: Millis,
}

/// The leases of one failure domain, as known to one of its entries.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    instance: Instance,
    voters: Vec<Instance>,
    local_entries: Vec<Instance>,
    started: Millis,
    services: Vec<Service>,
    /// This instance's rank for each service, cached because every tick needs it.
    ranks: BTreeMap<Service, u64>,
    votes: BTreeMap<Service, Vote>,
    holders: BTreeMap<Service, Holder>,
    held: BTreeMap<Service, Lease>,
    attempts: BTreeMap<Service, Attempt>,
    /// Earliest time of the next attempt after a failed one.
    retry_at: BTreeMap<Service, Millis>,
    /// The lowest term to request.
    first_term: u64,
    /// The highest term seen for each service.
    terms: BTreeMap<Service, u64>,
    rounds: BTreeMap<u64, Round>,
    next_round: u64,
    next_renewal: Millis,
    next_announcement: Millis,
    retired: bool,
    /// Services of which this instance runs requests under a static share.
    static_share_services: Vec<Service>,
    /// When a connection to an instance was last refused, which shows that its process does not
    /// run.
    terminated: BTreeMap<Instance, Millis>,
    /// Time of the last tick.
    last_tick: Millis,
}

impl LeaseManager {
    /// Creates the lease manager of `instance`, where `local_entries` are the entries of `domain`,
    /// including `instance`.
    ///
    /// `incarnation` is the wall-clock time at which the process started, in milliseconds, and
    /// determines the first term. If terms started at 1 and all voters restarted at once, terms
    /// would repeat, and a new grant could get the ID of one that another instance still uses.
    pub fn new(
        now: Millis,
        incarnation: u64,
        instance: Instance,
        domain: &FailureDomain,
        local_entries: Vec<Instance>,
    ) -> LeaseManager {
        let mut voters = ranking(domain.as_str(), local_entries.iter().cloned());
        voters.truncate(MAX_VOTERS);
        LeaseManager {
            instance,
            voters,
            local_entries,
            started: now,
            services: Vec::new(),
            ranks: BTreeMap::new(),
            votes: BTreeMap::new(),
            holders: BTreeMap::new(),
            held: BTreeMap::new(),
            attempts: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            first_term: incarnation / MILLIS_PER_TERM,
            terms: BTreeMap::new(),
            rounds: BTreeMap::new(),
            next_round: 1,
            next_renewal: now,
            next_announcement: now,
            retired: false,
            static_share_services: Vec::new(),
            terminated: BTreeMap::new(),
            last_tick: now,
        }
    }

    /// Sets the services whose pools need a dispatcher.
    pub fn set_services(&mut self, services: Vec<Service>) {
        let ranks = services.iter().map(|service| (service.clone(), self.compute_rank(service)));
        self.ranks = ranks.collect();
        self.services = services;
    }

    fn compute_rank(&self, service: &Service) -> u64 {
        let ranked = ranking(service.as_str(), self.local_entries.iter().cloned());
        ranked.iter().position(|i| *i == self.instance).unwrap_or(ranked.len()) as u64
    }

    /// Sets the services of which this instance runs requests under a static share.
    pub fn set_static_share_services(&mut self, services: Vec<Service>) {
        self.static_share_services = services;
    }

    /// Handles a failed connection attempt; `refused` states whether the connection was refused,
    /// which shows that the process does not run.
    ///
    /// If this process was stalled, the refusal may be as old as the stall, so it is ignored.
    pub fn on_dial_failed(&mut self, now: Millis, instance: &Instance, refused: bool) {
        if refused && now.since(self.last_tick) <= CLOCK_MARGIN {
            self.terminated.insert(instance.clone(), now);
        } else {
            self.terminated.remove(instance);
        }
    }

    /// Returns whether the other voters may form a majority without this instance.
    ///
    /// A voter whose process was recently found terminated can't vote until a lease duration later,
    /// because a restarted voter does not vote for that long.
    pub fn others_may_form_majority(&self, now: Millis) -> bool {
        let is_terminated = |voter: &Instance| {
            self.terminated
                .get(voter)
                .is_some_and(|at| now.since(*at) < LEASE_DURATION.since(CLOCK_MARGIN))
        };
        let others = self.voters.iter().filter(|voter| **voter != self.instance);
        others.filter(|voter| !is_terminated(voter)).count() > self.voters.len() / 2
    }

    /// Returns whether another instance may hold a service's lease, as far as this one knows.
    pub fn may_be_held_elsewhere(&self, now: Millis, service: &Service) -> bool {
        let vote = self.votes.get(service);
        let promised = vote.is_some_and(|v| v.holder != self.instance && now < v.until);
        promised || self.holder(now, service).is_some()
    }

    /// Returns the lease holder of a service's pool, if it announced itself within a lease
    /// duration.
    pub fn holder(&self, now: Millis, service: &Service) -> Option<&Holder> {
        self.holders.get(service).filter(|holder| now.since(holder.last_heard) < LEASE_DURATION)
    }

    /// Returns the term of the lease, if this instance holds it now.
    pub fn held_term(&self, now: Millis, service: &Service) -> Option<u64> {
        self.held.get(service).filter(|lease| now < lease.until).map(|lease| lease.term)
    }

    /// Returns the time until which this instance is certain to hold the lease, if it holds it now.
    pub fn held_until(&self, now: Millis, service: &Service) -> Option<Millis> {
        self.held.get(service).map(|lease| lease.until).filter(|until| now < *until)
    }

    /// Ends expired leases. Must be called before any other input is handled.
    ///
    /// A process that was stopped by a signal or starved of CPU may resume long after its lease
    /// passed to another instance. Together with the new holder's grants, grants issued then would
    /// overcommit the upstreams.
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

    /// Runs the periodic work: expiry, attempts, renewals and announcements.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<LeaseOutput>) {
        self.last_tick = now;
        self.expire(now, out);
        if self.retired {
            return;
        }
        self.abandon_attempts(now, out);
        let mut claims = self.start_attempts(now);
        if now >= self.next_renewal {
            self.next_renewal = now + RENEWAL_INTERVAL;
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

    /// Releases the votes of attempts that won no majority in time.
    ///
    /// Two instances that request a lease at the same time may split the votes. If both kept their
    /// votes and continued to request, neither would win, and the pool would have no dispatcher.
    fn abandon_attempts(&mut self, now: Millis, out: &mut Vec<LeaseOutput>) {
        let has_timed_out = |(_, attempt): &(&Service, &Attempt)| {
            now.since(attempt.requested_at) >= ATTEMPT_TIMEOUT
        };
        let timed_out = self.attempts.iter().filter(has_timed_out);
        let claims: Vec<Claim> =
            timed_out.map(|(service, attempt)| Claim(service.clone(), attempt.term)).collect();
        for Claim(service, _) in &claims {
            // A vote that arrives later is not counted, since the release covers it too.
            self.attempts.remove(service);
            let delay = RANK_DELAY.0 * (self.rank(service) + 1);
            self.retry_at.insert(service.clone(), now + Millis(delay));
        }
        if !claims.is_empty() {
            self.release(now, &claims, out);
        }
    }

    fn start_attempts(&mut self, now: Millis) -> Vec<Claim> {
        let mut claims = Vec::new();
        for service in self.services.clone() {
            let is_pending =
                self.held.contains_key(&service) || self.attempts.contains_key(&service);
            if is_pending || !self.may_request(now, &service) {
                continue;
            }
            let term = self.terms.entry(service.clone()).or_insert(0);
            *term = (*term + 1).max(self.first_term);
            self.attempts.insert(service.clone(), Attempt { term: *term, requested_at: now });
            claims.push(Claim(service, *term));
        }
        claims
    }

    /// Returns whether a lease has had no holder for as long as this instance's rank must wait.
    fn may_request(&self, now: Millis, service: &Service) -> bool {
        let last_heard = self.holders.get(service).map_or(self.started, |holder| holder.last_heard);
        let is_due = self.retry_at.get(service).is_none_or(|at| now >= *at);
        is_due
            && now.since(last_heard) >= LEASE_DURATION + Millis(RANK_DELAY.0 * self.rank(service))
    }

    fn rank(&self, service: &Service) -> u64 {
        self.ranks.get(service).copied().unwrap_or(0)
    }

    fn request(&mut self, now: Millis, claims: Vec<Claim>, out: &mut Vec<LeaseOutput>) {
        let round = self.next_round;
        self.next_round += 1;
        self.rounds.insert(round, Round { sent_at: now, granted: BTreeMap::new() });
        while self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_first();
        }
        for voter in self.voters.clone() {
            let message = LeaseMessage::Request { round, claims: claims.clone() };
            out.push(LeaseOutput::Send(voter, message));
        }
    }

    fn announce(&mut self, now: Millis, out: &mut Vec<LeaseOutput>) {
        // Due half a renewal interval early. Otherwise, a renewal that comes slightly early would
        // skip the announcement until the next renewal.
        self.next_announcement = now + ANNOUNCEMENT_INTERVAL.since(Millis(RENEWAL_INTERVAL.0 / 2));
        let claims = self.held_claims();
        if claims.is_empty() {
            return;
        }
        let own = self.instance.clone();
        self.on_announce(now, &own, &claims);
        for entry in self.local_entries.iter().filter(|i| **i != self.instance) {
            let message = LeaseMessage::Announce { claims: claims.clone() };
            out.push(LeaseOutput::Send(entry.clone(), message));
        }
    }

    /// Releases all leases and requests none from now on.
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
        for entry in self.local_entries.iter().filter(|i| **i != self.instance) {
            let message = LeaseMessage::Release { claims: claims.to_vec() };
            out.push(LeaseOutput::Send(entry.clone(), message));
        }
    }

    fn note_term(&mut self, service: &Service, term: u64) {
        let known = self.terms.entry(service.clone()).or_insert(0);
        *known = (*known).max(term);
    }
}
