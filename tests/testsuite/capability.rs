//! Tests what entries learn of the speed of upstreams and of the load that these take, and what
//! they do with it.

use std::collections::BTreeMap;

use kingcup_support::traffic::listed;
use kingcupgrade::{
    coordination::traffic::{Demand, ReportedLoad, RequestNo, SendEnd, Traffic, Verdict},
    core::{Millis, UpstreamName},
    protocol::{
        Message,
        fleet::{FleetMessage, Load, LoadReport, Observed},
        frame::Payload,
    },
};

use crate::traffic::{
    assigned_upstream, demand, entry_names, finish, plain, traffic, traffic_for_entry,
};

const ENGINES: usize = 4;
/// Prompt tokens that no other request shares.
const OWN_TOKENS: u32 = 2_000;
/// The interval at which entries of a small fleet report.
const REPORT_INTERVAL: u64 = 100;

fn stated(slowdown: f32) -> ReportedLoad {
    ReportedLoad { running: 1, waiting: 0, slowdown: Some(slowdown) }
}

fn name(upstream: &str) -> UpstreamName {
    UpstreamName::from(upstream)
}

fn factor(traffic: &Traffic, now: u64, upstream: &str) -> f64 {
    traffic.upstreams()[&name(upstream)].duration_factor(Millis(now))
}

fn limit(traffic: &Traffic, upstream: &str) -> Option<u32> {
    traffic.upstreams()[&name(upstream)].load_limit()
}

/// Sends requests of many sessions to the engines from `from` to `until`, one after the other, each
/// answered after `took` of its engine. Returns how many each engine got.
fn serve_one_by_one(
    traffic: &mut Traffic,
    from: u64,
    until: u64,
    took: impl Fn(&str) -> u64,
) -> BTreeMap<UpstreamName, u32> {
    let mut served: BTreeMap<UpstreamName, u32> = BTreeMap::new();
    let mut now = from;
    while now < until {
        let verdict =
            traffic.admit(Millis(now), demand(now, Millis(now), "alder", now, OWN_TOKENS));
        let upstream = assigned_upstream(verdict).expect("an idle engine takes the request");
        let first = now + took(upstream.as_str());
        traffic.on_load(Millis(first), &upstream, stated(1.0));
        traffic.on_first_event(Millis(first), now);
        traffic.on_end(Millis(first + 1), now, SendEnd::Answered);
        traffic.take_report(Millis(first + 1));
        *served.entry(upstream).or_default() += 1;
        now = first + 2;
    }
    served
}

/// Guards against an entry that takes all engines of a service for equally fast: callers of the
/// slow one would get late answers that the expected times do not show, while fast ones idle.
#[test]
fn a_lasting_difference_in_speed_shows_in_expected_times_and_ranks() {
    let mut traffic = traffic(1e9, ENGINES);
    let took = |upstream: &str| if upstream == "engine-0" { 320 } else { 160 };
    let before = serve_one_by_one(&mut traffic, 1_000, 60_000, took);
    let (slow, fast) = (factor(&traffic, 60_000, "engine-0"), factor(&traffic, 60_000, "engine-1"));
    assert!(slow / fast > 1.5 && slow / fast < 2.5, "{slow} and {fast} after {before:?}");
    let served = serve_one_by_one(&mut traffic, 60_000, 120_000, took);
    let slow_served = served[&name("engine-0")];
    let most = served.values().max().expect("engines");
    assert!(slow_served * 10 < most * 8, "the slow engine has the rank of the others: {served:?}");
    assert!(slow_served > 0, "the slow engine gets nothing: {served:?}");
}

