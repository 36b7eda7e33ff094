//! Where a request goes: the upstream that answers it soonest, counting what reading costs others.
//!
//! An engine that keeps a prompt's shared parts reads only the rest. Entries agree on where a
//! shared part belongs without a word between them, by ranking the upstreams by a hash of the part
//! and the upstream; what an entry sent somewhere itself it knows besides.

use super::{Traffic, demand::Demand, engine::EngineSpeed, upstream::Upstream};
use crate::core::{FailureDomain, Millis, UpstreamName};

/// The part of an engine's memory that is filled; generations run over their estimates.
const MEMORY_PART: f64 = 0.9;
/// Reading a shared part again takes an engine's time from everybody, and memory from other parts.
/// It counts this many times its own time against an earlier first event of the one request: a
/// shared part of some thousand tokens stays at its home as long as the target is met there.
const READ_AGAIN_WEIGHT: f64 = 12.0;
/// The part of the time left to the target up to which a first event is safe: estimates are off by
/// what other entries sent since their last report.
const SAFE_PART: f64 = 0.6;
/// Each millisecond beyond the safe part counts this many times.
const UNSAFE_WEIGHT: f64 = 4.0;
/// The part of an engine's slots that is filled. Each further one slows all the others' events.
const SLOT_PART: f64 = 0.95;
/// Milliseconds that one request running there counts for: each makes a step of the engine longer.
const RUNNING_WEIGHT: f64 = 0.5;
/// Milliseconds that each further place in a part's ranking counts for, so that entries that leave
/// a busy home go to the same next one.
const RANK_WEIGHT: f64 = 10.0;
/// Time kept free before the target, for the way to the caller, in milliseconds.
const MARGIN: f64 = 40.0;
/// Requests under way at a plain upstream, as a multiple of its slots. Those beyond wait there for
/// a part of one request's time, less than the reports of other entries are old.
const PLAIN_DEPTH: u32 = 2;
/// A plain upstream in another failure domain counts as this much of a request busier: the way
/// there takes time and costs the users by the byte.
const FAR_WEIGHT: f64 = 0.4;

/// Upstreams looked at before the best of them is taken, in the order of their ranking. Those
/// behind cost a quarter of a second more by their place alone, and looking at each of a hundred
/// takes a small processor half a millisecond a request.
const LOOKED_AT_ONCE: usize = 24;

/// Why no upstream takes a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlace {
    /// There is none at all, or all are out, leaving or avoided.
    Nobody,
    /// All are full, or would answer too late.
    Full,
}

/// On which terms a request is placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    /// The part of the time left to its target in which its first event must be expected.
    pub(super) budget: f64,
    /// Whether shared parts may be read again.
    pub(super) may_read_again: bool,
}

