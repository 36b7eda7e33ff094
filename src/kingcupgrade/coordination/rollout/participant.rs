//! The part of an instance that sends the requests of a service in its rollouts: which versions it
//! uses, how many requests it sends to a canary, and what both versions answer.

use std::collections::BTreeMap;

use super::{Exposure, ExposureLimit, LAST_STEP, ServiceVersions, Use, schedule::promotion_time};
use crate::{
    coordination::view::FRESHNESS_LIMIT,
    core::{Instance, Millis, Service, Version},
    protocol::rollout::{Answers, Rollout, RolloutReport, RolloutStage, RouteEvidence},
};

/// The load of a stage has come about once it has been in force for this long at the sender: others
/// learn of it at about the same time.
const LOAD_TIME: Millis = Millis(300);

/// The instances that send requests of a service, and the exposure limit for all of them together.
#[derive(Clone, Copy, Debug)]
pub struct Senders<'a> {
    /// The sender concerned.
    pub own: &'a Instance,
    /// All senders.
    pub all: &'a [Instance],
    /// The limit.
    pub limit: ExposureLimit,
}

/// A listed upstream, as far as rollouts depend on it.
#[derive(Clone, Copy, Debug)]
pub struct VersionedUpstream<'a> {
    /// The version of its software, if known.
    pub version: Option<&'a Version>,
    /// The wall clock at its start, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// The requests that it can run at once; 0 if it gets no new ones.
    pub slots: u32,
}

/// A rollout that has not ended.
#[derive(Clone, Debug)]
struct RunningRollout {
    id: u64,
    index: u64,
    to: Version,
    duration: Millis,
    /// When the rollout was learned of, and its stage.
    began: Millis,
    stage: RolloutStage,
    stage_since: Millis,
    exposure: Exposure,
    routes: BTreeMap<String, RouteEvidence>,
    /// The new version's answers to requests that were sent under the load of the stage.
    in_stage: BTreeMap<String, Answers>,
}

impl RunningRollout {
    fn set_stage(&mut self, now: Millis, stage: RolloutStage) {
        if stage == self.stage {
            return;
        }
        self.stage = stage;
        self.stage_since = now;
        self.in_stage.clear();
        if stage == RolloutStage::LoadTest {
            let left = promotion_time(self.duration);
            self.exposure.begin_load_test(now, now.since(self.began), left);
        }
    }

    /// Returns whether a request that was sent at this time met the load of the stage.
    fn is_of_stage(&self, sent_at: Millis) -> bool {
        match self.stage {
            RolloutStage::LoadTest | RolloutStage::Promoting => {
                sent_at >= self.stage_since + LOAD_TIME
            }
            _ => sent_at >= self.stage_since,
        }
    }
}

/// The state of one service.
#[derive(Clone, Debug, Default)]
pub struct Participant {
    versions: ServiceVersions,
    running: Option<RunningRollout>,
    /// When the rollouts were last confirmed to be all that were ordered.
    confirmed: Option<Millis>,
    /// The slots of upstreams, by version.
    slots: BTreeMap<Option<Version>, u32>,
}

impl Participant {
    /// Applies the rollouts of the service, by id.
    pub fn set_rollouts(
        &mut self,
        now: Millis,
        service: &Service,
        rollouts: &BTreeMap<u64, Rollout>,
        senders: Senders<'_>,
    ) {
        self.versions.set_rollouts(rollouts);
        let Some(rollout) = self.versions.running() else {
            self.running = None;
            return;
        };
        if self.running.as_ref().is_none_or(|running| running.id != rollout.id) {
            // A sender that has never had a confirmation has just started.
            let all = if self.confirmed.is_some() { senders.all } else { &[] };
            let exposure = Exposure::new(senders.limit, service.as_str(), senders.own, all);
            self.running = Some(RunningRollout {
                id: rollout.id,
                index: rollout.index,
                to: rollout.order.to.clone(),
                duration: rollout.order.duration,
                began: now,
                stage: RolloutStage::Canary(0),
                stage_since: now,
                exposure,
                routes: BTreeMap::new(),
                in_stage: BTreeMap::new(),
            });
        }
        if let Some(running) = &mut self.running {
            running.set_stage(now, rollout.stage);
            running.index = rollout.index;
        }
    }

    /// Records that all rollouts ordered until `at` are known.
    pub fn on_confirmed(&mut self, at: Millis) {
        self.confirmed = Some(self.confirmed.map_or(at, |known| known.max(at)));
        self.versions.on_confirmed(at);
    }

