//! What one entry of a large fleet needs for a decision and for a report of the others.
//!
//! Decisions are calls on the one thread that also relays every answer, so their time is what an
//! entry's small processor can't spend on callers.

use std::{hint::black_box, sync::Arc, time::Instant};

use kingcup_support::settings::fleet_settings;
use kingcupgrade::{
    coordination::traffic::{Demand, PromptPart, RequestNo, SendEnd, Traffic, Verdict},
    core::{
        Instance, Millis, Organisation, UpstreamName,
        configuration::{Configuration, EngineLimits, Limits, Route, RouteKind, ServicePlan},
        fleet::{FleetSettings, name_of},
        settings::Role,
    },
    protocol::fleet::{ListedUpstream, Load, LoadReport},
};
use serde_json::json;

const ENTRIES: u8 = 200;
const UPSTREAMS: usize = 100;
const ORGANISATIONS: u64 = 60;
const SLOTS: u32 = 12;
/// Requests decided about in one measurement.
const REQUESTS: u64 = 20_000;
/// Requests that are under way at this entry.
const OPEN: u64 = 100;
/// Reports taken in in one measurement.
const REPORTS: u32 = 2_000;

/// Measures both and prints one JSON object.
pub(crate) fn exec() -> anyhow::Result<bool> {
    let mut traffic = traffic()?;
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
        if let Some(Verdict::Start(grant)) = traffic.admit(now, demand(no, now)) {
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

fn traffic() -> anyhow::Result<Traffic> {
    let ip = |host| [127, 0, 0, host].into();
    let settings = FleetSettings { ip: ip(1), ..fleet_settings() };
    let mut traffic = Traffic::new(Arc::new(settings));
    traffic.set_configuration(Arc::new(configuration()?));
    traffic.set_entries((1..=ENTRIES).map(|host| name_of(Role::Entry, ip(host))).collect());
    let listed = (0..UPSTREAMS).map(|number| ListedUpstream {
        name: upstream(number),
        service: "engine".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "north".into(),
        slots: SLOTS,
        is_ready: true,
        cold: Millis::ZERO,
        born: 1,
    });
    traffic.set_listing(Millis::ZERO, listed.collect());
    Ok(traffic)
}

fn configuration() -> anyhow::Result<Configuration> {
    let route = Route {
        name: "review".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/review/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Millis(10_000),
        target: Millis(500),
        max_gap: Millis(250),
        rank: 1,
        targets: vec![("engine".into(), 1)],
        max_attempts: 2,
        is_public: false,
    };
    let engine = ServicePlan {
        name: "engine".into(),
        max_connections: 1_300,
        cold_span: Millis(3_000),
        cold_per_s: 20.0,
        engine: Some(EngineLimits { slots: SLOTS, kv_capacity: 530_000, stride: 8 }),
    };
    let limits = Limits {
        max_head_len: 16_384,
        max_body_len: 1 << 20,
        head_timeout: Millis(3_000),
        idle_timeout: Millis(15_000),
        tokens_per_s: 4_000_000.0,
    };
    Ok(Configuration::new(1, vec![route], vec![engine], None, limits)?)
}

fn demand(no: RequestNo, now: Millis) -> Demand {
    let session = no % 240;
    let parts = [
        PromptPart { id: 1, tokens: 500 },
        PromptPart { id: 10 + session, tokens: 4_800 },
        PromptPart { id: 1_000_000 + no, tokens: 6_600 },
    ];
    Demand {
        no,
        service: "engine".into(),
        route: "review".into(),
        organisation: organisation(session % ORGANISATIONS),
        arrived: now,
        target: now + Millis(500),
        deadline: now + Millis(10_000),
        prompt: parts.into(),
        output: 200,
        avoid: Vec::new(),
    }
}