/// Ranks an upstream for a shared part, the same on every entry.
fn rank(part: u64, name: &UpstreamName) -> u64 {
    let mut hash = part ^ 0x9e37_79b9_7f4a_7c15;
    for byte in name.as_str().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

impl Traffic {
    /// Finds the upstream for a request.
    pub(super) fn place(
        &mut self,
        now: Millis,
        demand: &Demand,
        terms: Terms,
    ) -> Result<UpstreamName, NoPlace> {
        let Some(plan) = self.plan(&demand.service) else { return Err(NoPlace::Nobody) };
        let mut names = self.usable(now, demand);
        if names.is_empty() {
            return Err(NoPlace::Nobody);
        }
        if let Some(part) = demand.affinity() {
            names.sort_by_cached_key(|name| u64::MAX - rank(part, name));
        }
        let speed = self.speeds.get(&demand.service).copied().unwrap_or_default();
        let left = (demand.target.since(now).0 as f64 - MARGIN).max(0.0);
        let mut best: Option<(f64, UpstreamName)> = None;
        let mut place = 0;
        for (looked_at, name) in names.into_iter().enumerate() {
            if looked_at % LOOKED_AT_ONCE == 0 && best.is_some() {
                break;
            }
            let Some(upstream) = self.upstreams.get(&name) else { continue };
            let cold_rate = upstream.is_cold(now).then(|| self.cold_rate(&plan, &name));
            let Some(upstream) = self.upstreams.get_mut(&name) else { continue };
            upstream.let_read(now, speed.read_rate());
            if cold_rate.is_some_and(|rate| !upstream.has_cold_room(now, rate)) {
                continue;
            }
            let cost = match &plan.engine {
                Some(engine) => {
                    let kv_capacity = engine.kv_capacity;
                    let fit = Fit { kv_capacity, speed, left, place, terms };
                    engine_cost(now, upstream, demand, fit)
                }
                None => plain_cost(now, upstream, &self.settings.failure_domain),
            };
            // A cold one is no home yet: it can't take all of what belongs to it.
            place += usize::from(!upstream.is_cold(now));
            if let Some(cost) = cost
                && best.as_ref().is_none_or(|(least, _)| cost < *least)
            {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name).ok_or(NoPlace::Full)
    }

    /// Returns how long it takes until the first of the upstreams has read what it was sent.
    pub(super) fn room_in(&mut self, now: Millis, demand: &Demand) -> Millis {
        let speed = self.speeds.get(&demand.service).copied().unwrap_or_default();
        let names = self.usable(now, demand);
        let unread = names.iter().filter_map(|name| {
            let upstream = self.upstreams.get_mut(name)?;
            upstream.let_read(now, speed.read_rate());
            Some(upstream.unread())
        });
        let least = unread.min().unwrap_or(0);
        Millis((least as f64 / speed.read_rate()) as u64)
    }

    /// Lists the upstreams that may get a request: ready, in service, and not failing unless most
    /// of them fail.
    fn usable(&self, now: Millis, demand: &Demand) -> Vec<UpstreamName> {
        let all = self.by_service.get(&demand.service).into_iter().flatten();
        let known = all.filter_map(|name| Some((name, self.upstreams.get(name)?)));
        let ready = known.filter(|(name, upstream)| {
            upstream.listed.is_ready
                && !self.domains_out.contains(&upstream.listed.domain)
                && !demand.avoid.contains(name)
        });
        let (aside, sound): (Vec<_>, Vec<_>) =
            ready.partition(|(_, upstream)| upstream.health.is_aside(now));
        let is_most = sound.len() * 3 >= sound.len() + aside.len();
        // Where most seem to fail, the cause is more likely here or everywhere.
        let usable = if is_most { Vec::new() } else { aside };
        sound.into_iter().chain(usable).map(|(name, _)| name.clone()).collect()
    }
}

/// What a request has to fit into at an engine.
#[derive(Clone, Copy)]
struct Fit {
    kv_capacity: u64,
    speed: EngineSpeed,
    /// Milliseconds in which the first event must come.
    left: f64,
    /// The engine's place in the ranking of the request's shared part.
    place: usize,
    terms: Terms,
}

/// Returns the milliseconds until an engine's first event with what they cost others, or `None`
/// if the engine is full or the event would come too late.
fn engine_cost(now: Millis, upstream: &Upstream, demand: &Demand, fit: Fit) -> Option<f64> {
    let slots = f64::from(upstream.listed.slots) * SLOT_PART;
    let running = upstream.running(now);
    if f64::from(running) >= slots.max(1.0) {
        return None;
    }
    let own_part = demand.prompt.last().map_or(0, |part| u64::from(part.tokens));
    // At the home of a shared part other entries have sent it before.
    let unread =
        if fit.place == 0 { own_part } else { upstream.unread_of(now, demand).max(own_part) };
    let again = (unread - own_part) as f64;
    if again > 0.0 && !fit.terms.may_read_again {
        return None;
    }
    let left = fit.left * fit.terms.budget;
    let needed = upstream.memory() + unread + u64::from(demand.output);
    if needed as f64 > fit.kv_capacity as f64 * MEMORY_PART {
        return None;
    }
    let first_event = fit.speed.first_event_ms(upstream.unread() + unread);
    // A prompt that takes longer to read than there is time fits an engine that reads nothing else.
    if first_event > left && upstream.unread() > 0 {
        return None;
    }
    let again = again / fit.speed.read_rate() * READ_AGAIN_WEIGHT;
    let unsafe_ms = (first_event - fit.left * SAFE_PART).max(0.0) * UNSAFE_WEIGHT;
    let rank = if fit.place == 0 { 0.0 } else { fit.place as f64 * RANK_WEIGHT };
    Some(first_event + again + unsafe_ms + f64::from(running) * RUNNING_WEIGHT + rank)
}

/// Returns how busy a plain upstream is, or `None` if it is full.
fn plain_cost(now: Millis, upstream: &Upstream, domain: &FailureDomain) -> Option<f64> {
    let running = upstream.running(now);
    if running >= upstream.listed.slots * PLAIN_DEPTH {
        return None;
    }
    let far = if upstream.listed.domain == *domain { 0.0 } else { FAR_WEIGHT };
    Some(f64::from(running) + far + 2.0 * upstream.health.failure_share())
}
