//! What an entry believes of one upstream.

use std::collections::HashMap;

use super::{backlog::Backlog, demand::Demand, health::Health};
use crate::{
    core::Millis,
    protocol::fleet::{ListedUpstream, Load},
};

/// A part not used for this long is not counted on, though the engine may keep it.
const KEPT_SPAN: Millis = Millis(30_000);
/// Parts remembered for one upstream.
const MAX_KEPT: usize = 4_000;
/// A report on an answer older than this says nothing any more: plain requests take some ten
/// milliseconds, and an upstream that was full once would look so until its next answer.
const REPORT_SPAN: Millis = Millis(50);

/// A part in use is told of again after this long: entries start anew and know nothing.
const TELL_AGAIN: Millis = Millis(10_000);

/// A part of a prompt that an upstream keeps.
#[derive(Clone, Copy, Debug)]
struct Kept {
    used: Millis,
    /// When the fleet was last told of it; `None` for what no other request shares.
    told: Option<Millis>,
}

/// Requests a second to a cold upstream, in small steps.
#[derive(Clone, Debug, Default)]
struct ColdMeter {
    tokens: f64,
    at: Millis,
}

impl Kept {
    fn counts(&self, now: Millis) -> bool {
        now.since(self.used) <= KEPT_SPAN
    }
}

/// The beliefs about one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// As the platform lists it.
    pub listed: ListedUpstream,
    /// Whether the platform listed it as leaving.
    is_leaving: bool,
    /// Until when it is cold.
    pub cold_until: Millis,
    /// What this entry has under way there.
    pub own: Load,
    /// What the other entries have under way there.
    pub others: Load,
    /// Prompts of this entry that it has not read.
    pub backlog: Backlog,
    /// Whether it fails.
    pub health: Health,
    meter: ColdMeter,
    /// Running and waiting as the upstream last said, and when.
    reported: Option<(u32, u32, Millis)>,
    kept: HashMap<u64, Kept>,
}

impl Upstream {
    /// Makes the beliefs about an upstream that was just listed.
    pub fn new(now: Millis, listed: ListedUpstream) -> Upstream {
        Upstream {
            cold_until: now + listed.cold,
            is_leaving: !listed.is_ready,
            meter: ColdMeter { tokens: 0.0, at: now },
            listed,
            own: Load::default(),
            others: Load::default(),
            backlog: Backlog::default(),
            health: Health::default(),
            reported: None,
            kept: HashMap::new(),
        }
    }

    /// Takes in a newer listing; an upstream that started anew knows nothing of before.
    pub fn relist(&mut self, now: Millis, listed: ListedUpstream) {
        let is_reborn = listed.started_unix_ms != self.listed.started_unix_ms
            || listed.address != self.listed.address;
        if is_reborn {
            self.kept.clear();
            self.health = Health::default();
            self.reported = None;
        }
        if listed.cold > Millis::ZERO {
            if !self.is_cold(now) {
                self.meter = ColdMeter { tokens: 0.0, at: now };
            }
            self.cold_until = now + listed.cold;
        }
        // An upstream that leaves does not come back without a new start; a list that says so was
        // held up on its way, and what is sent after it would be cut off.
        let has_left = !is_reborn && self.is_leaving;
        self.is_leaving = has_left || !listed.is_ready;
        self.listed = listed;
        self.listed.is_ready &= !has_left;
    }

    /// Tells whether the upstream is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns the requests under way there by all entries, as far as known.
    pub fn running(&self, now: Millis) -> u32 {
        let known = self.own.running + self.others.running;
        match self.reported {
            Some((running, waiting, at)) if now.since(at) <= REPORT_SPAN => {
                known.max(running + waiting)
            }
            _ => known,
        }
    }

    /// Lets it read prompts until now, at a rate in tokens a millisecond that it shares between the
    /// entries.
    pub fn let_read(&mut self, now: Millis, rate: f64) {
        let own = self.backlog.tokens() as f64;
        let part = own / (own + self.others.unread as f64).max(1.0);
        self.backlog.read(now, rate * part);
        self.own.unread = self.backlog.tokens();
    }

    /// Returns the prompt tokens unread there, as far as known.
    pub fn unread(&self) -> u64 {
        self.own.unread + self.others.unread
    }

    /// Returns the memory in use at the end of all requests under way, in tokens.
    pub fn memory(&self) -> u64 {
        self.own.memory + self.others.memory
    }

    /// Notes what the upstream says of its load on an answer.
    pub fn on_report(&mut self, now: Millis, running: u32, waiting: u32) {
        self.reported = Some((running, waiting, now));
    }

    /// Tells whether requests waited at the upstream when it last answered.
    pub fn has_waiting(&self, now: Millis) -> bool {
        self.reported.is_some_and(|(_, waiting, at)| waiting > 0 && now.since(at) <= REPORT_SPAN)
    }

    /// Returns the tokens of a prompt that the upstream has to read: those from the first part on
    /// that it doesn't keep.
    pub fn unread_of(&self, now: Millis, demand: &Demand) -> u64 {
        let is_kept = |id: u64| self.kept.get(&id).is_some_and(|kept| kept.counts(now));
        let unread = demand.prompt.iter().skip_while(|part| is_kept(part.id));
        unread.map(|part| u64::from(part.tokens)).sum()
    }

    /// Notes that a prompt is read there; returns the shared parts that the fleet is to be told of.
    pub fn keep(&mut self, now: Millis, demand: &Demand) -> Vec<u64> {
        self.forget_unused(now);
        let mut news = Vec::new();
        let shared = demand.prompt.len().saturating_sub(1);
        for (place, part) in demand.prompt.iter().enumerate() {
            let kept = self.kept.entry(part.id).or_insert(Kept { used: now, told: None });
            kept.used = now;
            let is_due = kept.told.is_none_or(|told| now.since(told) >= TELL_AGAIN);
            if place < shared && is_due {
                kept.told = Some(now);
                news.push(part.id);
            }
        }
        news
    }

    /// Notes parts that another entry told to be kept there.
    pub fn on_kept(&mut self, now: Millis, parts: &[u64]) {
        self.forget_unused(now);
        for id in parts {
            self.kept.insert(*id, Kept { used: now, told: Some(now) });
        }
    }

    fn forget_unused(&mut self, now: Millis) {
        if self.kept.len() > MAX_KEPT {
            self.kept.retain(|_, kept| kept.counts(now));
        }
        if self.kept.len() > MAX_KEPT {
            self.kept.clear();
        }
    }

    /// Tells whether a cold upstream bears one more request of this entry, given its part of the
    /// rate in requests a second.
    pub fn has_cold_room(&mut self, now: Millis, rate: f64) -> bool {
        self.refill(now, rate);
        self.meter.tokens >= 1.0
    }

    /// Spends a cold upstream's room.
    pub fn spend_cold(&mut self, now: Millis, rate: f64) {
        self.refill(now, rate);
        self.meter.tokens -= 1.0;
    }

    fn refill(&mut self, now: Millis, rate: f64) {
        let gained = now.since(self.meter.at).0 as f64 / 1000.0 * rate;
        self.meter.at = now;
        self.meter.tokens = (self.meter.tokens + gained).min(1.0);
    }
}
