//! When refused callers may retry, and how long waiting requests are expected to wait.
//!
//! Callers that are refused in one moment and are told the same retry delay come back together,
//! find the same lack of capacity and are refused again. So each gets its own retry time: the times
//! follow one another at the rate at which capacity becomes free for this entry. All entries do the
//! same for the capacity that falls to them, so it doesn't matter that a retry reaches another one.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::{decaying_sum::DecayingSum, queue::MIN_RETRY_DELAY};
use crate::core::{Millis, Organisation, Service};

/// A caller honours a retry delay up to the time left to its deadline divided by this; the rest must
/// suffice for the retry and its answer.
const RETRY_WINDOW_DIVISOR: u64 = 3;
/// Capacity counts as short for this long after a request found none. Under a shortage a small entry
/// refuses several requests in this time.
const SHORTAGE_TTL: Millis = Millis(500);
/// Requests count as waiting for this long after a poll has left some in the queue: two intervals
/// between polls.
const QUEUE_TTL: Millis = Millis(20);
/// The time constant of the learned rates: long against the time between two starts at one of a
/// hundred entries, short against the seconds that callers can wait.
const RATE_TIME_CONSTANT: Millis = Millis(2_000);
/// A rate is unknown unless it was observed for this long, as a decaying sum: a few starts at one of
/// a hundred entries.
const MIN_OBSERVED_MS: f64 = 300.0;
/// The last fraction of the useful time, over which the callers are spread that can't be promised
/// capacity within it. They retry as late as is useful, but not all at once.
const SURPLUS_FRACTION: f64 = 0.25;
/// The fractional part of the golden ratio: its multiples modulo 1 divide an interval evenly, however
/// many of them are taken.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The number of requests that start per millisecond while a condition holds.
#[derive(Clone, Copy, Debug, Default)]
struct ConditionalRate {
    starts: DecayingSum,
    /// The time for which the condition held, in milliseconds.
    observed: DecayingSum,
    at: Millis,
    /// The time until which the condition holds.
    until: Millis,
}

impl ConditionalRate {
    /// Records that the condition holds at `now` and for `ttl` after it.
    fn observe(&mut self, now: Millis, ttl: Millis) {
        self.advance(now);
        self.until = self.until.max(now + ttl);
    }

    fn on_start(&mut self, now: Millis) {
        self.advance(now);
        if now <= self.until {
            self.starts.add(now, 1.0, RATE_TIME_CONSTANT);
        }
    }

    fn advance(&mut self, now: Millis) {
        let observed = self.until.min(now).since(self.at).0 as f64;
        self.observed.add(now, observed, RATE_TIME_CONSTANT);
        self.at = now;
    }

    /// Returns the mean time between two starts, in milliseconds; infinite if nothing starts, and
    /// `None` if that isn't known.
    fn gap(&mut self, now: Millis) -> Option<f64> {
        self.advance(now);
        let observed = self.observed.get(now, RATE_TIME_CONSTANT);
        let starts = self.starts.get(now, RATE_TIME_CONSTANT);
        (observed >= MIN_OBSERVED_MS).then(|| observed / starts)
    }
}

/// The delays between which a caller's retry is useful.
#[derive(Clone, Copy, Debug)]
pub struct RetryWindow {
    /// The time until capacity is expected.
    pub earliest: Millis,
    /// The longest delay that the caller can use.
    pub latest: Millis,
}

impl RetryWindow {
    /// Returns the window of a caller that has `time_left` until its deadline, if capacity is
    /// expected after `expected`.
    pub fn new(expected: Millis, time_left: Millis) -> RetryWindow {
        let latest = Millis(time_left.0 / RETRY_WINDOW_DIVISOR);
        RetryWindow { earliest: expected.max(MIN_RETRY_DELAY), latest }
    }
}

/// The retry times promised to callers that wait for the same capacity.
#[derive(Clone, Copy, Debug, Default)]
struct Promises {
    /// The earliest time that has not been promised, in milliseconds.
    next: f64,
    /// The number of callers that were given a time without a promise.
    unpromised: u64,
}

impl Promises {
    /// Returns the next retry time as a delay, and whether capacity is expected then. `gap` is the
    /// time between two promises, in milliseconds, if that is known.
    fn next_delay(&mut self, now: Millis, window: RetryWindow, gap: Option<f64>) -> (f64, bool) {
        let (earliest, latest) = (window.earliest.0 as f64, window.latest.0 as f64);
        let end = latest * (1.0 - SURPLUS_FRACTION);
        if earliest > latest {
            return (self.spread(end, latest), false);
        }
        let Some(gap) = gap else { return (self.spread(earliest, latest), false) };
        let delay = (self.next - now.0 as f64).max(earliest);
        if delay > latest {
            return (self.spread(earliest.max(end), latest), false);
        }
        // The limit lets promises be made again soon after starts that had stopped go on.
        self.next = now.0 as f64 + delay + gap.min(latest);
        (delay, true)
    }

    /// Returns a delay that differs from those before it.
    fn spread(&mut self, from: f64, to: f64) -> f64 {
        self.unpromised += 1;
        from + (to - from) * (self.unpromised as f64 * GOLDEN_FRACTION).fract()
    }
}

/// What is known of the capacity of one service.
#[derive(Clone, Debug, Default)]
struct ServiceCapacity {
    /// Starts while requests find no capacity.
    in_shortage: ConditionalRate,
    /// Starts of waiting requests while there are any.
    from_queue: ConditionalRate,
    promises: Promises,
}

