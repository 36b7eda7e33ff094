//! Tests an entry's traffic decisions: upstream choice, shares, queueing, cold upstreams and
//! retries.

use std::{net::IpAddr, sync::Arc};

use crate::support::fleet_settings;
pub(crate) use kingcup_support::traffic::demand;
use kingcup_support::traffic::{configuration, listed};
use kingcupgrade::{
    coordination::traffic::{
        Allowance, Backlog, Demand, Health, ReportedLoad, RequestNo, RetryBudget, SendEnd, Traffic,
        Verdict,
    },
    core::{
        Code, Instance, Millis, Organisation, Outcome, Service, UpstreamName,
        fleet::{FleetSettings, instance_name},
        settings::Role,
    },
    protocol::fleet::LoadReport,
};

pub(crate) fn traffic(tokens_per_s: f64, engines: usize) -> Traffic {
    traffic_for_entry(0, tokens_per_s, engines)
}

/// Creates the traffic state of one of [`entry_names`].
pub(crate) fn traffic_for_entry(entry: usize, tokens_per_s: f64, engines: usize) -> Traffic {
    let settings = FleetSettings { ip: ip(entry), ..fleet_settings() };
    let mut traffic = Traffic::new(Arc::new(settings));
    traffic.set_configuration(Arc::new(configuration(tokens_per_s)));
    let names = (0..engines).map(|n| listed("engine", &format!("engine-{n}"), Millis::ZERO));
    let plain = (0..3).map(|n| listed("plain", &format!("plain-{n}"), Millis::ZERO));
    traffic.set_listing(Millis::ZERO, names.chain(plain).collect());
    traffic
}

fn ip(entry: usize) -> IpAddr {
    IpAddr::from([127, 0, 0, entry as u8 + 1])
}

pub(crate) fn entry_names(count: usize) -> Vec<Instance> {
    (0..count).map(|entry| instance_name(Role::Entry, ip(entry))).collect()
}

pub(crate) fn plain(no: RequestNo, now: Millis, organisation: &str) -> Demand {
    Demand {
        service: Service::from("plain"),
        prompt: Vec::new().into(),
        expected_output: 0,
        ..demand(no, now, organisation, 1, 1)
    }
}

pub(crate) fn assigned_upstream(verdict: Option<Verdict>) -> Option<UpstreamName> {
    match verdict {
        Some(Verdict::Start(grant)) => Some(grant.upstream),
        _ => None,
    }
}

/// Guards against entries that send requests with the same shared prompt part to different engines
/// unless they have exchanged reports: every engine would then read every part, and callers would
/// wait for parts to be read that another engine already holds.
#[test]
fn entries_agree_on_the_home_of_a_shared_part() {
    let (mut first, mut second) = (traffic(1e9, 12), traffic(1e9, 12));
    for session in 100..160 {
        let now = Millis(session * 200);
        let at_first =
            assigned_upstream(first.admit(now, demand(session, now, "alder", session, 300)));
        let at_second =
            assigned_upstream(second.admit(now, demand(session, now, "alder", session, 300)));
        assert!(at_first.is_some());
        assert_eq!(at_first, at_second, "session {session}");
        first.on_first_event(now, session);
        second.on_first_event(now, session);
        first.on_end(now, session, SendEnd::Answered);
        second.on_end(now, session, SendEnd::Answered);
    }
}

/// Guards against requests that wait at their home engine when one session gets most of the
/// traffic and its home can't answer all of it within the target latency. The rest must go to other
/// engines.
#[test]
fn a_hot_session_leaves_its_home_when_the_target_would_be_missed() {
    let mut traffic = traffic(1e9, 4);
    let now = Millis(100);
    let upstreams: Vec<_> = (0..40)
        .filter_map(|no| assigned_upstream(traffic.admit(now, demand(no, now, "alder", 7, 6_000))))
        .collect();
    let mut distinct = upstreams.clone();
    distinct.sort();
    distinct.dedup();
    assert!(distinct.len() > 1, "all requests went to {distinct:?}");
    assert!(
        traffic.waiting() > 0,
        "more requests were sent than can be read within the target latency"
    );
}

