//! Parts of prompts that crash the upstreams that begin to write an answer on them.
//!
//! A crash tells which parts were about to begin at the upstream, not which of them crashed it. A
//! part is blamed if upstreams keep ending under it and no answer on it has begun since. Upstreams
//! also end together for other reasons, and the parts that all prompts share are then at each of
//! them. Such parts had answers shortly before, and need far more to be blamed.
//!
//! Entries tell each other the crashes they see, since each may see only one, and the parts they
//! blame. A blamed part is kept from upstreams until an answer on it has begun again: from time to
//! time a single entry lets one request through.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    core::{Instance, Millis, UpstreamName},
    protocol::fleet::{BarredPart, Crash},
    util::rendezvous,
};

/// The events of an answer after which it counts as begun: an upstream may crash in the first ones.
pub(super) const BEGUN_EVENTS: u32 = 4;
/// The upstreams that have to end under a part, one by one and with the answer begun, before it is
/// blamed.
const MIN_CRASHES: usize = 3;
/// The occasions that suffice if upstreams ended together or before an answer had begun.
const MIN_OCCASIONS: usize = 3;
/// Ends within this time after the first of them are one occasion.
const OCCASION_SPAN: Millis = Millis(300);
/// Upstreams that end within this time of each other have ended together.
const TOGETHER_SPAN: Millis = Millis(100);
/// Ends of upstreams are remembered for this long: others tell of theirs a moment later.
const ENDS_TTL: Millis = Millis(2_000);
/// The least number of upstreams that end together for a reason that is no part.
const MIN_TOGETHER: usize = 3;
/// The same as a divisor of the upstreams of a service: where requests with a part come often, some
/// of many upstreams end together by chance.
const TOGETHER_DIVISOR: usize = 6;
/// The time over which upstreams have to go on ending under a part that had answers shortly before.
const MIN_SPAN_OF_SOUND: Millis = Millis(30_000);
/// An answer shows for this long that its parts are sound.
const SOUND_TTL: Millis = Millis(60_000);
/// Another entry's word that a part crashes upstreams counts for less than an answer this recent.
const SOUND_AGAINST_REPORT: Millis = Millis(5_000);
/// A crash that has led to no blame for this long is forgotten.
const CRASH_TTL: Millis = Millis(120_000);
/// The first time after which a blamed part is tried again; each further one is twice as long, so
/// that a part that goes on crashing upstreams ends ever fewer.
const FIRST_TRIAL: Millis = Millis(60_000);
/// The longest time between two trials.
const MAX_TRIAL_INTERVAL: Millis = Millis(600_000);
/// The crashes that one report tells: of upstreams that end together, a few tell as much as all.
const MAX_UNREPORTED_CRASHES: usize = 16;
/// How often what is known of old crashes is dropped.
const PRUNE_INTERVAL: Millis = Millis(10_000);
/// The limit of parts that are remembered as sound since they were last moved to the older ones.
const MAX_SOUND_PARTS: usize = 8_192;

/// An upstream's name and the Unix millisecond of its start.
type Incarnation = (UpstreamName, u64);

/// A crash with a part about to begin.
#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Millis,
    /// Whether the answer had begun to arrive.
    had_head: bool,
}

/// A part under which upstreams have ended since its last answer.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeMap<Incarnation, Seen>,
    /// Whether it had answers shortly before the first crash.
    was_sound: bool,
}

impl Suspect {
    /// Returns whether the part is to blame; `is_together` tells whether upstreams ended together at
    /// a time.
    fn is_to_blame(&self, is_together: impl Fn(Millis) -> bool) -> bool {
        if self.crashes.len() < MIN_CRASHES || self.was_sound && self.span() < MIN_SPAN_OF_SOUND {
            return false;
        }
        let is_alone = |seen: &&Seen| seen.had_head && !is_together(seen.at);
        let alone = || self.crashes.values().filter(is_alone).count();
        self.occasions() >= MIN_OCCASIONS || !self.was_sound && alone() >= MIN_CRASHES
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

    fn span(&self) -> Millis {
        let times = || self.crashes.values().map(|seen| seen.at);
        let (first, last) = (times().min(), times().max());
        last.unwrap_or_default().since(first.unwrap_or_default())
    }
}

/// The times at which upstreams ended, and those at which some ended together.
#[derive(Debug, Default)]
struct Ends {
    recent: Vec<(Millis, Incarnation)>,
    /// The first and the last time of each group that ended together.
    together: Vec<(Millis, Millis)>,
}

impl Ends {
    /// Records that an upstream of a service with `upstreams` of them has ended.
    fn insert(&mut self, at: Millis, incarnation: Incarnation, upstreams: usize) {
        self.recent.retain(|(end, _)| at.since(*end) <= ENDS_TTL);
        self.together.retain(|(_, last)| at.since(*last) <= CRASH_TTL);
        if self.recent.iter().any(|(_, known)| *known == incarnation) {
            return;
        }
        self.recent.push((at, incarnation));
        let times = self.recent.iter().map(|(end, _)| *end);
        let near = times.filter(|end| at.since(*end).max(end.since(at)) <= TOGETHER_SPAN);
        let near: Vec<Millis> = near.collect();
        if near.len() >= MIN_TOGETHER.max(upstreams / TOGETHER_DIVISOR) {
            let (first, last) = (near.iter().min(), near.iter().max());
            self.together.extend(first.copied().zip(last.copied()));
        }
    }

