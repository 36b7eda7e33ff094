//! An entry's decisions: places, shares, the queue, cold upstreams, repeats.

use std::{net::IpAddr, sync::Arc};

use crate::support::fleet_settings;
pub(crate) use kingcup_support::traffic::demand;
use kingcup_support::traffic::{configuration, listed};
use kingcupgrade::{
    coordination::traffic::{
        Allowance, Backlog, Demand, Health, RequestNo, RetryBudget, SendEnd, Traffic, Verdict,
    },
    core::{
        Code, Instance, Millis, Organisation, Outcome, Service, UpstreamName,
        fleet::{FleetSettings, instance_name},
        settings::Role,
    },
    protocol::fleet::LoadReport,
};

pub(crate) fn traffic(tokens_per_s: f64, engines: usize) -> Traffic {
    traffic_of(0, tokens_per_s, engines)
}

/// Makes the decisions of one of [`entries`].
pub(crate) fn traffic_of(entry: usize, tokens_per_s: f64, engines: usize) -> Traffic {
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

pub(crate) fn entries(count: usize) -> Vec<Instance> {
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

pub(crate) fn place(verdict: Option<Verdict>) -> Option<UpstreamName> {
    match verdict {
        Some(Verdict::Start(grant)) => Some(grant.upstream),
        _ => None,
    }
}

/// Two entries that never spoke must send requests with the same shared part to the same engine;
/// otherwise each engine reads every part, and callers wait for reading that was done before.
#[test]
fn entries_agree_on_the_home_of_a_shared_part() {
    let (mut one, mut other) = (traffic(1e9, 12), traffic(1e9, 12));
    for session in 100..160 {
        let now = Millis(session * 200);
        let at_one = place(one.admit(now, demand(session, now, "alder", session, 300)));
        let at_other = place(other.admit(now, demand(session, now, "alder", session, 300)));
        assert!(at_one.is_some());
        assert_eq!(at_one, at_other, "session {session}");
        one.on_first_event(now, session);
        other.on_first_event(now, session);
        one.on_end(now, session, SendEnd::Answered);
        other.on_end(now, session, SendEnd::Answered);
    }
}

/// When one session gets much of the traffic, its home can't answer all of it in time. The rest
/// must go to other engines rather than wait at the home.
#[test]
fn a_hot_session_leaves_its_home_when_the_target_would_be_missed() {
    let mut traffic = traffic(1e9, 4);
    let now = Millis(100);
    let places: Vec<_> = (0..40)
        .filter_map(|no| place(traffic.admit(now, demand(no, now, "alder", 7, 6_000))))
        .collect();
    let mut distinct = places.clone();
    distinct.sort();
    distinct.dedup();
    assert!(distinct.len() > 1, "all went to {distinct:?}");
    assert!(traffic.waiting() > 0, "more was sent than can be read within the target");
}

/// An organisation floods an entry while the others ask for little; engines begin a request after a
/// tenth of a second and take most of a second for it. The flood is held back or refused as not
/// run, and the others are served as if it were not there.
#[test]
fn a_flood_beyond_its_share_leaves_the_others_whole() {
    const BEGINS: Millis = Millis(100);
    const TAKES: Millis = Millis(800);
    const SMALL: RequestNo = 1_000_000;
    let mut traffic = traffic(100_000.0, 2);
    let mut under_way: Vec<(Millis, RequestNo)> = Vec::new();
    let (mut held_back, mut small_served, mut no) = (0, 0, 0);
    for step in 0..400 {
        let now = Millis(step * 10);
        under_way.iter().filter(|(sent, _)| *sent + BEGINS == now).for_each(|(_, no)| {
            traffic.on_first_event(now, *no);
        });
        for (_, no) in under_way.extract_if(.., |(sent, _)| *sent + TAKES <= now) {
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
            let small = SMALL + step;
            if let Some(verdict) = traffic.admit(now, demand(small, now, "small", 3, 500)) {
                verdicts.push((small, verdict));
            }
        }
        traffic.poll(now, &mut verdicts);
        for (no, verdict) in verdicts {
            match verdict {
                Verdict::Start(_) => {
                    small_served += usize::from(no >= SMALL);
                    under_way.push((now, no));
                }
                Verdict::Refuse { code, retry_after } => {
                    assert_eq!(code.outcome(), Outcome::NotRun);
                    assert!(retry_after > Millis::ZERO);
                    assert!(no < SMALL, "a small organisation was refused for the flood");
                    held_back += 1;
                }
            }
        }
    }
    assert!(held_back > 500, "only {held_back} were held back");
    assert_eq!(small_served, 20, "a small organisation waited behind the flood");
}

pub(crate) fn finish(traffic: &mut Traffic, now: Millis, no: RequestNo) {
    traffic.on_first_event(now, no);
    traffic.on_end(now, no, SendEnd::Answered);
}

/// An organisation beyond its share of an engine's tokens records a grade. Plain requests take no
/// tokens; refused along with the rest, its assessors could sign nothing.
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
    // A second one asks as well, so that the first is beyond what the least served one gets.
    let now = Millis(1_000);
    assert!(place(traffic.admit(now, plain(1_000, now, "flood"))).is_some());
}

/// Requests are sent to engines that crash before they begin them. Charged for these, an
/// organisation would get less than the others just when its upstreams fail.
#[test]
fn requests_that_never_ran_are_not_charged() {
    let mut traffic = traffic(100_000.0, 2);
    let now = Millis(100);
    assert!(place(traffic.admit(now, demand(1, now, "alder", 5, 4_000))).is_some());
    let charged = |traffic: &Traffic| {
        traffic.report(now).served.iter().map(|(_, tokens)| *tokens).sum::<f32>()
    };
    assert!(charged(&traffic) > 4_000.0);
    traffic.on_end(now, 1, SendEnd::Broken);
    assert!(charged(&traffic) < 1.0);
}

/// All entries together must not send a cold upstream more than it bears, also while they can't
/// reach each other: it would crash and start cold again. Each keeps to its part of the rate.
#[test]
fn entries_keep_to_their_parts_of_a_cold_rate() {
    const ENTRIES: usize = 7;
    let sent = sent_to_a_cold_upstream(ENTRIES, Millis(1_000));
    // The rate is 20 a second; each entry may begin with one.
    assert!(sent <= 20 + ENTRIES, "{sent} requests reached a cold upstream within a second");
    assert!(sent >= 10, "only {sent} reached it");
}

/// The same in a large fleet: the even part of an entry is a quarter of a request in a second, and
/// each entry that had saved up one sent it at once. The upstream crashed.
#[test]
fn a_cold_upstream_bears_a_large_fleet() {
    let sent = sent_to_a_cold_upstream(84, Millis(1_000));
    // The rate is 20 a second; a third more may be saved up.
    assert!(sent <= 27, "{sent} requests reached a cold upstream within a second");
    let sent = sent_to_a_cold_upstream(84, Millis(3_000));
    assert!(sent >= 40, "only {sent} reached it in three seconds");
}

/// Counts what all entries together send to an upstream in a span after it turned cold, if each
/// has a request for it every 10 ms.
fn sent_to_a_cold_upstream(count: usize, span: Millis) -> usize {
    let mut sent = 0;
    for entry in 0..count {
        let mut traffic = traffic_of(entry, 1e9, 0);
        traffic.set_entries(entries(count));
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

/// Most of a service's upstreams look broken to one entry, as after a cut of its own. Setting them
/// all aside would refuse callers although some answer.
#[test]
fn failing_upstreams_are_set_aside_unless_most_fail() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.on_failure(Millis(100), 0.0);
    }
    assert!(health.is_ejected(Millis(100)));
    assert!(!health.is_ejected(Millis(10_000)), "nobody would try it again");

    let mut all_fail = traffic(1e9, 3);
    let mut no = 0;
    for step in 0..60 {
        let now = Millis(step * 5);
        no += 1;
        if place(all_fail.admit(now, demand(no, now, "alder", no, 100))).is_some() {
            all_fail.on_end(now, no, SendEnd::Unreachable);
        }
    }
    let now = Millis(301);
    assert!(place(all_fail.admit(now, demand(9_999, now, "alder", 5, 100))).is_some());
}

/// A service at which every upstream fails a seventh of its requests is as healthy as it gets. Set
/// aside for it, none would be left.
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

/// Upstreams fail everything for half a minute. All entries together must not repeat more than the
/// budget, in any window, or the repeats become the load that keeps the upstreams down.
#[test]
fn repeats_stay_within_the_budget_of_the_fleet() {
    const ENTRIES: usize = 9;
    let allowance = Allowance { ratio: 0.2, slack: 54.0, window: Millis(10_000) };
    let mut budgets = vec![RetryBudget::default(); ENTRIES];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..3_000u64 {
        let now = Millis(step * 10);
        let budget = &mut budgets[step as usize % ENTRIES];
        budget.on_request(now, allowance);
        requests.push(now);
        for _ in 0..3 {
            if budget.try_retry(now, allowance, ENTRIES) {
                repeats.push(now);
            }
        }
    }
    for end in (10_000..30_000).step_by(250) {
        let within = |times: &[Millis]| {
            times.iter().filter(|at| at.0 > end - 10_000 && at.0 <= end).count() as f64
        };
        let allowed = allowance.ratio * within(&requests) + allowance.slack;
        assert!(within(&repeats) <= allowed, "{} repeats by {end} ms", within(&repeats));
    }
    assert!(!repeats.is_empty());
}

/// A long prompt takes most of a second to read. Counted whole until its first event, it sends
/// later requests away from an engine that is nearly free.
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

/// A plain upstream answered once that all its slots were taken. Believed for long, it would look
/// full until its next answer, which never comes as nothing is sent there.
#[test]
fn an_old_report_of_full_slots_does_not_close_a_plain_upstream() {
    let mut traffic = traffic(1e9, 1);
    for n in 0..3 {
        traffic.on_load(Millis(100), &UpstreamName::from(format!("plain-{n}").as_str()), 6, 20);
    }
    let now = Millis(120);
    assert_eq!(place(traffic.admit(now, plain(1, now, "alder"))), None);
    let mut verdicts = Vec::new();
    traffic.poll(Millis(160), &mut verdicts);
    assert!(matches!(verdicts.as_slice(), [(1, Verdict::Start(_))]), "{verdicts:?}");
}

/// Two organisations press beyond their shares at different entries. What one is given elsewhere
/// counts here too, so neither gets far ahead of the other.
#[test]
fn an_organisation_far_ahead_elsewhere_is_refused_here() {
    let mut traffic = traffic(10_000.0, 2);
    let told = |organisation: &str, tokens: f32| (Organisation::from(organisation), tokens);
    let report = LoadReport {
        served: vec![told("ahead", 900_000.0), told("behind", 100_000.0)],
        asked: vec![told("ahead", 2_000_000.0), told("behind", 2_000_000.0)],
        refused: vec![told("ahead", 200_000.0), told("behind", 200_000.0)],
        ..LoadReport::default()
    };
    traffic.on_report(Millis(100), "e-127.0.0.9".into(), report);
    let now = Millis(110);
    let ahead = traffic.admit(now, demand(1, now, "ahead", 5, 100));
    assert!(matches!(ahead, Some(Verdict::Refuse { code: Code::OverShare, .. })), "{ahead:?}");
    assert!(place(traffic.admit(now, demand(2, now, "behind", 5, 100))).is_some());
}

/// Most upstreams of a service are lost, so half of the promised capacity is served. By the
/// promise nobody is beyond its share, and whoever asks most took what is left: another
/// organisation waited all through and got a third of it. What an organisation got of what is
/// really served decides who goes first.
#[test]
fn shares_follow_what_is_really_served() {
    let mut traffic = traffic(1_000_000.0, 1);
    let told = |organisation: &str, tokens: f32| (Organisation::from(organisation), tokens);
    let report = LoadReport {
        served: vec![told("ahead", 900_000.0), told("behind", 200_000.0)],
        asked: vec![told("ahead", 2_000_000.0), told("behind", 2_000_000.0)],
        ..LoadReport::default()
    };
    traffic.on_report(Millis(100), "e-127.0.0.9".into(), report);
    let now = Millis(110);
    assert!(place(traffic.admit(now, demand(1, now, "behind", 5, 9_000))).is_some());
    // The engine would begin one more just in time; it is kept for the one that is behind.
    assert_eq!(traffic.admit(now, demand(2, now, "ahead", 6, 100)), None);
    assert!(place(traffic.admit(now, demand(3, now, "behind", 7, 100))).is_some());
}