/// Guards against sending requests to an engine that has just said that it is slow, when they would
/// miss their target there and not elsewhere, and against telling a wrong expected time in the log.
#[test]
fn a_stated_slowdown_counts_at_once_for_a_short_time() {
    let admitted = |slowdown: f32, at: u64| {
        let mut traffic = traffic(1e9, 1);
        traffic.on_load(Millis(1_000), &name("engine-0"), stated(slowdown));
        match traffic.admit(Millis(at), demand(1, Millis(at), "alder", 1, OWN_TOKENS)) {
            Some(Verdict::Start(grant)) => grant.basis.expected_ms as f64,
            other => panic!("an idle engine takes the request: {other:?}"),
        }
    };
    let usual = admitted(1.0, 1_010);
    assert!(admitted(2.5, 1_010) > usual * 1.8, "the slowdown does not count");
    assert!(admitted(2.5, 2_000) < usual * 1.1, "the slowdown counts for too long");

    let mut traffic = traffic(1e9, ENGINES);
    let request = |no: RequestNo| demand(no, Millis(1_010), "alder", 7, OWN_TOKENS);
    let home = assigned_upstream(traffic.admit(Millis(1_010), request(1))).expect("an engine");
    finish(&mut traffic, Millis(1_010), 1);
    traffic.on_load(Millis(1_010), &home, stated(8.0));
    let next = assigned_upstream(traffic.admit(Millis(1_010), request(2))).expect("an engine");
    assert_ne!(next, home, "the part's preferred engine is too slow at present");
}

/// Guards against moving prompt parts between engines with each short slowdown: the other engine
/// has to read the part again, which takes longer than the slowdown lasts.
#[test]
fn a_short_slowdown_moves_no_part() {
    let mut traffic = traffic(1e9, ENGINES);
    serve_one_by_one(&mut traffic, 1_000, 20_000, |_| 160);
    traffic.take_capability_changes();
    for at in (20_000..20_500).step_by(50) {
        traffic.on_load(Millis(at), &name("engine-2"), stated(2.5));
        traffic.take_report(Millis(at));
    }
    assert!(factor(&traffic, 20_460, "engine-2") > 2.0, "the slowdown is not believed");
    let changes = traffic.take_capability_changes().changes;
    assert!(changes.iter().all(|change| change.rank_weight.is_none()), "{changes:?}");
    assert!(factor(&traffic, 21_500, "engine-2") < 1.1, "the slowdown is believed for too long");
}

/// Guards against an entry that sees few answers of each upstream and therefore never learns what
/// the others have: it must use their observations, and drop them when they stop reporting.
#[test]
fn observations_of_other_entries_count_until_they_stop_reporting() {
    let mut traffic = traffic_for_entry(0, 1e9, ENGINES);
    traffic.set_entries(entry_names(4));
    let slow = Observed { answers: 5_000, log_duration: 20_000, statements: 100, log_slowdown: 0 };
    let usual = Observed { log_duration: 0, ..slow };
    let loads = (0..ENGINES).map(|n| {
        let observed = if n == 0 { slow } else { usual };
        (name(&format!("engine-{n}")), Load { observed, ..Load::default() })
    });
    let report = LoadReport { loads: loads.collect(), ..LoadReport::default() };
    for at in 0..5 {
        let now = Millis(1_000 + at * REPORT_INTERVAL);
        traffic.on_report(now, "e-127.0.0.9".into(), report.clone());
        traffic.take_report(now);
    }
    let (slow, usual) = (factor(&traffic, 1_500, "engine-0"), factor(&traffic, 1_500, "engine-1"));
    assert!(slow / usual > 1.3, "{slow} and {usual}: reports are not used, or not added up once");
    traffic.expire_reports(Millis(20_000));
    traffic.take_report(Millis(20_000));
    let left = factor(&traffic, 20_000, "engine-0") / factor(&traffic, 20_000, "engine-1");
    assert!((left - 1.0).abs() < 0.01, "{left}: observations outlive the report they came with");
}

/// Guards against acting on a missing, zero or absurd figure, as of an upstream with a fault in its
/// header: such a service must be served exactly as one without the figure.
#[test]
fn absurd_figures_change_nothing() {
    let mut traffic = traffic(1e9, ENGINES);
    for slowdown in [None, Some(0.0), Some(-1.0), Some(f32::NAN), Some(f32::INFINITY), Some(4e7)] {
        let load = ReportedLoad { slowdown, ..stated(1.0) };
        traffic.on_load(Millis(100), &name("engine-0"), load);
    }
    let request = demand(1, Millis(110), "alder", 1, OWN_TOKENS);
    let upstream = assigned_upstream(traffic.admit(Millis(110), request)).expect("an engine");
    traffic.on_first_event(Millis(3_000), 1);
    let report = traffic.take_report(Millis(3_000));
    assert!(report.loads.iter().all(|(_, load)| load.observed.is_empty()), "{report:?}");
    assert_eq!(factor(&traffic, 3_000, upstream.as_str()), 1.0);
}

