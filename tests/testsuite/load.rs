//! Load simulations of one entry's traffic decisions. Engines process prompts one after the other,
//! and a refused caller retries once, after the time it was told to wait.

use std::collections::{BTreeMap, HashMap};

use kingcupgrade::{
    coordination::traffic::{EngineSpeed, RequestNo, SendEnd, Traffic, Verdict},
    core::{Millis, UpstreamName},
};

use crate::traffic::{demand, traffic};

/// The time that one step simulates, in milliseconds.
const STEP: u64 = 5;
/// Prompt tokens that an engine processes in a millisecond.
const PREFILL_RATE: f64 = 40.0;
/// From the end of the prefill to the first event.
const FIRST_EVENT_DELAY: Millis = Millis(100);
/// From the first event to the last.
const STREAM_DURATION: Millis = Millis(600);
const ENGINES: usize = 4;
/// Prompt tokens that an engine must process for each request; the other parts of the prompt are
/// shared and cached.
const UNCACHED_TOKENS: u32 = 2_000;

/// The request rates of an organisation, per second.
struct OrganisationLoad {
    organisation: &'static str,
    usual_rate: u64,
    flood_rate: u64,
}

struct Request {
    organisation: &'static str,
    first_sent: Millis,
    retries: u32,
}

/// Outcomes of the requests that were first sent within one second.
#[derive(Debug, Default)]
struct Second {
    on_time: u32,
    refused: u32,
}

struct Simulation {
    traffic: Traffic,
    requests: HashMap<RequestNo, Request>,
    /// When each engine has processed the prompts that it was given.
    busy_until: HashMap<UpstreamName, f64>,
    first_events: BTreeMap<Millis, Vec<RequestNo>>,
    completions: BTreeMap<Millis, Vec<RequestNo>>,
    retries: BTreeMap<Millis, Vec<Request>>,
    /// Outcomes by the second in which requests were first sent.
    seconds: BTreeMap<u64, Second>,
    next: RequestNo,
}

impl Simulation {
    fn new(tokens_per_s: f64) -> Simulation {
        Simulation {
            traffic: traffic(tokens_per_s, ENGINES),
            requests: HashMap::new(),
            busy_until: HashMap::new(),
            first_events: BTreeMap::new(),
            completions: BTreeMap::new(),
            retries: BTreeMap::new(),
            seconds: BTreeMap::new(),
            next: 1,
        }
    }

    fn submit(&mut self, now: Millis, request: Request) {
        let no = self.next;
        self.next += 1;
        let session = no % 40;
        let demand = demand(no, now, request.organisation, session, UNCACHED_TOKENS);
        self.requests.insert(no, request);
        if let Some(verdict) = self.traffic.admit(now, demand) {
            self.apply(now, no, verdict);
        }
    }

    fn apply(&mut self, now: Millis, no: RequestNo, verdict: Verdict) {
        match verdict {
            Verdict::Start(grant) => {
                let busy = self.busy_until.entry(grant.upstream).or_default();
                *busy = busy.max(now.0 as f64) + f64::from(UNCACHED_TOKENS) / PREFILL_RATE;
                let first_event = Millis(*busy as u64 / STEP * STEP) + FIRST_EVENT_DELAY;
                self.first_events.entry(first_event).or_default().push(no);
                self.completions.entry(first_event + STREAM_DURATION).or_default().push(no);
            }
            Verdict::Refuse { retry_after, .. } => {
                let request = self.requests.remove(&no).expect("a request");
                if request.retries > 0 {
                    self.second(request.first_sent).refused += 1;
                    return;
                }
                let retry_at = Millis((now + retry_after).0 / STEP * STEP + STEP);
                let retry = Request { retries: 1, ..request };
                self.retries.entry(retry_at).or_default().push(retry);
            }
        }
    }

    fn second(&mut self, at: Millis) -> &mut Second {
        self.seconds.entry(at.0 / 1_000).or_default()
    }

    fn step(&mut self, now: Millis) {
        for no in self.first_events.remove(&now).unwrap_or_default() {
            self.traffic.on_first_event(now, no);
            let first_sent = self.requests[&no].first_sent;
            let target = demand(no, first_sent, "-", 1, 1).target;
            if now <= target {
                self.second(first_sent).on_time += 1;
            }
        }
        for no in self.completions.remove(&now).unwrap_or_default() {
            self.traffic.on_end(now, no, SendEnd::Answered);
            self.requests.remove(&no);
        }
        for request in self.retries.remove(&now).unwrap_or_default() {
            self.submit(now, request);
        }
        let mut verdicts = Vec::new();
        self.traffic.poll(now, &mut verdicts);
        for (no, verdict) in verdicts {
            self.apply(now, no, verdict);
        }
    }
}

/// Simulates organisations that send requests at their flood rate during the seconds `flood`, and
/// at their usual rate otherwise.
fn simulate(
    loads: &[OrganisationLoad],
    flood: std::ops::Range<u64>,
    seconds: u64,
) -> BTreeMap<u64, Second> {
    // The configured capacity is half of what the engines can process.
    let mut simulation = Simulation::new(PREFILL_RATE * 1_000.0 * ENGINES as f64 / 2.0);
    for step in 0..seconds * 1_000 / STEP {
        let now = Millis(step * STEP);
        simulation.step(now);
        for load in loads {
            let rate =
                if flood.contains(&(now.0 / 1_000)) { load.flood_rate } else { load.usual_rate };
            let due = |at: u64| at * rate / 1_000;
            for _ in due(now.0)..due(now.0 + STEP) {
                let request =
                    Request { organisation: load.organisation, first_sent: now, retries: 0 };
                simulation.submit(now, request);
            }
        }
    }
    simulation.seconds
}

/// Guards against organisations whose usual load is refused long after a flood, while engines are
/// idle. It comes about when a few large organisations flood the fleet and stop: refused requests
/// are retried, the retries count as new demand, and the shares stay exhausted.
#[test]
fn a_flood_that_is_over_leaves_nobody_refused() {
    let large = OrganisationLoad { organisation: "large", usual_rate: 22, flood_rate: 150 };
    let middle = OrganisationLoad { organisation: "middle", usual_rate: 14, flood_rate: 90 };
    let small = OrganisationLoad { organisation: "small", usual_rate: 6, flood_rate: 6 };
    let seconds = simulate(&[large, middle, small], 3..8, 16);
    let refused: u32 = (11..14).map(|second| seconds[&second].refused).sum();
    let on_time: u32 = (11..14).map(|second| seconds[&second].on_time).sum();
    let refused_in_flood: u32 = (4..8).map(|second| seconds[&second].refused).sum();
    assert!(refused_in_flood > 100, "the flood does not exceed the capacity: {seconds:?}");
    assert_eq!(refused, 0, "{seconds:?}");
    assert!(on_time >= 3 * 42 * 9 / 10, "{seconds:?}");
}

/// Guards against an engine that is estimated as slow for good after it was overloaded once and
/// then gets few requests at a time: if the estimate kept requests away from it, no measurement
/// would correct the estimate.
#[test]
fn engines_that_were_overrun_once_are_not_believed_slow_for_good() {
    let mut speed = EngineSpeed::default();
    for _ in 0..200 {
        speed.on_first_event(6_000, Millis(900));
    }
    assert!(speed.read_rate() < 25.0);
    for _ in 0..200 {
        speed.on_first_event(2_000, Millis(130));
    }
    assert!(speed.read_rate() > 35.0, "{}", speed.read_rate());
}