/// The numbers of refusals since they were last taken, for the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RefusalCounts {
    /// Refusals with a time at which capacity is expected.
    pub promised: u32,
    /// Refusals with a time that is only spread: no capacity is expected within the useful time, or
    /// the rate is unknown.
    pub unpromised: u32,
    /// Those of both that left the queue, or didn't enter it, because they would have started too
    /// late.
    pub hopeless: u32,
    /// The longest retry delay.
    pub longest_ms: Millis,
}

/// The promised retry times, and the rates that they follow from.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    services: HashMap<Service, ServiceCapacity>,
    /// The promises to organisations beyond their shares.
    organisations: HashMap<Organisation, Promises>,
    counts: RefusalCounts,
}

impl Returns {
    /// Records that a request has found no capacity.
    pub fn on_full(&mut self, now: Millis, service: &Service) {
        self.capacity_mut(service).in_shortage.observe(now, SHORTAGE_TTL);
    }

    /// Records the start of a request.
    pub fn on_started(&mut self, now: Millis, service: &Service) {
        self.capacity_mut(service).in_shortage.on_start(now);
    }

    /// Records that requests wait.
    pub fn on_waiting(&mut self, now: Millis, service: &Service) {
        self.capacity_mut(service).from_queue.observe(now, QUEUE_TTL);
    }

    /// Records the start of a request that has waited, in addition to [`Returns::on_started`].
    pub fn on_started_from_queue(&mut self, now: Millis, service: &Service) {
        self.capacity_mut(service).from_queue.on_start(now);
    }

    /// Counts a request that would have waited for too long.
    pub fn on_hopeless(&mut self) {
        self.counts.hopeless += 1;
    }

    /// Returns the expected time between two starts of waiting requests, in milliseconds; `None` if
    /// that isn't known.
    pub fn queue_gap(&mut self, now: Millis, service: &Service) -> Option<f64> {
        self.capacity_mut(service).from_queue.gap(now)
    }

    /// Returns the retry delay of a caller that is refused because the service has no capacity.
    pub fn after_shortage(
        &mut self,
        now: Millis,
        service: &Service,
        window: RetryWindow,
    ) -> Millis {
        let capacity = self.capacity_mut(service);
        let gap = capacity.in_shortage.gap(now);
        let promise = capacity.promises.next_delay(now, window, gap);
        self.count(promise)
    }

    /// Returns the retry delay of a caller whose organisation is beyond its share; `gap` is the
    /// time in which its share lets it start the request, in milliseconds, if that is known.
    pub fn after_share(
        &mut self,
        now: Millis,
        organisation: &Organisation,
        window: RetryWindow,
        gap: Option<f64>,
    ) -> Millis {
        if !self.organisations.contains_key(organisation) {
            self.organisations.insert(organisation.clone(), Promises::default());
        }
        let promises = self.organisations.get_mut(organisation).expect("it is in the map");
        let promise = promises.next_delay(now, window, gap);
        self.count(promise)
    }

    fn count(&mut self, (delay, is_promised): (f64, bool)) -> Millis {
        let delay = Millis(delay as u64);
        match is_promised {
            true => self.counts.promised += 1,
            false => self.counts.unpromised += 1,
        }
        self.counts.longest_ms = self.counts.longest_ms.max(delay);
        delay
    }

    /// Returns the counts of refusals since the last call.
    pub fn take_counts(&mut self) -> RefusalCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the requests of each service that this entry starts per second in a shortage, as far
    /// as that is known.
    pub fn start_rates(&mut self, now: Millis) -> BTreeMap<Service, f64> {
        let rates = self.services.iter_mut().filter_map(|(service, capacity)| {
            Some((service.clone(), 1_000.0 / capacity.in_shortage.gap(now)?))
        });
        rates.collect()
    }

    fn capacity_mut(&mut self, service: &Service) -> &mut ServiceCapacity {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceCapacity::default());
        }
        self.services.get_mut(service).expect("it is in the map")
    }
}

/// Returns the expected wait of a request behind `ahead` others that wait, with `gap` milliseconds
/// between two starts.
///
/// The first in the queue is always expected to start at once: without a waiting request, the rate
/// of starts from the queue could not be learned again after a time in which nothing started.
pub fn expected_wait(ahead: usize, gap: Option<f64>) -> Millis {
    match gap {
        Some(gap) if ahead > 0 => Millis((gap * (ahead + 1) as f64) as u64),
        _ => Millis::ZERO,
    }
}

/// The requests that go on waiting after a poll.
#[derive(Clone, Debug, Default)]
pub struct LeftBehind {
    services: Vec<ServiceQueue>,
}

#[derive(Clone, Debug)]
struct ServiceQueue {
    service: Service,
    /// The expected time between two starts, in milliseconds, if it is known.
    gap: Option<f64>,
    waiting: usize,
}

impl LeftBehind {
    /// Returns the expected wait of a request behind those that were added; `gap` returns the
    /// expected time between two starts.
    pub fn expected_wait(
        &mut self,
        service: &Service,
        gap: impl FnOnce() -> Option<f64>,
    ) -> Millis {
        let queue = match self.services.iter().position(|queue| queue.service == *service) {
            Some(position) => &self.services[position],
            None => {
                let queue = ServiceQueue { service: service.clone(), gap: gap(), waiting: 0 };
                self.services.push(queue);
                &self.services[self.services.len() - 1]
            }
        };
        expected_wait(queue.waiting, queue.gap)
    }

    /// Adds a request that goes on waiting.
    pub fn add(&mut self, service: &Service) {
        let queue = self.services.iter_mut().find(|queue| queue.service == *service);
        if let Some(queue) = queue {
            queue.waiting += 1;
        }
    }

    /// Returns the services with requests that go on waiting.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter().filter(|queue| queue.waiting > 0).map(|queue| &queue.service)
    }
}
