//! Loads played against the decisions of a large fleet, whose entries know of each other what was
//! told some hundred milliseconds ago.
//!
//! Engines read prompts one after the other. Callers come back once, by the same entry, when they
//! are told to. An entry carries so many requests a second and turns the others away unread.

use std::collections::{BTreeMap, HashMap};

use kingcupgrade::{
    coordination::traffic::{RequestNo, SendEnd, Traffic, Verdict},
    core::{Code, Instance, Millis, Organisation, UpstreamName},
    protocol::fleet::{Load, LoadReport},
};

use crate::traffic::{demand, entries, traffic_of};

const ENTRIES: usize = 66;
const ENGINES: usize = 140;
/// Milliseconds between two looks at the world.
const STEP: u64 = 10;
/// How often entries tell of their load.
const TELL_INTERVAL: u64 = 200;
/// How long it takes until all have heard it.
const TELL_DELAY: u64 = 200;
/// Tokens that an engine reads in a millisecond.
const READ_RATE: f64 = 62.0;
/// From the end of reading to the first event.
const BEGINS: u64 = 100;
/// From the first event to the last.
const STREAMS: u64 = 500;
/// Tokens a second that are promised.
const PROMISED: f64 = 3_500_000.0;
/// Requests a second that one entry carries, of all that reach it.
const CARRIED: u64 = 60;
/// The span over which the gap is looked at, in seconds.
const GAP_SPAN: u64 = 6;
/// The gap that is allowed between two that both wait.
const GAP: f64 = 2.0;
/// Requests that may be missing in it.
const FORGIVEN: f64 = 3.0;

/// The seconds that are looked at: at first nothing is known of anybody.
const SECONDS: std::ops::Range<u64> = 3..14;
/// The places of the organisations.
const NEAR: usize = 0;
const WIDE: usize = 1;
const SMALL: usize = 2;

/// Requests of one organisation.
struct Asking {
    organisation: &'static str,
    /// In a second.
    rate: u64,
    /// Tokens of the prompt that no other request has.
    own: u32,
    /// The entry that all of its callers come by, if it is one.
    entry: Option<usize>,
    /// The second from which it asks.
    from: u64,
}

struct Request {
    who: usize,
    entry: usize,
    tries: u32,
}

/// What one organisation asked and got in one second, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    asked: f64,
    got: f64,
    refused: u32,
}

struct World {
    asking: Vec<Asking>,
    fleet: Vec<Traffic>,
    names: Vec<Instance>,
    carried: Vec<u64>,
    requests: HashMap<RequestNo, Request>,
    busy_until: HashMap<UpstreamName, f64>,
    begins: BTreeMap<u64, Vec<RequestNo>>,
    ends: BTreeMap<u64, Vec<RequestNo>>,
    returns: BTreeMap<u64, Vec<Request>>,
    told: BTreeMap<u64, Vec<LoadReport>>,
    seconds: HashMap<(usize, u64), Second>,
    next: RequestNo,
}

impl World {
    fn new(asking: Vec<Asking>) -> World {
        let names = entries(ENTRIES);
        let mut fleet: Vec<Traffic> =
            (0..ENTRIES).map(|entry| traffic_of(entry, PROMISED, ENGINES)).collect();
        fleet.iter_mut().for_each(|traffic| traffic.set_entries(names.clone()));
        World {
            asking,
            fleet,
            names,
            carried: vec![0; ENTRIES],
            requests: HashMap::new(),
            busy_until: HashMap::new(),
            begins: BTreeMap::new(),
            ends: BTreeMap::new(),
            returns: BTreeMap::new(),
            told: BTreeMap::new(),
            seconds: HashMap::new(),
            next: 1,
        }
    }

    fn play(&mut self, seconds: u64) {
        for now in (0..seconds * 1_000).step_by(STEP as usize) {
            self.step(now);
        }
    }

    fn step(&mut self, now: u64) {
        if now.is_multiple_of(1_000) {
            self.carried.fill(0);
        }
        self.tell(now);
        for no in self.begins.remove(&now).unwrap_or_default() {
            let request = &self.requests[&no];
            self.fleet[request.entry].on_first_event(Millis(now), no);
        }
        for no in self.ends.remove(&now).unwrap_or_default() {
            let request = self.requests.remove(&no).expect("a request");
            self.fleet[request.entry].on_end(Millis(now), no, SendEnd::Answered);
        }
        for request in self.returns.remove(&now).unwrap_or_default() {
            self.ask(now, request);
        }
        for who in 0..self.asking.len() {
            let is_asking = now >= self.asking[who].from * 1_000;
            let rate = if is_asking { self.asking[who].rate } else { 0 };
            let due = |at: u64| at * rate / 1_000;
            for _ in due(now)..due(now + STEP) {
                let anywhere = (self.next as usize * 7) % ENTRIES;
                let entry = self.asking[who].entry.unwrap_or(anywhere);
                self.ask(now, Request { who, entry, tries: 0 });
            }
        }
        for entry in 0..ENTRIES {
            let mut verdicts = Vec::new();
            self.fleet[entry].poll(Millis(now), &mut verdicts);
            for (no, verdict) in verdicts {
                self.carry_out(now, no, verdict);
            }
        }
    }

