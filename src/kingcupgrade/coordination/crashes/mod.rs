//! Requests, and parts of prompts, that crash the upstreams that they reach.
//!
//! A crash tells what ran at the upstream, not what crashed it. A request is blamed if upstreams end
//! under it one after the other, over all attempts of its caller; a part of prompts if they end under
//! several requests that share it, and no answer on it has begun since. Upstreams also end together
//! or at random, and what many requests have in common is then at each of them; but upstreams write
//! answers on it between.
//!
//! Entries tell each other the crashes they see, since each may see only one, and the causes they
//! blame. A blamed cause is kept from upstreams until one of them has written an answer on it: from
//! time to time a single entry lets one request through.

mod bar;
mod ends;
mod sound;
mod suspect;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use self::{bar::Bar, ends::Ends, sound::SoundCauses, suspect::Suspect};
use crate::{
    core::{Code, Instance, Millis, UpstreamName},
    protocol::crash::{BarredCause, Crash, CrashCause, CrashNews, SoundCause},
};

/// An answer shows for this long that its causes are sound.
const SOUND_TTL: Millis = Millis(60_000);
/// Another entry's word that a part crashes upstreams, or that a cause is barred, counts for less
/// than an answer this recent.
const SOUND_AGAINST_REPORT: Millis = Millis(5_000);
/// A crash that has led to no blame for this long is forgotten.
const CRASH_TTL: Millis = Millis(120_000);
/// A cause is kept from upstreams for this long at most: one that still crashes them is soon blamed
/// again, and others would be kept and told for ever.
const BAR_TTL: Millis = Millis(3_600_000);
/// The crashes that are told at a time, so that news of many upstreams that end together stays
/// short; the others follow.
const MAX_TOLD_CRASHES: usize = 16;
/// The limit of crashes that are still to be told.
const MAX_UNTOLD_CRASHES: usize = 128;
/// How often old crashes and bars are dropped.
const PRUNE_INTERVAL: Millis = Millis(10_000);

/// An upstream's name and the Unix millisecond of its start.
type Incarnation = (UpstreamName, u64);

/// A cause that keeps a request from all upstreams, and the time until it is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Barred {
    /// The cause.
    pub cause: CrashCause,
    /// The time left.
    pub left: Millis,
}

impl Barred {
    /// Returns the code with which such a request is refused.
    pub fn code(&self) -> Code {
        match self.cause {
            CrashCause::Part(_) => Code::PartBarred,
            CrashCause::Request(_) => Code::RequestBarred,
        }
    }
}

/// What one entry knows of the causes that crash upstreams.
#[derive(Clone, Debug, Default)]
pub struct CrashCauses {
    suspects: HashMap<CrashCause, Suspect>,
    bars: BTreeMap<CrashCause, Bar>,
    /// The upstreams that ended, by the requests that broke off there.
    ends: Ends,
    /// The causes that upstreams have written answers on, here or as others told.
    sound: SoundCauses,
    untold_crashes: VecDeque<(Millis, Crash)>,
    /// Causes that others may suspect, and that upstreams have written answers on.
    untold_sound: BTreeSet<CrashCause>,
    /// Whether the barred causes are to be told.
    must_tell_bars: bool,
    next_prune: Millis,
}

impl CrashCauses {
    /// Records an upstream, of a service with `upstreams` of them, that closed the connection of a
    /// request; returns the cause that is blamed with it, if one is.
    pub fn on_crash(&mut self, now: Millis, crash: Crash, upstreams: usize) -> Option<CrashCause> {
        let blamed = self.add_crash(now, now, &crash, upstreams);
        let is_known = self.untold_crashes.iter().any(|(_, known)| known.is_same(&crash));
        if is_known || self.untold_crashes.len() >= MAX_UNTOLD_CRASHES {
            return blamed;
        }
        // The second and third end under a request are the most urgent to be known.
        let suspect = self.suspects.get(&CrashCause::Request(crash.request));
        if suspect.is_none_or(|suspect| suspect.crashes.len() > 1) {
            self.untold_crashes.push_front((now, crash));
        } else {
            self.untold_crashes.push_back((now, crash));
        }
        blamed
    }

