//! Leases, dispatchers and static shares of the pools of this failure domain.

use std::collections::BTreeSet;

use super::{FALLBACK_DELAY, Node, Output, entries_in_domain, other_domains};
use crate::{
    coordination::{
        decision::Decision,
        dispatcher::{Dispatcher, DispatcherOutput, slots::Listed},
        lease::{LEASE_DURATION, LeaseOutput},
        orders::OrderReconciler,
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
        self.handle_lease_outputs(now, outputs, out);
        if let LeaseMessage::Reply { granted, sharing, .. } = message {
            self.on_lease_acknowledged(now, from, granted, sharing);
        }
        self.update_shares(now, out);
    }

    /// Records which of this instance's leases another instance acknowledges while it runs no
    /// requests of the service under a static share.
    fn on_lease_acknowledged(
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
        self.handle_lease_outputs(now, outputs, out);
    }

    pub(super) fn handle_lease_outputs(
        &mut self,
        now: Millis,
        outputs: Vec<LeaseOutput>,
        out: &mut Vec<Output>,
    ) {
        for output in outputs {
            match output {
                LeaseOutput::Send(to, message) => self.send(to, Message::Lease(message), out),
                LeaseOutput::Gained(service, term) => self.on_lease_gained(now, service, term, out),
                LeaseOutput::Lost(service, term) => {
                    self.dispatchers.remove(&service);
                    self.orders.remove(&service);
                    out.push(Output::Decided(Decision::Lease { service, term, held: false }));
                }
            }
        }
    }

    fn on_lease_gained(&mut self, now: Millis, service: Service, term: u64, out: &mut Vec<Output>) {
        let Some(in_force) = self.view.documents().get(&service) else { return };
        let document = (*in_force.document).clone();
        let domain_entries = entries_in_domain(&self.settings, &self.domain);
        let dispatcher = self.new_dispatcher(now, &service, term, document, domain_entries);
        self.dispatchers.insert(service.clone(), dispatcher);
        self.orders.insert(service.clone(), OrderReconciler::new(now, service.clone(), term));
        out.push(Output::Decided(Decision::Lease { service, term, held: true }));
        self.update_watch(out);
    }

    fn new_dispatcher(
        &self,
        now: Millis,
        service: &Service,
        term: u64,
        document: Document,
        domain_entries: Vec<Instance>,
    ) -> Dispatcher {
        let pool = Pool(service.clone(), self.domain.clone());
        let instance = self.settings.instance.clone();
        let mut dispatcher = Dispatcher::new(now, pool, instance, term, document, domain_entries);
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
                let first = out.len();
                self.run_entry(now, out, |entry, view, outputs| {
                    entry.on_message(now, view, from, message, outputs);
                });
                self.release_unsent(now, &out[first..]);
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
            let sender = message.origin.as_ref().unwrap_or(from);
            dispatcher.on_message(now, sender, message.term, &message.body, &mut outputs);
            self.handle_dispatcher_outputs(now, service, outputs, out);
        } else if !is_own_share && message.origin.is_none() {
            self.forward(now, from, message, out);
        }
    }

    /// Forwards a message to the holder of its pool's lease; a message is forwarded at most once.
    ///
    /// Leases are not announced to other failure domains. Their instances send to any instance that
    /// may hold the lease, and learn the holder from the reply.
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

    pub(super) fn handle_dispatcher_outputs(
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
        let recipients: Vec<(FailureDomain, Option<Instance>)> =
            domains.into_iter().map(|domain| (domain.clone(), holder(&domain))).collect();
        for (domain, holder) in recipients {
            let Some(holder) = holder else { continue };
            let mut message = message.clone();
            message.pool.1 = domain;
            self.send(holder, Message::Dispatch(message), out);
        }
    }

    /// Guesses which instance holds a lease in another failure domain; the guess changes every
    /// [`LEASE_DURATION`].
    pub(super) fn guess_holder(
        &self,
        now: Millis,
        service: &Service,
        domain: &FailureDomain,
    ) -> Option<Instance> {
        let ranked = ranking(service.as_str(), entries_in_domain(&self.settings, domain));
        let round = now.0 / LEASE_DURATION.0;
        let count = ranked.len().max(1) as u64;
        ranked.get(usize::try_from(round % count).unwrap_or(0)).cloned()
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
            let owners = static_shares(names, &entries_in_domain(&self.settings, &self.domain));
            let is_own = |listed: &&Listed| {
                owners.get(&listed.upstream).is_some_and(|i| *i == self.settings.instance)
            };
            let own: Vec<Listed> = listing.iter().filter(is_own).cloned().collect();
            share.on_listing(now, &own, &mut outputs);
        }
        self.handle_dispatcher_outputs(now, service, outputs, out);
    }

    fn update_watch(&mut self, out: &mut Vec<Output>) {
        let services = self.dispatchers.keys().chain(self.shares.keys());
        let wanted: BTreeSet<Service> = services.cloned().collect();
        if wanted != self.watched {
            self.watched.clone_from(&wanted);
            out.push(Output::Watch(wanted));
        }
    }

    /// Starts and stops static shares according to whether each service has a dispatcher.
    pub(super) fn update_shares(&mut self, now: Millis, out: &mut Vec<Output>) {
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
                self.without_dispatcher.remove(&service);
                None
            } else {
                Some(*self.without_dispatcher.entry(service.clone()).or_insert(now))
            };
            let wanted = self.settings.static_shares
                || since.is_some_and(|since| now.since(since) >= FALLBACK_DELAY);
            if wanted != self.shares.contains_key(&service) {
                self.set_share_active(now, &service, wanted, out);
            }
        }
        self.refresh_shares(now);
        self.update_watch(out);
    }

    fn set_share_active(
        &mut self,
        now: Millis,
        service: &Service,
        active: bool,
        out: &mut Vec<Output>,
    ) {
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

    /// Returns how many of an upstream's slots this entry may use under its static share.
    fn share_slots(&self, now: Millis, limits: SlotLimits) -> SlotLimits {
        let Some(leases) = &self.leases else { return limits };
        // If the other voters can form a majority, a dispatcher may run on the other side of a
        // network partition. It reserves no more than the static part for this entry.
        let own =
            if leases.others_may_form_majority(now) { limits.static_slots() } else { limits.cold };
        SlotLimits { cold: own, warm: own }
    }

    /// Returns the document of a service with the slot limits of this entry's static share.
    fn share_document(&self, now: Millis, service: &Service) -> Option<Document> {
        let in_force = self.view.documents().get(service)?;
        let mut document = (*in_force.document).clone();
        document.slots = self.share_slots(now, document.slots);
        Some(document)
    }

    /// Updates the documents of the static shares.
    pub(super) fn reload_share_documents(&mut self, now: Millis) {
        let services: Vec<Service> = self.shares.keys().cloned().collect();
        for service in services {
            let document = self.share_document(now, &service);
            if let (Some(document), Some(share)) = (document, self.shares.get_mut(&service)) {
                share.set_document(&document);
            }
        }
    }

    /// Updates the static shares if their slot limits have changed with what is known of the other
    /// voters.
    fn refresh_shares(&mut self, now: Millis) {
        let documents = self.view.documents();
        let is_current = |(service, share): (&Service, &Dispatcher)| {
            let in_force = documents.get(service);
            in_force.is_none_or(|d| self.share_slots(now, d.document.slots) == share.slot_limits())
        };
        if !self.shares.iter().all(is_current) {
            self.reload_share_documents(now);
        }
    }

    pub(super) fn tick_dispatchers(&mut self, now: Millis, out: &mut Vec<Output>) {
        let services: Vec<Service> = self.watched.iter().cloned().collect();
        for service in services {
            let mut outputs = Vec::new();
            if let Some(dispatcher) = self.dispatchers.get_mut(&service) {
                dispatcher.tick(now, &mut outputs);
            }
            self.update_rollouts(now, &service);
            if let Some(share) = self.shares.get_mut(&service) {
                share.tick(now, &mut outputs);
            }
            self.handle_dispatcher_outputs(now, &service, outputs, out);
        }
    }
}
