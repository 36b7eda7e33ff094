//! Coordinates which entry reads the platform's list of upstreams, and when.
//!
//! The list allows a few calls per second from the whole fleet, and each call is priced. One entry
//! reads the list and sends the changes to all others at once. Where nothing arrives from it, one
//! entry of the failure domain reads for its domain, and a second one if nothing arrives from the
//! first. An entry that receives nothing at all reads the list itself, less often the more entries
//! may do the same. An entry that starts asks these three for their list, and reads it itself only
//! if none answers.

use std::collections::{BTreeMap, btree_map::Entry};

use serde::Serialize;

use crate::{
    core::{Instance, Millis, UpstreamName},
    protocol::fleet::{ListedUpstream, ListingUpdate},
    util::rendezvous,
};

/// The interval at which a reader reads the list. The list itself lags by most of a second, and an
/// upstream that leaves must get nothing new a few seconds after it is listed so.
const READ_INTERVAL: Millis = Millis(900);
/// The delay before the next attempt after a reading failed.
const RETRY_DELAY: Millis = Millis(400);
/// The number of stand-ins in a failure domain, which read the list if nothing arrives from the
/// reader.
const STAND_INS: usize = 2;
/// The first stand-in reads after it has received nothing for this long: one reading has failed to
/// arrive.
const FIRST_STAND_IN_SILENCE: Millis = Millis(1_300);
/// The second stand-in reads after this long: nothing has arrived from the first stand-in either.
const SECOND_STAND_IN_SILENCE: Millis = Millis(1_700);
/// An entry that has received nothing for this long reads the list itself: two readings have failed
/// to arrive.
const MAX_SILENCE: Millis = Millis(2_000);
/// Entries that lose their readers at the same moment start to read spread over this time.
const STAGGER: Millis = Millis(1_000);
/// How long an entry that starts waits for a list from other entries; the stand-ins wait less, the
/// first the least.
const START_SILENCE: Millis = Millis(500);
const FIRST_STAND_IN_START: Millis = Millis(300);
const SECOND_STAND_IN_START: Millis = Millis(400);
/// Entries that start together and receive nothing start to read spread over the stagger divided by
/// this.
const START_STAGGER_DIVISOR: u64 = 2;
/// A list is sent to an entry that starts only if it is younger than this.
pub const MAX_SHARED_AGE: Millis = Millis(1_000);
/// The number of entries that may all read at the interval of a reader without exceeding the rate
/// that the list allows; in a larger fleet, each reads less often.
const MAX_FULL_RATE_READERS: usize = 12;
/// The key of the rendezvous hash that ranks the readers.
const RANKING_KEY: &str = "listing";

/// An entry's part in reading the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListingDuty {
    /// Reads the list for the fleet.
    Reads,
    /// Reads the list for its failure domain while nothing arrives from the reader.
    StandsIn,
    /// Reads the list for its failure domain while nothing arrives from the first stand-in either.
    StandsInSecond,
    /// Receives the list from the entries that read it.
    #[default]
    Hears,
}

/// Schedules the readings of one entry.
#[derive(Clone, Debug, Default)]
pub struct ListingPlan {
    stagger: Millis,
    /// When the newest list received from another entry was read.
    last_received: Option<Millis>,
    /// When this entry last read the list.
    last_read: Millis,
    /// The time of the next reading as reader or stand-in.
    next_read: Millis,
    /// The time of the next reading as an entry that only receives, if nothing arrives.
    next_unaided_read: Millis,
}

impl ListingPlan {
    /// Creates the schedule of an entry that starts, at zero by its clock.
    pub fn new(entry: &Instance) -> ListingPlan {
        let hash = u64::from(crc32fast::hash(entry.as_str().as_bytes()));
        ListingPlan { stagger: Millis(hash % STAGGER.0), ..ListingPlan::default() }
    }

    /// Records a list received from another entry, which was read `age` ago.
    pub fn on_received(&mut self, now: Millis, age: Millis) {
        let at = now.since(age);
        self.last_received = Some(self.last_received.map_or(at, |known| known.max(at)));
        self.next_unaided_read = now;
    }

    /// Returns whether the list was ever read or received.
    pub fn is_known(&self) -> bool {
        self.last_received.is_some() || self.last_read > Millis::ZERO
    }

    /// Records a reading by this entry, or a failed attempt, in a fleet of `entries`.
    pub fn on_read(&mut self, now: Millis, is_ok: bool, entries: usize) {
        let delay = if is_ok { READ_INTERVAL } else { RETRY_DELAY };
        let slowdown = entries.div_ceil(MAX_FULL_RATE_READERS).max(1);
        if is_ok {
            self.last_read = now;
        }
        self.next_read = now + delay;
        self.next_unaided_read = now + Millis(delay.0 * slowdown as u64);
    }