    /// Applies a list of the service's upstreams.
    pub fn on_listed<'a>(
        &mut self,
        now: Millis,
        listed: impl Iterator<Item = VersionedUpstream<'a>>,
    ) {
        let mut starts: BTreeMap<&Version, u64> = BTreeMap::new();
        self.slots.clear();
        for upstream in listed {
            let slots = self.slots.entry(upstream.version.cloned()).or_default();
            *slots = slots.saturating_add(upstream.slots);
            if let Some(version) = upstream.version {
                let start = starts.entry(version).or_insert(u64::MAX);
                *start = (*start).min(upstream.started_unix_ms);
            }
        }
        self.versions.on_listed(now, &starts);
    }

    /// Returns how upstreams of a version are used.
    pub fn use_of(&self, version: Option<&Version>) -> Use {
        self.versions.use_of(version)
    }

    /// Returns whether a version was found bad.
    pub fn is_rolled_back(&self, version: Option<&Version>) -> bool {
        self.versions.is_rolled_back(version)
    }

    /// Returns the version that a running rollout moves to.
    pub fn new_version(&self) -> Option<&Version> {
        self.running.as_ref().map(|running| &running.to)
    }

    /// Returns whether the next request on a route may go to the canary.
    ///
    /// Without confirmation, the version may have been rolled back.
    pub fn allows_canary(&self, now: Millis, route: &str) -> bool {
        let is_fresh = self.confirmed.is_some_and(|at| now.since(at) <= FRESHNESS_LIMIT);
        let Some(running) = &self.running else { return false };
        is_fresh
            && match running.stage {
                RolloutStage::Canary(_) => running.exposure.allows(route),
                RolloutStage::LoadTest => running.exposure.is_load_testing(now),
                _ => false,
            }
    }

    /// Returns whether the new version is tested under the load of the whole service.
    pub fn is_load_test(&self) -> bool {
        self.running.as_ref().is_some_and(|running| running.stage == RolloutStage::LoadTest)
    }

    /// Returns whether the canary is in its last exposure step.
    pub fn is_last_step(&self) -> bool {
        let stage = self.running.as_ref().map(|running| running.stage);
        stage == Some(RolloutStage::Canary(LAST_STEP))
    }

    /// Records that a request is sent to an upstream of a version with this use.
    pub fn on_sent(&mut self, route: &str, version_use: Use) {
        if self.running.is_none() {
            return;
        }
        let new_slots = self.slots().1;
        let Some(running) = &mut self.running else { return };
        let step = match running.stage {
            RolloutStage::Canary(step) if new_slots > 0 => Some(step),
            _ => None,
        };
        running.exposure.on_request(route, step);
        if version_use == Use::Canary {
            running.exposure.on_exposed(route);
        }
    }

    /// Counts an answer of a version on a route while a rollout is running. Those to requests that
    /// were sent before it are included.
    pub fn count(
        &mut self,
        route: &str,
        version: Option<&Version>,
        sent_at: Millis,
        record: impl Fn(&mut Answers),
    ) {
        let Some(running) = &mut self.running else { return };
        let evidence = entry_of(&mut running.routes, route);
        if version != Some(&running.to) {
            record(&mut evidence.baseline);
            return;
        }
        record(&mut evidence.canary);
        if running.is_of_stage(sent_at) {
            record(entry_of(&mut running.in_stage, route));
        }
    }

    /// Returns the slots of ready upstreams of the old and of the new version.
    fn slots(&self) -> (u32, u32) {
        let to = self.new_version();
        let is_new = |version: &Option<Version>| to.is_some() && version.as_ref() == to;
        self.slots.iter().fold((0_u32, 0), |(old, new), (version, slots)| match is_new(version) {
            true => (old, *slots),
            false => (old.saturating_add(*slots), new),
        })
    }

    /// Returns what was seen of the running rollout, without the requests under way.
    pub fn report(&self, now: Millis) -> Option<RolloutReport> {
        let running = self.running.as_ref()?;
        let (requests, exposed) = running.exposure.counts();
        let (old_slots, new_slots) = self.slots();
        Some(RolloutReport {
            id: running.id,
            index: running.index,
            requests,
            exposed,
            is_known_version: self.versions.is_known_version(),
            is_load_tested: self.is_load_test() && !running.exposure.is_load_testing(now),
            old_slots,
            new_slots,
            routes: running.routes.iter().map(|(name, e)| (name.clone(), e.clone())).collect(),
            in_stage: running.in_stage.iter().map(|(name, a)| (name.clone(), a.clone())).collect(),
            ..RolloutReport::default()
        })
    }
}

fn entry_of<'a, T: Default>(routes: &'a mut BTreeMap<String, T>, route: &str) -> &'a mut T {
    if !routes.contains_key(route) {
        routes.insert(route.to_owned(), T::default());
    }
    routes.get_mut(route).expect("just inserted")
}
