//! Tests which organisations are refused for exceeding their shares.

use kingcupgrade::{
    coordination::traffic::{Traffic, Verdict},
    core::{Code, Millis, Organisation},
    protocol::fleet::LoadReport,
};

use crate::traffic::{assigned_upstream, demand, traffic};

/// The configured capacity, in tokens per second.
const CAPACITY: f64 = 100_000.0;

fn tokens_of(organisation: &str, tokens: f32) -> (Organisation, f32) {
    (Organisation::from(organisation), tokens)
}

/// Creates an entry that has received a report of the tokens that the other entries recently
/// served, were asked for and refused, by organisation.
fn entry_with_report(counts: &[(&str, f32, f32, f32)]) -> Traffic {
    let mut traffic = traffic(CAPACITY, 4);
    let report = LoadReport {
        served: counts.iter().map(|(name, served, _, _)| tokens_of(name, *served)).collect(),
        requested: counts
            .iter()
            .map(|(name, _, requested, _)| tokens_of(name, *requested))
            .collect(),
        refused: counts.iter().map(|(name, _, _, refused)| tokens_of(name, *refused)).collect(),
        ..LoadReport::default()
    };
    traffic.on_report(Millis(100), "e-127.0.0.9".into(), report);
    traffic
}

/// Guards against engines that idle while requests are refused: an organisation whose flood has
/// ended limited all others because of requests that it was refused earlier.
#[test]
fn an_organisation_that_is_refused_no_more_holds_nobody_back() {
    let counts =
        [("flood-over", 200_000.0, 900_000.0, 0.0), ("busy", 500_000.0, 900_000.0, 50_000.0)];
    let mut traffic = entry_with_report(&counts);
    let now = Millis(110);
    assert!(assigned_upstream(traffic.admit(now, demand(1, now, "busy", 5, 100))).is_some());
}

/// Guards against the same for an organisation that gets nearly all it asks for and is only
/// occasionally refused a large request.
#[test]
fn an_organisation_that_gets_most_of_what_it_asks_holds_nobody_back() {
    let counts =
        [("large", 200_000.0, 280_000.0, 20_000.0), ("busy", 500_000.0, 900_000.0, 50_000.0)];
    let mut traffic = entry_with_report(&counts);
    let now = Millis(110);
    assert!(assigned_upstream(traffic.admit(now, demand(1, now, "busy", 5, 100))).is_some());
}

/// Guards against large requests that are refused for good: the least served organisation was
/// refused a request for its size, was counted as refused, and thereby limited all others.
#[test]
fn the_organisation_that_got_least_is_not_refused_for_the_size_of_a_request() {
    let counts =
        [("least", 140_000.0, 900_000.0, 50_000.0), ("ahead", 300_000.0, 900_000.0, 50_000.0)];
    let mut traffic = entry_with_report(&counts);
    let now = Millis(110);
    let large = traffic.admit(now, demand(1, now, "least", 5, 60_000));
    let is_over_share = |verdict: &Option<Verdict>| {
        matches!(verdict, Some(Verdict::Refuse { code: Code::OverShare, .. }))
    };
    assert!(!is_over_share(&large), "{large:?}");
    let ahead = traffic.admit(now, demand(2, now, "ahead", 5, 100));
    assert!(is_over_share(&ahead), "{ahead:?}");
}

/// Guards against retry delays that are too long, so that callers come back past their target
/// latency and long after there is capacity, or too short, so that they are refused again.
#[test]
fn a_caller_beyond_its_share_is_asked_back_when_there_is_room() {
    let retry_delay = |ahead: f32| {
        let counts =
            [("least", 140_000.0, 900_000.0, 50_000.0), ("ahead", ahead, 900_000.0, 50_000.0)];
        let now = Millis(110);
        match entry_with_report(&counts).admit(now, demand(1, now, "ahead", 5, 100)) {
            Some(Verdict::Refuse { code: Code::OverShare, retry_after }) => retry_after,
            other => panic!("not refused for exceeding its share: {other:?}"),
        }
    };
    let (slightly_ahead, further_ahead, far_ahead) =
        (retry_delay(172_000.0), retry_delay(220_000.0), retry_delay(800_000.0));
    assert!(slightly_ahead < Millis(200), "{slightly_ahead:?}");
    assert!(further_ahead > slightly_ahead && further_ahead < Millis(900), "{further_ahead:?}");
    assert!(far_ahead > further_ahead, "{far_ahead:?}");
}

/// Guards against neglecting an organisation whose callers all use one busy entry: the requests
/// that the entry refuses unread were not counted as asked for, and others got many times as much
/// from what was left.
#[test]
fn what_a_busy_entry_turns_away_holds_back_those_far_ahead() {
    let counts = [("near", 150_000.0, 200_000.0, 0.0), ("wide", 800_000.0, 2_000_000.0, 50_000.0)];
    let mut traffic = entry_with_report(&counts);
    let before = Millis(110);
    assert!(assigned_upstream(traffic.admit(before, demand(1, before, "wide", 5, 100))).is_some());
    for no in 2..100 {
        traffic.refuse_overloaded(before, &demand(no, before, "near", 6, 100));
    }
    let after = Millis(220);
    let ahead = traffic.admit(after, demand(100, after, "wide", 5, 100));
    assert!(matches!(ahead, Some(Verdict::Refuse { code: Code::OverShare, .. })), "{ahead:?}");
}