    fn add_crash(
        &mut self,
        now: Millis,
        at: Millis,
        crash: &Crash,
        upstreams: usize,
    ) -> Option<CrashCause> {
        let incarnation = (crash.upstream.clone(), crash.incarnation);
        self.ends.insert(at, incarnation, upstreams);
        // A blamed cause explains the crash by itself.
        if causes_of(crash).any(|cause| self.bars.contains_key(&cause)) {
            return None;
        }
        for cause in causes_of(crash) {
            let was_sound = self.is_sound(now, cause, SOUND_TTL);
            let new = || Suspect { was_sound, ..Suspect::default() };
            self.suspects.entry(cause).or_insert_with(new).add(now, at, crash);
        }
        let blamed = causes_of(crash).find(|cause| self.is_to_blame(*cause))?;
        self.bar(blamed, now);
        Some(blamed)
    }

    fn is_to_blame(&self, cause: CrashCause) -> bool {
        let Some(suspect) = self.suspects.get(&cause) else { return false };
        match cause {
            CrashCause::Request(_) => suspect.is_blamed_request(),
            CrashCause::Part(_) => suspect.is_blamed_part(|at| self.ends.is_together(at)),
        }
    }

    fn bar(&mut self, cause: CrashCause, since: Millis) {
        self.must_tell_bars = true;
        self.bars.entry(cause).or_insert(Bar::new(since));
        let Some(explained) = self.suspects.remove(&cause) else { return };
        // Of the requests that share a part, each may be blamed before the part is.
        if matches!(cause, CrashCause::Request(_)) {
            return;
        }
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|incarnation, _| !explained.crashes.contains_key(incarnation));
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
    }

    /// Records that an upstream has written an answer on a cause: that it has begun one on a part, or
    /// completed one to a request. Returns whether the cause was barred until then.
    pub fn on_sound(&mut self, now: Millis, cause: CrashCause) -> bool {
        let was_suspected = self.suspects.contains_key(&cause);
        let was_barred = self.clear(now, cause);
        if was_suspected || was_barred {
            self.untold_sound.insert(cause);
        }
        was_barred
    }

    /// Drops what spoke against a cause before an answer on it; returns whether it was barred.
    fn clear(&mut self, answered: Millis, cause: CrashCause) -> bool {
        self.sound.insert(answered, cause);
        if let Some(suspect) = self.suspects.get_mut(&cause) {
            suspect.was_sound = true;
            suspect.crashes.retain(|_, seen| seen.at > answered);
            if suspect.crashes.is_empty() {
                self.suspects.remove(&cause);
            }
        }
        let is_cleared = |bar: &Bar| answered + SOUND_AGAINST_REPORT >= bar.since();
        let was_barred = self.bars.get(&cause).is_some_and(is_cleared);
        if was_barred {
            self.bars.remove(&cause);
        }
        was_barred
    }

    /// Returns whether no cause is kept from upstreams.
    pub fn bars_nothing(&self) -> bool {
        self.bars.is_empty()
    }

    /// Returns the first of these causes that keeps a request from all upstreams; `own` is one of the
    /// `entries`, which try barred causes in turn.
    pub fn barred(
        &self,
        now: Millis,
        mut causes: impl Iterator<Item = CrashCause>,
        own: &Instance,
        entries: &[Instance],
    ) -> Option<Barred> {
        causes.find_map(|cause| {
            let left = self.bars.get(&cause)?.time_to_trial(now, cause, own, entries)?;
            Some(Barred { cause, left })
        })
    }

    /// Records that a request with these causes is sent; returns whether it is a trial.
    pub fn on_sent(&mut self, now: Millis, causes: impl Iterator<Item = CrashCause>) -> bool {
        if self.bars.is_empty() {
            return false;
        }
        let mut is_trial = false;
        for cause in causes {
            if let Some(bar) = self.bars.get_mut(&cause) {
                bar.on_trial(now);
                is_trial = true;
            }
        }
        is_trial
    }

    /// Applies what other entries tell; `upstreams` returns the size of an upstream's service. Returns
    /// the causes that are blamed with it.
    pub fn on_news(
        &mut self,
        now: Millis,
        news: CrashNews,
        upstreams: impl Fn(&UpstreamName) -> usize,
    ) -> Vec<CrashCause> {
        for crash in &news.crashes {
            for cause in causes_of(crash) {
                let ttl = match cause {
                    CrashCause::Part(_) => SOUND_AGAINST_REPORT,
                    CrashCause::Request(_) => SOUND_TTL,
                };
                if self.is_sound(now, cause, ttl) {
                    self.untold_sound.insert(cause);
                }
            }
        }
        for SoundCause { cause, age } in news.sound {
            self.clear(now.since(age), cause);
        }
        let mut blamed = Vec::new();
        for crash in &news.crashes {
            let at = now.since(crash.age);
            blamed.extend(self.add_crash(now, at, crash, upstreams(&crash.upstream)));
        }
        for BarredCause { cause, age } in news.barred {
            if self.is_sound(now, cause, SOUND_AGAINST_REPORT) {
                self.untold_sound.insert(cause);
            } else if age < BAR_TTL && !self.bars.contains_key(&cause) {
                self.bar(cause, now.since(age));
                blamed.push(cause);
            }
        }
        blamed
    }

    /// Has the barred causes told with the next news, for entries that have started since.
    pub fn repeat_bars(&mut self) {
        self.must_tell_bars = true;
    }

    /// Returns what the other entries are to be told.
    pub fn take_news(&mut self, now: Millis) -> CrashNews {
        let count = self.untold_crashes.len().min(MAX_TOLD_CRASHES);
        let crashes = self.untold_crashes.drain(..count);
        let crashes = crashes.map(|(at, crash)| Crash { age: now.since(at), ..crash }).collect();
        let sound = std::mem::take(&mut self.untold_sound).into_iter();
        let sound = sound.map(|cause| {
            let answered = self.sound.last(cause).unwrap_or(now);
            SoundCause { cause, age: now.since(answered) }
        });
        let sound = sound.collect();
        let bars = self.bars.iter().filter(|_| self.must_tell_bars);
        let barred =
            bars.map(|(cause, bar)| BarredCause { cause: *cause, age: now.since(bar.since()) });
        let barred = barred.collect();
        self.must_tell_bars = false;
        CrashNews { crashes, sound, barred }
    }

    /// Drops what is too old; returns the causes that are not kept from upstreams any more.
    pub fn expire(&mut self, now: Millis) -> Vec<CrashCause> {
        if now < self.next_prune {
            return Vec::new();
        }
        self.next_prune = now + PRUNE_INTERVAL;
        self.suspects.retain(|_, suspect| {
            suspect.forget_old(now);
            !suspect.crashes.is_empty()
        });
        let old = self.bars.extract_if(.., |_, bar| now.since(bar.since()) >= BAR_TTL);
        old.map(|(cause, _)| cause).collect()
    }

    /// Returns whether an upstream has written an answer on a cause within the last `span`.
    fn is_sound(&self, now: Millis, cause: CrashCause, span: Millis) -> bool {
        self.sound.last(cause).is_some_and(|at| now.since(at) <= span)
    }
}

/// Returns what a crash may be due to: the request, then the parts of its prompt from those that the
/// fewest prompts share.
fn causes_of(crash: &Crash) -> impl Iterator<Item = CrashCause> {
    let parts = crash.shared_parts.iter().rev().map(|part| CrashCause::Part(*part));
    std::iter::once(CrashCause::Request(crash.request)).chain(parts)
}