    /// Returns the age of the newest list that was read or received; the time since the start if
    /// there is none.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.last_received.unwrap_or_default().max(self.last_read))
    }

    /// Returns whether the list is due to be read.
    pub fn is_due(&self, now: Millis, duty: ListingDuty) -> bool {
        let silence = match (duty, self.is_known()) {
            (ListingDuty::Reads, _) => return now >= self.next_read,
            (ListingDuty::StandsIn, true) => FIRST_STAND_IN_SILENCE,
            (ListingDuty::StandsIn, false) => FIRST_STAND_IN_START,
            (ListingDuty::StandsInSecond, true) => SECOND_STAND_IN_SILENCE,
            (ListingDuty::StandsInSecond, false) => SECOND_STAND_IN_START,
            (ListingDuty::Hears, true) => MAX_SILENCE + self.stagger,
            (ListingDuty::Hears, false) => {
                START_SILENCE + Millis(self.stagger.0 / START_STAGGER_DIVISOR)
            }
        };
        let next = if duty == ListingDuty::Hears { self.next_unaided_read } else { self.next_read };
        now.since(self.last_received.unwrap_or_default()) > silence && now >= next
    }
}

/// The entries of a fleet, and those of one of its failure domains.
#[derive(Clone, Copy, Debug)]
pub struct Neighbours<'a> {
    /// All entries.
    pub fleet: &'a [Instance],
    /// The entries of the failure domain.
    pub domain: &'a [Instance],
}

impl Neighbours<'_> {
    /// Returns the entries that may know the list: the reader, and the stand-ins of the failure
    /// domain.
    pub fn readers(&self) -> Vec<Instance> {
        let mut readers = top_ranked(self.fleet, 1);
        for entry in top_ranked(self.domain, STAND_INS) {
            if !readers.contains(&entry) {
                readers.push(entry);
            }
        }
        readers
    }

    /// Returns the part of an entry of the failure domain in reading the list.
    pub fn duty(&self, entry: &Instance) -> ListingDuty {
        if top_ranked(self.fleet, 1).first() == Some(entry) {
            return ListingDuty::Reads;
        }
        match top_ranked(self.domain, STAND_INS).iter().position(|reader| reader == entry) {
            Some(0) => ListingDuty::StandsIn,
            Some(_) => ListingDuty::StandsInSecond,
            None => ListingDuty::Hears,
        }
    }
}

fn top_ranked(entries: &[Instance], most: usize) -> Vec<Instance> {
    let mut ranked = rendezvous::ranking(RANKING_KEY, entries.iter().cloned());
    ranked.truncate(most);
    ranked
}

/// The platform's list as an entry knows it, and the entry that read it.
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

    /// Applies a list that this entry read, and returns the change for the entries that know the
    /// previous one. Numbers are at least the wall clock, so that those of an earlier process are
    /// not used again.
    pub fn on_read(
        &mut self,
        own: &Instance,
        unix_ms: u64,
        upstreams: Vec<ListedUpstream>,
    ) -> ListingUpdate {
        let before = std::mem::replace(&mut self.upstreams, by_name(upstreams));
        let base = if self.reader.as_ref() == Some(own) { self.number } else { 0 };
        self.reader = Some(own.clone());
        if base == 0 || before != self.upstreams {
            self.number = unix_ms.max(base + 1);
        }
        if base == 0 {
            return self.full_list_from(own);
        }
        let now = self.upstreams.iter();
        let changed = now.filter(|(name, listed)| before.get(*name) != Some(*listed));
        let removed = before.keys().filter(|name| !self.upstreams.contains_key(*name));
        let changed = changed.map(|(_, listed)| listed.clone()).collect();
        self.change(own, base, changed, removed.cloned().collect())
    }

    /// Applies a list of which a part could not be read, as [`KnownListing::on_read`] does. Upstreams
    /// that are not in it stay as they were known.
    pub fn on_partial_read(
        &mut self,
        own: &Instance,
        unix_ms: u64,
        upstreams: Vec<ListedUpstream>,
    ) -> ListingUpdate {
        let mut all = self.upstreams.clone();
        all.extend(by_name(upstreams));
        self.on_read(own, unix_ms, all.into_values().collect())
    }

    /// Applies a change from another entry; returns false if it builds on a list that this
    /// entry does not have.
    pub fn on_change(&mut self, update: ListingUpdate) -> bool {
        let is_known = self.reader.as_ref() == Some(&update.reader) && self.number == update.base;
        if update.base == 0 {
            self.upstreams.clear();
        } else if !is_known {
            return false;
        }
        for name in &update.removed {
            self.upstreams.remove(name);
        }
        self.upstreams
            .extend(update.changed.into_iter().map(|listed| (listed.name.clone(), listed)));
        self.reader = Some(update.reader);
        self.number = update.number;
        true
    }

    /// Returns the whole list, for an entry that knows none; `None` if none is known here either.
    pub fn full_list(&self) -> Option<ListingUpdate> {
        self.reader.as_ref().map(|reader| self.full_list_from(reader))
    }

    fn full_list_from(&self, reader: &Instance) -> ListingUpdate {
        self.change(reader, 0, self.upstreams.values().cloned().collect(), Vec::new())
    }

    fn change(
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

/// Arranges a list by the names of its upstreams. If a name is listed twice, the later start holds,
/// and of one start that it gets no new requests.
fn by_name(upstreams: Vec<ListedUpstream>) -> BTreeMap<UpstreamName, ListedUpstream> {
    let mut listed = BTreeMap::new();
    let precedence = |upstream: &ListedUpstream| (upstream.started_unix_ms, !upstream.is_ready);
    for upstream in upstreams {
        match listed.entry(upstream.name.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(upstream);
            }
            Entry::Occupied(mut entry) if precedence(&upstream) >= precedence(entry.get()) => {
                entry.insert(upstream);
            }
            Entry::Occupied(_) => {}
        }
    }
    listed
}
