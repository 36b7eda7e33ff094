//! The replicated state machine of the record.
//!
//! Applying the same entries must give the same state on every replica, so this module reads no
//! clock and uses no random numbers. The time is the leader's clock as stored in the entries, and
//! it never goes backwards.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{keys::Keys, rollouts::Rollouts};
use crate::{
    core::{Code, Document, FailureDomain, Millis, Service, UpstreamName, code::CodedError},
    protocol::{
        consensus::{LogEntry, Payload},
        order::{SetupChange, UpstreamOrder},
        record::{
            Availability, Command, RecordMessage, Reply, StoredConfiguration, StoredDocument,
        },
        rollout::{Rollout, RolloutOrder},
    },
};

/// The number of recent changes whose replies are kept for resends.
const MAX_CHANGES: usize = 10_000;
/// The number of recent revisions kept of each document.
const MAX_REVISIONS: usize = 20;

/// The applied state of the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The log index of the last change that instances need to know.
    #[serde(rename = "i")]
    index: u64,
    /// The record's clock: the latest leader time in an applied command.
    #[serde(rename = "w")]
    time: Millis,
    #[serde(rename = "d")]
    documents: BTreeMap<Service, VecDeque<StoredDocument>>,
    #[serde(rename = "f")]
    domains: BTreeMap<FailureDomain, Availability<FailureDomain>>,
    #[serde(rename = "u")]
    upstreams: BTreeMap<UpstreamName, Availability<UpstreamName>>,
    #[serde(rename = "o", default)]
    orders: BTreeMap<UpstreamName, UpstreamOrder>,
    #[serde(rename = "h", default)]
    configuration: Option<StoredConfiguration>,
    #[serde(rename = "r", default)]
    rollouts: Rollouts,
    #[serde(rename = "c")]
    changes: VecDeque<(String, Reply)>,
    #[serde(rename = "k")]
    keys: Keys,
}

impl Record {
    /// Decodes the state from a snapshot's data; empty data is the empty state.
    ///
    /// # Errors
    ///
    /// Returns [`Code::DataCorrupt`] if the data can't be decoded.
    pub fn decode(data: &[u8]) -> Result<Record, CodedError> {
        if data.is_empty() {
            return Ok(Record::default());
        }
        let mut record: Record = ciborium::from_reader(data)
            .map_err(|err| CodedError::new(Code::DataCorrupt, err.to_string()))?;
        record.keys.unpack();
        Ok(record)
    }

    /// Encodes the state as a snapshot's data.
    pub fn encode(&mut self) -> Vec<u8> {
        self.keys.pack();
        let mut data = Vec::new();
        ciborium::into_writer(self, &mut data).expect("writing to a vector can't fail");
        data
    }

    /// Sets the log index of everything that instances need to know to `index`, which must be
    /// higher than any index they have.
    ///
    /// Instances ignore state with an index no higher than their own. Under its old indexes, state
    /// restored from a backup would not replace what they have.
    pub fn restamp(&mut self, index: u64) {
        self.index = index;
        for stored in self.documents.values_mut().filter_map(VecDeque::back_mut) {
            stored.index = index;
        }
        self.domains.values_mut().for_each(|availability| availability.index = index);
        self.upstreams.values_mut().for_each(|availability| availability.index = index);
        self.orders.values_mut().for_each(|order| order.index = index);
        if let Some(stored) = &mut self.configuration {
            stored.index = index;
        }
        self.rollouts.restamp(index);
    }

    /// Returns the log index of the last change that instances need to know.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the request keys.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Returns the retained revisions of a service's document, latest last.
    pub fn revisions(&self, service: &Service) -> impl Iterator<Item = &StoredDocument> {
        self.documents.get(service).into_iter().flatten()
    }

    /// Applies a committed entry.
    pub fn apply(&mut self, entry: &LogEntry) -> Option<Reply> {
        let Payload::Command(command) = &entry.payload else { return None };
        self.time = self.time.max(Millis(entry.unix_ms));
        Some(self.apply_command(entry.index, command))
    }

