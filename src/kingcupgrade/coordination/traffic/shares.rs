//! Fair shares of the capacity, by organisation.
//!
//! Shares are max-min fair: an organisation that asks for less than an even share gets all that it
//! asks for, and what it leaves is divided among those that ask for more. Shares are counted in
//! tokens, with a time constant of a few seconds, over all entries: each entry tells the others
//! what its callers asked for and what they were given.

use std::collections::BTreeMap;

use super::{fading::Fading, others::Told};
use crate::core::{Millis, Organisation};

/// The time constant of the sums of tokens asked for and served. A longer one lets an organisation
/// that was idle take all capacity for longer; a shorter one refuses requests that would fit a
/// moment later.
pub const SHARE_SPAN: Millis = Millis(2_500);
/// The interval at which the levels are recomputed: as often as reports arrive.
const REFRESH: Millis = Millis(100);
/// Beyond its promised share, an organisation gets at most this many times what the backlogged
/// organisation that got least has got. Above 1, so that both can rise together; the ratio of any
/// two stays below it.
const GAP: f64 = 1.2;
/// The capacity that is assumed for even shares, as a multiple of what was served recently. When
/// upstreams are lost, the promised capacity is not there, and an even share of it would let
/// whoever comes first take everything. Above 1, so that the level rises again once the upstreams
/// are back.
const GROWTH: f64 = 1.15;
/// The time constant of the sums of refused tokens: an organisation whose refusals are older than
/// this, and that is served now, doesn't limit the others.
const REFUSED_SPAN: Millis = Millis(500);
/// An organisation is backlogged if it asked for more than this many times what it got, asked for
/// more than its promised share, and is being refused now. An organisation that gets most of what
/// it asks for doesn't limit the others: a request of it may be refused for its size alone.
const BACKLOG: f64 = 1.5;
/// An organisation is being refused if more than this fraction of what it asks for is refused.
const REFUSED_PART: f64 = 0.1;

/// The standing of an organisation if it were given one more request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Within its share of the promised capacity, or of the capacity that is really served if that
    /// is less.
    Within,
    /// Beyond that share, but not far ahead of the backlogged organisation that got least.
    Fair,
    /// Beyond its share and far ahead of the backlogged organisation that got least.
    Beyond,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Tokens asked of all entries.
    asked: f64,
    /// Tokens served by the other entries, as last reported.
    served_elsewhere: f64,
    /// Tokens asked of the other entries for each token asked of this one.
    asked_elsewhere: f64,
    /// Tokens refused by all entries.
    refused: f64,
}

impl Counts {
    /// Returns whether a considerable fraction of what is asked for is being refused.
    fn is_refused(&self) -> bool {
        let asked = self.asked * REFUSED_SPAN.0 as f64 / SHARE_SPAN.0 as f64;
        self.refused > asked * REFUSED_PART
    }
}

/// The demand and usage of all organisations, as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    asked: BTreeMap<Organisation, Fading>,
    served: BTreeMap<Organisation, Fading>,
    /// What all entries served beyond the promised level while no organisation was backlogged.
    spare: BTreeMap<Organisation, Fading>,
    /// What this entry served recently, with the age of the other entries' reports as time
    /// constant.
    served_lately: BTreeMap<Organisation, Fading>,
    refused: BTreeMap<Organisation, Fading>,
    /// The number of other entries.
    others: usize,
    /// The age of their reports.
    age: Millis,
    counts: BTreeMap<Organisation, Counts>,
    /// The max-min level of the promised capacity, in tokens per time constant.
    promised_level: f64,
    /// The max-min level of the capacity that is really served, at most the promised level, in
    /// tokens per time constant.
    even_level: f64,
    /// The level up to which an organisation gets capacity beyond its share, in tokens per time
    /// constant.
    spare_level: f64,
    refreshed: Option<Millis>,
}

impl Shares {
    /// Adds the work that a request asks for.
    pub fn on_asked(&mut self, now: Millis, organisation: &Organisation, work: f64) {
        count(&mut self.asked, now, organisation, work, SHARE_SPAN);
    }

