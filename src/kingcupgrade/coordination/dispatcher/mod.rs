//! One pool's dispatcher: demand counts come up, grants of slots go down.
//!
//! A single owner of the pool's slots is what makes a cold upstream's limit exact and the choice
//! among organisations fair over all entries. The owner holds a lease (see [`super::lease`]); its
//! state is rebuilt from the entries when the lease passes on, so nothing here is written down.

pub mod counters;
mod demand;
mod grants;
mod neighbours;
mod recovery;
pub mod slots;
mod withheld;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use self::{
    counters::Counters,
    demand::Demand,
    slots::{Collapse, Listed, Slots},
};
use super::decision::Decision;
use crate::{
    core::{
        Document, FailureDomain, Instance, Millis, Organisation, UpstreamName, document::SlotLimits,
    },
    protocol::{
        Pool,
        dispatch::{
            DispatchBody, DispatchMessage, FinishedGrant, GrantId, GrantOutcome, QueuedRequests,
        },
    },
    util::rendezvous::static_shares,
};

/// How long a new dispatcher lets entries open their sessions before it grants.
pub const RECOVERY: Millis = Millis(400);
/// An entry silent for this long is taken for dead or cut off.
pub const SESSION_SILENCE: Millis = Millis(3_000);
/// A process heard so recently is not taken for gone on the word of a failed dial, which may have
/// been under way when the process started.
const GONE_DELAY: Millis = Millis(300);
/// How often totals go to the other dispatchers of the service.
const EXCHANGE_INTERVAL: Millis = Millis(1_000);
/// What another dispatcher said is forgotten after this time.
const EXCHANGE_TTL: Millis = Millis(3_500);
/// Every so many exchanges all backlogged organisations are sent again, and with them those whose
/// service changed without a backlog.
const FULL_EXCHANGE_EVERY: u64 = 30;
/// Organisations in one exchange at most; the rest follow in the next.
const EXCHANGE_BATCH: usize = 200;
/// How many average charges the counters of two pools may differ before one takes the other's
/// demand while it has demand of its own.
const OFFER_MARGIN: i64 = 2;
/// Added to a deadline, for a request's way to and from its upstream.
const DEADLINE_SLACK: Millis = Millis(1_000);

/// A message to send, or a decision to log.
#[derive(Clone, Debug)]
pub enum DispatcherOutput {
    /// Send a message to an instance.
    Send(Instance, DispatchMessage),
    /// Send a message to the dispatchers of the service in all other failure domains.
    SendToNeighbours(DispatchMessage),
    /// Log a decision.
    Decided(Decision),
}

#[derive(Clone, Debug)]
struct Outstanding {
    entry: Instance,
    organisation: Organisation,
    upstream: UpstreamName,
    estimate: u32,
    counted: u32,
    granted_at: Millis,
}

/// What another dispatcher of the service last said.
#[derive(Clone, Debug)]
struct Neighbour {
    holder: Instance,
    term: u64,
    free: u32,
    least: Option<i64>,
    heard: Millis,
}

impl Neighbour {
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.heard) <= EXCHANGE_TTL
    }
}

/// The state of one pool's dispatcher.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pool: Pool,
    instance: Instance,
    term: u64,
    born: Millis,
    document: Document,
    /// Whether the failure domain may get new work.
    serving: bool,
    /// Upstreams an operator has taken out.
    leaving: BTreeSet<UpstreamName>,
    counters: Counters,
    demand: Demand,
    outstanding: BTreeMap<GrantId, Outstanding>,
    in_flight: BTreeMap<UpstreamName, u32>,
    slots: BTreeMap<UpstreamName, Slots>,
    /// Instances of the failure domain that may use a static share while they can't be heard.
    residents: Vec<Instance>,
    /// Which resident each listed upstream belongs to by static share.
    shares: BTreeMap<UpstreamName, Instance>,
    /// Entries whose process is known to be gone.
    gone: BTreeSet<Instance>,
    /// Slots kept back for residents that can't be heard.
    reserved: BTreeMap<UpstreamName, u32>,
    neighbours: BTreeMap<FailureDomain, Neighbour>,
    next_grant: u64,
    next_exchange: Millis,
    /// When slots kept back may be told of again.
    next_withheld: Millis,
    exchanges: u64,
    average_charge: i64,
}

impl Dispatcher {
    /// Makes the dispatcher of `pool` in `term`.
    ///
    /// `residents` are the entries of the failure domain; upstream slots that one of them may be
    /// using unheard are kept back.
    pub fn new(
        now: Millis,
        pool: Pool,
        instance: Instance,
        term: u64,
        document: Document,
        residents: Vec<Instance>,
    ) -> Dispatcher {
        let mut counters = Counters::default();
        for (organisation, member) in &document.organisations {
            counters.set_share(organisation, member.share);
        }
        Dispatcher {
            pool,
            instance,
            term,
            born: now,
            document,
            serving: true,
            leaving: BTreeSet::new(),
            counters,
            demand: Demand::default(),
            outstanding: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            slots: BTreeMap::new(),
            residents,
            shares: BTreeMap::new(),
            gone: BTreeSet::new(),
            reserved: BTreeMap::new(),
            neighbours: BTreeMap::new(),
            next_grant: 1,
            next_exchange: now,
            next_withheld: now,
            exchanges: 0,
            average_charge: 0,
        }
    }