    fn apply_command(&mut self, index: u64, command: &Command) -> Reply {
        match command {
            Command::Claim { id, key, digest, span } => {
                self.keys.claim(self.time, *id, key, *digest, *span)
            }
            Command::Settle { id, key, settlement } => {
                self.keys.settle(self.time, *id, key, settlement)
            }
            Command::ApplyDocument { change, service, base, text } => {
                self.run_once(change, |record| record.apply_document(index, service, *base, text))
            }
            Command::SetDomain { change, domain, out } => self.run_once(change, |record| {
                let availability = Availability { name: domain.clone(), out: *out, index };
                record.domains.insert(domain.clone(), availability);
                record.accept(index, 0)
            }),
            Command::SetLeaving { change, upstream, leaving } => self.run_once(change, |record| {
                let availability = Availability { name: upstream.clone(), out: *leaving, index };
                record.upstreams.insert(upstream.clone(), availability);
                record.accept(index, 0)
            }),
            Command::Order { change, upstream, setup } => {
                self.run_once(change, |record| record.order(index, upstream, setup))
            }
            Command::IfUnchanged { since, command } => {
                self.apply_if_unchanged(index, *since, command)
            }
            Command::Replace(proposed) => self.replace(index, proposed),
            Command::Read => Reply::Configuration(self.configuration.clone()),
            Command::StartRollout { change: Some(change), order } => {
                self.run_once(change, |record| record.start_rollout(index, order, false))
            }
            Command::StartRollout { change: None, order } => self.start_rollout(index, order, true),
            Command::AdvanceRollout { id, service, from, to } => {
                match self.rollouts.advance(index, service, *id, *from, *to) {
                    true => self.accept(index, 0),
                    // Another leader has changed the stage first.
                    false => Reply::Accepted { revision: 0, index: self.index },
                }
            }
            Command::ReadRollout(service) => Reply::Rollout(self.rollouts.last(service).cloned()),
            // Membership changes have log entries of their own; this command never reaches the log.
            Command::ChangeMembers { .. } => {
                Reply::Refused(CodedError::new(Code::MemberRefused, "not a change of the record"))
            }
        }
    }

    /// Applies a change unless what it changes has changed after the index `since`.
    ///
    /// A change that was overtaken but is in force is accepted without effect: it is a resend, or it
    /// makes no difference.
    fn apply_if_unchanged(&mut self, index: u64, since: u64, command: &Command) -> Reply {
        let is_resend = command.change_id().is_some_and(|change| self.reply_to(change).is_some());
        let changed = self.last_changed(command);
        if changed <= since || is_resend {
            return self.apply_known(index, command);
        }
        if self.is_in_force(command) {
            return Reply::Accepted { revision: 0, index: self.index };
        }
        let detail = format!("it was made at index {since}, another change came at {changed}");
        Reply::Refused(CodedError::new(Code::Overtaken, detail))
    }

    /// Applies a change of an operator who knew the last change of what it changes.
    fn apply_known(&mut self, index: u64, command: &Command) -> Reply {
        match command {
            // Only the last rollout can be the one that the order began.
            Command::StartRollout { change: None, order } => {
                let may_resend = self.is_in_force(command);
                self.start_rollout(index, order, may_resend)
            }
            command => self.apply_command(index, command),
        }
    }

    /// Returns whether a change would leave the record as it is.
    ///
    /// An order to an upstream never does, because its index is the fencing number.
    fn is_in_force(&self, command: &Command) -> bool {
        match command {
            Command::SetDomain { domain, out, .. } => {
                self.domains.get(domain).is_some_and(|known| known.out) == *out
            }
            Command::SetLeaving { upstream, leaving, .. } => {
                self.upstreams.get(upstream).is_some_and(|known| known.out) == *leaving
            }
            Command::StartRollout { change: None, order } => {
                self.rollouts.last(&order.service).is_some_and(|last| last.order == *order)
            }
            _ => false,
        }
    }

    /// Returns the index of the last change of what a command changes; 0 if there was none.
    fn last_changed(&self, command: &Command) -> u64 {
        let index = match command {
            Command::SetDomain { domain, .. } => self.domains.get(domain).map(|known| known.index),
            Command::SetLeaving { upstream, .. } => {
                self.upstreams.get(upstream).map(|known| known.index)
            }
            Command::Order { upstream, .. } => self.orders.get(upstream).map(|order| order.index),
            Command::StartRollout { order, .. } => {
                self.rollouts.last(&order.service).map(|last| last.id)
            }
            _ => None,
        };
        index.unwrap_or_default()
    }

    /// Returns the first reply to a change, if it is a recent one.
    fn reply_to(&self, change: &str) -> Option<&Reply> {
        self.changes.iter().find(|(known, _)| known == change).map(|(_, reply)| reply)
    }

    /// Applies a change, or returns its first reply again if it is a resend.
    ///
    /// An operator that received no reply sends the change again. Without the stored reply, the
    /// resend would be refused for a revision conflict with itself. The replies are part of the
    /// replicated state, so the texts of refusals in them must not differ between versions.
    fn run_once(&mut self, change: &str, make: impl FnOnce(&mut Record) -> Reply) -> Reply {
        if let Some(reply) = self.reply_to(change) {
            return reply.clone();
        }
        let reply = make(self);
        self.changes.push_back((change.to_owned(), reply.clone()));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        reply
    }