/// Guards against an organisation's flood of requests that delays the requests of others. Engines
/// send the first event after 100 ms and complete a request after 800 ms. The flood must be queued
/// or refused with the outcome `not-run`, and the other organisation must be served as without it.
#[test]
fn a_flood_beyond_its_share_leaves_the_others_whole() {
    const FIRST_EVENT_AFTER: Millis = Millis(100);
    const COMPLETED_AFTER: Millis = Millis(800);
    const FIRST_SMALL_NO: RequestNo = 1_000_000;
    let mut traffic = traffic(100_000.0, 2);
    let mut running: Vec<(Millis, RequestNo)> = Vec::new();
    let (mut refused, mut small_served, mut no) = (0, 0, 0);
    for step in 0..400 {
        let now = Millis(step * 10);
        running.iter().filter(|(sent, _)| *sent + FIRST_EVENT_AFTER == now).for_each(|(_, no)| {
            traffic.on_first_event(now, *no);
        });
        for (_, no) in running.extract_if(.., |(sent, _)| *sent + COMPLETED_AFTER <= now) {
            traffic.on_end(now, no, SendEnd::Answered);
        }
        let mut verdicts = Vec::new();
        for _ in 0..5 {
            no += 1;
            if let Some(verdict) = traffic.admit(now, demand(no, now, "flood", no % 50, 4_000)) {
                verdicts.push((no, verdict));
            }
        }
        if step % 20 == 0 {
            let small = FIRST_SMALL_NO + step;
            if let Some(verdict) = traffic.admit(now, demand(small, now, "small", 3, 500)) {
                verdicts.push((small, verdict));
            }
        }
        traffic.poll(now, &mut verdicts);
        for (no, verdict) in verdicts {
            match verdict {
                Verdict::Start(_) => {
                    small_served += usize::from(no >= FIRST_SMALL_NO);
                    running.push((now, no));
                }
                Verdict::Refuse { code, retry_after } => {
                    assert_eq!(code.outcome(), Outcome::NotRun);
                    assert!(retry_after > Millis::ZERO);
                    assert!(
                        no < FIRST_SMALL_NO,
                        "a small organisation was refused because of the flood"
                    );
                    refused += 1;
                }
            }
        }
    }
    assert!(refused > 500, "only {refused} requests were refused");
    assert_eq!(small_served, 20, "a small organisation waited behind the flood");
}

pub(crate) fn finish(traffic: &mut Traffic, now: Millis, no: RequestNo) {
    traffic.on_first_event(now, no);
    traffic.on_end(now, no, SendEnd::Answered);
}

/// Guards against refusing an organisation's plain requests because it exceeds its share of the
/// engines' tokens. Plain requests, such as recording a grade, use no tokens; if they were refused
/// too, the organisation's assessors could not sign anything.
#[test]
fn plain_requests_of_an_organisation_beyond_its_share_are_served() {
    let mut traffic = traffic(1_000.0, 2);
    for no in 0..200 {
        let now = Millis(no * 5);
        match traffic.admit(now, demand(no, now, "flood", 5, 4_000)) {
            Some(Verdict::Start(_)) => finish(&mut traffic, now, no),
            _ => traffic.cancel_waiting(no),
        }
    }
    // A second organisation makes requests as well, so that the first exceeds what the least served
    // organisation gets.
    let now = Millis(1_000);
    assert!(assigned_upstream(traffic.admit(now, plain(1_000, now, "flood"))).is_some());
}

/// Guards against charging an organisation for requests that were sent to engines which crashed
/// before starting them. The organisation would get less than the others while its upstreams fail.
#[test]
fn requests_that_never_ran_are_not_charged() {
    let mut traffic = traffic(100_000.0, 2);
    let now = Millis(100);
    assert!(assigned_upstream(traffic.admit(now, demand(1, now, "alder", 5, 4_000))).is_some());
    let charged = |traffic: &Traffic| {
        traffic.report(now).served.iter().map(|(_, tokens)| *tokens).sum::<f32>()
    };
    assert!(charged(&traffic) > 4_000.0);
    traffic.on_end(now, 1, SendEnd::Broken);
    assert!(charged(&traffic) < 1.0);
}

