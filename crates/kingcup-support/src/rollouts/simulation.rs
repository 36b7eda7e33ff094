//! Plays a drawn rollout in steps of time.

use std::collections::BTreeMap;

use kingcupgrade::{
    coordination::rollout::{Exposure, ExposureLimit, LAST_STEP, RolloutWatch},
    core::{Instance, Millis},
    protocol::rollout::{
        Histogram, Rollout, RolloutOrder, RolloutReport, RolloutStage, RouteEvidence,
    },
};

use super::{
    RolloutResult,
    draw::{FRACTION, FaultKind, Plan, SLACK},
    random::Random,
};

/// The time that one step covers.
const STEP: u64 = 20;
/// The interval of reports.
const REPORT_INTERVAL: u64 = 300;
/// The time to commit a stage.
const COMMIT: u64 = 60;
/// The number of the bad answer from which on the time to the last request is counted.
const COUNTED_BAD: u32 = 50;
const SERVICE: &str = "service";

/// A mechanism that is turned off, to see what it is worth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ablation {
    /// All mechanisms are on.
    #[default]
    None,
    /// All routes are judged together only.
    PerRoute,
    /// Exposure is at its last step from the start.
    Steps,
}

struct Entry {
    name: Instance,
    exposure: Exposure,
    routes: BTreeMap<String, RouteEvidence>,
    /// The stage in force, and those that come into force later.
    stage: RolloutStage,
    index: u64,
    stage_delay: u64,
    coming: Vec<(u64, RolloutStage, u64)>,
    old_running: u32,
    is_lost: bool,
}

/// A request under way.
struct Sent {
    at: u64,
    entry: usize,
    route: usize,
    is_new: bool,
    is_bad: bool,
    failed: bool,
    took: f64,
}

struct Simulation<'a> {
    plan: &'a Plan,
    ablation: Ablation,
    random: Random,
    entries: Vec<Entry>,
    names: Vec<String>,
    /// Requests under way, by the step in which they end.
    ends: BTreeMap<u64, Vec<Sent>>,
    reports: BTreeMap<u64, Vec<(Instance, RolloutReport)>>,
    rollout: Rollout,
    commits: Vec<(u64, RolloutStage)>,
    watch: RolloutWatch,
    bad_answers: u32,
    fiftieth: Option<u64>,
    last_exposed: Option<u64>,
    result: RolloutResult,
}

