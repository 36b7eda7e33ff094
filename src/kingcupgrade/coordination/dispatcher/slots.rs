//! The concurrency limit of one upstream, derived from delayed load reports and request outcomes.
//!
//! A cold upstream fails under full load. Its load reports are delayed, so a report that says
//! "warm" may have been made before the upstream turned cold again. Newer evidence (a refusal, a
//! failure, a slow first byte, a new incarnation) therefore invalidates every report made before
//! it.

use std::{collections::VecDeque, net::SocketAddr};

use crate::core::{Instance, Millis, UpstreamName, Version, document::SlotLimits};

/// A first byte that takes more than this multiple of the average time indicates a cold upstream.
const SLOW_FACTOR: f32 = 6.0;
/// A first byte within this time never indicates a cold upstream.
const MIN_SLOW_MS: f32 = 250.0;
/// Weight of the newest first-byte time in the moving average.
const FIRST_BYTE_WEIGHT: f32 = 0.1;
/// A request is assumed to be running at the upstream this long after its grant was issued.
const MAX_START_DELAY: Millis = Millis(300);
/// The longest time until the dispatcher learns that a request has ended.
const MAX_END_DELAY: Millis = Millis(1_000);
/// How long an upstream gets no requests after it first refused or failed one.
const PAUSE: Millis = Millis(400);
/// Upper bound of that pause, which doubles with each consecutive failure.
const MAX_PAUSE: Millis = Millis(6_400);
/// How long load reports must show nothing running before an upstream counts as idle. An entry with
/// callers of its own leaves shorter gaps between requests.
const IDLE_SPAN: Millis = Millis(3_000);
/// A load report older than this says nothing about the current load.
const REPORT_TTL: Millis = Millis(1_500);

/// One upstream as listed by the platform.
#[derive(Clone, Debug)]
pub struct Listed {
    /// The upstream's name.
    pub upstream: UpstreamName,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Whether it is being shut down and gets no new requests.
    pub leaving: bool,
    /// A number that changes whenever the upstream's process starts.
    pub incarnation: u64,
    /// Its latest load report.
    pub report: Option<LoadReport>,
    /// The version of its software, if known.
    pub version: Option<Version>,
}

/// The load of an upstream at some time in the past, as the upstream reported it.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Whether it can handle its full load.
    pub warm: bool,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Why an upstream's limit was reset to the cold limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReset {
    /// The upstream refused a request because it was overloaded.
    Refused,
    /// It failed to answer a request.
    Failed,
    /// Its first byte took far longer than usual.
    Slow,
    /// Its process was restarted.
    Restarted,
    /// An order changed its setup.
    Changed,
}

/// The slots of one upstream.
#[derive(Clone, Debug)]
pub struct Slots {
    /// The address the upstream listens on.
    pub address: SocketAddr,
    /// The version of its software, if known.
    pub version: Option<Version>,
    limits: SlotLimits,
    limit: u32,
    incarnation: u64,
    /// When the limit was last reset. Reports and grants older than this are not evidence.
    reset_at: Millis,
    /// Whether the last report made since `reset_at` shows the upstream as warm.
    confirmed_warm: bool,
    average_first_byte: Option<f32>,
    paused_until: Millis,
    failures: u32,
    /// Requests that may be running without a grant in use; `None` before the first usable report.
    unaccounted: Option<Vec<Unaccounted>>,
    /// Only a report made at or after this time includes all of them.
    unaccounted_since: Millis,
    /// Time and running requests of the reports not yet compared with the grants.
    reports: VecDeque<(Millis, u32)>,
    /// When the first and the last report were made in the current run of reports that show nothing
    /// running.
    idle: Option<(Millis, Millis)>,
}

/// A request that may still be running although no grant in use covers it.
#[derive(Clone, Debug)]
struct Unaccounted {
    /// The silent entry that holds the grant; `None` if that is unknown, or if the upstream is
    /// silent.
    entry: Option<Instance>,
    /// Upper bound for the end of the request, whatever the reports show.
    until: Millis,
}

