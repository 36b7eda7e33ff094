//! Fair shares of the capacity, by organisation.
//!
//! Shares are max-min fair: an organisation that asks for less than an even share gets all that it
//! asks for, and what it leaves is divided among those that ask for more. Shares are counted in
//! tokens, with a time constant of a few seconds, over all entries: each entry reports to the
//! others what its callers requested and what they were given.

use std::collections::BTreeMap;

use super::{decaying_sum::DecayingSum, peer_reports::PeerUsage};
use crate::core::{Millis, Organisation};

/// The time constant of the sums of tokens asked for and served. A longer one lets an organisation
/// that was idle take all capacity for longer; a shorter one refuses requests that would fit a
/// moment later.
pub const SHARE_TIME_CONSTANT: Millis = Millis(2_500);
/// The interval at which the levels are recomputed: as often as reports arrive.
const REFRESH_INTERVAL: Millis = Millis(100);
/// Beyond its promised share, an organisation gets at most this many times what the backlogged
/// organisation that got least has got. Above 1, so that both can rise together; the ratio of any
/// two stays below it.
const MAX_LEAD: f64 = 1.2;
/// The capacity that is assumed for even shares, as a multiple of what was served recently. When
/// upstreams are lost, the promised capacity is not available, and an even share of it would let
/// the organisation that sends first take everything. Above 1, so that the level rises again once
/// the upstreams are back.
const CAPACITY_GROWTH: f64 = 1.15;
/// The time constant of the sums of refused tokens: an organisation whose refusals are older than
/// this, and that is served now, doesn't limit the others.
const REFUSED_TIME_CONSTANT: Millis = Millis(500);
/// An organisation is backlogged if it asked for more than this many times what it got, asked for
/// more than its promised share, and is being refused now. An organisation that gets most of what
/// it asks for doesn't limit the others: a request of it may be refused for its size alone.
const BACKLOG_RATIO: f64 = 1.5;
/// An organisation is being refused if more than this fraction of what it asks for is refused.
const MIN_REFUSED_FRACTION: f64 = 0.1;

/// The share status of an organisation if it were given one more request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareStatus {
    /// Within its share of the promised capacity, or of the capacity that is really served if that
    /// is less.
    Within,
    /// Beyond that share, but not far ahead of the backlogged organisation that got least.
    Spare,
    /// Beyond its share and far ahead of the backlogged organisation that got least.
    Over,
}

#[derive(Clone, Copy, Debug, Default)]
struct OrganisationUsage {
    /// Tokens requested from all entries.
    requested: f64,
    /// Tokens served by the other entries, as last reported.
    served_by_peers: f64,
    /// Tokens requested from the other entries for each token requested from this one.
    peer_demand_ratio: f64,
    /// Tokens refused by all entries.
    refused: f64,
}

impl OrganisationUsage {
    /// Returns whether a considerable fraction of what is requested is being refused.
    fn is_refused(&self) -> bool {
        let requested =
            self.requested * REFUSED_TIME_CONSTANT.0 as f64 / SHARE_TIME_CONSTANT.0 as f64;
        self.refused > requested * MIN_REFUSED_FRACTION
    }
}

/// The demand and usage of all organisations, as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    requested: BTreeMap<Organisation, DecayingSum>,
    served: BTreeMap<Organisation, DecayingSum>,
    /// What all entries served beyond the promised level while no organisation was backlogged.
    spare: BTreeMap<Organisation, DecayingSum>,
    /// What this entry served recently, with the age of the other entries' reports as time
    /// constant.
    served_recently: BTreeMap<Organisation, DecayingSum>,
    refused: BTreeMap<Organisation, DecayingSum>,
    /// The number of other entries.
    peers: usize,
    /// The age of their reports.
    report_age: Millis,
    usage: BTreeMap<Organisation, OrganisationUsage>,
    /// The max-min level of the promised capacity, in tokens per time constant.
    promised_level: f64,
    /// The max-min level of the capacity that is really served, at most the promised level, in
    /// tokens per time constant.
    even_level: f64,
    /// The level up to which an organisation gets capacity beyond its share, in tokens per time
    /// constant.
    spare_level: f64,
    last_refresh: Option<Millis>,
}

impl Shares {
    /// Adds the work that a request asks for.
    pub fn on_requested(&mut self, now: Millis, organisation: &Organisation, work: f64) {
        add_work(&mut self.requested, now, organisation, work, SHARE_TIME_CONSTANT);
    }

