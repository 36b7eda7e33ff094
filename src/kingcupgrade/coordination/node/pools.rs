//! Leases, dispatchers and static shares of this failure domain's pools.

use std::collections::BTreeSet;

use super::{FALLBACK_AFTER, Node, Output, other_domains, residents};
use crate::{
    coordination::{
        decision::Decision,
        dispatcher::{Dispatcher, DispatcherOutput, slots::Listed},
        lease::{LEASE_DURATION, LeaseOutput},
        orders::OrderBook,
    },
    core::{Document, FailureDomain, Instance, Millis, Service, document::SlotLimits},
    protocol::{
        Message, Pool,
        dispatch::{DispatchBody, DispatchMessage, STATIC_TERM},
        lease::{Claim, LeaseMessage},
    },
    util::rendezvous::{ranking, static_shares},
};

impl Node {
    pub(super) fn on_lease(
        &mut self,
        now: Millis,
        from: &Instance,
        message: &LeaseMessage,
        out: &mut Vec<Output>,
    ) {
        let Some(leases) = &mut self.leases else { return };
        if let Some(entry) = &self.entry {
            leases.set_static_share_services(entry.static_share_services());
        }
        let mut outputs = Vec::new();
        leases.on_message(now, from, message, &mut outputs);
        self.carry_out_leases(now, outputs, out);
        if let LeaseMessage::Reply { granted, sharing, .. } = message {
            self.on_acknowledged(now, from, granted, sharing);
        }
        self.keep_shares(now, out);
    }

    /// Notes which of this instance's leases another one knows of and makes no use against.
    fn on_acknowledged(
        &mut self,
        now: Millis,
        from: &Instance,
        granted: &[Claim],
        sharing: &[Service],
    ) {
        for Claim(service, term) in granted {
            let Some(dispatcher) = self.dispatchers.get_mut(service) else { continue };
            if dispatcher.term() == *term && !sharing.contains(service) {
                dispatcher.on_acknowledged(now, from);
            }
        }
    }

    pub(super) fn expire_leases(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(leases) = &mut self.leases else { return };
        let mut outputs = Vec::new();
        leases.expire(now, &mut outputs);
        self.carry_out_leases(now, outputs, out);
    }

    pub(super) fn carry_out_leases(
        &mut self,
        now: Millis,
        outputs: Vec<LeaseOutput>,
        out: &mut Vec<Output>,
    ) {
        for output in outputs {
            match output {
                LeaseOutput::Send(to, message) => self.send(to, Message::Lease(message), out),
                LeaseOutput::Gained(service, term) => self.on_gained(now, service, term, out),
                LeaseOutput::Lost(service, term) => {
                    self.dispatchers.remove(&service);
                    self.orders.remove(&service);
                    out.push(Output::Decided(Decision::Lease { service, term, held: false }));
                }
            }
        }
    }

    fn on_gained(&mut self, now: Millis, service: Service, term: u64, out: &mut Vec<Output>) {
        let Some(in_force) = self.view.documents().get(&service) else { return };
        let document = (*in_force.document).clone();
        let residents = residents(&self.settings, &self.domain);
        let dispatcher = self.new_dispatcher(now, &service, term, document, residents);
        self.dispatchers.insert(service.clone(), dispatcher);
        self.orders.insert(service.clone(), OrderBook::new(now, service.clone(), term));
        out.push(Output::Decided(Decision::Lease { service, term, held: true }));
        self.update_watch(out);
    }

    fn new_dispatcher(
        &self,
        now: Millis,
        service: &Service,
        term: u64,
        document: Document,
        residents: Vec<Instance>,
    ) -> Dispatcher {
        let pool = Pool(service.clone(), self.domain.clone());
        let instance = self.settings.instance.clone();
        let mut dispatcher = Dispatcher::new(now, pool, instance, term, document, residents);
        let domains = self.settings.peers.iter();
        dispatcher.set_domains(domains.map(|p| (p.instance.clone(), p.failure_domain.clone())));
        dispatcher.set_availability(!self.view.is_out(&self.domain), &self.view.leaving());
        dispatcher
    }

