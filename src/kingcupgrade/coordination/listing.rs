//! Who reads the platform's list of upstreams, and when.
//!
//! The list bears a few calls a second from the whole fleet, and each is priced. A few entries of
//! each failure domain read it and tell the others of their domain at once; an entry that hears
//! nothing, since its readers are gone or out of reach, reads it itself, and less often the more
//! entries may be doing the same.

use crate::{
    core::{Instance, Millis},
    util::rendezvous,
};

/// How often a reader reads. The list lags by most of a second by itself, and an upstream that
/// leaves must get nothing new a few seconds after it is listed so.
const INTERVAL: Millis = Millis(900);
/// The pause after the list could not be read.
const PAUSE: Millis = Millis(400);
/// Readers in a failure domain: one may be lost without anybody noticing.
const READERS: usize = 2;
/// An entry that has heard nothing for this long reads the list itself: two readings have failed
/// to come.
const SILENCE: Millis = Millis(2_000);
/// Entries that may read the list at once at the pace of a reader without exceeding what it bears;
/// beyond these, each reads less often.
const ENTRIES_AT_PACE: usize = 12;
/// What the readers' ranking is drawn by.
const RANKING_KEY: &str = "listing";

/// Entries that lose their readers at the same moment begin to read within this span, not at once.
const STAGGER: Millis = Millis(1_000);

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
    /// Makes the plan of an entry that has heard and read nothing.
    pub fn new(entry: &Instance) -> ListingPlan {
        let place = u64::from(crc32fast::hash(entry.as_str().as_bytes()));
        ListingPlan { stagger: Millis(place % STAGGER.0), ..ListingPlan::default() }
    }

    /// Notes that another entry told what it read.
    pub fn on_heard(&mut self, now: Millis) {
        self.heard = Some(now);
        self.next_alone = now;
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
    pub fn is_due(&self, now: Millis, is_reader: bool) -> bool {
        if is_reader {
            return now >= self.next;
        }
        let silence = SILENCE + self.stagger;
        let is_silent = self.heard.is_none_or(|heard| now.since(heard) > silence);
        is_silent && now >= self.next_alone
    }
}

/// Tells whether an entry is one of the readers of its failure domain, whose entries are `domain`.
pub fn is_reader(entry: &Instance, domain: &[Instance]) -> bool {
    rendezvous::is_among_first(RANKING_KEY, entry, domain, READERS)
}
