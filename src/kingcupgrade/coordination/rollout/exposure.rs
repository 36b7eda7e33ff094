//! One entry's part of the requests that a new version may get.
//!
//! The limit holds for the whole fleet until the version is judged good. Each entry keeps to it for
//! the requests that it sends itself, so no entry has to know what the others do, and the sum is
//! within the limit also while they can't reach each other.

use std::collections::BTreeMap;

use super::STEPS;
use crate::{
    core::{Instance, Millis},
    util::rendezvous,
};

/// The fraction of the limit that is used: upstreams count requests a little later than this entry.
const USED_FRACTION: f64 = 0.85;
/// The fraction of the requests that are allowed beyond the limit that is used: an entry that
/// restarts begins again.
const USED_SLACK: f64 = 0.5;
/// The pace of each step, as a fraction of the limit. The last one is above 1, to use what earlier
/// steps left.
const PACES: [f64; STEPS as usize] = [0.3, 0.7, 2.0];
/// The largest fraction of a route's requests that may go to the new version.
const MAX_ROUTE_FRACTION: f64 = 0.5;
/// The part of the time left before the deadline that an entry's part in a load test may take.
const LOAD_TEST_TIME_FRACTION: f64 = 0.2;
/// The longest part of an entry in a load test.
const MAX_LOAD_TEST: Millis = Millis(1_500);
/// The part of the limit until the deadline that is used with a load test: the requests that are
/// still to come are estimated.
const LOAD_TEST_USED_FRACTION: f64 = 0.75;
/// The most requests that a route may save up, so that they don't come all at once.
const MAX_SAVED: f64 = 1.0;

/// The exposure limit of a rollout over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// The fraction of a service's requests that the new version may get.
    pub fraction: f64,
    /// Requests that it may get in addition.
    pub slack: f64,
}

impl ExposureLimit {
    /// Returns the requests beyond the fraction that `entry`, one of `entries`, may send.
    fn slack_of(&self, service: &str, entry: &Instance, entries: &[Instance]) -> f64 {
        let all = (self.slack * USED_SLACK) as usize;
        let count = entries.len();
        if count == 0 {
            return 0.0;
        }
        let is_among_rest = rendezvous::is_among_first(service, entry, entries, all % count);
        (all / count + usize::from(is_among_rest)) as f64
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteCredit {
    requests: u64,
    saved: f64,
}

/// An entry's part in a load test.
#[derive(Clone, Copy, Debug)]
struct LoadTest {
    until: Millis,
    /// The requests that may have been sent to the new version when it ends.
    most_exposed: u64,
}

/// The requests that one entry may send to the new version of one service.
#[derive(Clone, Debug)]
pub struct Exposure {
    limit: ExposureLimit,
    slack: f64,
    requests: u64,
    exposed: u64,
    routes: BTreeMap<String, RouteCredit>,
    load_test: Option<LoadTest>,
}

impl Exposure {
    /// Creates the state of `entry`, one of `entries`, when it learns of a rollout.
    ///
    /// An entry that starts during the rollout passes no entries. It may know too few of them, and
    /// would take more than its part of the requests beyond the fraction.
    pub fn new(
        limit: ExposureLimit,
        service: &str,
        entry: &Instance,
        entries: &[Instance],
    ) -> Exposure {
        let slack = limit.slack_of(service, entry, entries);
        let routes = BTreeMap::new();
        Exposure { limit, slack, requests: 0, exposed: 0, routes, load_test: None }
    }

    /// Begins the entry's part in the load test, `elapsed` after it learned of the rollout and
    /// `left` before the deadline. It ends once the entry has used up its part of the limit, which
    /// also counts the requests that it will send until the deadline.
    pub fn begin_load_test(&mut self, now: Millis, elapsed: Millis, left: Millis) {
        let to_come = self.requests as f64 * left.0 as f64 / elapsed.0.max(1) as f64;
        let fraction = self.limit.fraction * LOAD_TEST_USED_FRACTION;
        let most_exposed = (fraction * (self.requests as f64 + to_come) + self.slack) as u64;
        let time = Millis((left.0 as f64 * LOAD_TEST_TIME_FRACTION) as u64).min(MAX_LOAD_TEST);
        self.load_test = Some(LoadTest { until: now + time, most_exposed });
    }

    /// Returns whether a load test has begun and the next request is part of it.
    pub fn is_load_testing(&self, now: Millis) -> bool {
        self.load_test.is_some_and(|test| now < test.until && self.exposed < test.most_exposed)
    }

    /// Returns the requests sent to the service, and those of them sent to the new version.
    pub fn counts(&self) -> (u64, u64) {
        (self.requests, self.exposed)
    }

    /// Counts a request that is about to be sent on a route. `step` is the exposure step, if
    /// upstreams of the new version are ready. Each route earns the same number of requests to the
    /// new version, however many it has: the version may be bad on a route with few.
    pub fn on_request(&mut self, route: &str, step: Option<u8>) {
        self.requests += 1;
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteCredit::default());
        }
        let routes = self.routes.len() as f64;
        let Some(credit) = self.routes.get_mut(route) else { return };
        credit.requests += 1;
        let Some(step) = step else { return };
        let pace = PACES[usize::from(step).min(PACES.len() - 1)] * self.limit.fraction;
        let earned = pace * self.requests as f64 / (routes * credit.requests as f64);
        credit.saved = (credit.saved + earned.min(MAX_ROUTE_FRACTION)).min(MAX_SAVED);
    }

    /// Returns whether the next request on a route may go to the new version.
    pub fn allows(&self, route: &str) -> bool {
        let limit = self.limit.fraction * USED_FRACTION * self.requests as f64 + self.slack;
        let is_saved = self.routes.get(route).is_some_and(|credit| credit.saved >= MAX_SAVED);
        (self.exposed + 1) as f64 <= limit && is_saved
    }

    /// Records that a request on a route was sent to the new version.
    pub fn on_exposed(&mut self, route: &str) {
        self.exposed += 1;
        if let Some(credit) = self.routes.get_mut(route) {
            credit.saved = (credit.saved - 1.0).max(0.0);
        }
    }
}