    pub(super) fn on_dispatch(
        &mut self,
        now: Millis,
        from: &Instance,
        message: &DispatchMessage,
        out: &mut Vec<Output>,
    ) {
        match &message.body {
            DispatchBody::Grants { .. } | DispatchBody::Ack { .. } | DispatchBody::Resync => {
                self.run_entry(now, out, |entry, view, outputs| {
                    entry.on_message(now, view, from, message, outputs);
                });
            }
            _ => self.on_demand(now, from, message, out),
        }
    }

    fn on_demand(
        &mut self,
        now: Millis,
        from: &Instance,
        message: &DispatchMessage,
        out: &mut Vec<Output>,
    ) {
        if message.pool.1 != self.domain {
            return;
        }
        let service = &message.pool.0;
        let is_own_share = message.term & STATIC_TERM != 0;
        let dispatchers = if is_own_share { &mut self.shares } else { &mut self.dispatchers };
        if let Some(dispatcher) = dispatchers.get_mut(service) {
            let mut outputs = Vec::new();
            let writer = message.origin.as_ref().unwrap_or(from);
            dispatcher.on_message(now, writer, message.term, &message.body, &mut outputs);
            self.carry_out_dispatch(now, service, outputs, out);
        } else if !is_own_share && message.origin.is_none() {
            self.forward(now, from, message, out);
        }
    }

    /// Passes a message on to the holder of its pool's lease, once.
    ///
    /// Instances of other failure domains do not hear who holds a lease here; they write to any
    /// instance that might and learn the holder from its answer.
    fn forward(
        &mut self,
        now: Millis,
        from: &Instance,
        message: &DispatchMessage,
        out: &mut Vec<Output>,
    ) {
        let Some(leases) = &self.leases else { return };
        let Some(holder) = leases.holder(now, &message.pool.0) else { return };
        let holder = holder.instance.clone();
        if holder != self.settings.instance && holder != *from {
            let message = DispatchMessage { origin: Some(from.clone()), ..message.clone() };
            self.send(holder, Message::Dispatch(message), out);
        }
    }

    pub(super) fn carry_out_dispatch(
        &mut self,
        now: Millis,
        service: &Service,
        outputs: Vec<DispatcherOutput>,
        out: &mut Vec<Output>,
    ) {
        for output in outputs {
            match output {
                DispatcherOutput::Send(to, message) => {
                    self.send(to, Message::Dispatch(message), out);
                }
                DispatcherOutput::SendToRemoteDispatchers(message) => {
                    self.send_to_neighbours(now, service, &message, out);
                }
                DispatcherOutput::Decided(decision) => out.push(Output::Decided(decision)),
            }
        }
    }

    fn send_to_neighbours(
        &mut self,
        now: Millis,
        service: &Service,
        message: &DispatchMessage,
        out: &mut Vec<Output>,
    ) {
        let Some(dispatcher) = self.dispatchers.get(service) else { return };
        let domains = other_domains(&self.settings, &self.domain);
        let holder = |domain: &FailureDomain| {
            let known = dispatcher.known_holder(now, domain).cloned();
            known.or_else(|| self.guess_holder(now, service, domain))
        };
        let addressed: Vec<(FailureDomain, Option<Instance>)> =
            domains.into_iter().map(|domain| (domain.clone(), holder(&domain))).collect();
        for (domain, holder) in addressed {
            let Some(holder) = holder else { continue };
            let mut message = message.clone();
            message.pool.1 = domain;
            self.send(holder, Message::Dispatch(message), out);
        }
    }

    /// Guesses who holds a lease in another failure domain; another guess each few seconds.
    pub(super) fn guess_holder(
        &self,
        now: Millis,
        service: &Service,
        domain: &FailureDomain,
    ) -> Option<Instance> {
        let ranked = ranking(service.as_str(), residents(&self.settings, domain));
        let turn = now.0 / LEASE_DURATION.0;
        let count = ranked.len().max(1) as u64;
        ranked.get(usize::try_from(turn % count).unwrap_or(0)).cloned()
    }

