//! Who reads the platform's list of upstreams, and when.
//!
//! The list bears a few calls a second from the whole fleet, and each is priced. One entry of each
//! failure domain reads it and tells the others of its domain at once; a second one stands in while
//! the first is silent. An entry that hears nothing, since both are gone or out of reach, reads the
//! list itself, and less often the more entries may be doing the same. One that starts asks those
//! two what they know, and reads only if neither answers.

use crate::{
    core::{Instance, Millis},
    util::rendezvous,
};

/// How often a reader reads. The list lags by most of a second by itself, and an upstream that
/// leaves must get nothing new a few seconds after it is listed so.
const INTERVAL: Millis = Millis(900);
/// The pause after the list could not be read.
const PAUSE: Millis = Millis(400);
/// Entries that read it or stand in, in a failure domain.
const READERS: usize = 2;
/// The second reader reads after so long a silence of the first: one reading has failed to come.
const STAND_IN_SILENCE: Millis = Millis(1_300);
/// An entry that has heard nothing for this long reads the list itself: two readings have failed
/// to come.
const SILENCE: Millis = Millis(2_000);
/// Entries that lose their readers at the same moment begin to read within this span, not at once.
const STAGGER: Millis = Millis(1_000);
/// How long an entry that starts waits for the word of others, and the span over which those that
/// start together begin to read.
const FIRST_SILENCE: Millis = Millis(300);
const FIRST_STAGGER: Millis = Millis(500);
/// What is known of the list is told to an entry that starts if it is younger than this.
pub const MAX_TOLD_AGE: Millis = Millis(1_000);
/// Entries that may read the list at once at the pace of a reader without exceeding what it bears;
/// beyond these, each reads less often.
const ENTRIES_AT_PACE: usize = 12;
/// What the readers' ranking is drawn by.
const RANKING_KEY: &str = "listing";

/// What an entry has to do with reading the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListingDuty {
    /// It reads for its failure domain.
    Reads,
    /// It reads while the one that should is silent.
    StandsIn,
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
            (_, false) => FIRST_SILENCE + Millis(self.stagger.0 * FIRST_STAGGER.0 / STAGGER.0),
            (ListingDuty::StandsIn, true) => STAND_IN_SILENCE,
            (ListingDuty::Hears, true) => SILENCE + self.stagger,
        };
        let next = if duty == ListingDuty::StandsIn { self.next } else { self.next_alone };
        now.since(self.heard.unwrap_or_default()) > silence && now >= next
    }
}

/// Lists the entries of a failure domain that read the list or stand in, the one that reads first.
pub fn readers(domain: &[Instance]) -> Vec<Instance> {
    let mut ranked = rendezvous::ranking(RANKING_KEY, domain.iter().cloned());
    ranked.truncate(READERS);
    ranked
}

/// Returns what an entry has to do with the list in its failure domain, whose entries are `domain`.
pub fn duty(entry: &Instance, domain: &[Instance]) -> ListingDuty {
    match readers(domain).iter().position(|reader| reader == entry) {
        Some(0) => ListingDuty::Reads,
        Some(_) => ListingDuty::StandsIn,
        None => ListingDuty::Hears,
    }
}
