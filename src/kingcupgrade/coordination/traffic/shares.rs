//! Fair shares of organisations: who may take what while capacity is short.
//!
//! Shares are max-min: an organisation that asks for less than an even part gets all of it, and
//! what it leaves is shared by those that ask for more. They are counted in tokens, over a span of
//! a few seconds, by all entries together: each tells the others what its callers asked for and
//! what they were given.

use std::collections::BTreeMap;

use super::{fading::Fading, others::Told};
use crate::core::{Millis, Organisation};

/// The span over which asking and getting are counted. Longer lets an organisation that was quiet
/// take everything for longer; shorter refuses what a moment later would fit.
pub const SHARE_SPAN: Millis = Millis(2_500);
/// How often the levels are worked out: as often as reports arrive.
const REFRESH: Millis = Millis(100);
/// An organisation gets at most this many times what the backlogged one that got least does,
/// beyond its promised share. Above 1, so that they can rise together; the gap between any two
/// stays below it.
const GAP: f64 = 1.2;
/// What is served may be this many times what was served of late: with upstreams lost, the promised
/// capacity is not there, and an even share of it would let whoever comes first take all. Above 1,
/// so that the level rises again once they are back.
const GROWTH: f64 = 1.15;
/// The span over which refusals are counted: an organisation that was refused before it, and is
/// served now, holds nobody back.
const REFUSED_SPAN: Millis = Millis(500);
/// An organisation is backlogged if it asked for this many times what it got, and for more than
/// its promised share, and is refused now. One that gets most of what it asks for holds nobody
/// back: a request of it may be refused for its size alone.
const BACKLOG: f64 = 1.5;
/// It is refused now if this part of what it asks for is.
const REFUSED_PART: f64 = 0.1;

/// Where an organisation stands with one more request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Within its share of the capacity that is promised.
    Within,
    /// Beyond that, and not far ahead of the backlogged organisation that got least.
    Fair,
    /// Beyond both.
    Beyond,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Asked of all entries in the span, in tokens.
    asked: f64,
    /// Served by the other entries, in tokens, as last told.
    served_elsewhere: f64,
    /// How much is asked of the other entries for each token asked of this one.
    asked_elsewhere: f64,
    /// Refused by all entries a moment ago, in tokens.
    refused: f64,
}

impl Counts {
    /// Tells whether a part worth counting of what is asked for now is refused.
    fn is_refused(&self) -> bool {
        let asked = self.asked * REFUSED_SPAN.0 as f64 / SHARE_SPAN.0 as f64;
        self.refused > asked * REFUSED_PART
    }
}

/// What one entry knows of all organisations' asking and getting.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    asked: BTreeMap<Organisation, Fading>,
    served: BTreeMap<Organisation, Fading>,
    /// What all entries served while it was spare, beyond the level of then.
    spare: BTreeMap<Organisation, Fading>,
    /// What was served here in about the time that the others' sums are old.
    served_lately: BTreeMap<Organisation, Fading>,
    refused: BTreeMap<Organisation, Fading>,
    /// How many other entries there are.
    others: usize,
    /// How old their sums are.
    age: Millis,
    counts: BTreeMap<Organisation, Counts>,
    /// The most that one organisation gets of the capacity that is promised, in the span.
    promised_level: f64,
    /// The most that one organisation gets of what is really served, where that is less than
    /// promised, in the span.
    even_level: f64,
    /// The most that one organisation gets of what is served beyond that, in the span.
    spare_level: f64,
    refreshed: Option<Millis>,
}

impl Shares {
    /// Counts what a request asks for.
    pub fn on_asked(&mut self, now: Millis, organisation: &Organisation, work: f64) {
        count(&mut self.asked, now, organisation, work, SHARE_SPAN);
    }

    /// Counts what is refused for want of room or of a share.
    pub fn on_refused(&mut self, now: Millis, organisation: &Organisation, work: f64) {
        count(&mut self.refused, now, organisation, work, REFUSED_SPAN);
    }

