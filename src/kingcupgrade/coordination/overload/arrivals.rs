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

/// The time constant of the counts of requests. A longer one finds a new flood later, and callers
/// of other organisations are shed until then; with a shorter one an organisation that sends a few
/// requests per second would look like a large one whenever two of them come together.
const COUNT_TIME_CONSTANT: Millis = Millis(1_000);
/// The interval at which the level is recomputed: as often as the refused fraction changes.
const REFRESH_INTERVAL: Millis = Millis(10);
/// The maximum number of organisations that are counted. Beyond it, those that send least are left
/// out, since requests are shed only from the largest.
const MAX_ORGANISATIONS: usize = 128;

/// The part of the requests served lately that may be served while the processor is saturated.
/// What was served shows what the processor can carry; the other half of that is left for it to
/// catch up.
const SATURATED_PART: f64 = 0.5;

/// How much of what arrives is to be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Shedding {
    /// This fraction of all requests.
    Fraction(f64),
    /// Only organisations below the level, for which [`SATURATED_PART`] applies, but at least this
    /// fraction of all requests.
    Saturated(f64),
}

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
    /// When the level was computed, and for what.
    computed: Option<(Millis, Shedding)>,
    /// The requests of all organisations that were not shed.
    served: DecayingSum,
}

impl Default for Arrivals {
    fn default() -> Arrivals {
        Arrivals {
            organisations: BTreeMap::new(),
            level: f64::INFINITY,
            computed: None,
            served: DecayingSum::default(),
        }
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

    /// Decides whether to shed a request that was counted. What is shed of an organisation is
    /// spread evenly over its requests, unless the processor is saturated.
    pub(super) fn sheds(
        &mut self,
        now: Millis,
        organisation: &Organisation,
        shedding: Shedding,
    ) -> bool {
        self.refresh(now, shedding);
        let level = self.level;
        let arrivals = self.organisations.get_mut(organisation);
        let is_shed = arrivals.is_some_and(|arrivals| arrivals.sheds(now, level, shedding));
        if !is_shed {
            self.on_served(now);
        }
        is_shed
    }

    /// Counts a request that is not shed.
    pub(super) fn on_served(&mut self, now: Millis) {
        self.served.add(now, 1.0, COUNT_TIME_CONSTANT);
    }

    fn refresh(&mut self, now: Millis, shedding: Shedding) {
        let is_current =
            |(at, computed): (Millis, _)| computed == shedding && now.since(at) < REFRESH_INTERVAL;
        if self.computed.is_some_and(is_current) {
            return;
        }
        self.computed = Some((now, shedding));
        let counts = self.organisations.values().map(|arrivals| arrivals.count(now));
        let counts: Vec<f64> = counts.collect();
        let sum: f64 = counts.iter().sum();
        let capacity = match shedding {
            Shedding::Fraction(fraction) => sum * fraction,
            Shedding::Saturated(least) => {
                let served = self.served.get(now, COUNT_TIME_CONSTANT);
                (sum * least).max(served * SATURATED_PART)
            }
        };
        self.level = max_min_level(counts, capacity);
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

    fn sheds(&mut self, now: Millis, level: f64, shedding: Shedding) -> bool {
        let count = self.count(now);
        let excess = if count <= level { 0.0 } else { 1.0 - level / count };
        let is_shed = match shedding {
            Shedding::Saturated(_) => excess > 0.0,
            Shedding::Fraction(_) => self.accumulate(excess),
        };
        self.shed += u32::from(is_shed);
        is_shed
    }

    fn accumulate(&mut self, excess: f64) -> bool {
        self.accumulated = if excess > 0.0 { self.accumulated + excess } else { 0.0 };
        let is_shed = self.accumulated >= 1.0;
        if is_shed {
            self.accumulated -= 1.0;
        }
        is_shed
    }
}