/// Guards against keeping what was learned of an upstream after it has restarted: its successor
/// may run on another machine, and would be avoided without having answered once.
#[test]
fn a_new_incarnation_starts_at_the_mean_of_its_service() {
    let mut traffic = traffic(1e9, ENGINES);
    let took = |upstream: &str| if upstream == "engine-0" { 400 } else { 160 };
    serve_one_by_one(&mut traffic, 1_000, 30_000, took);
    assert!(factor(&traffic, 30_000, "engine-0") > 1.3);
    let listing = (0..ENGINES).map(|n| {
        let mut listed = listed("engine", &format!("engine-{n}"), Millis::ZERO);
        listed.started_unix_ms = 2;
        listed
    });
    traffic.set_listing(Millis(30_000), listing.collect());
    assert_eq!(factor(&traffic, 30_000, "engine-0"), 1.0);
}

/// Guards against a report that drops the observations of upstreams without requests, which are
/// most in a large fleet, or that exceeds what an entry may send with 26 KB a second.
#[test]
fn reports_have_observations_of_idle_upstreams_and_stay_small() {
    const UPSTREAMS: usize = 100;
    let mut traffic = traffic(1e9, UPSTREAMS);
    let mut report = LoadReport::default();
    for no in 0..600 {
        let now = Millis(1_000 + no * 60);
        let request = demand(no, now, "alder", no, OWN_TOKENS);
        let upstream = assigned_upstream(traffic.admit(now, request)).expect("an engine");
        traffic.on_load(now + Millis(50), &upstream, stated(1.0));
        finish(&mut traffic, now + Millis(50), no);
        report = traffic.report(now + Millis(50));
    }
    let idle = report.loads.iter().filter(|(_, load)| load.running == 0);
    assert!(idle.count() > 5, "{report:?}");
    let listed = report.loads.len();
    let bytes = Payload::new(&Message::Fleet(FleetMessage::Load(report))).bytes().len();
    // At 125 entries, an entry sends a report to two collectors every 250 ms.
    assert!(bytes * 2 * 4 < 26_000, "a report of {bytes} bytes, {listed} upstreams");
}

/// Entries that send plain requests to upstreams of which `plain-0` takes less than it has slots.
struct Crowd {
    fleet: Vec<Traffic>,
    /// The entry, the upstream and the end of each request under way.
    running: BTreeMap<RequestNo, (usize, UpstreamName, Millis)>,
    /// The number of requests at `plain-0` in each step since the last look.
    loads: Vec<usize>,
}

impl Crowd {
    fn new(entries: usize) -> Crowd {
        let names = entry_names(entries);
        let mut fleet: Vec<Traffic> =
            (0..entries).map(|entry| traffic_for_entry(entry, 1e9, 0)).collect();
        for traffic in &mut fleet {
            traffic.set_entries(names.clone());
            traffic.on_load(Millis(900), &name("plain-0"), stated(1.0));
        }
        Crowd { fleet, running: BTreeMap::new(), loads: Vec::new() }
    }

    fn load(&self) -> usize {
        self.running.values().filter(|(_, upstream, _)| upstream.as_str() == "plain-0").count()
    }

    /// Starts a request; those beyond `good_load` on `plain-0` take beyond their target.
    fn start(&mut self, now: Millis, no: RequestNo, entry: usize, good_load: usize) {
        let verdict = self.fleet[entry].admit(now, plain(no, now, "alder"));
        let Some(upstream) = assigned_upstream(verdict) else {
            self.fleet[entry].cancel_waiting(no);
            return;
        };
        let is_crowded = upstream.as_str() == "plain-0" && self.load() >= good_load;
        let took = if is_crowded { 900 } else { 60 };
        self.running.insert(no, (entry, upstream, now + Millis(took)));
    }

    fn end_due(&mut self, now: Millis) {
        for (no, (entry, upstream, _)) in
            self.running.extract_if(.., |_, (_, _, ends)| *ends <= now)
        {
            self.fleet[entry].on_load(now, &upstream, stated(1.0));
            self.fleet[entry].on_end(now, no, SendEnd::Answered);
        }
    }

