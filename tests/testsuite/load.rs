//! Loads played against the decisions of one entry, with engines that read prompts one after the
//! other and callers that come back once when they are told to.

use std::collections::{BTreeMap, HashMap};

use kingcupgrade::{
    coordination::traffic::{EngineSpeed, RequestNo, SendEnd, Traffic, Verdict},
    core::{Millis, UpstreamName},
};

use crate::traffic::{demand, traffic};

/// Milliseconds between two looks at the world.
const STEP: u64 = 5;
/// Tokens that an engine reads in a millisecond.
const READ_RATE: f64 = 40.0;
/// From the end of reading to the first event.
const BEGINS: Millis = Millis(100);
/// From the first event to the last.
const STREAMS: Millis = Millis(600);
const ENGINES: usize = 4;
/// What a prompt reads of its own, in tokens; its shared parts are kept.
const OWN_TOKENS: u32 = 2_000;

/// Requests a second of an organisation.
struct Asking {
    organisation: &'static str,
    usual: u64,
    flood: u64,
}

/// Who asked when, and on which try.
struct Request {
    organisation: &'static str,
    asked: Millis,
    tries: u32,
}

/// What became of the requests that were first asked in one second.
#[derive(Debug, Default)]
struct Second {
    on_time: u32,
    refused: u32,
}

struct World {
    traffic: Traffic,
    requests: HashMap<RequestNo, Request>,
    /// Until when each engine reads.
    busy_until: HashMap<UpstreamName, f64>,
    begins: BTreeMap<Millis, Vec<RequestNo>>,
    ends: BTreeMap<Millis, Vec<RequestNo>>,
    returns: BTreeMap<Millis, Vec<Request>>,
    seconds: BTreeMap<u64, Second>,
    next: RequestNo,
}

impl World {
    fn new(tokens_per_s: f64) -> World {
        World {
            traffic: traffic(tokens_per_s, ENGINES),
            requests: HashMap::new(),
            busy_until: HashMap::new(),
            begins: BTreeMap::new(),
            ends: BTreeMap::new(),
            returns: BTreeMap::new(),
            seconds: BTreeMap::new(),
            next: 1,
        }
    }

    fn ask(&mut self, now: Millis, request: Request) {
        let no = self.next;
        self.next += 1;
        let session = no % 40;
        let demand = demand(no, now, request.organisation, session, OWN_TOKENS);
        self.requests.insert(no, request);
        if let Some(verdict) = self.traffic.admit(now, demand) {
            self.carry_out(now, no, verdict);
        }
    }

    fn carry_out(&mut self, now: Millis, no: RequestNo, verdict: Verdict) {
        match verdict {
            Verdict::Start(grant) => {
                let busy = self.busy_until.entry(grant.upstream).or_default();
                *busy = busy.max(now.0 as f64) + f64::from(OWN_TOKENS) / READ_RATE;
                let first = Millis(*busy as u64 / STEP * STEP) + BEGINS;
                self.begins.entry(first).or_default().push(no);
                self.ends.entry(first + STREAMS).or_default().push(no);
            }
            Verdict::Refuse { retry_after, .. } => {
                let request = self.requests.remove(&no).expect("a request");
                if request.tries > 0 {
                    self.second(request.asked).refused += 1;
                    return;
                }
                let back = Millis((now + retry_after).0 / STEP * STEP + STEP);
                let again = Request { tries: 1, ..request };
                self.returns.entry(back).or_default().push(again);
            }
        }
    }

    fn second(&mut self, at: Millis) -> &mut Second {
        self.seconds.entry(at.0 / 1_000).or_default()
    }

    fn step(&mut self, now: Millis) {
        for no in self.begins.remove(&now).unwrap_or_default() {
            self.traffic.on_first_event(now, no);
            let asked = self.requests[&no].asked;
            let target = demand(no, asked, "-", 1, 1).target;
            if now <= target {
                self.second(asked).on_time += 1;
            }
        }
        for no in self.ends.remove(&now).unwrap_or_default() {
            self.traffic.on_end(now, no, SendEnd::Answered);
            self.requests.remove(&no);
        }
        for request in self.returns.remove(&now).unwrap_or_default() {
            self.ask(now, request);
        }
        let mut verdicts = Vec::new();
        self.traffic.poll(now, &mut verdicts);
        for (no, verdict) in verdicts {
            self.carry_out(now, no, verdict);
        }
    }
}

/// Plays a load: `flood` requests a second from `flood_from` to `flood_until`, otherwise `usual`.
fn play(asking: &[Asking], flood: std::ops::Range<u64>, seconds: u64) -> BTreeMap<u64, Second> {
    // Half of what the engines read is promised.
    let mut world = World::new(READ_RATE * 1_000.0 * ENGINES as f64 / 2.0);
    for step in 0..seconds * 1_000 / STEP {
        let now = Millis(step * STEP);
        world.step(now);
        for who in asking {
            let rate = if flood.contains(&(now.0 / 1_000)) { who.flood } else { who.usual };
            let due = |at: u64| at * rate / 1_000;
            for _ in due(now.0)..due(now.0 + STEP) {
                let request = Request { organisation: who.organisation, asked: now, tries: 0 };
                world.ask(now, request);
            }
        }
    }
    world.seconds
}

/// The pattern: a few large organisations flood the fleet, and stop. Guards against refusing their
/// usual load long after, with engines idle: what was refused came back, counted as asked for, and
/// kept the shares closed.
#[test]
fn a_flood_that_is_over_leaves_nobody_refused() {
    let large = Asking { organisation: "large", usual: 22, flood: 150 };
    let middle = Asking { organisation: "middle", usual: 14, flood: 90 };
    let small = Asking { organisation: "small", usual: 6, flood: 6 };
    let seconds = play(&[large, middle, small], 3..8, 16);
    let refused: u32 = (11..14).map(|second| seconds[&second].refused).sum();
    let on_time: u32 = (11..14).map(|second| seconds[&second].on_time).sum();
    let of_flood: u32 = (4..8).map(|second| seconds[&second].refused).sum();
    assert!(of_flood > 100, "the flood was to be more than the engines bear: {seconds:?}");
    assert_eq!(refused, 0, "{seconds:?}");
    assert!(on_time >= 3 * 42 * 9 / 10, "{seconds:?}");
}

/// The pattern: engines are overrun once, then get little at a time. Guards against believing them
/// slow for good: nothing that is sent to a slow engine would show that it is not.
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