/// Plays a drawn rollout.
pub fn run(plan: &Plan, ablation: Ablation) -> RolloutResult {
    let mut simulation = Simulation::new(plan, ablation);
    let mut now = 0;
    while now < plan.duration_ms {
        simulation.step(now);
        now += STEP;
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(plan: &'a Plan, ablation: Ablation) -> Simulation<'a> {
        let mut random = Random::new(plan.seed ^ 0xabcd);
        let names: Vec<Instance> =
            (0..plan.entries).map(|n| Instance::from(format!("e-{n}").as_str())).collect();
        let limit = ExposureLimit { fraction: FRACTION, slack: SLACK };
        let entries = names.iter().map(|name| Entry {
            name: name.clone(),
            exposure: Exposure::new(limit, SERVICE, name, &names),
            routes: BTreeMap::new(),
            stage: RolloutStage::Canary(0),
            index: 1,
            stage_delay: random.between(0.0, plan.stage_delay_ms as f64) as u64,
            coming: Vec::new(),
            old_running: 0,
            is_lost: false,
        });
        let order = RolloutOrder {
            service: SERVICE.into(),
            to: "v2".into(),
            duration: Millis(plan.duration_ms),
        };
        let rollout =
            Rollout { order, id: 1, started_unix_ms: 0, stage: RolloutStage::Canary(0), index: 1 };
        Simulation {
            entries: entries.collect(),
            names: (0..plan.routes.len()).map(|n| format!("route-{n}")).collect(),
            ends: BTreeMap::new(),
            reports: BTreeMap::new(),
            commits: Vec::new(),
            watch: RolloutWatch::default(),
            bad_answers: 0,
            fiftieth: None,
            last_exposed: None,
            result: RolloutResult {
                plan: plan.clone(),
                stage: rollout.stage,
                requests: 0,
                exposed: 0,
                exposed_in_all: 0,
                shown: 0,
                last_after_50: None,
                cut_off: 0,
                comparison: None,
            },
            rollout,
            random,
            ablation,
            plan,
        }
    }

    fn step(&mut self, now: u64) {
        let begun = self.plan.lost_ms / STEP * STEP == now;
        if begun {
            let lost = (self.plan.lost * self.entries.len() as f64) as usize;
            self.entries.iter_mut().take(lost).for_each(|entry| entry.is_lost = true);
        }
        self.bring_into_force(now);
        self.end_requests(now);
        self.send_requests(now);
        if now.is_multiple_of(REPORT_INTERVAL) {
            self.send_reports(now);
        }
        self.decide(now);
    }

    fn bring_into_force(&mut self, now: u64) {
        let due: Vec<RolloutStage> =
            self.commits.extract_if(.., |(at, _)| *at <= now).map(|(_, stage)| stage).collect();
        for stage in due {
            self.rollout.stage = stage;
            self.rollout.index += 1;
            for entry in &mut self.entries {
                entry.coming.push((now + entry.stage_delay, stage, self.rollout.index));
            }
        }
        for entry in &mut self.entries {
            for (_, stage, index) in entry.coming.extract_if(.., |(at, ..)| *at <= now) {
                entry.stage = stage;
                entry.index = index;
            }
        }
    }

    fn end_requests(&mut self, now: u64) {
        while let Some((at, _)) = self.ends.first_key_value()
            && *at <= now
        {
            let (_, ended) = self.ends.pop_first().expect("a first one");
            for sent in ended {
                self.end(now, &sent);
            }
        }
    }

    fn end(&mut self, now: u64, sent: &Sent) {
        let entry = &mut self.entries[sent.entry];
        if sent.is_new && sent.is_bad {
            self.bad_answers += 1;
            if !self.result.is_promoted() && matches!(self.rollout.stage, RolloutStage::Canary(_)) {
                self.result.shown += 1;
            }
            if self.bad_answers == COUNTED_BAD {
                self.fiftieth = Some(now);
            }
        }
        if !sent.is_new {
            entry.old_running -= 1;
        }
        if entry.is_lost {
            return;
        }
        let name = self.route_name(sent.route);
        let entry = &mut self.entries[sent.entry];
        let route = entry.routes.entry(name).or_default();
        let answers = if sent.is_new { &mut route.canary } else { &mut route.baseline };
        if sent.failed {
            answers.failed += 1;
        } else {
            answers.answered += 1;
            answers.first.record(sent.took);
        }
    }

    fn send_requests(&mut self, now: u64) {
        let progress = now as f64 / self.plan.duration_ms as f64;
        let rate = self.plan.per_s * (1.0 + (self.plan.growth - 1.0) * progress);
        let expected = rate * STEP as f64 / 1_000.0;
        let count = expected as usize + usize::from(self.random.chance(expected.fract()));
        for _ in 0..count {
            let entry = self.random.below(self.entries.len());
            if !self.entries[entry].is_lost {
                self.send(now, entry);
            }
        }
    }

    fn send(&mut self, now: u64, number: usize) {
        let route = self.draw_route();
        let name = &self.names[route];
        let entry = &mut self.entries[number];
        let is_ready = now >= self.plan.ready_ms;
        let step = match (entry.stage, self.ablation) {
            (RolloutStage::Canary(_), Ablation::Steps) if is_ready => Some(LAST_STEP),
            (RolloutStage::Canary(step), _) if is_ready => Some(step),
            _ => None,
        };
        let is_canary = step.is_some() && entry.exposure.allows(name);
        let is_new =
            is_canary || matches!(entry.stage, RolloutStage::Promoting | RolloutStage::Complete);
        entry.exposure.on_request(name, step);
        self.result.requests += 1;
        if is_canary {
            entry.exposure.on_exposed(name);
            self.result.exposed += 1;
        }
        if is_new {
            self.result.exposed_in_all += 1;
            self.last_exposed = Some(now);
        } else {
            entry.old_running += 1;
        }
        let has_load =
            entry.stage != RolloutStage::Canary(0) && step.is_none_or(|step| step == LAST_STEP);
        let sent = self.draw_answer(now, number, route, is_new, has_load);
        self.ends.entry(now + sent.took as u64 + 1).or_default().push(sent);
    }

    fn draw_route(&mut self) -> usize {
        let mut point = self.random.unit();
        for (number, route) in self.plan.routes.iter().enumerate() {
            if point < route.fraction {
                return number;
            }
            point -= route.fraction;
        }
        0
    }

    fn draw_answer(
        &mut self,
        now: u64,
        entry: usize,
        route: usize,
        is_new: bool,
        has_load: bool,
    ) -> Sent {
        let plan = self.plan.routes[route];
        let mut took = plan.median_ms * self.random.factor(plan.deviation);
        let mut failed = self.random.chance(plan.failures);
        let mut is_bad = false;
        if let Some(fault) = self.plan.fault
            && is_new
            && now >= fault.from_ms
            && (has_load || !fault.needs_load)
            && fault.route.is_none_or(|only| only == route)
            && self.random.chance(fault.portion)
        {
            is_bad = true;
            match fault.kind {
                FaultKind::Failures => failed = true,
                FaultKind::Slow(factor) => took *= factor,
            }
        }
        let took = self.plan.with_stalls(now, took);
        Sent { at: now, entry, route, is_new, is_bad, failed, took }
    }

    /// Returns how long requests to the new version have waited, by entry and route.
    fn open_waits(&self, now: u64) -> BTreeMap<Instance, BTreeMap<String, Histogram>> {
        let mut open: BTreeMap<Instance, BTreeMap<String, Histogram>> = BTreeMap::new();
        for sent in self.ends.values().flatten().filter(|sent| sent.is_new) {
            let routes = open.entry(self.entries[sent.entry].name.clone()).or_default();
            let waits = routes.entry(self.route_name(sent.route)).or_default();
            waits.record((now - sent.at) as f64);
        }
        open
    }

    fn route_name(&self, route: usize) -> String {
        match self.ablation {
            Ablation::PerRoute => "all".to_owned(),
            Ablation::None | Ablation::Steps => self.names[route].clone(),
        }
    }

    fn send_reports(&mut self, now: u64) {
        let mut open = self.open_waits(now);
        for entry in self.entries.iter().filter(|entry| !entry.is_lost) {
            if self.random.chance(self.plan.report_loss) {
                continue;
            }
            let (requests, exposed) = entry.exposure.counts();
            let is_ready = now >= self.plan.ready_ms;
            let report = RolloutReport {
                id: 1,
                index: entry.index,
                process: 1,
                requests,
                exposed,
                old_running: entry.old_running,
                is_known_version: false,
                old_slots: 100,
                new_slots: if is_ready { 100 } else { 0 },
                routes: entry.routes.iter().map(|(n, e)| (n.clone(), e.clone())).collect(),
                open: open.remove(&entry.name).unwrap_or_default().into_iter().collect(),
            };
            let delay = self.random.between(0.0, self.plan.report_delay_ms as f64) as u64;
            self.reports.entry(now + delay).or_default().push((entry.name.clone(), report));
        }
    }

    fn decide(&mut self, now: u64) {
        let at = Millis(now);
        let running = Some(&self.rollout).filter(|rollout| rollout.stage.is_running());
        self.watch.follow(at, now, running.into_iter());
        while let Some((due, _)) = self.reports.first_key_value()
            && *due <= now
        {
            let (_, reports) = self.reports.pop_first().expect("a first one");
            for (from, report) in reports {
                self.watch.on_report(at, &from, report);
            }
        }
        for decision in self.watch.decide(at, running.into_iter()) {
            self.result.comparison = decision.comparison;
            self.commits.push((now + COMMIT, decision.stage));
        }
    }

    fn finish(mut self) -> RolloutResult {
        let end = self.plan.duration_ms;
        self.bring_into_force(end);
        self.result.stage = self.rollout.stage;
        self.result.cut_off = self.entries.iter().map(|entry| entry.old_running).sum();
        self.result.last_after_50 = self
            .fiftieth
            .map(|fiftieth| Millis(self.last_exposed.unwrap_or(fiftieth).saturating_sub(fiftieth)));
        self.result
    }
}