    /// Adds work that is refused for lack of capacity or of a share.
    pub fn on_refused(&mut self, now: Millis, organisation: &Organisation, work: f64) {
        count(&mut self.refused, now, organisation, work, REFUSED_SPAN);
    }

    /// Adds work that is served; negative to correct an earlier estimate that was too high.
    pub fn on_served(&mut self, now: Millis, organisation: &Organisation, work: f64) {
        count(&mut self.served, now, organisation, work, SHARE_SPAN);
        count(&mut self.served_lately, now, organisation, work, self.age);
    }

    /// Sets the number of other entries and the age of their reports.
    pub fn set_others(&mut self, count: usize, age: Millis) {
        self.others = count;
        self.age = age;
    }

    /// Recomputes the levels if that is due. `capacity` is the promised capacity, in tokens per
    /// second; 0 if none is promised.
    pub fn refresh(&mut self, now: Millis, capacity: f64, others: &BTreeMap<Organisation, Told>) {
        if self.refreshed.is_some_and(|at| now.since(at) < REFRESH) {
            return;
        }
        self.refreshed = Some(now);
        self.counts.clear();
        for (organisation, asked) in &self.asked {
            let counts = self.counts.entry(organisation.clone()).or_default();
            counts.asked = asked.get(now, SHARE_SPAN);
        }
        for (organisation, told) in others {
            let counts = self.counts.entry(organisation.clone()).or_default();
            let elsewhere = told.asked.max(0.0) / counts.asked.max(1.0);
            // The ratio is capped: if little is asked of this entry, one request says little about
            // the other entries.
            counts.asked_elsewhere = elsewhere.min(self.others as f64);
            counts.asked += told.asked;
            counts.served_elsewhere += told.served;
            counts.refused += told.refused;
        }
        for (organisation, refused) in &self.refused {
            let counts = self.counts.entry(organisation.clone()).or_default();
            counts.refused += refused.get(now, REFUSED_SPAN);
        }
        let asked: Vec<f64> = self.counts.values().map(|counts| counts.asked).collect();
        let promised = capacity * SHARE_SPAN.0 as f64 / 1000.0;
        self.promised_level = max_min_level(asked.clone(), promised);
        let served: f64 = self
            .counts
            .iter()
            .map(|(organisation, counts)| self.served_in_all(now, organisation, counts))
            .sum();
        self.even_level = self.promised_level.min(max_min_level(asked, served * GROWTH));
        let backlogged = self.counts.iter().filter_map(|(organisation, counts)| {
            let served = self.served_in_all(now, organisation, counts);
            let is_limited = counts.asked > self.promised_level;
            let is_short = counts.asked > served * BACKLOG;
            let is_backlogged = is_limited && is_short && counts.is_refused();
            is_backlogged.then(|| self.charged(now, organisation, counts))
        });
        let least = backlogged.fold(f64::INFINITY, f64::min);
        self.spare_level = self.promised_level.max(least * GAP);
        if least.is_infinite() {
            self.set_spare(now);
        }
    }

    /// Counts as spare what organisations got beyond the promised level while none is backlogged.
    ///
    /// If it were charged to them, it would keep them from their share for seconds once others are
    /// backlogged.
    fn set_spare(&mut self, now: Millis) {
        self.spare.clear();
        for (organisation, counts) in &self.counts {
            let beyond = self.served_in_all(now, organisation, counts) - self.promised_level;
            if beyond > 0.0 {
                count(&mut self.spare, now, organisation, beyond, SHARE_SPAN);
            }
        }
    }

    /// Returns the standing of an organisation if it were given a request of `work`.
    pub fn standing(&self, now: Millis, organisation: &Organisation, work: f64) -> Standing {
        let Some(counts) = self.counts.get(organisation) else { return Standing::Within };
        let before = self.charged(now, organisation, counts)
            + self.served_elsewhere_since(now, organisation, counts);
        // Half of the request counts, so that a request larger than a share isn't refused forever.
        let served = before + work / 2.0;
        if counts.asked <= self.even_level || served <= self.even_level {
            return Standing::Within;
        }
        // The request itself doesn't count: the organisation that got least is never refused for
        // the size of a request.
        if counts.asked <= self.promised_level || before <= self.spare_level {
            Standing::Fair
        } else {
            Standing::Beyond
        }
    }

