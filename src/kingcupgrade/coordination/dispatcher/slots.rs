//! How much one upstream may be given, from evidence that arrives late.
//!
//! A cold upstream falls over under a full load, and its load report lags, so a report that says
//! "warm" may describe a time before it turned cold again. Newer evidence (a refusal, a failure, a
//! slow first byte, another incarnation) therefore ends the trust in every report made before it.

use std::net::SocketAddr;

use crate::core::{Millis, document::SlotLimits};

/// A first byte slower than this many times the learned time is evidence of a cold upstream.
const SLOW_FACTOR: f32 = 6.0;
/// A first byte faster than this is never such evidence.
const SLOW_FLOOR_MS: f32 = 250.0;
/// Weight of the newest first-byte time in the learned one.
const LEARN_WEIGHT: f32 = 0.1;
/// How long an upstream is left alone after it refused or failed a request.
const PAUSE: Millis = Millis(400);
/// The longest such pause when failures follow each other.
const MAX_PAUSE: Millis = Millis(6_400);

/// What the platform says of one upstream.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its name.
    pub upstream: crate::core::UpstreamName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// A number that changes with every start of the upstream's process.
    pub incarnation: u64,
    /// Its latest load report.
    pub report: Option<LoadReport>,
}

/// What an upstream reported of its load some time ago.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Whether it can bear its full load.
    pub warm: bool,
    /// How long ago it was made, in milliseconds.
    pub age_ms: u64,
}

/// Why an upstream's limit fell back to the cold one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Collapse {
    /// It refused a request as more than it can bear.
    Refused,
    /// It failed to answer.
    Failed,
    /// Its first byte came far later than usual.
    Slow,
    /// Its process is another one.
    Restarted,
}

/// The slots of one upstream.
#[derive(Clone, Debug)]
pub struct Slots {
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// Whether it is about to leave.
    pub leaving: bool,
    limits: SlotLimits,
    limit: u32,
    incarnation: u64,
    /// Evidence older than this is not trusted.
    collapsed_at: Millis,
    /// Whether a report newer than `collapsed_at` says warm.
    confirmed_warm: bool,
    learned_first_byte: Option<f32>,
    paused_until: Millis,
    failures: u32,
    /// Requests that run there under grants unknown here; `None` until a report tells.
    unaccounted: Option<u32>,
    /// Only a report made after this shows all of them.
    unaccounted_since: Millis,
}

impl Slots {
    /// Makes the slots of an upstream first seen at `now`, all of them unproven.
    pub fn new(now: Millis, listed: &Listed, limits: SlotLimits) -> Slots {
        Slots {
            address: listed.address,
            leaving: listed.leaving,
            limits,
            limit: limits.cold,
            incarnation: listed.incarnation,
            collapsed_at: now,
            confirmed_warm: false,
            learned_first_byte: None,
            paused_until: now,
            failures: 0,
            unaccounted: None,
            unaccounted_since: Millis::ZERO,
        }
    }

    /// Returns the present limit.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Tells whether the limit is the cold one.
    pub fn is_cold(&self) -> bool {
        self.limit <= self.limits.cold
    }

    /// Returns how many slots are free while `in_flight` grants are in use; `reserved` slots are
    /// kept back for an instance that can't be heard and may be using them.
    pub fn free(&self, now: Millis, in_flight: u32, reserved: u32) -> u32 {
        let Some(unaccounted) = self.unaccounted else { return 0 };
        if self.leaving || now < self.paused_until {
            return 0;
        }
        self.limit.saturating_sub(in_flight + unaccounted + reserved)
    }

    /// Takes over changed limits from the document.
    pub fn set_limits(&mut self, limits: SlotLimits) {
        if limits == self.limits {
            return;
        }
        self.limits = limits;
        self.limit = self.limit.clamp(limits.cold, limits.warm);
    }

    /// Takes in what the platform says; `known` counts the requests among the reported ones that
    /// are known to run here at the time the report was made.
    ///
    /// `born` is when this dispatcher began: only a report made after it shows every grant of
    /// an earlier dispatcher.
    pub fn on_listed(
        &mut self,
        now: Millis,
        born: Millis,
        listed: &Listed,
        known: impl FnOnce(Millis) -> u32,
    ) -> Option<Collapse> {
        self.address = listed.address;
        self.leaving = listed.leaving;
        let restarted = listed.incarnation != self.incarnation;
        if restarted {
            self.incarnation = listed.incarnation;
            self.collapse(now);
        }
        if let Some(report) = listed.report {
            self.on_report(now, born, report, known);
        }
        restarted.then_some(Collapse::Restarted)
    }

    fn on_report(
        &mut self,
        now: Millis,
        born: Millis,
        report: LoadReport,
        known: impl FnOnce(Millis) -> u32,
    ) {
        let made_at = now.since(Millis(report.age_ms));
        if made_at >= self.collapsed_at {
            self.confirmed_warm = report.warm;
            if !report.warm {
                self.limit = self.limits.cold;
            }
        }
        let proves = match self.unaccounted {
            None => made_at >= born,
            Some(count) => count > 0 && made_at >= self.unaccounted_since,
        };
        if proves {
            let excess = report.running.saturating_sub(known(made_at));
            self.unaccounted = Some(self.unaccounted.map_or(excess, |count| count.min(excess)));
        }
    }

    /// Counts `grants` whose entry has gone silent as running until a report shows otherwise.
    pub fn add_unaccounted(&mut self, now: Millis, grants: u32) {
        self.unaccounted_since = now;
        if let Some(count) = &mut self.unaccounted {
            *count += grants;
        }
    }

    /// Learns from a request that ended well.
    pub fn on_completed(
        &mut self,
        now: Millis,
        granted_at: Millis,
        first_byte_ms: Option<u32>,
    ) -> Option<Collapse> {
        if granted_at < self.collapsed_at {
            return None;
        }
        self.failures = 0;
        if first_byte_ms.is_some_and(|ms| self.is_slow(ms)) {
            self.collapse(now);
            return Some(Collapse::Slow);
        }
        if self.confirmed_warm {
            self.limit = (self.limit + 1).min(self.limits.warm);
        }
        None
    }

    fn is_slow(&mut self, first_byte_ms: u32) -> bool {
        let ms = first_byte_ms as f32;
        let learned = *self.learned_first_byte.get_or_insert(ms);
        if ms > (learned * SLOW_FACTOR).max(SLOW_FLOOR_MS) {
            return !self.is_cold();
        }
        self.learned_first_byte = Some(learned + (ms - learned) * LEARN_WEIGHT);
        false
    }

    /// Falls back after a refusal or a failure, and leaves the upstream alone for a while.
    pub fn on_trouble(&mut self, now: Millis) {
        let pause = Millis(PAUSE.0 << self.failures.min(4)).min(MAX_PAUSE);
        self.failures += 1;
        self.paused_until = now + pause;
        self.collapse(now);
    }

    fn collapse(&mut self, now: Millis) {
        self.limit = self.limits.cold;
        self.collapsed_at = now;
        self.confirmed_warm = false;
    }
}
