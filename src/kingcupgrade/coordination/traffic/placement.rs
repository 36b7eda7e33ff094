//! Selects the upstream for a request: the one with the earliest expected answer, weighed against
//! the engine time that re-reading a prompt costs other requests.
//!
//! An engine that has cached a prompt's shared parts reads only the rest. All entries rank the
//! upstreams by a hash of the shared part and the upstream's name, so they agree on its preferred
//! upstream without exchanging messages. In addition each entry knows where it sent a part itself.

use super::{Traffic, demand::Demand, engine::EngineSpeed, plain::PlainSpread, upstream::Upstream};
use crate::{
    coordination::{
        crashes::Barred, memory::UnreportedMemory, notices::slot_share,
        required_version::RequiredVersion, rollout::Use,
    },
    core::{FailureDomain, Millis, Service, UpstreamName},
    protocol::fleet::ListedUpstream,
};

/// The fraction of an engine's memory that is filled; the rest is left for generations that run
/// over their estimates.
pub(super) const MEMORY_FRACTION: f64 = 0.9;
/// The weight of the time to re-read a shared part, against an earlier first event for this one
/// request. Re-reading takes engine time from all requests and memory from other cached parts. With
/// this weight a shared part of some thousand tokens stays at its preferred upstream as long as
/// that one meets the target.
const REREAD_WEIGHT: f64 = 12.0;
/// The fraction of the time left to the target within which an expected first event is safe:
/// estimates miss what other entries have sent since their last report.
const SAFE_FRACTION: f64 = 0.6;
/// The weight of each millisecond beyond the safe fraction.
const UNSAFE_WEIGHT: f64 = 4.0;
/// The fraction of an engine's slots that is filled. Each further running request slows the events
/// of all others.
const SLOT_FRACTION: f64 = 0.95;
/// The cost of each request that runs on the engine, in milliseconds: each makes the engine's steps
/// longer.
const RUNNING_WEIGHT: f64 = 0.5;
/// The cost of each further position in a part's ranking, in milliseconds, so that entries that
/// avoid a busy preferred upstream go to the same next one.
const RANK_WEIGHT: f64 = 10.0;
/// Time reserved before the target for the response to reach the caller, in milliseconds.
pub(super) const RETURN_MARGIN_MS: f64 = 40.0;
/// The limit of requests under way at a plain upstream, as a multiple of its slots. Those beyond
/// its slots wait at the upstream for a fraction of one request's duration, which is less than the
/// age of the other entries' reports.
pub(super) const PLAIN_LIMIT_FACTOR: u32 = 2;
/// The cost of a plain upstream in another failure domain, in requests under way: traffic between
/// failure domains takes time and is paid for by the byte.
pub(super) const REMOTE_DOMAIN_COST: f64 = 0.4;

/// The number of upstreams that are compared before the best of them is taken, in the order of
/// their ranking. Those behind cost about a quarter of a second more by their position alone, and
/// comparing a hundred takes a small processor half a millisecond per request.
const COMPARED_AT_ONCE: usize = 24;

/// Why no upstream can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no upstream that may serve the request, or all of them are out of service,
    /// leaving or avoided by it.
    NoUpstream,
    /// The request, or a part of its prompt, crashes upstreams.
    Barred(Barred),
    /// All upstreams have asked for no requests; the time until the first takes them again.
    BackingOff(Millis),
    /// All upstreams are full or would answer too late.
    Full,
}

/// The conditions under which a request is placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementTerms {
    /// The fraction of the time left to the target within which the first event must be expected.
    pub(super) time_fraction: f64,
    /// Whether a shared part may be sent to an engine that has to read it again.
    pub(super) may_reread: bool,
}

