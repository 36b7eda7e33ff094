//! The crashes that speak against one cause.

use std::collections::{BTreeMap, BTreeSet};

use super::{CRASH_TTL, Incarnation};
use crate::{
    core::{Millis, RequestDigest},
    protocol::crash::Crash,
};

/// The upstreams that have to end under a cause before it is blamed: one by one under a request; under
/// a part with the answer begun.
const MIN_CRASHES: usize = 3;
/// The same under a request that had answers shortly before.
const MIN_CRASHES_OF_SOUND_REQUEST: usize = 5;
/// The time over which upstreams have to end under a request that had answers shortly before.
const MIN_SPAN_OF_SOUND_REQUEST: Millis = Millis(1_000);
/// By how much the end of an upstream elsewhere may seem later than it was: the word of it takes time.
const MAX_REPORT_DELAY: Millis = Millis(150);
/// The requests without which the crashes under a part can't be explained: what crashes upstreams may
/// also be in one request, or in two by chance.
const MIN_REQUESTS: usize = 3;
/// The occasions that suffice against a part if upstreams ended together or before an answer had
/// begun.
const MIN_OCCASIONS: usize = 3;
/// Ends within this time after the first of them are one occasion.
const OCCASION_SPAN: Millis = Millis(300);
/// The time over which upstreams have to go on ending under a part that had answers shortly before.
const MIN_SPAN_OF_SOUND_PART: Millis = Millis(30_000);

/// The end of an upstream with a cause at it.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    pub(super) at: Millis,
    /// When the first of the requests reached the upstream.
    pub(super) sent_at: Millis,
    /// Whether the answer to one of them had begun to arrive.
    pub(super) had_head: bool,
    /// The requests with the cause that broke off there.
    pub(super) requests: BTreeSet<RequestDigest>,
}

/// A cause under which upstreams have ended since the last answer on it.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    pub(super) crashes: BTreeMap<Incarnation, Seen>,
    /// Whether it had answers shortly before.
    pub(super) was_sound: bool,
}

impl Suspect {
    /// Records the end of an upstream.
    pub(super) fn add(&mut self, now: Millis, at: Millis, crash: &Crash) {
        self.forget_old(now);
        let incarnation = (crash.upstream.clone(), crash.incarnation);
        let seen = self.crashes.entry(incarnation).or_insert_with(|| Seen {
            at,
            sent_at: at.since(crash.after),
            had_head: false,
            requests: BTreeSet::new(),
        });
        seen.had_head |= crash.had_head;
        seen.requests.insert(crash.request);
    }

    /// Drops what is too old to lead to blame.
    pub(super) fn forget_old(&mut self, now: Millis) {
        self.crashes.retain(|_, seen| now.since(seen.at) <= CRASH_TTL);
    }

    /// Returns whether a request is to blame.
    pub(super) fn is_blamed_request(&self) -> bool {
        match self.was_sound {
            true => {
                self.successive() >= MIN_CRASHES_OF_SOUND_REQUEST
                    && self.span() >= MIN_SPAN_OF_SOUND_REQUEST
            }
            false => self.successive() >= MIN_CRASHES,
        }
    }

    /// Returns how many upstreams ended one after the other under one request at the most.
    ///
    /// A request is at one upstream at a time. One that was there before another upstream ended under
    /// the same request belongs to another caller.
    fn successive(&self) -> usize {
        let mut ends: Vec<(Millis, Millis)> =
            self.crashes.values().map(|seen| (seen.at, seen.sent_at)).collect();
        ends.sort();
        let mut count = 0;
        let mut last: Option<Millis> = None;
        for (at, sent_at) in ends {
            if last.is_none_or(|last| sent_at + MAX_REPORT_DELAY >= last) {
                last = Some(at);
                count += 1;
            }
        }
        count
    }

    /// Returns whether a part of prompts is to blame; `is_together` tells whether upstreams ended
    /// together at a time.
    pub(super) fn is_blamed_part(&self, is_together: impl Fn(Millis) -> bool) -> bool {
        if self.crashes.len() < MIN_CRASHES
            || self.was_sound && self.span() < MIN_SPAN_OF_SOUND_PART
        {
            return false;
        }
        let is_alone = |seen: &&Seen| seen.had_head && !is_together(seen.at);
        let alone = || self.crashes.values().filter(is_alone).count();
        let is_suspicious =
            self.occasions() >= MIN_OCCASIONS || !self.was_sound && alone() >= MIN_CRASHES;
        is_suspicious && self.explaining_requests() >= MIN_REQUESTS
    }

    fn occasions(&self) -> usize {
        let mut times: Vec<Millis> = self.crashes.values().map(|seen| seen.at).collect();
        times.sort();
        let mut count = 0;
        let mut began: Option<Millis> = None;
        for at in times {
            if began.is_none_or(|began| at.since(began) > OCCASION_SPAN) {
                began = Some(at);
                count += 1;
            }
        }
        count
    }

    /// Returns how many requests it takes, about the fewest, so that one of them was at each of the
    /// upstreams that ended.
    fn explaining_requests(&self) -> usize {
        let mut unexplained: Vec<&Seen> = self.crashes.values().collect();
        let mut count = 0;
        while !unexplained.is_empty() {
            let mut crashes: BTreeMap<RequestDigest, usize> = BTreeMap::new();
            for request in unexplained.iter().flat_map(|seen| &seen.requests) {
                *crashes.entry(*request).or_default() += 1;
            }
            let most = crashes.into_iter().max_by_key(|(_, count)| *count);
            let Some((request, _)) = most else { return count };
            unexplained.retain(|seen| !seen.requests.contains(&request));
            count += 1;
        }
        count
    }

    fn span(&self) -> Millis {
        let times = || self.crashes.values().map(|seen| seen.at);
        let (first, last) = (times().min(), times().max());
        last.unwrap_or_default().since(first.unwrap_or_default())
    }
}
