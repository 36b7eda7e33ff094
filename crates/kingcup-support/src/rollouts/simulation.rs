//! Plays a drawn rollout in steps of time.

use std::collections::{BTreeMap, VecDeque};

use kingcupgrade::{
    coordination::rollout::{
        ExposureLimit, LAST_STEP, Participant, RolloutWatch, Senders, Use, VersionedUpstream,
    },
    core::{Instance, Millis, Version},
    protocol::rollout::{Histogram, Rollout, RolloutOrder, RolloutReport, RolloutStage},
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
const OLD: &str = "v1";
const NEW: &str = "v2";
/// The slots of each version.
const SLOTS: u32 = 100;
/// The time over which the fraction of the requests that the new version gets is taken.
const LOAD_WINDOW: u64 = 1_000;

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
    participant: Participant,
    stage_delay: u64,
    /// The stages that come into force later, and when.
    coming: Vec<(u64, Rollout)>,
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
    /// The names of the entries.
    all: Vec<Instance>,
    /// The names of the routes.
    names: Vec<String>,
    /// Requests under way, by the step in which they end.
    ends: BTreeMap<u64, Vec<Sent>>,
    /// The requests of the last second in each step, and those of them to the new version.
    recent: VecDeque<(u32, u32)>,
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
        let order = RolloutOrder {
            service: SERVICE.into(),
            to: NEW.into(),
            duration: Millis(plan.duration_ms),
        };
        let rollout =
            Rollout { order, id: 1, started_unix_ms: 0, stage: RolloutStage::Canary(0), index: 1 };
        let entries = names.iter().map(|name| Entry {
            name: name.clone(),
            participant: Participant::default(),
            stage_delay: random.between(0.0, plan.stage_delay_ms as f64) as u64,
            coming: vec![(0, rollout.clone())],
            old_running: 0,
            is_lost: false,
        });
        Simulation {
            entries: entries.collect(),
            all: names.clone(),
            recent: VecDeque::new(),
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
                load_tested: false,
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
                entry.coming.push((now + entry.stage_delay, self.rollout.clone()));
            }
        }
        let limit = ExposureLimit { fraction: FRACTION, slack: SLACK };
        let (old, new) = (Version::from(OLD), Version::from(NEW));
        let new_slots = if now >= self.plan.ready_ms { SLOTS } else { 0 };
        for entry in self.entries.iter_mut().filter(|entry| !entry.is_lost) {
            let old = VersionedUpstream { version: Some(&old), started_unix_ms: 1, slots: SLOTS };
            let new =
                VersionedUpstream { version: Some(&new), started_unix_ms: 2, slots: new_slots };
            entry.participant.on_confirmed(Millis(now));
            entry.participant.on_listed(Millis(now), [old, new].into_iter());
            for (_, mut rollout) in entry.coming.extract_if(.., |(at, _)| *at <= now) {
                if self.ablation == Ablation::Steps
                    && matches!(rollout.stage, RolloutStage::Canary(_))
                {
                    rollout.stage = RolloutStage::Canary(LAST_STEP);
                }
                let senders = Senders { own: &entry.name, all: &self.all, limit };
                let rollouts = BTreeMap::from([(rollout.id, rollout)]);
                let service = SERVICE.into();
                entry.participant.set_rollouts(Millis(now), &service, &rollouts, senders);
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
            if matches!(self.rollout.stage, RolloutStage::Canary(_) | RolloutStage::LoadTest) {
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
        let version = Version::from(if sent.is_new { NEW } else { OLD });
        let participant = &mut self.entries[sent.entry].participant;
        participant.count(&name, Some(&version), Millis(sent.at), |answers| match sent.failed {
            true => answers.failed += 1,
            false => {
                answers.answered += 1;
                answers.first.record(sent.took);
            }
        });
    }

    fn send_requests(&mut self, now: u64) {
        let progress = now as f64 / self.plan.duration_ms as f64;
        let rate = self.plan.per_s * (1.0 + (self.plan.growth - 1.0) * progress);
        let expected = rate * STEP as f64 / 1_000.0;
        let count = expected as usize + usize::from(self.random.chance(expected.fract()));
        if self.recent.len() as u64 >= LOAD_WINDOW / STEP {
            self.recent.pop_front();
        }
        self.recent.push_back((0, 0));
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
        let new_use = entry.participant.use_of(Some(&NEW.into()));
        let is_canary = new_use == Use::Canary
            && is_ready
            && entry.participant.allows_canary(Millis(now), name);
        let is_new = is_canary || new_use == Use::Serving;
        entry.participant.on_sent(name, if is_canary { Use::Canary } else { Use::Serving });
        self.result.requests += 1;
        self.result.exposed += u64::from(is_canary);
        if let Some((all, new)) = self.recent.back_mut() {
            *all += 1;
            *new += u32::from(is_new);
        }
        if is_new {
            self.result.exposed_in_all += 1;
            self.last_exposed = Some(now);
        } else {
            entry.old_running += 1;
        }
        let has_load = match new_use {
            Use::Canary => entry.participant.is_last_step() || entry.participant.is_load_test(),
            Use::Serving => true,
            Use::Unused => false,
        };
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
            && self.new_fraction() >= fault.min_traffic
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

    /// Returns the fraction of the requests of the last second that the new version got.
    fn new_fraction(&self) -> f64 {
        let new: u32 = self.recent.iter().map(|(_, new)| new).sum();
        let all: u32 = self.recent.iter().map(|(all, _)| all).sum();
        f64::from(new) / f64::from(all.max(1))
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
            let Some(report) = entry.participant.report(Millis(now)) else { continue };
            let report = RolloutReport {
                process: 1,
                old_running: entry.old_running,
                open: open.remove(&entry.name).unwrap_or_default().into_iter().collect(),
                ..report
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
            self.result.load_tested |= decision.stage == RolloutStage::LoadTest;
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
