//! Which organisations' requests are shed.
//!
//! Requests are shed from the organisations that send most, max-min fairly: there is a level such
//! that what exceeds it adds up to the refused fraction of all requests. An organisation below the
//! level loses nothing, however much another one sends.

use std::collections::BTreeMap;

use crate::{
    coordination::traffic::{DecayingSum, max_min_level},
    core::{Millis, Organisation},
};

/// The time constant of the counts of requests. A longer one finds a new flood later, and callers of
/// other organisations are shed until then; with a shorter one an organisation that sends a few
/// requests per second would look like a large one whenever two of them come together.
const COUNT_TIME_CONSTANT: Millis = Millis(1_000);
/// The interval at which the level is recomputed: as often as the refused fraction changes.
const REFRESH_INTERVAL: Millis = Millis(10);
/// The maximum number of organisations that are counted. Beyond it, those that send least are left
/// out, which keeps the count of those whose requests are shed.
const MAX_ORGANISATIONS: usize = 128;

/// What one organisation sends to this entry.
#[derive(Clone, Copy, Debug, Default)]
struct OrganisationArrivals {
    requests: DecayingSum,
    /// The excess fraction summed up over requests; a request is shed once the sum reaches 1, which
    /// is then subtracted.
    accumulated: f64,
    /// The requests shed since the counts were last taken.
    shed: u32,
}

/// The requests that arrive at this entry, by organisation.
#[derive(Clone, Debug)]
pub(super) struct Arrivals {
    organisations: BTreeMap<Organisation, OrganisationArrivals>,
    /// The count up to which an organisation's requests are served.
    level: f64,
    /// When the level was computed, and for which fraction of requests to be served.
    computed: Option<(Millis, f64)>,
}

impl Default for Arrivals {
    fn default() -> Arrivals {
        Arrivals { organisations: BTreeMap::new(), level: f64::INFINITY, computed: None }
    }
}

impl Arrivals {
    /// Counts a request.
    pub(super) fn on_arrival(&mut self, now: Millis, organisation: &Organisation) {
        if let Some(known) = self.organisations.get_mut(organisation) {
            known.requests.add(now, 1.0, COUNT_TIME_CONSTANT);
            return;
        }
        if self.organisations.len() >= MAX_ORGANISATIONS {
            self.remove_least(now);
        }
        let mut new = OrganisationArrivals::default();
        new.requests.add(now, 1.0, COUNT_TIME_CONSTANT);
        self.organisations.insert(organisation.clone(), new);
    }

    fn remove_least(&mut self, now: Millis) {
        let counts = self.organisations.iter();
        let counts = counts.map(|(name, arrivals)| (arrivals.count(now), name));
        let least = counts.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, name)| name.clone());
        if let Some(name) = least {
            self.organisations.remove(&name);
        }
    }

    /// Returns the fraction of an organisation's requests that exceeds the level, where the fraction
    /// `served` of all requests is to be served; 0 if it is below.
    fn excess(&mut self, now: Millis, organisation: &Organisation, served: f64) -> f64 {
        self.refresh(now, served);
        let arrivals = self.organisations.get(organisation);
        let count = arrivals.map_or(0.0, |arrivals| arrivals.count(now));
        if count <= self.level { 0.0 } else { 1.0 - self.level / count }
    }

    fn refresh(&mut self, now: Millis, served: f64) {
        let is_current =
            |(at, fraction): (Millis, f64)| fraction == served && now.since(at) < REFRESH_INTERVAL;
        if self.computed.is_some_and(is_current) {
            return;
        }
        self.computed = Some((now, served));
        let counts = self.organisations.values().map(|arrivals| arrivals.count(now));
        let counts: Vec<f64> = counts.collect();
        let sum: f64 = counts.iter().sum();
        self.level = max_min_level(counts, sum * served);
    }

    /// Decides whether to shed a request so that the fraction `served` of all requests is served.
    /// What is shed of an organisation is spread evenly over its requests.
    pub(super) fn sheds(&mut self, now: Millis, organisation: &Organisation, served: f64) -> bool {
        let excess = self.excess(now, organisation, served);
        let Some(arrivals) = self.organisations.get_mut(organisation) else { return false };
        arrivals.accumulated = if excess > 0.0 { arrivals.accumulated + excess } else { 0.0 };
        let is_shed = arrivals.accumulated >= 1.0;
        if is_shed {
            arrivals.accumulated -= 1.0;
            arrivals.shed += 1;
        }
        is_shed
    }

    /// Decides whether to shed a request where nothing of an organisation above the level is served.
    pub(super) fn sheds_all(
        &mut self,
        now: Millis,
        organisation: &Organisation,
        served: f64,
    ) -> bool {
        let is_shed = self.excess(now, organisation, served) > 0.0;
        if let Some(arrivals) = self.organisations.get_mut(organisation) {
            arrivals.shed += u32::from(is_shed);
        }
        is_shed
    }

    /// Returns the requests per second up to which an organisation's requests are served.
    pub(super) fn level_per_s(&self) -> f64 {
        self.level * 1_000.0 / COUNT_TIME_CONSTANT.0 as f64
    }

    /// Returns the numbers of requests that were shed since the last call, largest first.
    pub(super) fn take_shed(&mut self) -> Vec<(Organisation, u32)> {
        let all = self.organisations.iter_mut();
        let all = all.map(|(name, arrivals)| (name.clone(), std::mem::take(&mut arrivals.shed)));
        let mut shed: Vec<(Organisation, u32)> = all.filter(|(_, shed)| *shed > 0).collect();
        shed.sort_by_key(|(_, shed)| std::cmp::Reverse(*shed));
        shed
    }
}

impl OrganisationArrivals {
    fn count(&self, now: Millis) -> f64 {
        self.requests.get(now, COUNT_TIME_CONSTANT)
    }
}
