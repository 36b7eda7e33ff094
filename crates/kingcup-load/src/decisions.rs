//! Measures how long traffic decisions and load reports take on one entry of a large fleet.
//!
//! Decisions run on the same thread that relays every response. On an entry with a slow CPU, their
//! time is no longer available for serving callers.

use std::{hint::black_box, sync::Arc, time::Instant};

use kingcup_support::{
    settings::fleet_settings,
    traffic::{configuration, demand, listed},
};
use kingcupgrade::{
    coordination::traffic::{Demand, ReportedLoad, RequestNo, SendEnd, Traffic, Verdict},
    core::{
        Instance, Millis, Organisation, UpstreamName,
        fleet::{FleetSettings, instance_name},
        settings::Role,
    },
    protocol::fleet::{Load, LoadReport, Observed},
};
use serde_json::json;

const ENTRIES: u8 = 200;
const UPSTREAMS: usize = 100;
const ORGANISATIONS: u64 = 60;
/// The token rate of all engines together, per second.
const TOKENS_PER_S: f64 = 4_000_000.0;
/// Sessions; the prompts of one session share a part.
const SESSIONS: u64 = 240;
/// Tokens of a prompt that no other prompt contains.
const OWN_TOKENS: u32 = 6_600;
/// Requests in one measurement of decisions.
const REQUESTS: u64 = 20_000;
/// Requests in flight at this entry.
const OPEN_REQUESTS: u64 = 100;
/// Reports in one measurement of load reports.
const REPORTS: u32 = 2_000;

/// What the other entries report of the speed of each upstream.
const OBSERVED: Observed =
    Observed { answers: 9_000, log_duration: 900, statements: 90, log_slowdown: 80 };

/// Measures both, with one speed of the service and with speeds of its upstreams, prints one JSON
/// object and returns true.
pub(crate) fn exec() -> anyhow::Result<bool> {
    let mut traffic = traffic();
    let decision_us = time_decisions(&mut traffic, None);
    let report_us = time_reports(&mut traffic, Observed::default());
    let mut traffic = self::traffic();
    traffic.on_report(Millis(900), Instance::from("total"), report(OBSERVED));
    let decision_with_speeds_us = time_decisions(&mut traffic, Some(1.1));
    let report_with_speeds_us = time_reports(&mut traffic, OBSERVED);
    let result = json!({
        "entries": ENTRIES,
        "upstreams": UPSTREAMS,
        "organisations": ORGANISATIONS,
        "decision_us": decision_us,
        "report_us": report_us,
        "decision_with_speeds_us": decision_with_speeds_us,
        "report_with_speeds_us": report_with_speeds_us,
        "own_report_with_speeds_us": time_own_reports(&mut traffic),
    });
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(true)
}

/// Returns the time per request in microseconds: admission, first event, end, and polling for
/// waiting requests that can start. `slowdown` is what upstreams state on their answers.
fn time_decisions(traffic: &mut Traffic, slowdown: Option<f32>) -> f64 {
    let start = Instant::now();
    for no in 0..REQUESTS {
        let now = Millis(1_000 + no * 8);
        if let Some(Verdict::Start(grant)) = traffic.admit(now, request(no, now)) {
            let upstream = black_box(grant).upstream;
            if slowdown.is_some() {
                let load = ReportedLoad { running: 1, waiting: 0, slowdown };
                traffic.on_load(now + Millis(50), &upstream, load);
            }
            traffic.on_first_event(now + Millis(50), no);
        }
        if let Some(ended) = no.checked_sub(OPEN_REQUESTS) {
            traffic.on_end(now, ended, SendEnd::Answered);
        }
        let mut verdicts = Vec::new();
        traffic.poll(now, &mut verdicts);
        black_box(verdicts);
    }
    start.elapsed().as_micros() as f64 / REQUESTS as f64
}

/// Returns a report with the total load of all other entries.
fn report(observed: Observed) -> LoadReport {
    let loads = (0..UPSTREAMS).map(|n| {
        let load = Load { running: 8, unread: 2_000, memory: 90_000, observed };
        (upstream(n), load)
    });
    let tokens = |amount: f32| -> Vec<(Organisation, f32)> {
        (0..ORGANISATIONS).map(|n| (organisation(n), amount)).collect()
    };
    LoadReport {
        loads: loads.collect(),
        served: tokens(40_000.0),
        requested: tokens(60_000.0),
        refused: tokens(2_000.0),
        ..LoadReport::default()
    }
}

/// Returns the time in microseconds to process a report with the total load of all other entries.
fn time_reports(traffic: &mut Traffic, observed: Observed) -> f64 {
    let report = report(observed);
    let start = Instant::now();
    for turn in 0..REPORTS {
        let now = Millis(200_000 + u64::from(turn) * 200);
        traffic.on_report(now, Instance::from("total"), report.clone());
    }
    start.elapsed().as_micros() as f64 / f64::from(REPORTS)
}

/// Returns the time in microseconds to take this entry's own report.
fn time_own_reports(traffic: &mut Traffic) -> f64 {
    let start = Instant::now();
    for turn in 0..REPORTS {
        black_box(traffic.take_report(Millis(600_000 + u64::from(turn) * 200)));
    }
    start.elapsed().as_micros() as f64 / f64::from(REPORTS)
}

fn organisation(number: u64) -> Organisation {
    Organisation::from(format!("organisation-{number}").as_str())
}

fn upstream(number: usize) -> UpstreamName {
    UpstreamName::from(format!("engine-{number}").as_str())
}

fn traffic() -> Traffic {
    let ip = |host| [127, 0, 0, host].into();
    let settings = FleetSettings { ip: ip(1), ..fleet_settings() };
    let mut traffic = Traffic::new(Arc::new(settings));
    traffic.set_configuration(Arc::new(configuration(TOKENS_PER_S)));
    traffic.set_entries((1..=ENTRIES).map(|host| instance_name(Role::Entry, ip(host))).collect());
    let listed =
        (0..UPSTREAMS).map(|number| listed("engine", upstream(number).as_str(), Millis::ZERO));
    traffic.set_listing(Millis::ZERO, listed.collect());
    traffic
}

fn request(no: RequestNo, now: Millis) -> Demand {
    let session = no % SESSIONS;
    let organisation = organisation(session % ORGANISATIONS);
    demand(no, now, organisation.as_str(), 10 + session, OWN_TOKENS)
}
