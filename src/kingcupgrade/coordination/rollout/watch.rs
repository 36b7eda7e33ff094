//! A control instance's part in rollouts: it collects the entries' reports and decides the stages.
//!
//! Every control instance collects, so that a new leader can decide at once. What the reports add
//! up to is kept in memory only: they count from the start of the rollout, so an instance that
//! restarts has all of it again with the next ones.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{
    judge::{Assessment, Comparison, Evidence, Judge},
    schedule::{Situation, next_stage},
};
use crate::{
    core::{Instance, Millis, Service, Version},
    protocol::rollout::{Answers, Histogram, Rollout, RolloutReport, RolloutStage, RouteEvidence},
};

/// A report is recent for this long: one or two may be lost.
const REPORT_TTL: Millis = Millis(2_000);
/// A stage that was proposed and isn't in the record after this long is proposed again.
const PROPOSAL_TIMEOUT: Millis = Millis(1_000);
/// The wall clock is believed about the age of an order only beyond this difference: the clocks of
/// instances may differ.
const MAX_CLOCK_DIFFERENCE: Millis = Millis(3_000);

/// A change of a rollout's stage, and what decided it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StageDecision {
    /// The service.
    pub service: Service,
    /// The new version.
    pub to: Version,
    /// The rollout.
    pub id: u64,
    /// The stage until now.
    pub from: RolloutStage,
    /// The stage from now on.
    pub stage: RolloutStage,
    /// The time since the order.
    pub elapsed_ms: Millis,
    /// Requests sent to the service, and those of them sent to the new version.
    pub exposed: (u64, u64),
    /// The slots of the ready upstreams of the old and of the new version.
    pub slots: (u32, u32),
    /// The comparison that decided, or the first that is open.
    pub comparison: Option<Comparison>,
}

/// The last report of one entry.
#[derive(Clone, Debug)]
struct Reported {
    at: Millis,
    report: RolloutReport,
}

/// What is known of one running rollout.
#[derive(Clone, Debug)]
struct Watched {
    id: u64,
    began: Millis,
    /// How old the order was when this instance learned of it.
    initial_age: Millis,
    /// The index of the last change of the rollout.
    index: u64,
    /// Since when all senders that report have known the current stage.
    known_since: Option<Millis>,
    reports: BTreeMap<Instance, Reported>,
    routes: BTreeMap<String, RouteEvidence>,
    /// Whether `routes` has changed since it was last judged.
    is_changed: bool,
    judge: Judge,
    proposed: Option<(RolloutStage, Millis)>,
}

impl Watched {
    fn new(now: Millis, unix_ms: u64, rollout: &Rollout) -> Watched {
        let age = Millis(unix_ms.saturating_sub(rollout.started_unix_ms));
        let initial_age = match age > MAX_CLOCK_DIFFERENCE {
            true => age.min(rollout.order.duration),
            false => Millis::ZERO,
        };
        Watched {
            id: rollout.id,
            began: now,
            initial_age,
            index: rollout.index,
            known_since: None,
            reports: BTreeMap::new(),
            routes: BTreeMap::new(),
            is_changed: false,
            judge: Judge::default(),
            proposed: None,
        }
    }

    fn on_report(&mut self, now: Millis, from: &Instance, report: RolloutReport) {
        let before = self.reports.get(from).map(|known| &known.report);
        let before = before.filter(|before| before.process == report.process);
        let none = RouteEvidence::default();
        for (route, evidence) in &report.routes {
            let known = before.and_then(|before| find_route(before, route));
            let sum = self.routes.entry(route.clone()).or_default();
            sum.add_difference(evidence, known.unwrap_or(&none));
        }
        self.is_changed = true;
        self.reports.insert(from.clone(), Reported { at: now, report });
    }

    /// Follows the rollout's changes, and judges what has been reported since the last call.
    fn follow(&mut self, now: Millis, index: u64) {
        if index != self.index {
            self.index = index;
            self.known_since = None;
            self.is_changed = true;
        }
        if self.known_since.is_none() && self.is_stage_known(now) {
            self.known_since = Some(now);
        }
        if !std::mem::take(&mut self.is_changed) {
            return;
        }
        let mut open: BTreeMap<String, Histogram> = BTreeMap::new();
        for (route, waits) in self.reports.values().flat_map(|known| &known.report.open) {
            open.entry(route.clone()).or_default().add(waits);
        }
        let in_stage = self.answers_in_stage();
        let evidence = Evidence { routes: &self.routes, in_stage: &in_stage, open: &open };
        self.judge.update(now, evidence);
    }

    /// Returns the reports of senders that are likely to be running.
    fn recent(&self, now: Millis) -> impl Iterator<Item = &RolloutReport> {
        let recent = self.reports.values().filter(move |known| now.since(known.at) <= REPORT_TTL);
        recent.map(|known| &known.report)
    }

    /// Returns whether all senders know the current stage. An instance that has just begun to watch
    /// the rollout may not have heard of some.
    fn is_stage_known(&self, now: Millis) -> bool {
        let mut recent = self.recent(now).peekable();
        now.since(self.began) >= REPORT_TTL
            && recent.peek().is_some()
            && recent.all(|report| report.index >= self.index)
    }