    /// Counts what a request is given; negative where it took less than was counted before.
    pub fn on_served(&mut self, now: Millis, organisation: &Organisation, work: f64) {
        count(&mut self.served, now, organisation, work, SHARE_SPAN);
        count(&mut self.served_lately, now, organisation, work, self.age);
    }

    /// Sets how many other entries there are, and how old their sums are.
    pub fn set_others(&mut self, count: usize, age: Millis) {
        self.others = count;
        self.age = age;
    }

    /// Works the levels out again if that is due. `capacity` is what is promised, in tokens a
    /// second; 0 if nothing is.
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
            // One request at an entry that is asked for little says little of the others.
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

    /// Counts as spare what organisations got beyond the level while nobody is backlogged.
    ///
    /// Held against them, it would keep them from their share for seconds once others are.
    fn set_spare(&mut self, now: Millis) {
        self.spare.clear();
        for (organisation, counts) in &self.counts {
            let beyond = self.served_in_all(now, organisation, counts) - self.promised_level;
            if beyond > 0.0 {
                count(&mut self.spare, now, organisation, beyond, SHARE_SPAN);
            }
        }
    }

    /// Tells where an organisation stands with one more request.
    pub fn standing(&self, now: Millis, organisation: &Organisation, work: f64) -> Standing {
        let Some(counts) = self.counts.get(organisation) else { return Standing::Within };
        let before = self.charged(now, organisation, counts)
            + self.served_elsewhere_since(now, organisation, counts);
        // Half of the request, so that one larger than a share is not shut out for good.
        let served = before + work / 2.0;
        if counts.asked <= self.even_level || served <= self.even_level {
            return Standing::Within;
        }
        // Without the request itself: the one that got least is never held back for its size.
        if counts.asked <= self.promised_level || before <= self.spare_level {
            Standing::Fair
        } else {
            Standing::Beyond
        }
    }

    /// Returns how long it takes until an organisation beyond its share has room in it again, if it
    /// gets nothing meanwhile.
    pub fn room_in(&self, now: Millis, organisation: &Organisation) -> Millis {
        let Some(counts) = self.counts.get(organisation) else { return Millis::ZERO };
        let charged = self.charged(now, organisation, counts);
        let level = self.spare_level.max(1.0);
        let spans = (charged / level).max(1.0).ln();
        Millis((spans * SHARE_SPAN.0 as f64) as u64)
    }

    /// Returns what an organisation was given by all entries in the span, in tokens, without what
    /// was spare.
    fn charged(&self, now: Millis, organisation: &Organisation, counts: &Counts) -> f64 {
        let spare = self.spare.get(organisation).map_or(0.0, |spare| spare.get(now, SHARE_SPAN));
        (self.served_in_all(now, organisation, counts) - spare).max(0.0)
    }

    /// Returns what an organisation was given by all entries in the span, in tokens.
    fn served_in_all(&self, now: Millis, organisation: &Organisation, counts: &Counts) -> f64 {
        counts.served_elsewhere + self.own(now, organisation)
    }

    /// Returns what the other entries gave an organisation since they told of it, as far as they do
    /// as this one does, in tokens.
    ///
    /// All entries know the same old sums. Without it all of them would find room in a share at the
    /// same moment, and until they hear of each other give all that is asked of them.
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

    /// Returns what an organisation was given by this entry in the span, in tokens.
    fn own(&self, now: Millis, organisation: &Organisation) -> f64 {
        self.served.get(organisation).map_or(0.0, |served| served.get(now, SHARE_SPAN))
    }

    /// Returns what all organisations asked for here of late, in tokens.
    pub fn asked(&self, now: Millis) -> Vec<(Organisation, f32)> {
        told(&self.asked, now, SHARE_SPAN)
    }

    /// Returns what all organisations were given here of late, in tokens.
    pub fn served(&self, now: Millis) -> Vec<(Organisation, f32)> {
        told(&self.served, now, SHARE_SPAN)
    }

    /// Returns what was refused to all organisations here a moment ago, in tokens.
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

/// Returns the level up to which everybody gets what they ask for, so that all together get
/// `capacity`; without bound if they ask for less.
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
