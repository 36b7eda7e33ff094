//! The state of one upstream as an entry knows it.

use std::collections::HashMap;

use super::{backlog::Backlog, capability::Capability, demand::Demand, health::Health};
use crate::{
    coordination::{notices::NoticeState, rollout::Use},
    core::{MAX_CONCURRENCY, Millis},
    protocol::fleet::{ListedUpstream, Load},
};

/// A prompt part that was not used for this long is assumed to be evicted, though the engine may
/// still cache it.
const CACHE_TTL: Millis = Millis(30_000);
/// The limit of prompt parts that are remembered for one upstream.
const MAX_CACHED_PARTS: usize = 4_000;
/// A load report on an answer is ignored after this long: plain requests take some ten
/// milliseconds, and an upstream that was full once would look full until its next answer.
const REPORT_TTL: Millis = Millis(50);

/// A part in use is announced again after this long, for entries that have restarted and know
/// nothing.
const ANNOUNCE_INTERVAL: Millis = Millis(10_000);

/// A part of a prompt that an upstream has cached.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    used: Millis,
    /// When the part was last announced to the other entries; `None` if never, as for parts that no
    /// other request shares.
    announced: Option<Millis>,
}

/// A token bucket of at most one token that limits the request rate to a cold upstream.
#[derive(Clone, Debug, Default)]
struct ColdBucket {
    tokens: f64,
    at: Millis,
}

impl CachedPart {
    fn is_valid(&self, now: Millis) -> bool {
        now.since(self.used) <= CACHE_TTL
    }
}

/// The load that an upstream reports on an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait at the upstream.
    pub waiting: u32,
    /// The present duration of work on its machine, where 1 is the usual one; `None` if not stated.
    pub slowdown: Option<f32>,
}

impl ReportedLoad {
    /// Returns whether an upstream can have this load.
    pub fn is_plausible(&self) -> bool {
        self.running.max(self.waiting) <= MAX_CONCURRENCY
    }
}

/// The state of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The upstream as the platform lists it.
    pub listed: ListedUpstream,
    /// How its version is used; kept here since it is read for each upstream at each placement.
    pub version_use: Use,
    /// What it has asked for on its answers.
    pub notices: NoticeState,
    /// The time until which the upstream is cold.
    pub cold_until: Millis,
    /// The load of this entry's requests.
    pub own: Load,
    /// The load of the other entries' requests.
    pub peers: Load,
    /// This entry's prompts that the upstream has not read.
    pub backlog: Backlog,
    /// The upstream's health.
    pub health: Health,
    /// Whether it has ended while the requests at it may have exceeded its memory.
    pub(super) ended_beyond_memory: bool,
    /// How fast it works and how much load it takes.
    pub(super) capability: Capability,
    cold_bucket: ColdBucket,
    /// The running and waiting requests that the upstream last reported, and when it did.
    reported: Option<(u32, u32, Millis)>,
    cached: HashMap<u64, CachedPart>,
}

impl Upstream {
    /// Creates the state of a newly listed upstream.
    pub fn new(now: Millis, listed: ListedUpstream) -> Upstream {
        Upstream {
            cold_until: now + listed.cold,
            version_use: Use::Unused,
            notices: NoticeState::default(),
            cold_bucket: ColdBucket { tokens: 0.0, at: now },
            listed,
            own: Load::default(),
            peers: Load::default(),
            backlog: Backlog::default(),
            health: Health::default(),
            ended_beyond_memory: false,
            capability: Capability::default(),
            reported: None,
            cached: HashMap::new(),
        }
    }

    /// Applies a newer listing. If the upstream has restarted since, its cache, health, capability
    /// and reported load are reset.
    pub fn relist(&mut self, now: Millis, listed: ListedUpstream) {
        let has_restarted = listed.started_unix_ms != self.listed.started_unix_ms
            || listed.address != self.listed.address;
        if has_restarted {
            self.cached.clear();
            self.health = Health::default();
            self.ended_beyond_memory = false;
            self.capability = Capability::after_restart(now);
            self.reported = None;
        }
        if listed.cold > Millis::ZERO {
            if !self.is_cold(now) {
                self.cold_bucket = ColdBucket { tokens: 0.0, at: now };
            }
            self.cold_until = now + listed.cold;
        }
        self.listed = listed;
    }