    /// Returns the term of the lease under which it grants.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the service counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns grants in use and limit of each upstream.
    pub fn loads(&self) -> impl Iterator<Item = (&UpstreamName, u32, u32)> {
        self.slots.iter().map(|(name, slots)| (name, self.in_flight(name), slots.limit()))
    }

    /// Returns how many requests each upstream may run by its document.
    pub fn slot_limits(&self) -> SlotLimits {
        self.document.slots
    }

    /// Takes over a newer document.
    pub fn set_document(&mut self, document: &Document) {
        for (organisation, member) in &document.organisations {
            self.counters.set_share(organisation, member.share);
        }
        for slots in self.slots.values_mut() {
            slots.set_limits(document.slots);
        }
        self.document = document.clone();
    }

    /// Sets whether the failure domain may get new work, and which upstreams may not.
    pub fn set_standing(&mut self, serving: bool, leaving: &BTreeSet<UpstreamName>) {
        self.serving = serving;
        self.leaving.clone_from(leaving);
    }

    /// Returns where a listed upstream is, and whether it runs nothing: no grant is in use, and none
    /// may be that is not known. Whether an entry that can't be heard uses its static share there
    /// only the upstream's own reports can tell.
    pub fn upstream(&self, now: Millis, name: &UpstreamName) -> Option<(SocketAddr, bool)> {
        let slots = self.slots.get(name)?;
        let is_shared = self.reserved.get(name).is_some_and(|count| *count > 0);
        let is_unused = !is_shared || slots.is_reported_idle(now);
        let is_idle = self.in_flight(name) == 0 && slots.has_only_known(now) && is_unused;
        Some((slots.address, is_idle))
    }

    /// Takes an upstream for a cold one: it was changed by order.
    pub fn on_changed(
        &mut self,
        now: Millis,
        name: &UpstreamName,
        out: &mut Vec<DispatcherOutput>,
    ) {
        if let Some(slots) = self.slots.get_mut(name) {
            slots.turn_cold(now);
            self.report_collapse(name, Some(Collapse::Changed), out);
        }
    }

    /// Takes in the platform's list of the pool's upstreams.
    pub fn on_listing(&mut self, now: Millis, listing: &[Listed], out: &mut Vec<DispatcherOutput>) {
        let listed: BTreeSet<&UpstreamName> = listing.iter().map(|l| &l.upstream).collect();
        self.slots.retain(|name, _| listed.contains(name));
        if !self.shares.keys().eq(listed.iter().copied()) {
            let names = listed.iter().map(|name| (*name).clone());
            self.shares = static_shares(names, &self.residents);
        }
        for item in listing {
            self.on_listed(now, item, out);
        }
        self.reserve_for_silent_residents(now);
        self.dispatch(now, out);
    }

    fn on_listed(&mut self, now: Millis, item: &Listed, out: &mut Vec<DispatcherOutput>) {
        let limits = self.document.slots;
        let longest_run = self.longest_run();
        let slots = self
            .slots
            .entry(item.upstream.clone())
            .or_insert_with(|| Slots::new(now, item, limits));
        let outstanding = &self.outstanding;
        let known = |made_at: Millis| {
            let shown = |grant: &&Outstanding| {
                grant.upstream == item.upstream && grant.granted_at <= made_at
            };
            u32::try_from(outstanding.values().filter(shown).count()).unwrap_or(u32::MAX)
        };
        let collapse = slots.on_listed(now, self.born + RECOVERY, longest_run, item, known);
        self.report_collapse(&item.upstream, collapse, out);
    }

    fn report_collapse(
        &self,
        upstream: &UpstreamName,
        collapse: Option<Collapse>,
        out: &mut Vec<DispatcherOutput>,
    ) {
        let reason = match collapse {
            None => return,
            Some(Collapse::Refused) => "refused a request",
            Some(Collapse::Failed) => "failed a request",
            Some(Collapse::Slow) => "first byte far later than usual",
            Some(Collapse::Restarted) => "new incarnation",
            Some(Collapse::Changed) => "changed by order",
        };
        out.push(DispatcherOutput::Decided(Decision::Collapse {
            service: self.pool.0.clone(),
            upstream: upstream.clone(),
            reason,
        }));
    }