    fn is_together(&self, at: Millis) -> bool {
        self.together.iter().any(|(first, last)| *first <= at && at <= *last)
    }
}

/// The parts of which answers have begun lately. Those of the last [`SOUND_TTL`] at least are kept,
/// unless there are very many.
#[derive(Debug, Default)]
struct SoundParts {
    recent: HashMap<u64, Millis>,
    older: HashMap<u64, Millis>,
    /// When the recent ones were last moved to the older ones.
    moved: Millis,
}

impl SoundParts {
    fn insert(&mut self, now: Millis, part: u64) {
        if now.since(self.moved) > SOUND_TTL || self.recent.len() >= MAX_SOUND_PARTS {
            self.older = std::mem::take(&mut self.recent);
            self.moved = now;
        }
        self.recent.insert(part, now);
    }

    /// Returns when an answer on a part last began.
    fn last(&self, part: u64) -> Option<Millis> {
        self.recent.get(&part).or(self.older.get(&part)).copied()
    }
}

/// A part that is kept from upstreams.
#[derive(Clone, Copy, Debug)]
struct Bar {
    since: Millis,
    /// The last trial that this entry has made.
    tried: u32,
}

impl Bar {
    /// Returns the number of trials that are due by now, and the time until the next.
    fn trials(&self, now: Millis) -> (u32, Millis) {
        let mut due = self.since;
        let mut interval = FIRST_TRIAL;
        let mut count = 0;
        loop {
            due = due + interval;
            if due > now {
                return (count, due.since(now));
            }
            count += 1;
            interval = Millis(interval.0 * 2).min(MAX_TRIAL_INTERVAL);
        }
    }
}

/// What an entry tells the others about parts.
#[derive(Debug, Default)]
pub(super) struct PartNews {
    pub(super) crashes: Vec<Crash>,
    pub(super) sound: Vec<u64>,
    pub(super) barred: Vec<BarredPart>,
}

/// What one entry knows of the parts that crash upstreams.
#[derive(Debug, Default)]
pub(super) struct CrashingParts {
    suspects: HashMap<u64, Suspect>,
    bars: BTreeMap<u64, Bar>,
    /// The upstreams that ended, by the requests that broke off there.
    ends: Ends,
    /// The parts of which answers have begun, here or as others told, and when last.
    sound: SoundParts,
    unreported_crashes: Vec<(Millis, Crash)>,
    /// Parts that others may suspect, and of which answers have begun.
    unreported_sound: BTreeSet<u64>,
    next_prune: Millis,
}

impl CrashingParts {
    /// Records that an upstream of a service with `upstreams` of them closed the connection of a
    /// request, whether its answer had begun or not.
    pub(super) fn on_end(&mut self, at: Millis, incarnation: Incarnation, upstreams: usize) {
        self.ends.insert(at, incarnation, upstreams);
    }

    /// Records that an upstream closed the connection of a request with these shared parts before
    /// its answer had begun; returns the part that is blamed with it, if one is.
    pub(super) fn on_crash(&mut self, now: Millis, crash: Crash, upstreams: usize) -> Option<u64> {
        if crash.shared_parts.is_empty() {
            return None;
        }
        let blamed = self.add_crash(now, now, &crash, upstreams);
        let is_known = self.unreported_crashes.iter().any(|(_, known)| *known == crash);
        if !is_known && self.unreported_crashes.len() < MAX_UNREPORTED_CRASHES {
            self.unreported_crashes.push((now, crash));
        }
        blamed
    }

    fn add_crash(
        &mut self,
        now: Millis,
        at: Millis,
        crash: &Crash,
        upstreams: usize,
    ) -> Option<u64> {
        // A blamed part explains the crash by itself.
        if crash.shared_parts.iter().any(|part| self.bars.contains_key(part)) {
            return None;
        }
        let incarnation = (crash.upstream.clone(), crash.incarnation);
        for part in &crash.shared_parts {
            let was_sound = self.sound_for(now, *part, SOUND_TTL);
            let suspect = self
                .suspects
                .entry(*part)
                .or_insert_with(|| Suspect { was_sound, ..Suspect::default() });
            suspect.crashes.retain(|_, seen| now.since(seen.at) <= CRASH_TTL);
            let seen = Seen { at, had_head: crash.had_head };
            let known = suspect.crashes.entry(incarnation.clone()).or_insert(seen);
            known.had_head |= crash.had_head;
        }
        self.ends.insert(at, incarnation, upstreams);
        let is_together = |at| self.ends.is_together(at);
        // The parts at the front are those that most prompts share.
        let mut parts = crash.shared_parts.iter().rev();
        let blamed = *parts.find(|part| self.suspects[*part].is_to_blame(is_together))?;
        self.bar(blamed, now);
        Some(blamed)
    }