    fn accept(&mut self, index: u64, revision: u64) -> Reply {
        self.index = index;
        Reply::Accepted { revision, index }
    }

    /// Replaces the whole configuration if the proposed version is higher than the one in force.
    ///
    /// Otherwise the proposal is accepted without effect: it is a resend, or a newer version was
    /// committed first, which its sender can't know.
    fn replace(&mut self, index: u64, proposed: &StoredConfiguration) -> Reply {
        let current = self.configuration.as_ref().map_or(0, |stored| stored.version);
        if proposed.version > current {
            self.configuration = Some(StoredConfiguration { index, ..proposed.clone() });
            return self.accept(index, proposed.version);
        }
        Reply::Accepted { revision: current, index: self.index }
    }

    /// Begins a rollout. If `may_resend`, an order with the same content as an earlier one is a
    /// resend of it, and has no effect.
    fn start_rollout(&mut self, index: u64, order: &RolloutOrder, may_resend: bool) -> Reply {
        if let Err(err) = order.check() {
            return Reply::Refused(err);
        }
        if may_resend && self.rollouts.contains(order) {
            return Reply::Accepted { revision: 0, index: self.index };
        }
        if !self.knows_service(&order.service) {
            let detail = format!("no service {}", order.service);
            return Reply::Refused(CodedError::new(Code::NotFound, detail));
        }
        match self.rollouts.start(index, self.time, order) {
            Ok(()) => self.accept(index, 0),
            Err(err) => Reply::Refused(err),
        }
    }

    /// Returns whether a service has a document or is configured. A configuration that was stored
    /// without its list of services may contain any.
    fn knows_service(&self, service: &Service) -> bool {
        let configured = self.configuration.as_ref().map(|stored| &stored.services);
        self.documents.contains_key(service)
            || configured.is_some_and(|known| known.is_empty() || known.contains(service))
    }

    /// Returns the rollouts that have not ended.
    pub fn running_rollouts(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.running()
    }

    /// Returns the whole configuration in force.
    pub fn configuration(&self) -> Option<&StoredConfiguration> {
        self.configuration.as_ref()
    }

    /// Stores the changed order for an upstream; the log index of the change is its fencing number.
    fn order(&mut self, index: u64, upstream: &UpstreamName, change: &SetupChange) -> Reply {
        if let Err(err) = change.check() {
            return Reply::Refused(err);
        }
        let known = self.orders.get(upstream);
        let setup = known.map(|order| order.setup.clone()).unwrap_or_default().changed(change);
        let order = UpstreamOrder { upstream: upstream.clone(), setup, index };
        self.orders.insert(upstream.clone(), order);
        self.accept(index, 0)
    }

    fn apply_document(&mut self, index: u64, service: &Service, base: u64, text: &str) -> Reply {
        let revisions = self.documents.entry(service.clone()).or_default();
        let current = revisions.back().map_or(0, |stored| stored.revision);
        if base != current {
            let detail =
                format!("{service} is at revision {current}, the change was made from {base}");
            return Reply::Refused(CodedError::new(Code::RevisionConflict, detail));
        }
        // The document was validated before it was proposed. It is validated again because the
        // record must never contain a document that instances can't put in force.
        match Document::parse(text) {
            Ok(document) if document.service == *service => {}
            Ok(_) => {
                let detail = format!("the document is not of {service}");
                return Reply::Refused(CodedError::new(Code::DocumentInvalid, detail));
            }
            Err(err) => return Reply::Refused(err),
        }
        let revision = current + 1;
        let stored =
            StoredDocument { service: service.clone(), revision, index, text: text.to_owned() };
        revisions.push_back(stored);
        if revisions.len() > MAX_REVISIONS {
            revisions.pop_front();
        }
        self.accept(index, revision)
    }

    /// Returns the part of the state that changed after index `have`.
    pub fn state_since(
        &self,
        have: u64,
        asked: Option<Millis>,
        age: Option<Millis>,
    ) -> RecordMessage {
        let newest = self.documents.values().filter_map(VecDeque::back);
        RecordMessage::State {
            index: self.index,
            since: have,
            asked,
            age,
            documents: newest.filter(|stored| stored.index > have).cloned().collect(),
            domains: self.domains.values().filter(|s| s.index > have).cloned().collect(),
            upstreams: self.upstreams.values().filter(|s| s.index > have).cloned().collect(),
            orders: self.orders.values().filter(|o| o.index > have).cloned().collect(),
            configuration: self
                .configuration
                .as_ref()
                .filter(|stored| stored.index > have)
                .cloned(),
            rollouts: self.rollouts.since(have),
        }
    }
}
