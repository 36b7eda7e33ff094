//! Demand of the entries, as reported in their sessions.

use std::collections::{BTreeMap, VecDeque};

use super::turns::EntryTurns;
use crate::{
    core::{FailureDomain, Instance, Millis, Organisation},
    protocol::dispatch::{BegunAnswer, Session, SessionTag},
};

#[derive(Clone, Debug)]
struct EntrySession {
    session: Session,
    seq: u64,
    /// Whether the entry opened the session with this dispatcher's current term.
    knows_term: bool,
    last_heard: Millis,
    acked_at: Millis,
    /// Number of grants sent in the session.
    granted: u64,
    /// Organisations of the grants that the entry had not received at its last report, oldest
    /// first.
    unreceived: VecDeque<Organisation>,
    /// Waiting requests as last reported, less the grants received since.
    reported: BTreeMap<Organisation, u32>,
    /// The waiting requests whose answers have begun, without those that were granted a slot.
    begun: Vec<BegunAnswer>,
}

impl EntrySession {
    /// Returns how many of an organisation's requests have no grant in transit to the entry.
    ///
    /// A report and a grant may cross on the network. Using the reported count unchanged would
    /// grant the same request twice and leave a slot idle for a round trip.
    fn waiting(&self, organisation: &Organisation) -> u32 {
        let reported = self.reported.get(organisation).copied().unwrap_or(0);
        let in_transit = self.unreceived.iter().filter(|o| *o == organisation).count();
        reported.saturating_sub(u32::try_from(in_transit).unwrap_or(u32::MAX))
    }
}

/// Interval at which a session with waiting requests is acknowledged and sent offers.
const ACK_INTERVAL: Millis = Millis(500);
/// Interval of acknowledgements to any other session.
const IDLE_ACK_INTERVAL: Millis = Millis(1_000);

/// Interval of acknowledgements that tell an entry with waiting requests that every upstream has
/// asked for none, until it has refused them.
const BACKOFF_ACK_INTERVAL: Millis = Millis(50);

/// The demand of all entries for one pool.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    sessions: BTreeMap<Instance, EntrySession>,
    /// The entries with a non-zero reported count, by organisation.
    queues: BTreeMap<Organisation, EntryTurns>,
    last_heard: BTreeMap<Instance, Millis>,
    domains: BTreeMap<Instance, FailureDomain>,
}

impl Demand {
    /// Opens a session; returns false unless it is newer than the current one.
    ///
    /// `knows_term` states whether the entry addressed this dispatcher's current term.
    pub fn open(
        &mut self,
        now: Millis,
        entry: &Instance,
        session: Session,
        knows_term: bool,
    ) -> bool {
        let current = self.sessions.get(entry);
        if current.is_some_and(|current| session <= current.session) {
            return false;
        }
        self.clear(entry);
        let state = EntrySession {
            session,
            seq: 0,
            knows_term,
            last_heard: now,
            acked_at: Millis::ZERO,
            granted: 0,
            unreceived: VecDeque::new(),
            reported: BTreeMap::new(),
            begun: Vec::new(),
        };
        self.sessions.insert(entry.clone(), state);
        if knows_term {
            self.note_heard(now, entry);
        }
        true
    }

    /// Records a report; returns false if it is not the next one of the current session.
    pub fn on_report(
        &mut self,
        now: Millis,
        entry: &Instance,
        session: SessionTag,
        seq: u64,
        received: u64,
    ) -> bool {
        let Some(state) = self.sessions.get_mut(entry) else { return false };
        if state.session.tag() != session || seq != state.seq + 1 {
            return false;
        }
        state.seq = seq;
        state.last_heard = now;
        let knows_term = state.knows_term;
        let unreceived = state.granted.saturating_sub(received);
        let mut received = Vec::new();
        while state.unreceived.len() as u64 > unreceived {
            received.extend(state.unreceived.pop_front());
        }
        for organisation in received {
            self.subtract_received(entry, &organisation);
        }
        if knows_term {
            self.note_heard(now, entry);
        }
        true
    }

    /// Subtracts a received grant from the reported count.
    ///
    /// The entry does the same and reports a count only if it differs from the result. Without the
    /// subtraction, the request would count as waiting again once its grant is no longer in
    /// transit.
    fn subtract_received(&mut self, entry: &Instance, organisation: &Organisation) {
        let reported = self.sessions.get(entry).and_then(|state| state.reported.get(organisation));
        if let Some(count) = reported.copied() {
            self.set(entry, organisation, count.saturating_sub(1));
        }
    }

    /// Records waiting requests whose answers have begun.
    pub fn note_begun(&mut self, entry: &Instance, begun: &[BegunAnswer]) {
        if let Some(state) = self.sessions.get_mut(entry) {
            state.begun.extend_from_slice(begun);
        }
    }

    /// Removes and returns the next of an organisation's waiting requests at an entry whose answer
    /// has begun. They are at the head of the entry's queue.
    pub fn take_begun(
        &mut self,
        entry: &Instance,
        organisation: &Organisation,
    ) -> Option<BegunAnswer> {
        let begun = &mut self.sessions.get_mut(entry)?.begun;
        let index = begun.iter().position(|begun| begun.0 == *organisation)?;
        Some(begun.remove(index))
    }