impl Slots {
    /// Creates the slots of an upstream first listed at `now`, with the cold limit.
    pub fn new(now: Millis, listed: &Listed, limits: SlotLimits) -> Slots {
        Slots {
            address: listed.address,
            version: listed.version.clone(),
            limits,
            limit: limits.cold,
            incarnation: listed.incarnation,
            reset_at: now,
            confirmed_warm: false,
            average_first_byte: None,
            paused_until: now,
            failures: 0,
            unaccounted: None,
            unaccounted_since: Millis::ZERO,
            reports: VecDeque::new(),
            idle: None,
        }
    }

    /// Returns the incarnation of the upstream, as listed.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the current limit.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the current limit is the cold limit.
    pub fn is_cold(&self) -> bool {
        self.limit <= self.limits.cold
    }

    /// Returns how many slots are free while `in_flight` grants are in use and `reserved` slots are
    /// withheld for an unreachable entry that may be using them.
    pub fn free(&self, now: Millis, in_flight: u32, reserved: u32) -> u32 {
        let Some(unaccounted) = self.unaccounted(now) else { return 0 };
        if now < self.paused_until {
            return 0;
        }
        self.limit.saturating_sub(in_flight + unaccounted + reserved)
    }

    /// Returns how many requests may be running without a grant in use; `None` before the first
    /// usable report.
    pub fn unaccounted(&self, now: Millis) -> Option<u32> {
        let requests = self.unaccounted.as_ref()?;
        Some(requests.iter().filter(|request| now < request.until).count() as u32)
    }

    /// Returns the remaining time for which the upstream gets no requests.
    pub fn pause_left(&self, now: Millis) -> Millis {
        self.paused_until.since(now)
    }

    /// Returns whether certainly no request is running without a grant in use.
    pub fn has_no_unaccounted(&self, now: Millis) -> bool {
        self.unaccounted(now) == Some(0)
    }

    /// Returns whether recent load reports have shown nothing running for long enough to consider
    /// the upstream unused.
    pub fn is_reported_idle(&self, now: Millis) -> bool {
        self.idle.is_some_and(|(first, last)| {
            last.since(first) >= IDLE_SPAN && now.since(last) <= REPORT_TTL
        })
    }

    /// Resets the limit and the first-byte average after an order changed the upstream's setup.
    pub fn on_reconfigured(&mut self, now: Millis) {
        self.average_first_byte = None;
        self.reset_to_cold(now);
    }

    /// Resets the limit after the upstream asked for no requests for some time, so that it isn't
    /// given its full load at once after that.
    pub fn on_backoff(&mut self, now: Millis) {
        self.reset_to_cold(now);
    }

    /// Applies the limits of a newer document.
    pub fn set_limits(&mut self, limits: SlotLimits) {
        if limits == self.limits {
            return;
        }
        self.limits = limits;
        self.limit = self.limit.clamp(limits.cold, limits.warm);
    }

    /// Applies the platform's listing of the upstream.
    ///
    /// `recovered_at` is the end of this dispatcher's recovery period: only a report made since
    /// then includes every request granted by an earlier dispatcher. `deadline` bounds how long any
    /// of those may run. `granted_before` counts the grants in use that were issued up to a given
    /// time.
    pub fn on_listed(
        &mut self,
        now: Millis,
        recovered_at: Millis,
        deadline: Millis,
        listed: &Listed,
        granted_before: impl Fn(Millis) -> u32,
    ) -> Option<LimitReset> {
        self.address = listed.address;
        self.version.clone_from(&listed.version);
        let restarted = listed.incarnation != self.incarnation;
        if restarted {
            self.incarnation = listed.incarnation;
            self.reset_to_cold(now);
        }
        if let Some(report) = listed.report {
            self.on_report(now, recovered_at, deadline, report);
        }
        self.reconcile_reports(now, granted_before);
        restarted.then_some(LimitReset::Restarted)
    }