    /// Adds work that is refused for lack of capacity or of a share.
    pub fn on_refused(&mut self, now: Millis, organisation: &Organisation, work: f64) {
        add_work(&mut self.refused, now, organisation, work, REFUSED_TIME_CONSTANT);
    }

    /// Adds work that is served; negative to correct an earlier estimate that was too high.
    pub fn on_served(&mut self, now: Millis, organisation: &Organisation, work: f64) {
        add_work(&mut self.served, now, organisation, work, SHARE_TIME_CONSTANT);
        add_work(&mut self.served_recently, now, organisation, work, self.report_age);
    }

    /// Sets the number of other entries and the age of their reports.
    pub fn set_peers(&mut self, count: usize, report_age: Millis) {
        self.peers = count;
        self.report_age = report_age;
    }

    /// Recomputes the levels if that is due. `capacity` is the promised capacity, in tokens per
    /// second; 0 if none is promised.
    pub fn refresh(
        &mut self,
        now: Millis,
        capacity: f64,
        peers: &BTreeMap<Organisation, PeerUsage>,
    ) {
        if self.last_refresh.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        self.last_refresh = Some(now);
        self.usage.clear();
        for (organisation, requested) in &self.requested {
            let usage = self.usage.entry(organisation.clone()).or_default();
            usage.requested = requested.get(now, SHARE_TIME_CONSTANT);
        }
        for (organisation, peer_usage) in peers {
            let usage = self.usage.entry(organisation.clone()).or_default();
            let ratio = peer_usage.requested.max(0.0) / usage.requested.max(1.0);
            // The ratio is capped: if little is requested from this entry, one request says
            // little about the other entries.
            usage.peer_demand_ratio = ratio.min(self.peers as f64);
            usage.requested += peer_usage.requested;
            usage.served_by_peers += peer_usage.served;
            usage.refused += peer_usage.refused;
        }
        for (organisation, refused) in &self.refused {
            let usage = self.usage.entry(organisation.clone()).or_default();
            usage.refused += refused.get(now, REFUSED_TIME_CONSTANT);
        }
        let requested: Vec<f64> = self.usage.values().map(|usage| usage.requested).collect();
        let promised = capacity * SHARE_TIME_CONSTANT.0 as f64 / 1000.0;
        self.promised_level = max_min_level(requested.clone(), promised);
        let served: f64 = self
            .usage
            .iter()
            .map(|(organisation, usage)| self.total_served(now, organisation, usage))
            .sum();
        self.even_level =
            self.promised_level.min(max_min_level(requested, served * CAPACITY_GROWTH));
        let backlogged = self.usage.iter().filter_map(|(organisation, usage)| {
            let served = self.total_served(now, organisation, usage);
            let is_limited = usage.requested > self.promised_level;
            let is_short = usage.requested > served * BACKLOG_RATIO;
            let is_backlogged = is_limited && is_short && usage.is_refused();
            is_backlogged.then(|| self.charged(now, organisation, usage))
        });
        let least = backlogged.fold(f64::INFINITY, f64::min);
        self.spare_level = self.promised_level.max(least * MAX_LEAD);
        if least.is_infinite() {
            self.update_spare(now);
        }
    }

    /// Counts as spare what organisations got beyond the promised level while none is backlogged.
    ///
    /// If it were charged to them, it would keep them from their share for seconds once others are
    /// backlogged.
    fn update_spare(&mut self, now: Millis) {
        self.spare.clear();
        for (organisation, usage) in &self.usage {
            let beyond = self.total_served(now, organisation, usage) - self.promised_level;
            if beyond > 0.0 {
                add_work(&mut self.spare, now, organisation, beyond, SHARE_TIME_CONSTANT);
            }
        }
    }

    /// Returns the share status of an organisation if it were given a request of `work`.
    pub fn status(&self, now: Millis, organisation: &Organisation, work: f64) -> ShareStatus {
        let Some(usage) = self.usage.get(organisation) else { return ShareStatus::Within };
        let before = self.charged(now, organisation, usage)
            + self.estimated_peer_served(now, organisation, usage);
        // Half of the request counts, so that a request larger than a share isn't refused forever.
        let served = before + work / 2.0;
        if usage.requested <= self.even_level || served <= self.even_level {
            return ShareStatus::Within;
        }
        // The request itself doesn't count: the organisation that got least is never refused for
        // the size of a request.
        if usage.requested <= self.promised_level || before <= self.spare_level {
            ShareStatus::Spare
        } else {
            ShareStatus::Over
        }
    }