    /// Returns the new version's answers in the current stage, by route.
    fn answers_in_stage(&self) -> BTreeMap<String, Answers> {
        let mut in_stage: BTreeMap<String, Answers> = BTreeMap::new();
        let reports = self.reports.values().map(|known| &known.report);
        for report in reports.filter(|report| report.index >= self.index) {
            for (route, answers) in &report.in_stage {
                let none = Answers::default();
                in_stage.entry(route.clone()).or_default().add_difference(answers, &none);
            }
        }
        in_stage
    }

    fn situation(&self, now: Millis, rollout: &Rollout) -> Situation {
        let recent = || self.recent(now);
        let median = |mut slots: Vec<u32>| {
            slots.sort_unstable();
            slots.get(slots.len() / 2).copied().unwrap_or(0)
        };
        let is_idle = |known: &Reported| {
            known.report.index >= rollout.index
                && known.report.old_running == 0
                && now.since(known.at) <= REPORT_TTL
        };
        let known = recent().filter(|report| report.is_known_version).count();
        let assessment = self.judge.assess();
        let in_stage = self.answers_in_stage();
        let is_stage_known = self.known_since.is_some();
        Situation {
            stage: rollout.stage,
            is_known_version: known * 2 > recent().count(),
            elapsed: now.since(self.began) + self.initial_age,
            duration: rollout.order.duration,
            is_sound_in_stage: self.judge.is_sound_in_stage(&assessment),
            assessment,
            answers_in_stage: in_stage.values().map(Answers::ended).sum(),
            known_for: self.known_since.map(|since| now.since(since)),
            is_load_tested: is_stage_known && recent().all(|report| report.is_load_tested),
            old_slots: median(recent().map(|report| report.old_slots).collect()),
            new_slots: median(recent().map(|report| report.new_slots).collect()),
            is_old_idle: is_stage_known && self.reports.values().all(is_idle),
        }
    }

    fn exposed(&self) -> (u64, u64) {
        let reports = || self.reports.values().map(|known| &known.report);
        let requests = reports().map(|report| report.requests).sum();
        (requests, reports().map(|report| report.exposed).sum())
    }
}

fn find_route<'a>(report: &'a RolloutReport, route: &str) -> Option<&'a RouteEvidence> {
    report.routes.iter().find(|(name, _)| name == route).map(|(_, evidence)| evidence)
}

/// The running rollouts, as one control instance sees them.
#[derive(Clone, Debug, Default)]
pub struct RolloutWatch {
    watched: BTreeMap<Service, Watched>,
}

impl RolloutWatch {
    /// Begins to watch the running rollouts, and forgets those that have ended.
    pub fn follow<'a>(
        &mut self,
        now: Millis,
        unix_ms: u64,
        running: impl Iterator<Item = &'a Rollout>,
    ) {
        let running: BTreeMap<&Service, &Rollout> =
            running.map(|rollout| (&rollout.order.service, rollout)).collect();
        self.watched.retain(|service, watched| {
            running.get(service).is_some_and(|rollout| rollout.id == watched.id)
        });
        for (service, rollout) in running {
            let watched = self
                .watched
                .entry(service.clone())
                .or_insert_with(|| Watched::new(now, unix_ms, rollout));
            watched.follow(now, rollout.index);
        }
    }

    /// Records an entry's report.
    pub fn on_report(&mut self, now: Millis, from: &Instance, report: RolloutReport) {
        let watched = self.watched.values_mut().find(|watched| watched.id == report.id);
        if let Some(watched) = watched {
            watched.on_report(now, from, report);
        }
    }

    /// Returns the changes of stages that are due; called by the leader.
    pub fn decide<'a>(
        &mut self,
        now: Millis,
        running: impl Iterator<Item = &'a Rollout>,
    ) -> Vec<StageDecision> {
        let mut decisions = Vec::new();
        for rollout in running {
            let Some(watched) = self.watched.get_mut(&rollout.order.service) else { continue };
            let situation = watched.situation(now, rollout);
            let Some(stage) = next_stage(&situation) else { continue };
            let is_pending = |(proposed, at): &(RolloutStage, Millis)| {
                *proposed == stage && now.since(*at) < PROPOSAL_TIMEOUT
            };
            if watched.proposed.as_ref().is_some_and(is_pending) {
                continue;
            }
            watched.proposed = Some((stage, now));
            decisions.push(StageDecision {
                service: rollout.order.service.clone(),
                to: rollout.order.to.clone(),
                id: rollout.id,
                from: rollout.stage,
                stage,
                elapsed_ms: situation.elapsed,
                exposed: watched.exposed(),
                slots: (situation.old_slots, situation.new_slots),
                comparison: match situation.assessment {
                    Assessment::Degraded(_, comparison)
                    | Assessment::Doubtful(_, comparison)
                    | Assessment::Undecided(comparison) => Some(comparison),
                    Assessment::Sound => None,
                },
            });
        }
        decisions
    }
}
