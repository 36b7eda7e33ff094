//! What one entry of a large fleet needs for a decision and for a report of the others.
//!
//! Decisions are calls on the one thread that also relays every answer, so their time is what an
//! entry's small processor can't spend on callers.

use std::{hint::black_box, sync::Arc, time::Instant};

use kingcup_support::{
    settings::fleet_settings,
    traffic::{configuration, demand, listed},
};
use kingcupgrade::{
    coordination::traffic::{Demand, RequestNo, SendEnd, Traffic, Verdict},
    core::{
        Instance, Millis, Organisation, UpstreamName,
        fleet::{FleetSettings, instance_name},
        settings::Role,
    },
    protocol::fleet::{Load, LoadReport},
};
use serde_json::json;

const ENTRIES: u8 = 200;
const UPSTREAMS: usize = 100;
const ORGANISATIONS: u64 = 60;
/// Tokens a second that are promised.
const PROMISED: f64 = 4_000_000.0;
/// Sessions whose prompts share a part.
const SESSIONS: u64 = 240;
/// Tokens of a prompt that no other has.
const OWN_TOKENS: u32 = 6_600;
/// Requests decided about in one measurement.
const REQUESTS: u64 = 20_000;
/// Requests that are under way at this entry.
const OPEN: u64 = 100;
/// Reports taken in in one measurement.
const REPORTS: u32 = 2_000;

/// Measures both and prints one JSON object.
pub(crate) fn exec() -> anyhow::Result<bool> {
    let mut traffic = traffic();
    let decision_us = time_decisions(&mut traffic);
    let report_us = time_reports(&mut traffic);
    let result = json!({
        "entries": ENTRIES,
        "upstreams": UPSTREAMS,
        "organisations": ORGANISATIONS,
        "decision_us": decision_us,
        "report_us": report_us,
    });
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(true)
}

/// Returns the microseconds that a request's decisions take: where it goes, its first event, its
/// end, and those that it lets go on.
fn time_decisions(traffic: &mut Traffic) -> f64 {
    let begun = Instant::now();
    for no in 0..REQUESTS {
        let now = Millis(1_000 + no * 8);
        if let Some(Verdict::Start(grant)) = traffic.admit(now, request(no, now)) {
            black_box(grant);
            traffic.on_first_event(now + Millis(50), no);
        }
        if let Some(ended) = no.checked_sub(OPEN) {
            traffic.on_end(now, ended, SendEnd::Answered);
        }
        let mut verdicts = Vec::new();
        traffic.poll(now, &mut verdicts);
        black_box(verdicts);
    }
    begun.elapsed().as_micros() as f64 / REQUESTS as f64
}

/// Returns the microseconds that taking in the sum of all others takes.
fn time_reports(traffic: &mut Traffic) -> f64 {
    let loads = (0..UPSTREAMS).map(|n| {
        let load = Load { running: 8, unread: 2_000, memory: 90_000 };
        (upstream(n), load)
    });
    let tokens = |amount: f32| -> Vec<(Organisation, f32)> {
        (0..ORGANISATIONS).map(|n| (organisation(n), amount)).collect()
    };
    let report = LoadReport {
        loads: loads.collect(),
        served: tokens(40_000.0),
        asked: tokens(60_000.0),
        refused: tokens(2_000.0),
        ..LoadReport::default()
    };
    let begun = Instant::now();
    for turn in 0..REPORTS {
        let now = Millis(200_000 + u64::from(turn) * 200);
        traffic.on_report(now, Instance::from("total"), report.clone());
    }
    begun.elapsed().as_micros() as f64 / f64::from(REPORTS)
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
    traffic.set_configuration(Arc::new(configuration(PROMISED)));
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
