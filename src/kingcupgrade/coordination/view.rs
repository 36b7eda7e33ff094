//! An instance's copy of the configuration in the record.
//!
//! Every part carries its index in the record and is replaced only by a later one, so a delayed
//! message, an isolated control instance or a restarted entry can never revert a part.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    core::{Document, FailureDomain, Millis, Service, UpstreamName},
    protocol::{
        order::UpstreamOrder,
        record::{Availability, RecordMessage, StoredConfiguration, StoredDocument},
        rollout::Rollout,
    },
};

/// Without confirmation for this long, an instance sends nothing new to other failure domains.
///
/// A failure domain may have been taken out of service meanwhile. An instance that went on with
/// what it knew would break the rule that the domain gets no new work a few seconds later.
pub const FRESHNESS_LIMIT: Millis = Millis(2_500);

/// A document in force, parsed and as stored.
#[derive(Clone, Debug)]
pub struct InForce {
    /// The parsed document, shared with the requests that run under it.
    pub document: Arc<Document>,
    /// The document as the record stores it.
    pub stored: StoredDocument,
}

/// The configuration, as one instance knows it.
#[derive(Clone, Debug, Default)]
pub struct View {
    index: u64,
    documents: BTreeMap<Service, InForce>,
    domains: BTreeMap<FailureDomain, Availability<FailureDomain>>,
    upstreams: BTreeMap<UpstreamName, Availability<UpstreamName>>,
    orders: BTreeMap<UpstreamName, UpstreamOrder>,
    configuration: Option<StoredConfiguration>,
    /// The rollouts of each service, by id.
    rollouts: BTreeMap<Service, BTreeMap<u64, Rollout>>,
    confirmed: Option<Millis>,
}

impl View {
    /// Returns the index in the record of the last known change.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the documents in force.
    pub fn documents(&self) -> &BTreeMap<Service, InForce> {
        &self.documents
    }

    /// Returns whether a failure domain is out of service.
    pub fn is_out(&self, domain: &FailureDomain) -> bool {
        self.domains.get(domain).is_some_and(|availability| availability.out)
    }

    /// Returns the complete configuration in force, as its operator sent it.
    pub fn configuration(&self) -> Option<&StoredConfiguration> {
        self.configuration.as_ref()
    }

    /// Returns the states of failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &Availability<FailureDomain>> {
        self.domains.values()
    }

    /// Returns the upstreams that an operator has set to leave.
    pub fn leaving(&self) -> BTreeSet<UpstreamName> {
        self.upstreams.values().filter(|s| s.out).map(|s| s.name.clone()).collect()
    }

    /// Returns whether an operator has set an upstream to leave.
    pub fn is_leaving(&self, upstream: &UpstreamName) -> bool {
        self.upstreams.get(upstream).is_some_and(|availability| availability.out)
    }

    /// Returns the latest order for each upstream that has one, also if it was withdrawn.
    pub fn orders(&self) -> impl Iterator<Item = &UpstreamOrder> {
        self.orders.values()
    }

    /// Returns the rollouts of each service, the latest last.
    pub fn rollouts(&self) -> &BTreeMap<Service, BTreeMap<u64, Rollout>> {
        &self.rollouts
    }

    /// Returns the time since the configuration was last confirmed to be the newest, if it ever
    /// was.
    pub fn confirmed_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether the configuration was recently confirmed to be the newest.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.confirmed_age(now).is_some_and(|age| age <= FRESHNESS_LIMIT)
    }

    /// Merges a [`RecordMessage::State`]; returns whether anything changed.
    ///
    /// Only an answer to a request confirms the configuration, and only as of the time of that
    /// request. A stalled connection may deliver an old state late, and counted from its arrival it
    /// would look fresh.
    pub fn merge(&mut self, message: &RecordMessage) -> bool {
        let RecordMessage::State {
            index,
            since,
            documents,
            domains,
            upstreams,
            orders,
            configuration,
            rollouts,
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
            && self.configuration.as_ref().is_none_or(|known| known.index < configuration.index)
        {
            self.configuration = Some(configuration.clone());
            changed = true;
        }
        for rollout in rollouts {
            let known = self.rollouts.entry(rollout.order.service.clone()).or_default();
            changed |= merge_newer(known, &rollout.id, rollout, |r| r.index);
        }
        // A state that answers an earlier process of this instance leaves out what that process
        // already had. If it were taken as complete, this process would ask for later changes only,
        // and would use an older configuration until the next change.
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
        // The record holds only validated documents. One that this version of the program can't
        // parse was validated by a newer version; the known document stays in force.
        let Ok(document) = Document::parse(&stored.text) else { return false };
        let in_force = InForce { document: Arc::new(document), stored: stored.clone() };
        self.documents.insert(stored.service.clone(), in_force);
        true
    }

    /// Returns all parts that changed after index `have`, as one entry passes them on to another:
    /// without confirmation.
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
            configuration: self
                .configuration
                .as_ref()
                .filter(|stored| stored.index > have)
                .cloned(),
            rollouts: self.rollouts_since(have),
        }
    }
}

impl View {
    fn rollouts_since(&self, have: u64) -> Vec<Rollout> {
        let all = self.rollouts.values().flat_map(BTreeMap::values);
        all.filter(|rollout| rollout.index > have).cloned().collect()
    }
}

/// Replaces a part if the new one has a later index in the record.
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
