//! How much one upstream may be given, from evidence that arrives late.
//!
//! A cold upstream falls over under a full load, and its load report lags, so a report that says
//! "warm" may describe a time before it turned cold again. Newer evidence (a refusal, a failure, a
//! slow first byte, another incarnation) therefore ends the trust in every report made before it.

use std::{collections::VecDeque, net::SocketAddr};

use crate::core::{Instance, Millis, UpstreamName, document::SlotLimits};

/// A first byte slower than this many times the learned time is evidence of a cold upstream.
const SLOW_FACTOR: f32 = 6.0;
/// A first byte faster than this is never such evidence.
const SLOW_FLOOR_MS: f32 = 250.0;
/// Weight of the newest first-byte time in the learned one.
const LEARN_WEIGHT: f32 = 0.1;
/// A grant given so long before a report was made is taken to run by then.
const START_SLACK: Millis = Millis(300);
/// The end of a request is known here so long after it at the latest.
const END_SLACK: Millis = Millis(1_000);
/// How long an upstream is left alone after it refused or failed a request.
const PAUSE: Millis = Millis(400);
/// The longest such pause when failures follow each other.
const MAX_PAUSE: Millis = Millis(6_400);
/// Reports must show nothing running over this span before an upstream counts as idle by them: an
/// entry with callers of its own pauses for less.
const IDLE_SPAN: Millis = Millis(3_000);
/// A report older than this says nothing of the present.
const REPORT_TTL: Millis = Millis(1_500);

/// What the platform says of one upstream.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its name.
    pub upstream: UpstreamName,
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
pub enum LimitReset {
    /// It refused a request as more than it can bear.
    Refused,
    /// It failed to answer.
    Failed,
    /// Its first byte came far later than usual.
    Slow,
    /// Its process is another one.
    Restarted,
    /// Its setup was changed by order.
    Changed,
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
    reset_at: Millis,
    /// Whether a report newer than `reset_at` says warm.
    confirmed_warm: bool,
    learned_first_byte: Option<f32>,
    paused_until: Millis,
    failures: u32,
    /// Requests that may run there beside the grants in use; `None` until a report tells.
    unaccounted: Option<Vec<Unaccounted>>,
    /// Only a report made after this shows all of them.
    unaccounted_since: Millis,
    /// Reports not held against the grants yet.
    reports: VecDeque<(Millis, u32)>,
    /// When the first and the last report were made of those that show nothing running, since one
    /// that showed something.
    idle: Option<(Millis, Millis)>,
}