    fn exchange_reports(&mut self, now: Millis) {
        let names = entry_names(self.fleet.len());
        let reports: Vec<LoadReport> =
            self.fleet.iter_mut().map(|traffic| traffic.take_report(now)).collect();
        for (entry, traffic) in self.fleet.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != entry) {
                traffic.on_report(now, names[from].clone(), report.clone());
            }
        }
    }

    /// Makes two plain requests every 5 ms from `from` to `until`, up to 16 at once, at one entry
    /// after the other.
    fn run(&mut self, from: u64, until: u64, good_load: usize) {
        for at in (from..until).step_by(5) {
            let now = Millis(at);
            self.end_due(now);
            if at % REPORT_INTERVAL == 0 {
                self.exchange_reports(now);
            }
            for no in at..at + 2 {
                if self.running.len() < 16 {
                    self.start(now, no, no as usize % self.fleet.len(), good_load);
                }
            }
            self.loads.push(self.load());
        }
    }

    /// Returns the mean number of requests at `plain-0` since the last look.
    fn take_mean_load(&mut self) -> f64 {
        let loads = std::mem::take(&mut self.loads);
        loads.iter().sum::<usize>() as f64 / loads.len() as f64
    }
}

/// Guards against an upstream that goes on getting as many requests as it has slots though it
/// answers late long before, and against one that is cut off for good or stays limited after it
/// has recovered.
#[test]
fn an_upstream_that_answers_late_gets_less_and_is_tried_again_step_by_step() {
    let mut crowd = Crowd::new(1);
    crowd.run(1_000, 20_000, 2);
    let limited = limit(&crowd.fleet[0], "plain-0");
    assert!(limited.is_some_and(|limit| (1..=4).contains(&limit)), "{limited:?}");
    let other = limit(&crowd.fleet[0], "plain-1");
    assert_eq!(other, None, "an upstream that answers in time is limited");
    let load = crowd.take_mean_load();
    assert!(load < 4.0, "{load} requests on average");
    crowd.run(20_000, 40_000, usize::MAX);
    assert!(crowd.take_mean_load() > 4.0, "the upstream gets little though it has recovered");
    assert_eq!(limit(&crowd.fleet[0], "plain-0"), None, "the limit stays after the recovery");
}

/// Guards against a limit that each entry takes for its own: together they would send many times
/// what the upstream answers in time.
#[test]
fn entries_together_keep_to_the_limit_of_an_upstream() {
    let mut crowd = Crowd::new(5);
    crowd.run(1_000, 10_000, 2);
    crowd.take_mean_load();
    crowd.run(10_000, 30_000, 2);
    let load = crowd.take_mean_load();
    let limits: Vec<_> = crowd.fleet.iter().map(|traffic| limit(traffic, "plain-0")).collect();
    // One request more than it answers in time is tried now and then.
    assert!(load <= 3.0, "{load} requests on average, with limits {limits:?}");
    assert!(load > 0.5, "{load} requests on average: the upstream gets next to nothing");
}

/// Guards against limiting all upstreams because their answers are late here alone, as when this
/// entry's own processor is short: the whole service would seem to take next to nothing.
#[test]
fn answers_that_are_late_from_everywhere_limit_no_upstream() {
    let mut traffic = traffic(1e9, 0);
    traffic.on_load(Millis(900), &name("plain-0"), stated(1.0));
    let serve = |traffic: &mut Traffic, at: u64, took: u64| {
        let now = Millis(at);
        let granted: Vec<Demand> = (0..6).map(|n| plain(at + n, now, "alder")).collect();
        for request in &granted {
            assigned_upstream(traffic.admit(now, request.clone())).expect("a plain upstream");
        }
        granted.iter().for_each(|request| {
            traffic.on_end(now + Millis(took), request.no, SendEnd::Answered);
        });
        traffic.take_report(now + Millis(took));
    };
    (1..20).for_each(|n| serve(&mut traffic, 1_000 * n, 60));
    for n in 20..40 {
        serve(&mut traffic, 1_000 * n, 560);
        for upstream in ["plain-0", "plain-1", "plain-2"] {
            assert_eq!(limit(&traffic, upstream), None, "{upstream} after {n} s");
        }
    }
}