    fn ask(&mut self, now: u64, request: Request) {
        let no = self.next;
        self.next += 1;
        let asking = &self.asking[request.who];
        let session = 10 + request.who as u64 * 1_000 + no % 60;
        let demand = demand(no, Millis(now), asking.organisation, session, asking.own);
        let entry = request.entry;
        self.second(request.who, now).asked += demand.work();
        self.carried[entry] += 1;
        let is_carried = self.carried[entry] <= CARRIED;
        self.requests.insert(no, request);
        let verdict = match is_carried {
            true => self.fleet[entry].admit(Millis(now), demand),
            false => {
                let retry_after = self.fleet[entry].refuse_overloaded(Millis(now), &demand);
                Some(Verdict::Refuse { code: Code::TooBusy, retry_after })
            }
        };
        if let Some(verdict) = verdict {
            self.carry_out(now, no, verdict);
        }
    }

    fn carry_out(&mut self, now: u64, no: RequestNo, verdict: Verdict) {
        let request = self.requests.get(&no).expect("a request");
        let (who, entry, tries) = (request.who, request.entry, request.tries);
        match verdict {
            Verdict::Start(grant) => {
                let own = self.asking[who].own;
                let busy = self.busy_until.entry(grant.upstream).or_default();
                *busy = busy.max(now as f64) + f64::from(own) / READ_RATE;
                let first = *busy as u64 / STEP * STEP + BEGINS;
                self.begins.entry(first).or_default().push(no);
                self.ends.entry(first + STREAMS).or_default().push(no);
                let organisation = self.asking[who].organisation;
                let work = demand(no, Millis(now), organisation, 1, own).work();
                self.second(who, now).got += work;
            }
            Verdict::Refuse { retry_after, .. } => {
                self.requests.remove(&no);
                self.second(who, now).refused += 1;
                if tries == 0 {
                    let back = (now + retry_after.0) / STEP * STEP + STEP;
                    // The balancer gives a caller the same entry again.
                    let again = Request { who, entry, tries: 1 };
                    self.returns.entry(back).or_default().push(again);
                }
            }
        }
    }

    fn second(&mut self, who: usize, now: u64) -> &mut Second {
        self.seconds.entry((who, now / 1_000)).or_default()
    }

    /// Lets every entry hear the sum of what the others told a moment ago.
    fn tell(&mut self, now: u64) {
        if now.is_multiple_of(TELL_INTERVAL) {
            let reports = self.fleet.iter_mut().map(|traffic| traffic.take_report(Millis(now)));
            let reports: Vec<LoadReport> = reports.collect();
            self.told.insert(now + TELL_DELAY, reports);
        }
        let Some(reports) = self.told.remove(&now) else { return };
        let total = sum(&reports);
        for (entry, traffic) in self.fleet.iter_mut().enumerate() {
            let others = total.without(&reports[entry]);
            traffic.on_report(Millis(now), self.names[0].clone(), others);
        }
    }

    /// Returns what an organisation got in some seconds, and what it asked for or another got in
    /// each of them, whichever is less.
    fn got_and_due(&self, who: usize, other: usize, from: u64) -> (f64, f64) {
        let at =
            |who: usize, second: u64| self.seconds.get(&(who, second)).copied().unwrap_or_default();
        let seconds = from..from + GAP_SPAN;
        let got = seconds.clone().map(|second| at(who, second).got).sum();
        let due = seconds.map(|second| at(who, second).asked.min(at(other, second).got)).sum();
        (got, due)
    }
}

#[derive(Default)]
struct Sum {
    loads: BTreeMap<UpstreamName, Load>,
    served: BTreeMap<Organisation, f32>,
    asked: BTreeMap<Organisation, f32>,
    refused: BTreeMap<Organisation, f32>,
}

