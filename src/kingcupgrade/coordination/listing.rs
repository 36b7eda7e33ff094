//! Who reads the platform's list of upstreams, and when.
//!
//! The list bears a few calls a second from the whole fleet, and each is priced. One entry reads it
//! and tells all others at once what has changed. Where it is not heard, one entry of the failure
//! domain reads for its domain, and a second one where that is not heard either. An entry that hears
//! nobody reads the list itself, and less often the more entries may be doing the same. One that
//! starts asks those three what they know, and reads only if none answers.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    core::{Instance, Millis, UpstreamName},
    protocol::fleet::{ListedUpstream, ListingUpdate},
    util::rendezvous,
};

/// How often a reader reads. The list lags by most of a second by itself, and an upstream that
/// leaves must get nothing new a few seconds after it is listed so.
const INTERVAL: Millis = Millis(900);
/// The pause after the list could not be read.
const PAUSE: Millis = Millis(400);
/// Entries that stand in for the one that reads, in a failure domain.
const STAND_INS: usize = 2;
/// The first of them reads after so long a silence: one reading has failed to come.
const FIRST_STAND_IN_SILENCE: Millis = Millis(1_300);
/// The second one, if nothing has come of the first either.
const SECOND_STAND_IN_SILENCE: Millis = Millis(1_700);
/// An entry that has heard nothing for this long reads the list itself: two readings have failed
/// to come.
const SILENCE: Millis = Millis(2_000);
/// Entries that lose their readers at the same moment begin to read within this span, not at once.
const STAGGER: Millis = Millis(1_000);
/// How long an entry that starts waits for the word of others; stand-ins wait for less, in turn.
const START_SILENCE: Millis = Millis(500);
const FIRST_STAND_IN_START: Millis = Millis(300);
const SECOND_STAND_IN_START: Millis = Millis(400);
/// Entries that start together and hear nobody begin to read within this part of the stagger.
const START_STAGGER_PART: u64 = 2;
/// What is known of the list is told to an entry that starts if it is younger than this.
pub const MAX_TOLD_AGE: Millis = Millis(1_000);
/// Entries that may read the list at once at the pace of a reader without exceeding what it bears;
/// beyond these, each reads less often.
const ENTRIES_AT_PACE: usize = 12;
/// What the readers' ranking is drawn by.
const RANKING_KEY: &str = "listing";

/// What an entry has to do with reading the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListingDuty {
    /// It reads for the fleet.
    Reads,
    /// It reads for its failure domain while nobody is heard.
    StandsIn,
    /// The same, after the first that does.
    StandsInSecond,
    /// It hears what others read.
    #[default]
    Hears,
}

/// When one entry reads the list next.
#[derive(Clone, Debug, Default)]
pub struct ListingPlan {
    stagger: Millis,
    heard: Option<Millis>,
    /// When it was last read here.
    read: Millis,
    /// When it reads next as a reader.
    next: Millis,
    /// When it reads next if it hears nothing.
    next_alone: Millis,
}

impl ListingPlan {
    /// Makes the plan of an entry that starts, at zero by its clock.
    pub fn new(entry: &Instance) -> ListingPlan {
        let place = u64::from(crc32fast::hash(entry.as_str().as_bytes()));
        ListingPlan { stagger: Millis(place % STAGGER.0), ..ListingPlan::default() }
    }

    /// Notes that another entry told what it read so long ago.
    pub fn on_heard(&mut self, now: Millis, age: Millis) {
        let at = now.since(age);
        self.heard = Some(self.heard.map_or(at, |heard| heard.max(at)));
        self.next_alone = now;
    }

    /// Tells whether anything is known of the list.
    pub fn is_known(&self) -> bool {
        self.heard.is_some() || self.read > Millis::ZERO
    }

    /// Notes that the list was read here or could not be, in a fleet of so many entries.
    pub fn on_read(&mut self, now: Millis, is_ok: bool, entries: usize) {
        let pause = if is_ok { INTERVAL } else { PAUSE };
        let crowd = entries.div_ceil(ENTRIES_AT_PACE).max(1);
        if is_ok {
            self.read = now;
        }
        self.next = now + pause;
        self.next_alone = now + Millis(pause.0 * crowd as u64);
    }

