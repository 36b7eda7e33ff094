//! What upstreams have asked for on their answers: to be left alone for some time, or to get no new
//! requests because they are shutting down.
//!
//! A request that is sent nevertheless is turned away or cut off. What was asked holds for one
//! incarnation of an upstream, and is kept apart from the list of upstreams: an upstream may be
//! missing from the list for a moment, and another one may get its address or its name.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    core::{Instance, Millis, UpstreamName},
    util::rendezvous,
};

/// How long after a backoff an upstream gets fewer requests than it has slots. Since it got nothing
/// it looks idle to every entry, and together they would overload it again at once.
pub const SLOW_START: Millis = Millis(2_000);
/// How long the notices of an incarnation are kept that is neither listed nor asks for anything.
const UNSEEN_TTL: Millis = Millis(600_000);

/// What an upstream asks for on one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UpstreamNotice {
    /// How long it wants no requests from this process.
    pub backoff: Option<Millis>,
    /// Whether it is shutting down and wants no new requests.
    pub is_leaving: bool,
}

impl UpstreamNotice {
    /// Returns whether the upstream asks for nothing.
    pub fn is_empty(&self) -> bool {
        *self == UpstreamNotice::default()
    }
}

/// What an incarnation of an upstream has asked for up to now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeState {
    /// Whether it is shutting down.
    pub is_leaving: bool,
    backoff_until: Option<Millis>,
}

impl NoticeState {
    /// Returns the time for which the upstream still wants no requests; zero if it takes them.
    pub fn backoff_left(&self, now: Millis) -> Millis {
        self.backoff_until.map_or(Millis::ZERO, |until| until.since(now))
    }

    /// Returns whether the upstream takes new requests.
    pub fn takes_requests(&self, now: Millis) -> bool {
        !self.is_leaving && self.backoff_left(now) == Millis::ZERO
    }

    /// Returns how many of an upstream's slots the whole fleet may use after a backoff, rising from
    /// one to all of them; `None` if there is no limit.
    pub fn slow_start_slots(&self, now: Millis, slots: u32) -> Option<u32> {
        let elapsed = now.since(self.backoff_until?);
        if elapsed >= SLOW_START {
            return None;
        }
        let opened = u64::from(slots) * elapsed.0 / SLOW_START.0;
        Some(u32::try_from(opened).unwrap_or(u32::MAX).max(1))
    }

    fn apply(&mut self, now: Millis, notice: UpstreamNotice) {
        self.is_leaving |= notice.is_leaving;
        if let Some(backoff) = notice.backoff.filter(|backoff| *backoff > Millis::ZERO) {
            self.backoff_until = self.backoff_until.max(Some(now + backoff));
        }
    }
}

/// Returns the part of an upstream's slots that `entry`, one of `entries`, may use. The parts of all
/// entries add up to `slots`, also while they can't reach each other.
pub fn slot_share(
    slots: u32,
    upstream: &UpstreamName,
    entry: &Instance,
    entries: &[Instance],
) -> u32 {
    let count = entries.len().max(1);
    let (even, rest) = (slots as usize / count, slots as usize % count);
    let has_more = rest > 0 && rendezvous::is_among_first(upstream.as_str(), entry, entries, rest);
    (even + usize::from(has_more)) as u32
}

#[derive(Clone, Copy, Debug)]
struct Noted {
    state: NoticeState,
    /// When the incarnation was last listed, or last asked for something.
    last_seen: Millis,
}

/// The notices of all upstreams to one process, by upstream and incarnation.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    noted: BTreeMap<(UpstreamName, u64), Noted>,
}

impl Notices {
    /// Records what an incarnation asks for on an answer, and returns what it has asked for in all.
    pub fn on_notice(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
        incarnation: u64,
        notice: UpstreamNotice,
    ) -> NoticeState {
        if notice.is_empty() {
            return self.state(upstream, incarnation);
        }
        let new = Noted { state: NoticeState::default(), last_seen: now };
        let noted = self.noted.entry((upstream.clone(), incarnation)).or_insert(new);
        noted.last_seen = now;
        noted.state.apply(now, notice);
        noted.state
    }

    /// Returns what an incarnation has asked for.
    pub fn state(&self, upstream: &UpstreamName, incarnation: u64) -> NoticeState {
        if self.noted.is_empty() {
            return NoticeState::default();
        }
        let noted = self.noted.get(&(upstream.clone(), incarnation));
        noted.map_or(NoticeState::default(), |noted| noted.state)
    }

    /// Records which incarnations the platform lists, each with whether it is listed as leaving, and
    /// drops the notices of those unseen for long.
    ///
    /// An upstream that leaves doesn't become ready again without a restart. A list that shows it as
    /// ready was delayed, and requests sent because of it would be cut off.
    pub fn on_listing<'a>(
        &mut self,
        now: Millis,
        listed: impl Iterator<Item = (&'a UpstreamName, u64, bool)>,
    ) {
        for (upstream, incarnation, is_leaving) in listed {
            if is_leaving {
                let leaving = UpstreamNotice { is_leaving, backoff: None };
                self.on_notice(now, upstream, incarnation, leaving);
            } else if !self.noted.is_empty()
                && let Some(noted) = self.noted.get_mut(&(upstream.clone(), incarnation))
            {
                noted.last_seen = now;
            }
        }
        self.expire(now);
    }

    /// Drops the notices of incarnations unseen for long, for which no backoff is in force.
    pub fn expire(&mut self, now: Millis) {
        self.noted.retain(|_, noted| {
            let backs_off = noted.state.backoff_left(now) > Millis::ZERO;
            backs_off || now.since(noted.last_seen) <= UNSEEN_TTL
        });
    }
}
