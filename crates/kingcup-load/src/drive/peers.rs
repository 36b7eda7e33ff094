//! The simulated peers of the node: how they answer its messages, and what they send by themselves.

use std::collections::{BTreeMap, BTreeSet};

use kingcupgrade::{
    core::{Instance, Millis, Organisation},
    protocol::{
        Message, Pool,
        dispatch::{DispatchBody, DispatchMessage, Grant, GrantId, QueuedRequests, Session},
        lease::{Claim, LeaseMessage},
        record::RecordMessage,
    },
};

use super::{
    BACKLOGGED, DISPATCHED_POOLS, DOMAINS, ENTRIES, PeerDispatcher, PeerEntry, REQUEST_MS,
    SERVICES, Simulation, address, dispatched_pool, dispatcher_of, documents, entry, organisation,
    service,
};

impl Simulation {
    /// Responds to a message as its recipient would.
    pub(super) fn respond(&mut self, to: Instance, message: Message) {
        match message {
            Message::Lease(LeaseMessage::Request { round, claims }) => {
                let granted: Vec<Claim> = claims;
                let reply = LeaseMessage::Reply {
                    round,
                    granted,
                    refused: Vec::new(),
                    sharing: Vec::new(),
                };
                self.deliver(to, Message::Lease(reply));
            }
            Message::Record(RecordMessage::Pull { have, asked }) => {
                let documents = documents().into_iter().filter(|stored| stored.index > have);
                let state = RecordMessage::State {
                    index: SERVICES as u64,
                    since: 0,
                    asked: Some(asked),
                    age: Some(Millis::ZERO),
                    documents: if have < SERVICES as u64 {
                        documents.collect()
                    } else {
                        Vec::new()
                    },
                    domains: Vec::new(),
                    upstreams: Vec::new(),
                    orders: Vec::new(),
                    configuration: None,
                    rollouts: Vec::new(),
                };
                self.deliver(to, Message::Record(state));
            }
            Message::Dispatch(message) => self.respond_dispatch(to, message),
            _ => {}
        }
    }

    fn respond_dispatch(&mut self, to: Instance, message: DispatchMessage) {
        let held = (0..DISPATCHED_POOLS).find(|n| service(*n) == message.pool.0);
        match (message.body, held) {
            (DispatchBody::Grants { grants, .. }, Some(pool)) => {
                self.grants += grants.len();
                let Some(peer_entry) = self.peer_entries.get_mut(&(pool, to.clone())) else {
                    return;
                };
                peer_entry.received += grants.len() as u64;
                for grant in grants {
                    let due = self.now + REQUEST_MS;
                    self.running.push_back((due, (pool, to.clone()), grant.id));
                    // Backlogged organisations stay so: their next request is already waiting.
                    let count = peer_entry.waiting.entry(grant.organisation.clone()).or_default();
                    *count = count.saturating_sub(1);
                    if *count < 3 {
                        *count += 1;
                    }
                    peer_entry.changed.insert(grant.organisation);
                }
            }
            (DispatchBody::Open { session, waiting, .. }, None) => {
                let dispatcher = self.peer_dispatchers.entry(message.pool).or_default();
                *dispatcher =
                    PeerDispatcher { session: Some(session.tag()), ..PeerDispatcher::default() };
                dispatcher.waiting.extend(waiting.into_iter().map(|QueuedRequests(o, n)| (o, n)));
            }
            (DispatchBody::Report { seq, waiting, .. }, None) => {
                let dispatcher = self.peer_dispatchers.entry(message.pool).or_default();
                dispatcher.last_report = seq;
                dispatcher.waiting.extend(waiting.into_iter().map(|QueuedRequests(o, n)| (o, n)));
            }
            _ => {}
        }
    }

    /// Grants all requests that the node has waiting at peer dispatchers, as if slots were free.
    pub(super) fn send_peer_grants(&mut self) {
        let pools: Vec<Pool> = self.peer_dispatchers.keys().cloned().collect();
        for pool in pools {
            let Some(dispatcher) = self.peer_dispatchers.get_mut(&pool) else { continue };
            let Some(session) = dispatcher.session else { continue };
            let mut grants = Vec::new();
            for (organisation, count) in std::mem::take(&mut dispatcher.waiting) {
                for _ in 0..count {
                    self.next_grant += 1;
                    grants.push(Grant {
                        id: GrantId(1, self.next_grant),
                        organisation: organisation.clone(),
                        upstream: "engine-0123".into(),
                        address: address(),
                        incarnation: 1,
                        version: None,
                    });
                }
            }
            dispatcher.granted += grants.len() as u64;
            let (last_report, granted) = (dispatcher.last_report, dispatcher.granted);
            let sender = dispatcher_of(&pool.0);
            if !grants.is_empty() {
                let body = DispatchBody::Grants { session, last_report, grants };
                self.deliver_dispatch(&sender, pool, body);
            } else if self.now.is_multiple_of(1_000) {
                let (offers, backoff_left) = (Vec::new(), None);
                let body = DispatchBody::Ack { session, granted, offers, backoff_left };
                self.deliver_dispatch(&sender, pool, body);
            }
        }
    }

    pub(super) fn deliver_dispatch(&mut self, from: &Instance, pool: Pool, body: DispatchBody) {
        let message = DispatchMessage { pool, term: 1, origin: None, body };
        self.deliver(from.clone(), Message::Dispatch(message));
    }

    /// Opens the sessions of the other entries in the failure domain with the node's dispatchers.
    pub(super) fn open_peer_sessions(&mut self) {
        for pool in 0..DISPATCHED_POOLS {
            for (n, index) in (0..ENTRIES).step_by(DOMAINS).skip(1).enumerate() {
                let mine = (0..BACKLOGGED).filter(|o| n % 4 == o % 4).map(organisation);
                let waiting: BTreeMap<Organisation, u32> = mine.map(|o| (o, 3)).collect();
                let open = DispatchBody::Open {
                    session: Session(1, 1),
                    waiting: waiting.iter().map(|(o, n)| QueuedRequests(o.clone(), *n)).collect(),
                    held: Vec::new(),
                };
                let peer_entry = PeerEntry {
                    seq: 0,
                    received: 0,
                    waiting,
                    changed: BTreeSet::new(),
                    finished: Vec::new(),
                    progress: Vec::new(),
                };
                self.peer_entries.insert((pool, entry(index)), peer_entry);
                self.deliver_dispatch(&entry(index), dispatched_pool(pool), open);
            }
        }
    }

    pub(super) fn send_peer_reports(&mut self) {
        let keys: Vec<(usize, Instance)> = self.peer_entries.keys().cloned().collect();
        for key in keys {
            let Some(peer_entry) = self.peer_entries.get_mut(&key) else { continue };
            let is_keep_alive_due = self.now.is_multiple_of(1_000);
            if peer_entry.changed.is_empty() && peer_entry.finished.is_empty() && !is_keep_alive_due
            {
                continue;
            }
            peer_entry.seq += 1;
            let changed = std::mem::take(&mut peer_entry.changed);
            let counts = &peer_entry.waiting;
            let body = DispatchBody::Report {
                session: Session(1, 1).tag(),
                seq: peer_entry.seq,
                received: peer_entry.received,
                waiting: changed
                    .into_iter()
                    .map(|o| QueuedRequests(o.clone(), counts[&o]))
                    .collect(),
                finished: std::mem::take(&mut peer_entry.finished),
                progress: std::mem::take(&mut peer_entry.progress),
                notices: Vec::new(),
                begun: Vec::new(),
            };
            self.deliver_dispatch(&key.1, dispatched_pool(key.0), body);
        }
    }
}