    /// Returns how long ago the list was last read or heard of; since the start if never.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.heard.unwrap_or_default().max(self.read))
    }

    /// Tells whether it is time to read.
    pub fn is_due(&self, now: Millis, duty: ListingDuty) -> bool {
        let silence = match (duty, self.is_known()) {
            (ListingDuty::Reads, _) => return now >= self.next,
            (ListingDuty::StandsIn, true) => FIRST_STAND_IN_SILENCE,
            (ListingDuty::StandsIn, false) => FIRST_STAND_IN_START,
            (ListingDuty::StandsInSecond, true) => SECOND_STAND_IN_SILENCE,
            (ListingDuty::StandsInSecond, false) => SECOND_STAND_IN_START,
            (ListingDuty::Hears, true) => SILENCE + self.stagger,
            (ListingDuty::Hears, false) => {
                START_SILENCE + Millis(self.stagger.0 / START_STAGGER_PART)
            }
        };
        let next = if duty == ListingDuty::Hears { self.next_alone } else { self.next };
        now.since(self.heard.unwrap_or_default()) > silence && now >= next
    }
}

/// The entries of a fleet and of one of its failure domains.
#[derive(Clone, Copy, Debug)]
pub struct Neighbours<'a> {
    /// All entries.
    pub fleet: &'a [Instance],
    /// Those of the failure domain.
    pub domain: &'a [Instance],
}

impl Neighbours<'_> {
    /// Lists who may know the list: who reads it, and who stands in here.
    pub fn readers(&self) -> Vec<Instance> {
        let mut readers = first(self.fleet, 1);
        for entry in first(self.domain, STAND_INS) {
            if !readers.contains(&entry) {
                readers.push(entry);
            }
        }
        readers
    }

    /// Returns what an entry of the failure domain has to do with the list.
    pub fn duty(&self, entry: &Instance) -> ListingDuty {
        if first(self.fleet, 1).first() == Some(entry) {
            return ListingDuty::Reads;
        }
        match first(self.domain, STAND_INS).iter().position(|reader| reader == entry) {
            Some(0) => ListingDuty::StandsIn,
            Some(_) => ListingDuty::StandsInSecond,
            None => ListingDuty::Hears,
        }
    }
}

fn first(entries: &[Instance], most: usize) -> Vec<Instance> {
    let mut ranked = rendezvous::ranking(RANKING_KEY, entries.iter().cloned());
    ranked.truncate(most);
    ranked
}

/// The platform's list as an entry knows it, by whose reading.
#[derive(Clone, Debug, Default)]
pub struct KnownListing {
    reader: Option<Instance>,
    number: u64,
    upstreams: BTreeMap<UpstreamName, ListedUpstream>,
}

impl KnownListing {
    /// Returns the upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.upstreams.values()
    }

    /// Takes in what was read here, and returns what has changed for those who know it as it was.
    /// Numbers are drawn from the wall clock, so that those of an earlier process are not used again.
    pub fn on_read(
        &mut self,
        own: &Instance,
        unix_ms: u64,
        upstreams: Vec<ListedUpstream>,
    ) -> ListingUpdate {
        let read = upstreams.into_iter().map(|listed| (listed.name.clone(), listed)).collect();
        let before = std::mem::replace(&mut self.upstreams, read);
        let base = if self.reader.as_ref() == Some(own) { self.number } else { 0 };
        self.reader = Some(own.clone());
        if base == 0 || before != self.upstreams {
            self.number = unix_ms.max(base + 1);
        }
        if base == 0 {
            return self.whole_by(own);
        }
        let now = self.upstreams.iter();
        let changed = now.filter(|(name, listed)| before.get(*name) != Some(*listed));
        let removed = before.keys().filter(|name| !self.upstreams.contains_key(*name));
        let changed = changed.map(|(_, listed)| listed.clone()).collect();
        self.news(own, base, changed, removed.cloned().collect())
    }

    /// Takes in what another entry tells; false if it builds on a list that is not known here.
    pub fn on_news(&mut self, news: ListingUpdate) -> bool {
        let is_known = self.reader.as_ref() == Some(&news.reader) && self.number == news.base;
        if news.base == 0 {
            self.upstreams.clear();
        } else if !is_known {
            return false;
        }
        for name in &news.removed {
            self.upstreams.remove(name);
        }
        self.upstreams.extend(news.changed.into_iter().map(|listed| (listed.name.clone(), listed)));
        self.reader = Some(news.reader);
        self.number = news.number;
        true
    }

    /// Returns the whole list as it is told to one that knows nothing; `None` if nothing is known
    /// here either.
    pub fn whole(&self) -> Option<ListingUpdate> {
        self.reader.as_ref().map(|reader| self.whole_by(reader))
    }

    fn whole_by(&self, reader: &Instance) -> ListingUpdate {
        self.news(reader, 0, self.upstreams.values().cloned().collect(), Vec::new())
    }

    fn news(
        &self,
        reader: &Instance,
        base: u64,
        changed: Vec<ListedUpstream>,
        removed: Vec<UpstreamName>,
    ) -> ListingUpdate {
        let reader = reader.clone();
        ListingUpdate { reader, age: Millis::ZERO, base, number: self.number, changed, removed }
    }
}