/// Guards against entries that together exceed a cold upstream's request rate, also while they
/// can't reach each other: the upstream would crash and start cold again. Each entry must stay
/// within its part of the rate.
#[test]
fn entries_keep_to_their_parts_of_a_cold_rate() {
    const ENTRIES: usize = 7;
    let sent = sent_to_a_cold_upstream(ENTRIES, Millis(1_000));
    // The rate is 20 requests per second, and each entry may start with one.
    assert!(sent <= 20 + ENTRIES, "{sent} requests reached a cold upstream within a second");
    assert!(sent >= 10, "only {sent} requests reached it");
}

/// Guards against the same in a large fleet, where an entry's equal part of the rate is a quarter
/// of a request per second. Every entry that had accumulated one request sent it at once, and the
/// upstream crashed.
#[test]
fn a_cold_upstream_bears_a_large_fleet() {
    let sent = sent_to_a_cold_upstream(84, Millis(1_000));
    // The rate is 20 requests per second, and a third of that may have accumulated.
    assert!(sent <= 27, "{sent} requests reached a cold upstream within a second");
    let sent = sent_to_a_cold_upstream(84, Millis(3_000));
    assert!(sent >= 40, "only {sent} requests reached it in three seconds");
}

/// Returns the number of requests that all entries together send to an upstream within `span` of
/// its turning cold, if each entry has a request for it every 10 ms.
fn sent_to_a_cold_upstream(count: usize, span: Millis) -> usize {
    let mut sent = 0;
    for entry in 0..count {
        let mut traffic = traffic_for_entry(entry, 1e9, 0);
        traffic.set_entries(entry_names(count));
        let cold = listed("engine", "cold", Millis(3_000));
        traffic.set_listing(Millis(1_000), vec![cold]);
        for step in 0..span.0 / 10 {
            let (now, no) = (Millis(1_000 + step * 10), step);
            match traffic.admit(now, demand(no, now, "alder", 5, 100)) {
                Some(Verdict::Start(_)) => {
                    finish(&mut traffic, now, no);
                    sent += 1;
                }
                _ => traffic.cancel_waiting(no),
            }
        }
    }
    sent
}

/// Guards against ejecting all upstreams of a service when most of them look broken to one entry,
/// as when the entry itself is partitioned: callers would be refused although some upstreams
/// answer.
#[test]
fn failing_upstreams_are_set_aside_unless_most_fail() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.on_failure(Millis(100), 0.0);
    }
    assert!(health.is_ejected(Millis(100)));
    assert!(!health.is_ejected(Millis(10_000)), "the upstream would never be tried again");

    let mut traffic = traffic(1e9, 3);
    let mut no = 0;
    for step in 0..60 {
        let now = Millis(step * 5);
        no += 1;
        if assigned_upstream(traffic.admit(now, demand(no, now, "alder", no, 100))).is_some() {
            traffic.on_end(now, no, SendEnd::Unreachable);
        }
    }
    let now = Millis(301);
    assert!(assigned_upstream(traffic.admit(now, demand(9_999, now, "alder", 5, 100))).is_some());
}

/// Guards against ejecting upstreams for a failure rate that the whole service has. If every
/// upstream fails a seventh of its requests, ejecting them for it would leave none.
#[test]
fn a_share_of_failures_that_the_whole_service_has_sets_nobody_aside() {
    let mut health = Health::default();
    for no in 0..200 {
        if no % 7 == 0 {
            health.on_failure(Millis(no), 0.14);
        } else {
            health.on_answer();
        }
        assert!(!health.is_ejected(Millis(no + 1)));
    }
}

/// Guards against retries that keep upstreams overloaded. While upstreams fail every request for
/// 30 s, all entries together must not retry more than the budget in any window.
#[test]
fn repeats_stay_within_the_budget_of_the_fleet() {
    const ENTRIES: usize = 9;
    let allowance = Allowance { ratio: 0.2, slack: 54.0, window: Millis(10_000) };
    let mut budgets = vec![RetryBudget::default(); ENTRIES];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..3_000u64 {
        let now = Millis(step * 10);
        let budget = &mut budgets[step as usize % ENTRIES];
        budget.on_request(now, allowance);
        requests.push(now);
        for _ in 0..3 {
            if budget.try_retry(now, allowance, ENTRIES) {
                retries.push(now);
            }
        }
    }
    for end in (10_000..30_000).step_by(250) {
        let within = |times: &[Millis]| {
            times.iter().filter(|at| at.0 > end - 10_000 && at.0 <= end).count() as f64
        };
        let allowed = allowance.ratio * within(&requests) + allowance.slack;
        assert!(
            within(&retries) <= allowed,
            "{} retries in the window that ends at {end} ms",
            within(&retries)
        );
    }
    assert!(!retries.is_empty());
}