    /// Returns whether the upstream may get new requests: it is listed as ready and has not said
    /// that it is leaving.
    pub fn is_ready(&self) -> bool {
        self.listed.is_ready && !self.notices.is_leaving
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns the number of requests of all entries under way at the upstream, as far as known.
    pub fn running(&self, now: Millis) -> u32 {
        let known = self.own.running + self.peers.running;
        match self.reported {
            Some((running, waiting, at)) if now.since(at) <= REPORT_TTL => {
                known.max(running + waiting)
            }
            _ => known,
        }
    }

    /// Returns how long work takes there at present, where 1 is the mean of its service; 1 if
    /// nothing is known.
    pub fn duration_factor(&self, now: Millis) -> f64 {
        self.capability.duration_factor(now, &self.peers.observed)
    }

    /// Returns the limit on the requests of all entries under way, if the upstream was found to
    /// answer late before it was full.
    pub fn load_limit(&self) -> Option<u32> {
        self.capability.load_limit()
    }

    /// Returns the weight of the answers of all entries from which its lasting speed is known.
    pub fn speed_answers(&self, now: Millis) -> f64 {
        self.capability.answers(now, &self.peers.observed)
    }

    /// Returns whether the upstream has as many requests under way as it answers in time, or as
    /// many of this entry, one of `entries`, as that one may send.
    pub(super) fn is_at_load_limit(&self, now: Millis, entries: usize) -> bool {
        let share = self.capability.limit_share(now, &self.peers.observed, entries);
        share.is_some_and(|share| self.own.running >= share)
            || self.load_limit().is_some_and(|limit| self.running(now) >= limit)
    }

    /// Advances the estimate of unread prompts; the read rate, in tokens per millisecond, is
    /// divided between the entries in proportion to their unread prompts.
    pub fn advance_reading(&mut self, now: Millis, rate: f64) {
        let own = self.backlog.tokens() as f64;
        let part = own / (own + self.peers.unread as f64).max(1.0);
        self.backlog.advance(now, rate * part);
        self.own.unread = self.backlog.tokens();
    }

    /// Returns the number of unread prompt tokens, as far as known.
    pub fn unread(&self) -> u64 {
        self.own.unread + self.peers.unread
    }

    /// Returns the memory that all requests under way will use at their end, in tokens.
    pub fn memory(&self) -> u64 {
        self.own.memory + self.peers.memory
    }

    /// Records the load that the upstream reported on an answer.
    pub fn on_report(&mut self, now: Millis, running: u32, waiting: u32) {
        self.reported = Some((running, waiting, now));
    }

    /// Returns whether requests were waiting at the upstream when it last answered.
    pub fn has_waiting(&self, now: Millis) -> bool {
        self.reported.is_some_and(|(_, waiting, at)| waiting > 0 && now.since(at) <= REPORT_TTL)
    }

    /// Returns the number of prompt tokens that the upstream has to read: all from the first part
    /// on that it has not cached.
    pub fn uncached_tokens(&self, now: Millis, demand: &Demand) -> u64 {
        let is_cached = |id: u64| self.cached.get(&id).is_some_and(|cached| cached.is_valid(now));
        let unread = demand.prompt.iter().skip_while(|part| is_cached(part.id));
        unread.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that the upstream caches a prompt; returns the shared parts that are to be announced
    /// to the other entries.
    pub fn record_prompt(&mut self, now: Millis, demand: &Demand) -> Vec<u64> {
        self.evict_unused(now);
        let mut announcements = Vec::new();
        let shared = demand.prompt.len().saturating_sub(1);
        for (position, part) in demand.prompt.iter().enumerate() {
            let cached =
                self.cached.entry(part.id).or_insert(CachedPart { used: now, announced: None });
            cached.used = now;
            let is_due =
                cached.announced.is_none_or(|announced| now.since(announced) >= ANNOUNCE_INTERVAL);
            if position < shared && is_due {
                cached.announced = Some(now);
                announcements.push(part.id);
            }
        }
        announcements
    }

    /// Records cached parts that another entry announced.
    pub fn on_announced_parts(&mut self, now: Millis, parts: &[u64]) {
        self.evict_unused(now);
        for id in parts {
            self.cached.insert(*id, CachedPart { used: now, announced: Some(now) });
        }
    }

    fn evict_unused(&mut self, now: Millis) {
        if self.cached.len() > MAX_CACHED_PARTS {
            self.cached.retain(|_, cached| cached.is_valid(now));
        }
        if self.cached.len() > MAX_CACHED_PARTS {
            self.cached.clear();
        }
    }

    /// Returns whether this entry may send one more request to a cold upstream; `rate` is its share
    /// of the rate, in requests per second.
    pub fn allows_cold_request(&mut self, now: Millis, rate: f64) -> bool {
        self.refill(now, rate);
        self.cold_bucket.tokens >= 1.0
    }

    /// Takes a token for a request to a cold upstream.
    pub fn take_cold_token(&mut self, now: Millis, rate: f64) {
        self.refill(now, rate);
        self.cold_bucket.tokens -= 1.0;
    }

    fn refill(&mut self, now: Millis, rate: f64) {
        let refilled = now.since(self.cold_bucket.at).0 as f64 / 1000.0 * rate;
        self.cold_bucket.at = now;
        self.cold_bucket.tokens = (self.cold_bucket.tokens + refilled).min(1.0);
    }
}
