//! Whether an entry's own network link is full.
//!
//! The balancer may bring more callers to an entry than its link can carry. Nothing fails then: bytes
//! wait in a queue before the link, in either direction, for hundreds of milliseconds, and all
//! callers of the entry are served late. A request that arrives late looks the same as any other
//! one, and what is written drains into buffers, so neither shows the queue. What does is a round
//! trip to other instances, which waits in both queues. A single peer may be slow for reasons of
//! its own, but the own link delays the round trips to all of them; so the least delay beyond
//! what each peer's round trip takes at best is that of the own link.
//!
//! An entry whose link is full asks the balancer for no new callers and closes connections after
//! their answers. It refuses nothing: the body of a request has come in over the link by then.

use std::collections::BTreeMap;

use crate::core::{Instance, Millis};

/// The delay above which the link counts as full: less than the tightest targets allow for.
const DELAY_LIMIT: Millis = Millis(60);
/// A round trip says nothing after this long. Each connection to a peer is measured about twice a
/// second.
const SAMPLE_TTL: Millis = Millis(400);
/// The number of peers of which round trips are needed.
const MIN_PEERS: usize = 2;
/// How long the delay must be within the limit until the link no longer counts as full: the callers
/// that the balancer has moved away come back then.
const CLEAR_TIME: Millis = Millis(2_000);

/// The round trips to one peer.
#[derive(Clone, Copy, Debug)]
struct RoundTrips {
    least: Millis,
    last: Millis,
    at: Millis,
}

/// The load of an entry's link, as its round trips to other instances show it.
#[derive(Clone, Debug, Default)]
pub struct LinkLoad {
    peers: BTreeMap<Instance, RoundTrips>,
    delay: Millis,
    /// When the delay last exceeded the limit.
    exceeded: Option<Millis>,
}

impl LinkLoad {
    /// Records the time of a round trip to a peer.
    pub fn on_round_trip(&mut self, now: Millis, peer: &Instance, time: Millis) {
        let trips = RoundTrips { least: time, last: time, at: now };
        let known = self.peers.entry(peer.clone()).or_insert(trips);
        *known = RoundTrips { least: known.least.min(time), ..trips };
    }

    /// Judges the link by the recent round trips. `scheduling_delay` is how long tasks of this
    /// process wait for the processor, which delays round trips too.
    pub fn update(&mut self, now: Millis, scheduling_delay: Millis) {
        self.delay = self.least_delay(now).since(scheduling_delay);
        if self.delay > DELAY_LIMIT {
            self.exceeded = Some(now);
        }
    }

    /// Returns the least delay of recent round trips beyond the least time of their peer; zero if
    /// there are too few.
    fn least_delay(&self, now: Millis) -> Millis {
        let recent = self.peers.values().filter(|trips| now.since(trips.at) <= SAMPLE_TTL);
        let delays: Vec<Millis> = recent.map(|trips| trips.last.since(trips.least)).collect();
        match delays.len() < MIN_PEERS {
            true => Millis::ZERO,
            false => delays.into_iter().min().unwrap_or_default(),
        }
    }

    /// Returns the delay of the link when it was last judged.
    pub fn delay(&self) -> Millis {
        self.delay
    }

    /// Returns whether the link is full, so that new callers should be sent to other entries.
    pub fn is_full(&self, now: Millis) -> bool {
        self.exceeded.is_some_and(|at| now.since(at) < CLEAR_TIME)
    }
}