/// Guards against counting a long prompt in full until its first event. Such a prompt takes most of
/// a second to read, and later requests would avoid an engine that is nearly free.
#[test]
fn unread_prompts_shrink_with_time() {
    let mut backlog = Backlog::default();
    backlog.advance(Millis(0), 100.0);
    backlog.push(1, 50_000);
    backlog.push(2, 10_000);
    backlog.advance(Millis(400), 100.0);
    assert_eq!(backlog.tokens(), 20_000);
    backlog.on_first_event(1);
    assert_eq!(backlog.tokens(), 10_000);
    backlog.on_first_event(2);
    assert_eq!(backlog.tokens(), 0);
}

/// Guards against a plain upstream that is never used again after it once reported that all its
/// slots were taken. Without an expiry it would seem full until its next answer, which never comes
/// because no request is sent there.
#[test]
fn an_old_report_of_full_slots_does_not_close_a_plain_upstream() {
    let mut traffic = traffic(1e9, 1);
    for n in 0..3 {
        let load = ReportedLoad { running: 6, waiting: 20, slowdown: None };
        traffic.on_load(Millis(100), &UpstreamName::from(format!("plain-{n}").as_str()), load);
    }
    let now = Millis(120);
    assert_eq!(assigned_upstream(traffic.admit(now, plain(1, now, "alder"))), None);
    let mut verdicts = Vec::new();
    traffic.poll(Millis(160), &mut verdicts);
    assert!(matches!(verdicts.as_slice(), [(1, Verdict::Start(_))]), "{verdicts:?}");
}

/// Guards against an organisation that gets far more than another because the two exceed their
/// shares at different entries: tokens served at other entries must count here too.
#[test]
fn an_organisation_far_ahead_elsewhere_is_refused_here() {
    let mut traffic = traffic(10_000.0, 2);
    let tokens_of = |organisation: &str, tokens: f32| (Organisation::from(organisation), tokens);
    let report = LoadReport {
        served: vec![tokens_of("ahead", 900_000.0), tokens_of("behind", 100_000.0)],
        requested: vec![tokens_of("ahead", 2_000_000.0), tokens_of("behind", 2_000_000.0)],
        refused: vec![tokens_of("ahead", 200_000.0), tokens_of("behind", 200_000.0)],
        ..LoadReport::default()
    };
    traffic.on_report(Millis(100), "e-127.0.0.9".into(), report);
    let now = Millis(110);
    let ahead = traffic.admit(now, demand(1, now, "ahead", 5, 100));
    assert!(matches!(ahead, Some(Verdict::Refuse { code: Code::OverShare, .. })), "{ahead:?}");
    assert!(assigned_upstream(traffic.admit(now, demand(2, now, "behind", 5, 100))).is_some());
}

/// Guards against measuring shares against the configured capacity when most of a service's
/// upstreams are lost and only half of that capacity is served. No organisation exceeded its share
/// of the configured capacity, so the one that asked most took what was left, and another waited
/// throughout and got a third as much. Precedence must follow each organisation's part of the
/// tokens actually served.
#[test]
fn shares_follow_what_is_really_served() {
    let mut traffic = traffic(1_000_000.0, 1);
    let tokens_of = |organisation: &str, tokens: f32| (Organisation::from(organisation), tokens);
    let report = LoadReport {
        served: vec![tokens_of("ahead", 900_000.0), tokens_of("behind", 200_000.0)],
        requested: vec![tokens_of("ahead", 2_000_000.0), tokens_of("behind", 2_000_000.0)],
        ..LoadReport::default()
    };
    traffic.on_report(Millis(100), "e-127.0.0.9".into(), report);
    let now = Millis(110);
    assert!(assigned_upstream(traffic.admit(now, demand(1, now, "behind", 5, 9_000))).is_some());
    // The engine could start one more request in time; that capacity is reserved for the
    // organisation that is behind.
    assert_eq!(traffic.admit(now, demand(2, now, "ahead", 6, 100)), None);
    assert!(assigned_upstream(traffic.admit(now, demand(3, now, "behind", 7, 100))).is_some());
}