/// Returns the rank of an upstream for a shared part; the same on every entry.
fn rank(part: u64, name: &UpstreamName) -> u64 {
    let mut hash = part ^ 0x9e37_79b9_7f4a_7c15;
    for byte in name.as_str().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// Returns the order of an upstream for a shared part among upstreams of different speeds, the
/// first being the least: each ranks first for as many parts as corresponds to its weight, and only
/// those parts move for which its rank has changed.
fn weighted_order(part: u64, name: &UpstreamName, weight: f64) -> u64 {
    let fraction = (rank(part, name) as f64 + 0.5) / u64::MAX as f64;
    // The bits of floats that are not negative are ordered like the floats.
    (-fraction.ln() / weight).max(0.0).to_bits()
}

/// Which upstreams of a service a request may go to, by their versions.
#[derive(Clone, Copy, Debug)]
enum Eligible<'a> {
    /// Those of versions with this use.
    UsedAs(Use),
    /// Those of the version that has to serve the request: it began the stream, so that one that
    /// gets no new requests may finish it.
    Required(&'a RequiredVersion),
}

impl<'a> Eligible<'a> {
    /// Returns the upstreams that a request which requires this version may go to unless a canary
    /// takes it.
    fn of(version: &'a RequiredVersion) -> Eligible<'a> {
        match version.is_exact() {
            true => Eligible::Required(version),
            false => Eligible::UsedAs(Use::Serving),
        }
    }
}

impl Traffic {
    /// Selects the upstream for a request. A canary gets it if its exposure allows.
    pub(super) fn place(
        &mut self,
        now: Millis,
        demand: &Demand,
        terms: PlacementTerms,
    ) -> Result<UpstreamName, PlacementError> {
        if !demand.version.is_exact()
            && self.rollouts.allows_canary(now, demand)
            && let Ok(name) = self.place_among(now, demand, terms, Eligible::UsedAs(Use::Canary))
        {
            return Ok(name);
        }
        self.place_among(now, demand, terms, Eligible::of(&demand.version))
    }

    fn place_among(
        &mut self,
        now: Millis,
        demand: &Demand,
        terms: PlacementTerms,
        eligible: Eligible<'_>,
    ) -> Result<UpstreamName, PlacementError> {
        let Some(plan) = self.plan(&demand.service) else { return Err(PlacementError::NoUpstream) };
        let mut names = self.usable(now, demand, eligible);
        if names.is_empty() {
            let left = self.backoff_left(now, &demand.service, eligible);
            return Err(left.map_or(PlacementError::NoUpstream, PlacementError::BackingOff));
        }
        if let Some(part) = demand.affinity() {
            self.sort_by_rank(&mut names, part, &demand.service);
        }
        let entries = self.entry_count();
        let speed = self.speeds.get(&demand.service).copied().unwrap_or_default();
        let ms_to_target = (demand.target.since(now).0 as f64 - RETURN_MARGIN_MS).max(0.0);
        let is_canary = matches!(eligible, Eligible::UsedAs(Use::Canary));
        let load_target = (is_canary && self.rollouts.is_last_step(&demand.service))
            .then(|| self.mean_running(now, demand));
        let spread = if plan.engine.is_none() { self.plain_spread(now, demand) } else { None };
        let unreported = match plan.engine.is_some() {
            true => self.unreported_memory(&demand.service),
            false => UnreportedMemory::default(),
        };
        // Where entries divide what a plain service completes, a limit of its upstreams besides would
        // take capacity from it while it is short.
        let is_limited_canary = is_canary && !self.rollouts.is_load_test(&demand.service);
        let has_load_limits = spread.is_none() && !is_limited_canary;
        let mut best: Option<(f64, UpstreamName)> = None;
        let mut position = 0;
        for (compared, name) in names.into_iter().enumerate() {
            if compared % COMPARED_AT_ONCE == 0 && best.is_some() {
                break;
            }
            let Some(upstream) = self.upstreams.get(&name) else { continue };
            let cold_rate = upstream.is_cold(now).then(|| self.cold_rate(&plan, &name));
            let max_running = self.slow_start_limit(now, upstream);
            let Some(upstream) = self.upstreams.get_mut(&name) else { continue };
            let speed = speed.slowed_by(upstream.duration_factor(now));
            upstream.advance_reading(now, speed.read_rate());
            if cold_rate.is_some_and(|rate| !upstream.allows_cold_request(now, rate)) {
                continue;
            }
            if max_running.is_some_and(|max| upstream.own.running >= max) {
                continue;
            }
            if has_load_limits && upstream.is_at_load_limit(now, entries) {
                position += usize::from(!upstream.is_cold(now));
                continue;
            }
            let cost = match &plan.engine {
                Some(engine) => {
                    let kv_capacity = engine.kv_capacity;
                    let fit =
                        EngineFit { kv_capacity, unreported, speed, ms_to_target, position, terms };
                    engine_cost(now, upstream, demand, fit)
                }
                None => plain_cost(now, upstream, &self.settings.failure_domain, spread.as_ref()),
            };
            // A cold upstream takes no position in the ranking: it can't take all requests for the
            // parts that prefer it.
            position += usize::from(!upstream.is_cold(now));
            let running = f64::from(upstream.running(now));
            let cost = match load_target {
                Some(target) if running < target => cost.map(|_| -running),
                _ => cost,
            };
            if let Some(cost) = cost
                && best.as_ref().is_none_or(|(least, _)| cost < *least)
            {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name).ok_or(PlacementError::Full)
    }

    /// Sorts upstreams by their ranks for a shared part.
    fn sort_by_rank(&self, names: &mut [UpstreamName], part: u64, service: &Service) {
        if !self.capabilities.is_in_force(service) {
            names.sort_by_cached_key(|name| u64::MAX - rank(part, name));
            return;
        }
        names.sort_by_cached_key(|name| {
            let upstream = self.upstreams.get(name);
            let weight = upstream.map_or(1.0, |upstream| upstream.capability.rank_weight());
            weighted_order(part, name, weight)
        });
    }

    /// Returns how many requests this entry may have under way at an upstream that has backed off
    /// shortly before; `None` if there is no limit.
    fn slow_start_limit(&self, now: Millis, upstream: &Upstream) -> Option<u32> {
        let ListedUpstream { name, slots, .. } = &upstream.listed;
        let slots = upstream.notices.slow_start_slots(now, *slots)?;
        Some(slot_share(slots, name, &self.settings.instance(), &self.entries))
    }

    /// Returns the time until the least loaded usable upstream has read all prompts sent to it.
    pub(super) fn time_to_capacity(&mut self, now: Millis, demand: &Demand) -> Millis {
        let speed = self.speeds.get(&demand.service).copied().unwrap_or_default();
        let names = self.usable(now, demand, Eligible::of(&demand.version));
        let times = names.iter().filter_map(|name| {
            let upstream = self.upstreams.get_mut(name)?;
            let speed = speed.slowed_by(upstream.duration_factor(now));
            upstream.advance_reading(now, speed.read_rate());
            Some(upstream.unread() as f64 / speed.read_rate())
        });
        Millis(times.min_by(f64::total_cmp).unwrap_or(0.0) as u64)
    }

    /// Returns the mean number of requests under way at upstreams that serve: the load that a
    /// canary should see before its version is judged.
    fn mean_running(&self, now: Millis, demand: &Demand) -> f64 {
        let names = self.usable(now, demand, Eligible::UsedAs(Use::Serving));
        let running: u32 = names.iter().map(|name| self.upstreams[name].running(now)).sum();
        f64::from(running) / names.len().max(1) as f64
    }

    /// Returns the upstreams of a service that may get new requests as far as the platform, the
    /// operators and rollouts are concerned.
    fn in_service(
        &self,
        service: &Service,
        eligible: Eligible<'_>,
    ) -> impl Iterator<Item = (&UpstreamName, &Upstream)> {
        let all = self.by_service.get(service).into_iter().flatten();
        let known = all.filter_map(|name| Some((name, self.upstreams.get(name)?)));
        known.filter(move |(_, upstream)| {
            upstream.is_ready()
                && self.is_eligible(upstream, eligible)
                && !self.domains_out.contains(&upstream.listed.domain)
        })
    }

    fn is_eligible(&self, upstream: &Upstream, eligible: Eligible<'_>) -> bool {
        match eligible {
            Eligible::UsedAs(version_use) => upstream.version_use == version_use,
            Eligible::Required(version) => {
                version.allows(upstream.listed.version.as_ref())
                    && !self.rollouts.is_rolled_back(&upstream.listed)
            }
        }
    }

    /// Returns the time until an upstream of a service takes requests again, if all of them have
    /// asked for none.
    fn backoff_left(
        &self,
        now: Millis,
        service: &Service,
        eligible: Eligible<'_>,
    ) -> Option<Millis> {
        let upstreams = self.in_service(service, eligible);
        let left = upstreams.map(|(_, upstream)| upstream.notices.backoff_left(now)).min();
        left.filter(|left| *left > Millis::ZERO)
    }

    /// Returns the time after which a request that upstreams have turned away may be sent, if every
    /// upstream that may serve it has asked for no requests.
    pub fn time_to_end_of_backoff(
        &self,
        now: Millis,
        service: &Service,
        version: &RequiredVersion,
    ) -> Option<Millis> {
        self.backoff_left(now, service, Eligible::of(version))
    }

    /// Returns the upstreams that may get a request: those in service that have not asked for no
    /// requests and are not ejected. If more than two thirds are ejected, they are included too.
    fn usable(&self, now: Millis, demand: &Demand, eligible: Eligible<'_>) -> Vec<UpstreamName> {
        let in_service = self.in_service(&demand.service, eligible);
        let ready = in_service.filter(|(name, upstream)| {
            upstream.notices.takes_requests(now) && !demand.avoid.contains(name)
        });
        let (ejected, healthy): (Vec<_>, Vec<_>) =
            ready.partition(|(_, upstream)| upstream.health.is_ejected(now));
        let has_enough_healthy = healthy.len() * 3 >= healthy.len() + ejected.len();
        // If most seem to fail, the cause is more likely this entry or something that all of them
        // share.
        let fallback = if has_enough_healthy { Vec::new() } else { ejected };
        healthy.into_iter().chain(fallback).map(|(name, _)| name.clone()).collect()
    }
}

/// The limits that a request has to fit at an engine.
#[derive(Clone, Copy)]
struct EngineFit {
    kv_capacity: u64,
    unreported: UnreportedMemory,
    speed: EngineSpeed,
    /// The time left until the first event is due, in milliseconds.
    ms_to_target: f64,
    /// The engine's position in the ranking for the request's shared part.
    position: usize,
    terms: PlacementTerms,
}

/// Returns the expected time to the first event plus the weighted costs for other requests, in
/// milliseconds, or `None` if the engine is full or the event would come too late.
fn engine_cost(now: Millis, upstream: &Upstream, demand: &Demand, fit: EngineFit) -> Option<f64> {
    let slots = f64::from(upstream.listed.slots) * SLOT_FRACTION;
    let running = upstream.running(now);
    if f64::from(running) >= slots.max(1.0) {
        return None;
    }
    let own_part = demand.prompt.last().map_or(0, |part| u64::from(part.tokens));
    // The preferred engine is assumed to have cached the shared parts: other entries have sent them
    // to it before.
    let unread = if fit.position == 0 {
        own_part
    } else {
        upstream.uncached_tokens(now, demand).max(own_part)
    };
    let reread_tokens = (unread - own_part) as f64;
    if reread_tokens > 0.0 && !fit.terms.may_reread {
        return None;
    }
    let time_limit = fit.ms_to_target * fit.terms.time_fraction;
    let peers = &upstream.peers;
    let unreported = fit.unreported.at(peers.running, peers.memory);
    let needed = upstream.memory() + unreported + unread + u64::from(demand.expected_output);
    if needed as f64 > fit.kv_capacity as f64 * MEMORY_FRACTION {
        return None;
    }
    let first_event = fit.speed.first_event_ms(upstream.unread() + unread);
    // A prompt that takes longer to read than the time left is still accepted by an engine that has
    // nothing else to read.
    if first_event > time_limit && upstream.unread() > 0 {
        return None;
    }
    let reread_cost = reread_tokens / fit.speed.read_rate() * REREAD_WEIGHT;
    let unsafe_cost = (first_event - fit.ms_to_target * SAFE_FRACTION).max(0.0) * UNSAFE_WEIGHT;
    let rank = if fit.position == 0 { 0.0 } else { fit.position as f64 * RANK_WEIGHT };
    Some(first_event + reread_cost + unsafe_cost + f64::from(running) * RUNNING_WEIGHT + rank)
}

/// Returns the cost of a plain upstream, in requests under way, or `None` if it is full. With a
/// `spread`, the cost is the expected time.
fn plain_cost(
    now: Millis,
    upstream: &Upstream,
    domain: &FailureDomain,
    spread: Option<&PlainSpread>,
) -> Option<f64> {
    if let Some(spread) = spread {
        return spread.cost(now, upstream, domain);
    }
    let running = upstream.running(now);
    if running >= upstream.listed.slots * PLAIN_LIMIT_FACTOR {
        return None;
    }
    let domain_cost = if upstream.listed.domain == *domain { 0.0 } else { REMOTE_DOMAIN_COST };
    Some(f64::from(running) + domain_cost + 2.0 * upstream.health.failure_rate())
}