    pub(super) fn on_listed(
        &mut self,
        now: Millis,
        service: &Service,
        listing: &[Listed],
        out: &mut Vec<Output>,
    ) {
        let mut outputs = Vec::new();
        if let Some(dispatcher) = self.dispatchers.get_mut(service) {
            dispatcher.on_listing(now, listing, &mut outputs);
        }
        if let Some(share) = self.shares.get_mut(service) {
            let names = listing.iter().map(|listed| listed.upstream.clone());
            let owners = static_shares(names, &residents(&self.settings, &self.domain));
            let is_own = |listed: &&Listed| {
                owners.get(&listed.upstream).is_some_and(|i| *i == self.settings.instance)
            };
            let own: Vec<Listed> = listing.iter().filter(is_own).cloned().collect();
            share.on_listing(now, &own, &mut outputs);
        }
        self.carry_out_dispatch(now, service, outputs, out);
    }

    fn update_watch(&mut self, out: &mut Vec<Output>) {
        let services = self.dispatchers.keys().chain(self.shares.keys());
        let wanted: BTreeSet<Service> = services.cloned().collect();
        if wanted != self.watched {
            self.watched.clone_from(&wanted);
            out.push(Output::Watch(wanted));
        }
    }

    /// Begins and ends static shares.
    pub(super) fn keep_shares(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.entry.is_none() {
            return;
        }
        let services: Vec<Service> = self.view.documents().keys().cloned().collect();
        for service in services {
            let may_be_held = self
                .leases
                .as_ref()
                .is_some_and(|leases| leases.may_be_held_elsewhere(now, &service));
            let since = if may_be_held {
                self.homeless.remove(&service);
                None
            } else {
                Some(*self.homeless.entry(service.clone()).or_insert(now))
            };
            let wanted = self.settings.static_shares
                || since.is_some_and(|since| now.since(since) >= FALLBACK_AFTER);
            if wanted != self.shares.contains_key(&service) {
                self.set_share(now, &service, wanted, out);
            }
        }
        self.fit_shares(now);
        self.update_watch(out);
    }

    fn set_share(&mut self, now: Millis, service: &Service, active: bool, out: &mut Vec<Output>) {
        out.push(Output::Decided(Decision::Fallback { service: service.clone(), active }));
        if !active {
            self.shares.remove(service);
            return;
        }
        let Some(document) = self.share_document(now, service) else { return };
        let term = STATIC_TERM | now.0;
        let share = self.new_dispatcher(now, service, term, document, Vec::new());
        self.shares.insert(service.clone(), share);
    }

    /// Returns which of an upstream's slots are this entry's by static share.
    fn share_slots(&self, now: Millis, whole: SlotLimits) -> SlotLimits {
        let Some(leases) = &self.leases else { return whole };
        // A dispatcher on the other side of a cut keeps back no more.
        let own =
            if leases.others_may_form_majority(now) { whole.static_slots() } else { whole.cold };
        SlotLimits { cold: own, warm: own }
    }

    /// Returns the document of a service with the slots that are this entry's by static share.
    fn share_document(&self, now: Millis, service: &Service) -> Option<Document> {
        let in_force = self.view.documents().get(service)?;
        let mut document = (*in_force.document).clone();
        document.slots = self.share_slots(now, document.slots);
        Some(document)
    }

    /// Takes over changed documents into static shares.
    pub(super) fn renew_shares(&mut self, now: Millis) {
        let services: Vec<Service> = self.shares.keys().cloned().collect();
        for service in services {
            let document = self.share_document(now, &service);
            if let (Some(document), Some(share)) = (document, self.shares.get_mut(&service)) {
                share.set_document(&document);
            }
        }
    }

    /// Fits static shares to what is known of the others.
    fn fit_shares(&mut self, now: Millis) {
        let documents = self.view.documents();
        let is_fit = |(service, share): (&Service, &Dispatcher)| {
            let in_force = documents.get(service);
            in_force.is_none_or(|d| self.share_slots(now, d.document.slots) == share.slot_limits())
        };
        if !self.shares.iter().all(is_fit) {
            self.renew_shares(now);
        }
    }

    pub(super) fn tick_dispatchers(&mut self, now: Millis, out: &mut Vec<Output>) {
        let services: Vec<Service> = self.watched.iter().cloned().collect();
        for service in services {
            let mut outputs = Vec::new();
            if let Some(dispatcher) = self.dispatchers.get_mut(&service) {
                dispatcher.tick(now, &mut outputs);
            }
            if let Some(share) = self.shares.get_mut(&service) {
                share.tick(now, &mut outputs);
            }
            self.carry_out_dispatch(now, &service, outputs, out);
        }
    }
}