    /// Returns the time until an organisation that is over its share may be served again, if it
    /// gets nothing until then.
    pub fn time_to_capacity(&self, now: Millis, organisation: &Organisation) -> Millis {
        let Some(usage) = self.usage.get(organisation) else { return Millis::ZERO };
        let charged = self.charged(now, organisation, usage);
        let level = self.spare_level.max(1.0);
        let time_constants = (charged / level).max(1.0).ln();
        Millis((time_constants * SHARE_TIME_CONSTANT.0 as f64) as u64)
    }

    /// Returns the tokens served to an organisation by all entries, without what was spare.
    fn charged(&self, now: Millis, organisation: &Organisation, usage: &OrganisationUsage) -> f64 {
        let spare =
            self.spare.get(organisation).map_or(0.0, |spare| spare.get(now, SHARE_TIME_CONSTANT));
        (self.total_served(now, organisation, usage) - spare).max(0.0)
    }

    /// Returns the tokens served to an organisation by all entries.
    fn total_served(
        &self,
        now: Millis,
        organisation: &Organisation,
        usage: &OrganisationUsage,
    ) -> f64 {
        usage.served_by_peers + self.own_served(now, organisation)
    }

    /// Estimates the tokens that the other entries served to an organisation since their last
    /// report, on the assumption that they serve it as this entry does, in proportion to what they
    /// are asked for.
    ///
    /// All entries know the same outdated sums. Without the estimate all of them would find
    /// capacity in a share at the same moment, and would serve everything requested until they
    /// receive each other's next reports.
    fn estimated_peer_served(
        &self,
        now: Millis,
        organisation: &Organisation,
        usage: &OrganisationUsage,
    ) -> f64 {
        let own_served = self.served_recently.get(organisation);
        let own_served = own_served.map_or(0.0, |served| served.get(now, self.report_age).max(0.0));
        own_served * usage.peer_demand_ratio
    }

    /// Returns the tokens served to an organisation by this entry.
    fn own_served(&self, now: Millis, organisation: &Organisation) -> f64 {
        self.served.get(organisation).map_or(0.0, |served| served.get(now, SHARE_TIME_CONSTANT))
    }

    /// Returns the tokens that each organisation recently requested from this entry.
    pub fn requested(&self, now: Millis) -> Vec<(Organisation, f32)> {
        current_sums(&self.requested, now, SHARE_TIME_CONSTANT)
    }

    /// Returns the tokens that this entry recently served to each organisation.
    pub fn served(&self, now: Millis) -> Vec<(Organisation, f32)> {
        current_sums(&self.served, now, SHARE_TIME_CONSTANT)
    }

    /// Returns the tokens that this entry recently refused to each organisation.
    pub fn refused(&self, now: Millis) -> Vec<(Organisation, f32)> {
        current_sums(&self.refused, now, REFUSED_TIME_CONSTANT)
    }
}

fn add_work(
    by_organisation: &mut BTreeMap<Organisation, DecayingSum>,
    now: Millis,
    organisation: &Organisation,
    work: f64,
    time_constant: Millis,
) {
    match by_organisation.get_mut(organisation) {
        Some(sum) => sum.add(now, work, time_constant),
        None => {
            let mut sum = DecayingSum::default();
            sum.add(now, work, time_constant);
            by_organisation.insert(organisation.clone(), sum);
        }
    }
}

fn current_sums(
    by_organisation: &BTreeMap<Organisation, DecayingSum>,
    now: Millis,
    time_constant: Millis,
) -> Vec<(Organisation, f32)> {
    let sums = by_organisation.iter().map(|(organisation, sum)| {
        (organisation.clone(), sum.get(now, time_constant).max(0.0) as f32)
    });
    sums.filter(|(_, sum)| *sum >= 1.0).collect()
}

/// Returns the max-min level: the amount up to which each demand is met so that all together get
/// `capacity`; infinite if they ask for less than that.
pub(in crate::coordination) fn max_min_level(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut capacity_left = capacity;
    let mut remaining = demands.len();
    for amount in demands {
        let even = capacity_left / remaining as f64;
        if amount > even {
            return even;
        }
        capacity_left -= amount;
        remaining -= 1;
    }
    f64::INFINITY
}