    /// Returns the time until an organisation that is over its share may be served again, if it
    /// gets nothing until then.
    pub fn room_in(&self, now: Millis, organisation: &Organisation) -> Millis {
        let Some(counts) = self.counts.get(organisation) else { return Millis::ZERO };
        let charged = self.charged(now, organisation, counts);
        let level = self.spare_level.max(1.0);
        let spans = (charged / level).max(1.0).ln();
        Millis((spans * SHARE_SPAN.0 as f64) as u64)
    }

    /// Returns the tokens served to an organisation by all entries, without what was spare.
    fn charged(&self, now: Millis, organisation: &Organisation, counts: &Counts) -> f64 {
        let spare = self.spare.get(organisation).map_or(0.0, |spare| spare.get(now, SHARE_SPAN));
        (self.served_in_all(now, organisation, counts) - spare).max(0.0)
    }

    /// Returns the tokens served to an organisation by all entries.
    fn served_in_all(&self, now: Millis, organisation: &Organisation, counts: &Counts) -> f64 {
        counts.served_elsewhere + self.own(now, organisation)
    }

    /// Estimates the tokens that the other entries served to an organisation since their last
    /// report, on the assumption that they serve it as this entry does, in proportion to what they
    /// are asked for.
    ///
    /// All entries know the same outdated sums. Without the estimate all of them would find
    /// capacity in a share at the same moment, and would serve everything asked of them until they
    /// hear of each other.
    fn served_elsewhere_since(
        &self,
        now: Millis,
        organisation: &Organisation,
        counts: &Counts,
    ) -> f64 {
        let own = self.served_lately.get(organisation);
        let own = own.map_or(0.0, |served| served.get(now, self.age).max(0.0));
        own * counts.asked_elsewhere
    }

    /// Returns the tokens served to an organisation by this entry.
    fn own(&self, now: Millis, organisation: &Organisation) -> f64 {
        self.served.get(organisation).map_or(0.0, |served| served.get(now, SHARE_SPAN))
    }

    /// Returns the tokens that each organisation recently asked of this entry.
    pub fn asked(&self, now: Millis) -> Vec<(Organisation, f32)> {
        told(&self.asked, now, SHARE_SPAN)
    }

    /// Returns the tokens that this entry recently served to each organisation.
    pub fn served(&self, now: Millis) -> Vec<(Organisation, f32)> {
        told(&self.served, now, SHARE_SPAN)
    }

    /// Returns the tokens that this entry recently refused to each organisation.
    pub fn refused(&self, now: Millis) -> Vec<(Organisation, f32)> {
        told(&self.refused, now, REFUSED_SPAN)
    }
}

fn count(
    counts: &mut BTreeMap<Organisation, Fading>,
    now: Millis,
    organisation: &Organisation,
    work: f64,
    span: Millis,
) {
    match counts.get_mut(organisation) {
        Some(count) => count.add(now, work, span),
        None => {
            let mut count = Fading::default();
            count.add(now, work, span);
            counts.insert(organisation.clone(), count);
        }
    }
}

fn told(
    counts: &BTreeMap<Organisation, Fading>,
    now: Millis,
    span: Millis,
) -> Vec<(Organisation, f32)> {
    let now_counts = counts
        .iter()
        .map(|(organisation, count)| (organisation.clone(), count.get(now, span).max(0.0) as f32));
    now_counts.filter(|(_, count)| *count >= 1.0).collect()
}

/// Returns the max-min level: the amount up to which each demand is met so that all together get
/// `capacity`; infinite if they ask for less than that.
fn max_min_level(mut asked: Vec<f64>, capacity: f64) -> f64 {
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut others = asked.len();
    for amount in asked {
        let even = left / others as f64;
        if amount > even {
            return even;
        }
        left -= amount;
        others -= 1;
    }
    f64::INFINITY
}
