//! The order in which waiting requests are tried.
//!
//! Requests of the better share status go first. Among those of one status, organisations take
//! turns, and each uses its turns for its requests with the earliest targets. In the order of targets
//! alone, an organisation with few requests would wait behind all requests of another that arrived
//! before them.

use std::collections::{BTreeMap, HashMap};

use super::{ShareStatus, queue::WaitingRequest};
use crate::core::{Organisation, Service};

/// The turns of the organisations with requests of one service and one status.
#[derive(Clone, Debug, Default)]
struct Round {
    /// The turn of the request that started last.
    current: u64,
    /// The next turn of each organisation that is ahead of `current`.
    next: BTreeMap<Organisation, u64>,
}

impl Round {
    fn next_of(&self, organisation: &Organisation) -> u64 {
        self.next.get(organisation).copied().unwrap_or(self.current)
    }
}

/// A waiting request's turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Turn {
    /// Its index among the waiting requests.
    pub(super) index: usize,
    number: u64,
}

impl Turn {
    /// Returns the turn of a request if no turns are taken.
    pub(super) fn in_sequence(index: usize) -> Turn {
        Turn { index, number: 0 }
    }
}

/// The turns of all organisations.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    rounds: HashMap<Service, BTreeMap<ShareStatus, Round>>,
}

impl Turns {
    /// Sorts requests by status and target, and returns the order in which they are to be tried.
    pub(super) fn order(&self, waiting: &mut [WaitingRequest]) -> Vec<Turn> {
        // The requests that were there before are still sorted, so this takes little time.
        waiting.sort_by_key(|waiting| (waiting.status, waiting.demand.target, !waiting.goes_first));
        let mut next_turns = HashMap::new();
        let mut order: Vec<_> = waiting
            .iter()
            .enumerate()
            .map(|(index, waiting)| {
                let WaitingRequest { demand, status, .. } = waiting;
                let round = self.rounds.get(&demand.service).and_then(|rounds| rounds.get(status));
                let next = next_turns
                    .entry((*status, &demand.service, &demand.organisation))
                    .or_insert_with(|| round.map_or(0, |r| r.next_of(&demand.organisation)));
                let number = *next;
                *next += 1;
                // Rounds of different services have no turns in common.
                let distance = number - round.map_or(0, |round| round.current);
                (*status, distance, index, number)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, index, number)| Turn { index, number }).collect()
    }

    /// Records that a request has started in its turn.
    pub(super) fn on_started(&mut self, started: &WaitingRequest, turn: Turn) {
        let demand = &started.demand;
        if !self.rounds.contains_key(&demand.service) {
            self.rounds.insert(demand.service.clone(), BTreeMap::new());
        }
        let rounds = self.rounds.get_mut(&demand.service).expect("it is in the map");
        let round = rounds.entry(started.status).or_default();
        round.current = round.current.max(turn.number);
        round.next.insert(demand.organisation.clone(), turn.number + 1);
        let current = round.current;
        round.next.retain(|_, next| *next > current);
    }
}