fn sum(reports: &[LoadReport]) -> Sum {
    let mut sum = Sum::default();
    for report in reports {
        for (name, load) in &report.loads {
            let total = sum.loads.entry(name.clone()).or_default();
            total.running += load.running;
            total.unread += load.unread;
            total.memory += load.memory;
        }
        let tokens = [
            (&mut sum.served, &report.served),
            (&mut sum.asked, &report.asked),
            (&mut sum.refused, &report.refused),
        ];
        for (total, told) in tokens {
            told.iter().for_each(|(name, n)| *total.entry(name.clone()).or_default() += n);
        }
    }
    sum
}

impl Sum {
    fn without(&self, report: &LoadReport) -> LoadReport {
        let mut loads = self.loads.clone();
        for (name, load) in &report.loads {
            let total = loads.get_mut(name).expect("it is in the sum");
            total.running -= load.running;
            total.unread -= load.unread;
            total.memory -= load.memory;
        }
        let tokens = |total: &BTreeMap<Organisation, f32>, told: &[(Organisation, f32)]| {
            let mut total = total.clone();
            for (name, n) in told {
                *total.get_mut(name).expect("it is in the sum") -= n;
            }
            total.into_iter().filter(|(_, n)| *n >= 1.0).collect()
        };
        LoadReport {
            loads: loads.into_iter().collect(),
            served: tokens(&self.served, &report.served),
            asked: tokens(&self.asked, &report.asked),
            refused: tokens(&self.refused, &report.refused),
            ..LoadReport::default()
        }
    }
}

impl World {
    /// Checks the gap from each second on between two that both wait, for the one with less.
    fn check_gap(&self, who: usize, other: usize, seconds: std::ops::Range<u64>) {
        let asking = &self.asking[who];
        let largest = demand(1, Millis(0), asking.organisation, 1, asking.own).work();
        for from in seconds.start..=seconds.end - GAP_SPAN {
            let (got, due) = self.got_and_due(who, other, from);
            let enough = (got + FORGIVEN * largest) * GAP;
            assert!(
                enough >= due,
                "{} from second {from}: got {got} of {due}",
                asking.organisation
            );
        }
    }
}

/// Plays two organisations that ask for far more than their shares; all callers of one, whose
/// requests are several times as large, come by one entry, which turns most of them away for want
/// of processor time.
fn play_near_and_wide() -> World {
    let near = Asking { organisation: "near", rate: 500, own: 14_000, entry: Some(3), from: 0 };
    let wide = Asking { organisation: "wide", rate: 900, own: 3_000, entry: None, from: 0 };
    let small = Asking { organisation: "small", rate: 40, own: 2_000, entry: None, from: 0 };
    let mut world = World::new(vec![near, wide, small]);
    world.play(SECONDS.end);
    world
}

/// Guards against an organisation that gets more than twice the tokens of another which waits all
/// the while, because what the other's one busy entry turns away unread seems not to be asked for.
#[test]
fn an_organisation_that_comes_by_one_busy_entry_is_not_left_behind() {
    let world = play_near_and_wide();
    world.check_gap(NEAR, WIDE, SECONDS);
    let (got, due) = world.got_and_due(SMALL, SMALL, SECONDS.start);
    assert!(got >= due * 0.95, "the small one got {got} of {due}");
    let (got, due) = world.got_and_due(WIDE, NEAR, SECONDS.start);
    assert!(got >= due * 0.9, "the wide one got {got}, where the near one got {due}");
}

/// Guards against all entries finding room in a share by the same old sums: together they give
/// several times as much as there is, and then nothing for seconds.
#[test]
fn entries_that_know_old_sums_do_not_all_give_the_same_room() {
    let mut world = play_near_and_wide();
    let got: Vec<f64> = SECONDS.map(|second| world.second(WIDE, second * 1_000).got).collect();
    let mean = got.iter().sum::<f64>() / got.len() as f64;
    let swings = got.iter().filter(|got| **got > mean * 2.0 || **got < mean / 2.0).count();
    assert_eq!(swings, 0, "{got:?}");
}

/// Guards against an organisation that is refused for seconds for what it took while nobody else
/// wanted it, once others begin to ask.
#[test]
fn what_was_spare_is_not_held_against_who_took_it() {
    let early = Asking { organisation: "early", rate: 600, own: 6_000, entry: None, from: 0 };
    let late = ["late-0", "late-1", "late-2"].map(|organisation| Asking {
        organisation,
        rate: 700,
        own: 6_000,
        entry: None,
        from: 6,
    });
    let mut world = World::new([early].into_iter().chain(late).collect());
    world.play(10);
    for second in 7..10 {
        let at = second * 1_000;
        let (early, late) = (world.second(0, at).got, world.second(1, at).got);
        assert!(
            early >= late / 4.0,
            "second {second}: the early one got {early}, a late one {late}"
        );
    }
}