    /// Handles a message for this dispatcher.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: &Instance,
        term: u64,
        body: &DispatchBody,
        out: &mut Vec<DispatcherOutput>,
    ) {
        match body {
            DispatchBody::Open { session, waiting, held } => {
                let knows_term = term == self.term;
                self.on_open(now, from, *session, knows_term, waiting, held);
            }
            DispatchBody::Report { session, seq, received, waiting, finished, progress } => {
                let in_step = self.demand.on_report(now, from, *session, *seq, *received);
                if !in_step {
                    self.send(from, DispatchBody::Resync, out);
                    return;
                }
                for done in finished {
                    self.on_finished(now, done, out);
                }
                for (id, cost) in progress {
                    self.on_progress(*id, *cost);
                }
                self.set_waiting(now, from, waiting);
            }
            DispatchBody::Close { session } => self.on_close(now, from, *session),
            DispatchBody::Exchange { free, least, served } => {
                self.on_exchange(now, from, term, *free, *least, served, out);
            }
            DispatchBody::Recall { served } => self.counters.merge_own(served),
            DispatchBody::Grants { .. } | DispatchBody::Ack { .. } | DispatchBody::Resync => {}
        }
        self.dispatch(now, out);
    }

    fn withdraw_demand(&mut self, now: Millis, entry: &Instance) {
        for organisation in self.demand.clear(entry) {
            self.refresh_waiting(now, &organisation);
        }
    }

    fn set_waiting(&mut self, now: Millis, entry: &Instance, waiting: &[QueuedRequests]) {
        for QueuedRequests(organisation, count) in waiting {
            self.demand.set(entry, organisation, *count);
            self.refresh_waiting(now, organisation);
        }
    }

    fn refresh_waiting(&mut self, now: Millis, organisation: &Organisation) {
        let total = self.demand.total(organisation);
        let elsewhere = self.fresh_neighbours(now).filter_map(|(_, n)| n.least).min();
        self.counters.set_waiting(organisation, total, elsewhere);
    }

    fn on_finished(&mut self, now: Millis, done: &FinishedGrant, out: &mut Vec<DispatcherOutput>) {
        self.on_progress(done.id, done.cost);
        let Some(grant) = self.take_outstanding(done.id) else { return };
        let Some(slots) = self.slots.get_mut(&grant.upstream) else { return };
        let collapse = match done.outcome {
            GrantOutcome::Completed => {
                slots.on_completed(now, grant.granted_at, done.first_byte_ms)
            }
            GrantOutcome::Unused => None,
            GrantOutcome::Refused => {
                slots.on_trouble(now);
                Some(Collapse::Refused)
            }
            GrantOutcome::Failed => {
                slots.on_trouble(now);
                Some(Collapse::Failed)
            }
        };
        self.report_collapse(&grant.upstream, collapse, out);
    }

    fn on_progress(&mut self, id: GrantId, cost: u32) {
        let Some(grant) = self.outstanding.get_mut(&id) else { return };
        if cost > grant.counted {
            let counted = std::mem::replace(&mut grant.counted, cost);
            self.counters.add_cost(&grant.organisation, grant.estimate, counted, cost);
        }
    }

    /// Frees the slot of a grant and settles its estimate.
    fn take_outstanding(&mut self, id: GrantId) -> Option<Outstanding> {
        let grant = self.outstanding.remove(&id)?;
        let learn = grant.counted > 0;
        self.counters.end_grant(&grant.organisation, grant.estimate, grant.counted, learn);
        if let Some(count) = self.in_flight.get_mut(&grant.upstream) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&grant.upstream);
            }
        }
        Some(grant)
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<DispatcherOutput>) {
        self.drop_silent_entries(now);
        self.reserve_for_silent_residents(now);
        self.dispatch(now, out);
        self.tell_withheld(now, out);
        self.acknowledge(now, out);
        if now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE_INTERVAL;
            self.exchange(now, out);
        }
    }

    fn send(&self, to: &Instance, body: DispatchBody, out: &mut Vec<DispatcherOutput>) {
        out.push(DispatcherOutput::Send(to.clone(), self.message(body)));
    }

    fn message(&self, body: DispatchBody) -> DispatchMessage {
        DispatchMessage { pool: self.pool.clone(), term: self.term, origin: None, body }
    }

    fn acknowledge(&mut self, now: Millis, out: &mut Vec<DispatcherOutput>) {
        let offers = self.offers(now);
        for (entry, session, granted) in self.demand.due_acks(now) {
            let body = DispatchBody::Ack { session, granted, offers: offers.clone() };
            self.send(&entry, body, out);
        }
    }

    /// Tells the dispatcher which failure domain each instance is in.
    pub fn set_domains(&mut self, domains: impl IntoIterator<Item = (Instance, FailureDomain)>) {
        self.demand.set_domains(domains);
    }

    /// Checks what must hold after every input.
    ///
    /// # Errors
    ///
    /// Returns a sentence that names the first thing that does not hold.
    pub fn check_invariants(&self) -> Result<(), String> {
        let mut counted: BTreeMap<&UpstreamName, u32> = BTreeMap::new();
        for grant in self.outstanding.values() {
            *counted.entry(&grant.upstream).or_default() += 1;
        }
        let stored: BTreeMap<&UpstreamName, u32> =
            self.in_flight.iter().map(|(name, count)| (name, *count)).collect();
        if counted != stored {
            return Err(format!("in-flight counts {stored:?} differ from grants {counted:?}"));
        }
        Ok(())
    }
}
