//! Whom shares hold back, and whom not.

use kingcupgrade::{
    coordination::traffic::{Traffic, Verdict},
    core::{Code, Millis, Organisation},
    protocol::fleet::LoadReport,
};

use crate::traffic::{demand, place, traffic};

/// Tokens a second that are promised.
const PROMISED: f64 = 100_000.0;

fn told(organisation: &str, tokens: f32) -> (Organisation, f32) {
    (Organisation::from(organisation), tokens)
}

/// Makes an entry that heard what the others served, were asked for and refused of late, by
/// organisation.
fn hearing(counts: &[(&str, f32, f32, f32)]) -> Traffic {
    let mut traffic = traffic(PROMISED, 4);
    let report = LoadReport {
        served: counts.iter().map(|(name, served, _, _)| told(name, *served)).collect(),
        asked: counts.iter().map(|(name, _, asked, _)| told(name, *asked)).collect(),
        refused: counts.iter().map(|(name, _, _, refused)| told(name, *refused)).collect(),
        ..LoadReport::default()
    };
    traffic.on_report(Millis(100), "e-127.0.0.9".into(), report);
    traffic
}

/// Guards against engines that idle while requests are refused: an organisation whose flood is over
/// holds all others down for what was refused to it before.
#[test]
fn an_organisation_that_is_refused_no_more_holds_nobody_back() {
    let counts =
        [("flood-over", 200_000.0, 900_000.0, 0.0), ("busy", 500_000.0, 900_000.0, 50_000.0)];
    let mut traffic = hearing(&counts);
    let now = Millis(110);
    assert!(place(traffic.admit(now, demand(1, now, "busy", 5, 100))).is_some());
}

/// The same, for one that gets nearly all that it asks for and is refused a large request now and
/// then.
#[test]
fn an_organisation_that_gets_most_of_what_it_asks_holds_nobody_back() {
    let counts =
        [("large", 200_000.0, 280_000.0, 20_000.0), ("busy", 500_000.0, 900_000.0, 50_000.0)];
    let mut traffic = hearing(&counts);
    let now = Millis(110);
    assert!(place(traffic.admit(now, demand(1, now, "busy", 5, 100))).is_some());
}

/// Guards against large requests that are refused for good: the organisation that got least of all
/// is refused one for its size, counts as refused for it, and holds all others down.
#[test]
fn the_organisation_that_got_least_is_not_refused_for_the_size_of_a_request() {
    let counts =
        [("least", 140_000.0, 900_000.0, 50_000.0), ("ahead", 300_000.0, 900_000.0, 50_000.0)];
    let mut traffic = hearing(&counts);
    let now = Millis(110);
    let large = traffic.admit(now, demand(1, now, "least", 5, 60_000));
    let over_share = |verdict: &Option<Verdict>| {
        matches!(verdict, Some(Verdict::Refuse { code: Code::OverShare, .. }))
    };
    assert!(!over_share(&large), "{large:?}");
    let ahead = traffic.admit(now, demand(2, now, "ahead", 5, 100));
    assert!(over_share(&ahead), "{ahead:?}");
}

/// Guards against callers that are asked back long after there is room for them, past their target,
/// or so soon that they are refused again.
#[test]
fn a_caller_beyond_its_share_is_asked_back_when_there_is_room() {
    let returns_after = |ahead: f32| {
        let counts =
            [("least", 140_000.0, 900_000.0, 50_000.0), ("ahead", ahead, 900_000.0, 50_000.0)];
        let now = Millis(110);
        match hearing(&counts).admit(now, demand(1, now, "ahead", 5, 100)) {
            Some(Verdict::Refuse { code: Code::OverShare, retry_after }) => retry_after,
            other => panic!("not refused for its share: {other:?}"),
        }
    };
    let (little, much, far) =
        (returns_after(172_000.0), returns_after(220_000.0), returns_after(800_000.0));
    assert!(little < Millis(200), "{little:?}");
    assert!(much > little && much < Millis(900), "{much:?}");
    assert!(far > much, "{far:?}");
}

/// Guards against an organisation whose callers all come by one busy entry: what that turns away
/// unread seems not to be asked for, and others take what is left, many times as much.
#[test]
fn what_a_busy_entry_turns_away_holds_back_those_far_ahead() {
    let counts = [("near", 150_000.0, 200_000.0, 0.0), ("wide", 800_000.0, 2_000_000.0, 50_000.0)];
    let mut traffic = hearing(&counts);
    let before = Millis(110);
    assert!(place(traffic.admit(before, demand(1, before, "wide", 5, 100))).is_some());
    for no in 2..100 {
        traffic.refuse_overloaded(before, &demand(no, before, "near", 6, 100));
    }
    let after = Millis(220);
    let ahead = traffic.admit(after, demand(100, after, "wide", 5, 100));
    assert!(matches!(ahead, Some(Verdict::Refuse { code: Code::OverShare, .. })), "{ahead:?}");
}