    fn on_report(
        &mut self,
        now: Millis,
        recovered_at: Millis,
        deadline: Millis,
        report: LoadReport,
    ) {
        let made_at = now.since(Millis(report.age_ms));
        if made_at >= self.reset_at {
            self.confirmed_warm = report.warm;
            if !report.warm {
                self.limit = self.limits.cold;
            }
        }
        if self.unaccounted.is_none() && made_at >= recovered_at {
            // Any running request may have been granted by an earlier dispatcher. Those that
            // entries list when they open a session are subtracted in `on_entry_reported`.
            let unknown = Unaccounted { entry: None, until: now + deadline };
            self.unaccounted = Some(vec![unknown; report.running as usize]);
            self.unaccounted_since = made_at;
            if self.confirmed_warm {
                // The upstream handles this load already, so the limit need not grow from the cold
                // one again, one request at a time.
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

    /// Limits the unaccounted requests to `running`, keeping those with the latest deadlines.
    ///
    /// Does nothing for a report made before all of them were running.
    fn trim_unaccounted(&mut self, made_at: Millis, running: u32) {
        let since = self.unaccounted_since;
        let Some(requests) = &mut self.unaccounted else { return };
        if made_at >= since {
            requests.sort_by_key(|request| std::cmp::Reverse(request.until));
            requests.truncate(running as usize);
        }
    }

    /// Lowers the unaccounted requests to what older reports show beyond the grants that were
    /// running when the reports were made.
    ///
    /// A grant in use may not have reached the upstream yet, or the message about its end may still
    /// be in transit; either would hide a request of a silent entry. Allowing time for both makes
    /// an error rare, but not impossible. It does little harm to a warm upstream but could make a
    /// cold one fail. Cold upstreams are therefore excluded: their slots become free when a report
    /// or the deadline shows it.
    fn reconcile_reports(&mut self, now: Millis, granted_before: impl Fn(Millis) -> u32) {
        while let Some((made_at, running)) = self.reports.front().copied() {
            if now.since(made_at) < MAX_END_DELAY {
                return;
            }
            self.reports.pop_front();
            if !self.is_cold() {
                let running_grants = granted_before(made_at.since(MAX_START_DELAY));
                self.trim_unaccounted(made_at, running.saturating_sub(running_grants));
            }
        }
    }

    /// Counts a grant that is not in use any more as running until a report or its deadline shows
    /// otherwise: its entry is silent, or its upstream.
    pub fn add_unaccounted(&mut self, now: Millis, entry: Option<&Instance>, until: Millis) {
        self.unaccounted_since = now;
        if let Some(requests) = &mut self.unaccounted {
            requests.push(Unaccounted { entry: entry.cloned(), until });
        }
    }

    /// Removes the unaccounted requests of an entry that has listed its grants or has terminated.
    ///
    /// `held` of the grants it listed were unknown to this dispatcher; as many unaccounted requests
    /// of unknown entries are removed.
    pub fn on_entry_reported(&mut self, entry: &Instance, held: usize) {
        let Some(requests) = &mut self.unaccounted else { return };
        requests.retain(|request| request.entry.as_ref() != Some(entry));
        for _ in 0..held {
            let unknown = requests.iter().position(|request| request.entry.is_none());
            unknown.map(|index| requests.swap_remove(index));
        }
    }

    /// Adjusts the limit after a request completed.
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
        let average = *self.average_first_byte.get_or_insert(ms);
        if ms > (average * SLOW_FACTOR).max(MIN_SLOW_MS) {
            return !self.is_cold();
        }
        self.average_first_byte = Some(average + (ms - average) * FIRST_BYTE_WEIGHT);
        false
    }

    /// Resets the limit after a refusal or a failure, and pauses the upstream.
    ///
    /// Failures during a pause count as one. If each of them doubled the pause, a single brief
    /// fault under full load would pause the upstream for the maximum time at once.
    pub fn on_failure(&mut self, now: Millis) {
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
