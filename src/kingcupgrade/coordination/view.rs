//! What an instance knows of the record's configuration.
//!
//! Every part carries its place in the record and is replaced only by a later one, so an old
//! message, an isolated control instance or a restarted neighbour can never take a part back.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    core::{Document, FailureDomain, Millis, Service, UpstreamName},
    protocol::{
        order::UpstreamOrder,
        record::{Availability, RecordMessage, StoredConfiguration, StoredDocument},
    },
};

/// Without confirmation for this long, nothing new goes to other failure domains.
///
/// A failure domain may have been taken out meanwhile; "no new work a few seconds after" would
/// not hold for an instance that goes on with what it knew.
pub const FRESHNESS_LIMIT: Millis = Millis(2_500);

/// A document in force and where it stands.
#[derive(Clone, Debug)]
pub struct InForce {
    /// The document, shared with the requests that run under it.
    pub document: Arc<Document>,
    /// As it is stored.
    pub stored: StoredDocument,
}

/// The configuration as one instance knows it.
#[derive(Clone, Debug, Default)]
pub struct View {
    index: u64,
    documents: BTreeMap<Service, InForce>,
    domains: BTreeMap<FailureDomain, Availability<FailureDomain>>,
    upstreams: BTreeMap<UpstreamName, Availability<UpstreamName>>,
    orders: BTreeMap<UpstreamName, UpstreamOrder>,
    whole: Option<StoredConfiguration>,
    confirmed: Option<Millis>,
}

impl View {
    /// Returns the place in the record of the last change known.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the documents in force.
    pub fn documents(&self) -> &BTreeMap<Service, InForce> {
        &self.documents
    }

    /// Tells whether a failure domain is out.
    pub fn is_out(&self, domain: &FailureDomain) -> bool {
        self.domains.get(domain).is_some_and(|availability| availability.out)
    }

    /// Returns the whole configuration in force, as its operator sent it.
    pub fn whole(&self) -> Option<&StoredConfiguration> {
        self.whole.as_ref()
    }

    /// Lists the standings of failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &Availability<FailureDomain>> {
        self.domains.values()
    }

    /// Lists the upstreams an operator lets leave.
    pub fn leaving(&self) -> BTreeSet<UpstreamName> {
        self.upstreams.values().filter(|s| s.out).map(|s| s.name.clone()).collect()
    }

    /// Tells whether an upstream is leaving.
    pub fn is_leaving(&self, upstream: &UpstreamName) -> bool {
        self.upstreams.get(upstream).is_some_and(|availability| availability.out)
    }

    /// Lists the orders that stand.
    pub fn orders(&self) -> impl Iterator<Item = &UpstreamOrder> {
        self.orders.values()
    }

    /// Returns how long ago the configuration was confirmed to be the newest, if it ever was.
    pub fn confirmed_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Tells whether the configuration was confirmed to be the newest of late.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.confirmed_age(now).is_some_and(|age| age <= FRESHNESS_LIMIT)
    }

    /// Takes in a [`RecordMessage::State`]; returns whether anything changed.
    ///
    /// Only an answer confirms, and from the time it was asked for. A connection that stood still
    /// may deliver an old state late, and counted from its arrival that would look fresh.
    pub fn merge(&mut self, message: &RecordMessage) -> bool {
        let RecordMessage::State {
            index,
            since,
            documents,
            domains,
            upstreams,
            orders,
            configuration,
            ..
        } = message
        else {
            return false;
        };
        let mut changed = false;
        for stored in documents {
            changed |= self.merge_document(stored);
        }
        for availability in domains {
            changed |=
                merge_newer(&mut self.domains, &availability.name, availability, |s| s.index);
        }
        for availability in upstreams {
            changed |=
                merge_newer(&mut self.upstreams, &availability.name, availability, |s| s.index);
        }
        for order in orders {
            changed |= merge_newer(&mut self.orders, &order.upstream, order, |o| o.index);
        }
        if let Some(configuration) = configuration
            && self.whole.as_ref().is_none_or(|known| known.index < configuration.index)
        {
            self.whole = Some(configuration.clone());
            changed = true;
        }
        // Told to the process that had this one's place before, a state leaves out what that one
        // had. Taken as whole, this one would ask for later changes only, and go by an older
        // configuration until the next.
        if *since > self.index {
            return changed;
        }
        if let Some(confirmed) = message.confirmed()
            && *index >= self.index
        {
            self.confirmed = Some(self.confirmed.map_or(confirmed, |known| known.max(confirmed)));
        }
        self.index = self.index.max(*index);
        changed
    }

    fn merge_document(&mut self, stored: &StoredDocument) -> bool {
        let known = self.documents.get(&stored.service);
        if known.is_some_and(|known| known.stored.index >= stored.index) {
            return false;
        }
        // The record holds checked documents only; one that fails here was checked by a newer
        // program, and the known one stays in force.
        let Ok(document) = Document::parse(&stored.text) else { return false };
        let in_force = InForce { document: Arc::new(document), stored: stored.clone() };
        self.documents.insert(stored.service.clone(), in_force);
        true
    }

    /// Returns all that changed after `have`, as a neighbour passes it on: without confirmation.
    pub fn state_since(&self, have: u64) -> RecordMessage {
        let documents = self.documents.values().map(|in_force| &in_force.stored);
        RecordMessage::State {
            index: self.index,
            since: have,
            asked: None,
            age: None,
            documents: documents.filter(|stored| stored.index > have).cloned().collect(),
            domains: self.domains.values().filter(|s| s.index > have).cloned().collect(),
            upstreams: self.upstreams.values().filter(|s| s.index > have).cloned().collect(),
            orders: self.orders.values().filter(|o| o.index > have).cloned().collect(),
            configuration: self.whole.as_ref().filter(|whole| whole.index > have).cloned(),
        }
    }
}

/// Takes in a part if its place in the record is later than that of the known one.
fn merge_newer<N: Ord + Clone, P: Clone>(
    known: &mut BTreeMap<N, P>,
    name: &N,
    part: &P,
    index: impl Fn(&P) -> u64,
) -> bool {
    if known.get(name).is_some_and(|known| index(known) >= index(part)) {
        return false;
    }
    known.insert(name.clone(), part.clone());
    true
}