    fn bar(&mut self, part: u64, since: Millis) {
        self.bars.entry(part).or_insert(Bar { since, tried: 0 });
        let Some(explained) = self.suspects.remove(&part) else { return };
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|incarnation, _| !explained.crashes.contains_key(incarnation));
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
    }

    /// Records that an answer on these shared parts has begun; returns the parts that were kept from
    /// upstreams until then.
    pub(super) fn on_begun(&mut self, now: Millis, parts: impl Iterator<Item = u64>) -> Vec<u64> {
        let mut freed = Vec::new();
        for part in parts {
            self.sound.insert(now, part);
            let was_suspected = self.suspects.remove(&part).is_some();
            let was_barred = self.bars.remove(&part).is_some();
            if was_barred {
                freed.push(part);
            }
            if was_suspected || was_barred {
                self.unreported_sound.insert(part);
            }
        }
        freed
    }

    /// Returns whether no part is kept from upstreams.
    pub(super) fn bars_nothing(&self) -> bool {
        self.bars.is_empty()
    }

    /// Returns the time until a request with these parts is tried again, if one of them keeps it from
    /// all upstreams.
    pub(super) fn barred(
        &self,
        now: Millis,
        mut parts: impl Iterator<Item = u64>,
        own: &Instance,
        entries: &[Instance],
    ) -> Option<Millis> {
        parts.find_map(|part| {
            let bar = self.bars.get(&part)?;
            let (due, left) = bar.trials(now);
            let may_try = due > bar.tried && is_turn_of(own, entries, part, due);
            (!may_try).then_some(left)
        })
    }

    /// Records that a request with these parts is sent; returns whether it is a trial.
    pub(super) fn on_sent(&mut self, now: Millis, parts: impl Iterator<Item = u64>) -> bool {
        let mut is_trial = false;
        for part in parts {
            if let Some(bar) = self.bars.get_mut(&part) {
                bar.tried = bar.trials(now).0;
                is_trial = true;
            }
        }
        is_trial
    }

    /// Applies what other entries tell; returns the parts that are blamed with it.
    pub(super) fn on_news(
        &mut self,
        now: Millis,
        news: PartNews,
        upstreams: impl Fn(&UpstreamName) -> usize,
    ) -> Vec<u64> {
        let mut blamed = Vec::new();
        for crash in &news.crashes {
            for part in &crash.shared_parts {
                if self.sound_for(now, *part, SOUND_AGAINST_REPORT) {
                    self.unreported_sound.insert(*part);
                }
            }
            let at = now.since(crash.age);
            blamed.extend(self.add_crash(now, at, crash, upstreams(&crash.upstream)));
        }
        for part in news.sound {
            self.sound.insert(now, part);
            self.suspects.remove(&part);
            self.bars.remove(&part);
        }
        for BarredPart { part, age } in news.barred {
            if self.sound_for(now, part, SOUND_AGAINST_REPORT) {
                self.unreported_sound.insert(part);
            } else if !self.bars.contains_key(&part) {
                self.bar(part, now.since(age));
                blamed.push(part);
            }
        }
        blamed
    }

    /// Returns what the other entries are to be told.
    pub(super) fn take_news(&mut self, now: Millis) -> PartNews {
        if now >= self.next_prune {
            self.next_prune = now + PRUNE_INTERVAL;
            let is_recent = |seen: &Seen| now.since(seen.at) <= CRASH_TTL;
            self.suspects.retain(|_, suspect| suspect.crashes.values().any(is_recent));
        }
        let crashes = std::mem::take(&mut self.unreported_crashes).into_iter();
        let barred = self.bars.iter();
        let barred =
            barred.map(|(part, bar)| BarredPart { part: *part, age: now.since(bar.since) });
        PartNews {
            crashes: crashes.map(|(at, crash)| Crash { age: now.since(at), ..crash }).collect(),
            sound: std::mem::take(&mut self.unreported_sound).into_iter().collect(),
            barred: barred.collect(),
        }
    }

    /// Returns whether an answer on a part has begun within the last `span`.
    fn sound_for(&self, now: Millis, part: u64, span: Millis) -> bool {
        self.sound.last(part).is_some_and(|at| now.since(at) <= span)
    }
}

/// Returns whether a trial of a part is up to this entry. Each trial is up to another one, since
/// requests with the part may not come at all entries.
fn is_turn_of(own: &Instance, entries: &[Instance], part: u64, trial: u32) -> bool {
    if entries.len() <= 1 {
        return true;
    }
    let ranked = rendezvous::ranking(&part.to_string(), entries.iter().cloned());
    ranked.get((trial as usize - 1) % ranked.len()) == Some(own)
}
