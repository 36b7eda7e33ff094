//! What a drawn rollout is like.

use super::random::Random;

/// The fraction of requests that a new version may get in drawn rollouts.
pub(super) const FRACTION: f64 = 0.1;
/// The requests that it may get in addition.
pub(super) const SLACK: f64 = 50.0;

/// How a bad version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// A portion of its answers are failures.
    Failures,
    /// A portion of its answers take this many times as long.
    Slow(f64),
}

/// What is bad about a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// How.
    pub kind: FaultKind,
    /// The portion of its answers.
    pub portion: f64,
    /// From when on, in milliseconds after the order.
    pub from_ms: u64,
    /// Whether it is bad only at the load of the old version's upstreams.
    pub needs_load: bool,
    /// The fraction of the service's requests, over a second, from which on it is bad.
    pub min_traffic: f64,
    /// The only route on which it is bad.
    pub route: Option<usize>,
}

/// A route of the service.
#[derive(Clone, Copy, Debug)]
pub struct RoutePlan {
    /// The part of the requests that is on it.
    pub fraction: f64,
    /// The failures of a good version.
    pub failures: f64,
    /// The median time to the first byte, in milliseconds.
    pub median_ms: f64,
    /// The standard deviation of the logarithm of that time.
    pub deviation: f64,
}

/// A drawn rollout.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The number of entries.
    pub entries: usize,
    /// Requests per second at the start.
    pub per_s: f64,
    /// The factor by which they have grown at the end.
    pub growth: f64,
    /// The routes.
    pub routes: Vec<RoutePlan>,
    /// The time that the rollout may take.
    pub duration_ms: u64,
    /// When upstreams of the new version are ready.
    pub ready_ms: u64,
    /// The longest delay of a report.
    pub report_delay_ms: u64,
    /// The part of the reports that is lost.
    pub report_loss: f64,
    /// The longest time until a stage is in force at an entry.
    pub stage_delay_ms: u64,
    /// The part of the entries that stop, and when.
    pub lost: f64,
    /// When they stop.
    pub lost_ms: u64,
    /// What is bad, if anything is.
    pub fault: Option<Fault>,
    /// Moments in which all processes of the fleet stand still, of both versions alike, by their
    /// beginnings.
    pub stalls: Vec<Stall>,
}

/// A moment in which processes stand still.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// When it begins, in milliseconds after the order.
    pub from_ms: u64,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
}

impl Plan {
    /// Draws a rollout.
    pub fn draw(seed: u64) -> Plan {
        let mut random = Random::new(seed);
        let duration_ms = random.pick(&[10_000, 12_000, 15_000, 20_000, 30_000, 45_000]);
        let count = 1 + random.below(5);
        let weights: Vec<f64> = (0..count).map(|_| random.between(0.1, 1.0)).collect();
        let sum: f64 = weights.iter().sum();
        let routes: Vec<RoutePlan> = weights
            .iter()
            .map(|weight| RoutePlan {
                fraction: weight / sum,
                failures: random.pick(&[0.0, 0.0, 0.004, 0.01, 0.05, 0.14]),
                median_ms: random.pick(&[15.0, 40.0, 60.0, 120.0, 250.0]),
                deviation: random.between(0.2, 0.7),
            })
            .collect();
        let ready_ms = random.between(800.0, 2_500.0) as u64;
        let fault = random.chance(0.6).then(|| draw_fault(&mut random, duration_ms, count));
        Plan {
            seed,
            entries: random.pick(&[7, 9, 30, 68]),
            per_s: random.pick(&[150.0, 300.0, 600.0, 1_500.0]),
            growth: random.pick(&[1.0, 1.0, 1.7, 2.5]),
            routes,
            duration_ms,
            ready_ms,
            report_delay_ms: random.pick(&[50, 150, 500]),
            report_loss: random.pick(&[0.0, 0.0, 0.05, 0.2]),
            stage_delay_ms: random.pick(&[100, 300, 900]),
            lost: random.pick(&[0.0, 0.0, 0.1, 0.34]),
            lost_ms: random.between(0.0, duration_ms as f64) as u64,
            fault,
            stalls: Vec::new(),
        }
    }

    /// Draws the same rollout in a fleet whose machines are now and then too busy to run it: all
    /// its processes stand still together, fewer than `most` times in a rollout.
    pub fn draw_with_stalls(seed: u64, most: usize) -> Plan {
        let plan = Plan::draw(seed);
        let mut random = Random::new(seed ^ 0x57a1);
        let count = random.below(most);
        let stalls = (0..count).map(|_| Stall {
            from_ms: random.between(0.0, plan.duration_ms as f64) as u64,
            duration_ms: random.between(20.0, 400.0) as u64,
        });
        let mut stalls: Vec<Stall> = stalls.collect();
        stalls.sort_by_key(|stall| stall.from_ms);
        Plan { stalls, ..plan }
    }

    /// Draws the same rollout of a version that is bad once it gets a large part of the traffic.
    pub fn draw_with_traffic_fault(seed: u64) -> Plan {
        let plan = Plan::draw(seed);
        let mut random = Random::new(seed ^ 0x10ad);
        let fault = draw_fault(&mut random, plan.duration_ms, plan.routes.len());
        let min_traffic = random.between(0.3, 0.7);
        let fault = Fault { from_ms: 0, needs_load: false, min_traffic, route: None, ..fault };
        Plan { fault: Some(fault), ..plan }
    }

    /// Returns how long an answer takes that comes `took` ms after a request at `at` if no process
    /// stands still meanwhile.
    pub(super) fn with_stalls(&self, at: u64, took: f64) -> f64 {
        self.stalls.iter().fold(took, |took, stall| {
            let end = stall.from_ms + stall.duration_ms;
            let is_met = at < end && at as f64 + took > stall.from_ms as f64;
            took + if is_met { (end - at.max(stall.from_ms)) as f64 } else { 0.0 }
        })
    }
}

fn draw_fault(random: &mut Random, duration_ms: u64, routes: usize) -> Fault {
    let kind = match random.chance(0.5) {
        true => FaultKind::Failures,
        false => FaultKind::Slow(random.between(3.0, 8.0)),
    };
    let from_ms = match random.chance(0.5) {
        true => 0,
        false => random.between(0.0, 0.6 * duration_ms as f64) as u64,
    };
    Fault {
        kind,
        portion: random.between(0.25, 1.0),
        from_ms,
        needs_load: random.chance(0.25),
        min_traffic: 0.0,
        route: random.chance(0.3).then(|| random.below(routes)),
    }
}