    /// Sets the number of requests of an organisation that wait at an entry.
    pub fn set(&mut self, entry: &Instance, organisation: &Organisation, count: u32) {
        let Some(state) = self.sessions.get_mut(entry) else { return };
        if count > 0 {
            state.reported.insert(organisation.clone(), count);
            self.queues.entry(organisation.clone()).or_default().set_waiting(entry, count);
            return;
        }
        state.reported.remove(organisation);
        self.remove_queue(entry, organisation);
    }

    fn remove_queue(&mut self, entry: &Instance, organisation: &Organisation) {
        if let Some(turns) = self.queues.get_mut(organisation) {
            turns.remove(entry);
            if turns.is_empty() {
                self.queues.remove(organisation);
            }
        }
    }

    /// Removes all counts of an entry and returns the organisations affected.
    pub fn clear(&mut self, entry: &Instance) -> Vec<Organisation> {
        let Some(state) = self.sessions.get_mut(entry) else { return Vec::new() };
        let reported = std::mem::take(&mut state.reported);
        let organisations: Vec<Organisation> = reported.into_keys().collect();
        for organisation in &organisations {
            self.remove_queue(entry, organisation);
        }
        organisations
    }

    /// Removes the session of an entry.
    pub fn forget(&mut self, entry: &Instance) {
        self.clear(entry);
        self.sessions.remove(entry);
    }

    /// Returns the tag of an entry's current session.
    pub fn session(&self, entry: &Instance) -> Option<SessionTag> {
        self.sessions.get(entry).map(|state| state.session.tag())
    }

    /// Returns the sequence number of the last report received in an entry's session.
    pub fn last_report(&self, entry: &Instance) -> u64 {
        self.sessions.get(entry).map_or(0, |state| state.seq)
    }

    /// Returns whether `session` is the entry's current session.
    pub fn is_current(&self, entry: &Instance, session: SessionTag) -> bool {
        self.session(entry) == Some(session)
    }

    /// Returns how many of an organisation's requests wait, over all entries.
    pub fn total(&self, organisation: &Organisation) -> u32 {
        let Some(turns) = self.queues.get(organisation) else { return 0 };
        turns.entries().map(|entry| self.sessions[entry].waiting(organisation)).sum()
    }

    /// Returns the entry whose turn it is to serve one of an organisation's requests.
    pub fn next_entry(&self, organisation: &Organisation) -> Option<&Instance> {
        let waits = |entry: &Instance| self.sessions[entry].waiting(organisation) > 0;
        self.queues.get(organisation)?.first(waits)
    }

    /// Records a grant as in transit to an entry.
    pub fn on_granted(&mut self, entry: &Instance, organisation: &Organisation) {
        let Some(state) = self.sessions.get_mut(entry) else { return };
        state.granted += 1;
        state.unreceived.push_back(organisation.clone());
        if let Some(turns) = self.queues.get_mut(organisation) {
            turns.on_granted(entry, state.waiting(organisation));
        }
    }

    /// Lists the entries that have sent nothing in their session for longer than `timeout`.
    pub fn silent(&self, now: Millis, timeout: Millis) -> Vec<Instance> {
        let is_silent = |state: &EntrySession| now.since(state.last_heard) > timeout;
        self.sessions.iter().filter(|(_, s)| is_silent(s)).map(|(entry, _)| entry.clone()).collect()
    }

    /// Lists the sessions due for an acknowledgement, with the number of grants sent in each.
    ///
    /// Entries with waiting requests get one sooner if every upstream `is_backing_off`.
    pub fn due_acks(
        &mut self,
        now: Millis,
        is_backing_off: bool,
    ) -> Vec<(Instance, SessionTag, u64)> {
        let mut due = Vec::new();
        for (entry, state) in &mut self.sessions {
            let interval = match (state.reported.is_empty(), is_backing_off) {
                (true, _) => IDLE_ACK_INTERVAL,
                (false, true) => BACKOFF_ACK_INTERVAL,
                (false, false) => ACK_INTERVAL,
            };
            if now.since(state.acked_at) >= interval {
                state.acked_at = now;
                due.push((entry.clone(), state.session.tag(), state.granted));
            }
        }
        due
    }

    /// Records a message from an instance that knows of this dispatcher.
    pub fn note_heard(&mut self, now: Millis, instance: &Instance) {
        self.last_heard.insert(instance.clone(), now);
    }

    /// Returns whether an instance that knows of this dispatcher sent a message within `span`.
    pub fn was_heard(&self, now: Millis, instance: &Instance, span: Millis) -> bool {
        let last_heard = self.last_heard.get(instance);
        last_heard.is_some_and(|at| now.since(*at) <= span)
    }

    /// Sets which failure domain each instance is in.
    pub fn set_domains(&mut self, domains: impl IntoIterator<Item = (Instance, FailureDomain)>) {
        self.domains = domains.into_iter().collect();
    }

    /// Returns the failure domain of an instance.
    pub fn domain_of(&self, instance: &Instance) -> Option<FailureDomain> {
        self.domains.get(instance).cloned()
    }
}