/// A request that may still run although no grant in use stands for it.
#[derive(Clone, Debug)]
struct Unaccounted {
    /// The entry that was given the grant, if that is known.
    entry: Option<Instance>,
    /// The request's deadline: by then it has ended, whatever the reports say.
    until: Millis,
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
            reset_at: now,
            confirmed_warm: false,
            learned_first_byte: None,
            paused_until: now,
            failures: 0,
            unaccounted: None,
            unaccounted_since: Millis::ZERO,
            reports: VecDeque::new(),
            idle: None,
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
        let Some(unaccounted) = self.unaccounted(now) else { return 0 };
        if self.leaving || now < self.paused_until {
            return 0;
        }
        self.limit.saturating_sub(in_flight + unaccounted + reserved)
    }

    /// Returns how many requests may run beside the grants in use; `None` before the first report.
    pub fn unaccounted(&self, now: Millis) -> Option<u32> {
        let requests = self.unaccounted.as_ref()?;
        Some(requests.iter().filter(|request| now < request.until).count() as u32)
    }

    /// Returns how long the upstream is still left alone.
    pub fn pause_left(&self, now: Millis) -> Millis {
        self.paused_until.since(now)
    }

    /// Tells whether surely nothing runs there beside the grants in use.
    pub fn has_only_known(&self, now: Millis) -> bool {
        self.unaccounted(now) == Some(0)
    }

    /// Tells whether the upstream's reports have shown nothing running for long enough to take it
    /// for unused, up to the age of the last one.
    pub fn is_reported_idle(&self, now: Millis) -> bool {
        self.idle.is_some_and(|(first, last)| {
            last.since(first) >= IDLE_SPAN && now.since(last) <= REPORT_TTL
        })
    }

    /// Takes the upstream for a cold one from now on.
    pub fn turn_cold(&mut self, now: Millis) {
        self.learned_first_byte = None;
        self.reset_to_cold(now);
    }

    /// Takes over changed limits from the document.
    pub fn set_limits(&mut self, limits: SlotLimits) {
        if limits == self.limits {
            return;
        }
        self.limits = limits;
        self.limit = self.limit.clamp(limits.cold, limits.warm);
    }

    /// Takes in what the platform says.
    ///
    /// `born` is when this dispatcher began: only a report made after it shows every grant of
    /// an earlier dispatcher. `deadline` bounds how long any of those may run, and `known` counts
    /// the grants now in use that were given before a point in time.
    pub fn on_listed(
        &mut self,
        now: Millis,
        born: Millis,
        deadline: Millis,
        listed: &Listed,
        known: impl Fn(Millis) -> u32,
    ) -> Option<LimitReset> {
        self.address = listed.address;
        self.leaving = listed.leaving;
        let restarted = listed.incarnation != self.incarnation;
        if restarted {
            self.incarnation = listed.incarnation;
            self.reset_to_cold(now);
        }
        if let Some(report) = listed.report {
            self.on_report(now, born, deadline, report);
        }
        self.match_reports(now, known);
        restarted.then_some(LimitReset::Restarted)
    }

    fn on_report(&mut self, now: Millis, born: Millis, deadline: Millis, report: LoadReport) {
        let made_at = now.since(Millis(report.age_ms));
        if made_at >= self.reset_at {
            self.confirmed_warm = report.warm;
            if !report.warm {
                self.limit = self.limits.cold;
            }
        }
        if self.unaccounted.is_none() && made_at >= born {
            // At first all that runs may be an earlier dispatcher's; entries claim theirs later.
            let anyone = Unaccounted { entry: None, until: now + deadline };
            self.unaccounted = Some(vec![anyone; report.running as usize]);
            self.unaccounted_since = made_at;
            if self.confirmed_warm {
                // What it bears now it need not be led up to again by one request at a time.
                self.limit = report.running.clamp(self.limits.cold, self.limits.warm);
            }
        }
        self.idle = match (report.running, self.idle) {
            (0, Some((first, _))) => Some((first, made_at)),
            (0, None) => Some((made_at, made_at)),
            _ => None,
        };
        self.trim_unaccounted(made_at, report.running);
        if self.has_unaccounted() {
            self.reports.push_back((made_at, report.running));
        } else {
            self.reports.clear();
        }
    }

    fn has_unaccounted(&self) -> bool {
        self.unaccounted.as_ref().is_some_and(|requests| !requests.is_empty())
    }

    /// Takes no more than `running` requests for unaccounted ones, the last to end first.
    fn trim_unaccounted(&mut self, made_at: Millis, running: u32) {
        let since = self.unaccounted_since;
        let Some(requests) = &mut self.unaccounted else { return };
        if made_at >= since {
            requests.sort_by_key(|request| std::cmp::Reverse(request.until));
            requests.truncate(running as usize);
        }
    }

    /// Subtracts from older reports the grants that surely ran when they were made.
    ///
    /// A grant in use may not have reached the upstream yet, or its end may be under way to here;
    /// both would hide a request of a silent entry. Allowing time for either makes a mistake rare,
    /// not impossible. It would do a warm upstream little harm, and a cold one is therefore left
    /// out: its slots come back when its reports or the deadline show them free.
    fn match_reports(&mut self, now: Millis, known: impl Fn(Millis) -> u32) {
        while let Some((made_at, running)) = self.reports.front().copied() {
            if now.since(made_at) < END_SLACK {
                return;
            }
            self.reports.pop_front();
            if !self.is_cold() {
                let surely_known = known(made_at.since(START_SLACK));
                self.trim_unaccounted(made_at, running.saturating_sub(surely_known));
            }
        }
    }

    /// Counts a grant of a silent entry as running until it is shown otherwise.
    pub fn add_unaccounted(&mut self, now: Millis, entry: &Instance, until: Millis) {
        self.unaccounted_since = now;
        if let Some(requests) = &mut self.unaccounted {
            requests.push(Unaccounted { entry: Some(entry.clone()), until });
        }
    }

    /// Stops counting on what was unaccounted of an entry that has told what it holds; `held` of
    /// its requests here were counted without a name.
    pub fn on_entry_told(&mut self, entry: &Instance, held: usize) {
        let Some(requests) = &mut self.unaccounted else { return };
        requests.retain(|request| request.entry.as_ref() != Some(entry));
        for _ in 0..held {
            let nameless = requests.iter().position(|request| request.entry.is_none());
            nameless.map(|place| requests.swap_remove(place));
        }
    }

    /// Learns from a request that ended well.
    pub fn on_completed(
        &mut self,
        now: Millis,
        granted_at: Millis,
        first_byte_ms: Option<u32>,
    ) -> Option<LimitReset> {
        if granted_at < self.reset_at {
            return None;
        }
        self.failures = 0;
        if first_byte_ms.is_some_and(|ms| self.is_slow(ms)) {
            self.reset_to_cold(now);
            return Some(LimitReset::Slow);
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
    ///
    /// Requests that fail together are one piece of evidence. Were each to double the pause, one
    /// moment of trouble under a full load would idle the upstream for the longest pause at once.
    pub fn on_trouble(&mut self, now: Millis) {
        if now >= self.paused_until {
            let pause = Millis(PAUSE.0 << self.failures.min(4)).min(MAX_PAUSE);
            self.failures += 1;
            self.paused_until = now + pause;
        }
        self.reset_to_cold(now);
    }

    fn reset_to_cold(&mut self, now: Millis) {
        self.limit = self.limits.cold;
        self.reset_at = now;
        self.confirmed_warm = false;
    }
}
