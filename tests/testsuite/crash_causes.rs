//! Tests which requests are kept from upstreams because they crash them, over all attempts of their
//! callers.

use kingcupgrade::{
    coordination::traffic::{Demand, SendEnd, Traffic},
    core::{Code, Millis, RequestDigest},
    protocol::fleet::ListedUpstream,
};

use crate::{
    crashing_parts::{ENGINES, crash, exchange, is_started, refusal, serve},
    traffic::{assigned_upstream, demand, entry_names, plain, traffic, traffic_for_entry},
};

const FATAL: RequestDigest = RequestDigest(u64::MAX);
/// The time between two tries of a caller.
const TRY_INTERVAL: Millis = Millis(350);
/// Longer than the time after which a request is tried again for the first time.
const TRIAL_AFTER: Millis = Millis(61_000);

/// A try of the same request, with a number of its own.
fn same(no: u64, now: Millis) -> Demand {
    Demand { digest: FATAL, ..demand(no, now, "alder", 7, 100) }
}

/// Lets the same request end engine after engine until it is refused; returns when that was and how
/// many have ended.
fn crash_until_barred(traffic: &mut Traffic, from: Millis) -> (Millis, u64) {
    let mut now = from;
    for no in 0..20 {
        if !crash(traffic, now, same(no, now)) {
            return (now, no);
        }
        now = now + TRY_INTERVAL;
    }
    panic!("the request is never blamed");
}

/// Guards against a request that goes on to another engine after three have ended under it, and
/// against others that are refused for it.
#[test]
fn a_request_under_which_three_engines_ended_is_barred_and_no_other() {
    let mut traffic = traffic(1e9, ENGINES);
    let (now, crashes) = crash_until_barred(&mut traffic, Millis(100));
    assert_eq!(crashes, 3);
    let (code, retry_after) = refusal(traffic.admit(now, same(30, now))).expect("a refusal");
    assert_eq!(code, Code::RequestBarred);
    assert!(retry_after > Millis::ZERO);
    serve(&mut traffic, now, demand(31, now, "alder", 7, 100));
}

/// Guards against the same where engines end within a moment: the request is sent on at once.
#[test]
fn ends_within_a_moment_count_if_they_follow_each_other() {
    let mut traffic = traffic(1e9, ENGINES);
    let mut now = Millis(100);
    for no in 0..3 {
        assert!(crash(&mut traffic, now, same(no, now)), "try {no}");
        now = now + Millis(40);
    }
    assert!(!crash(&mut traffic, now, same(3, now)), "sent to a fourth engine");
}

/// Guards against tries at several entries, each of which sees one engine end.
#[test]
fn ends_at_different_entries_add_up() {
    let mut entries: Vec<Traffic> = (0..4).map(|n| traffic_for_entry(n, 1e9, ENGINES)).collect();
    let mut now = Millis(100);
    for place in 0..3 {
        assert!(crash(&mut entries[place], now, same(place as u64, now)));
        exchange(&mut entries, now);
        now = now + TRY_INTERVAL;
    }
    for entry in &mut entries {
        let refused = refusal(entry.admit(now, same(30, now)));
        assert_eq!(refused.map(|(code, _)| code), Some(Code::RequestBarred));
    }
}

/// Guards against a plain request without a prompt that nothing is kept of.
#[test]
fn a_plain_request_is_barred_too() {
    let mut traffic = traffic(1e9, ENGINES);
    let mut now = Millis(100);
    for no in 0..3 {
        let demand = Demand { digest: FATAL, ..plain(no, now, "alder") };
        assert!(assigned_upstream(traffic.admit(now, demand)).is_some(), "try {no}");
        traffic.on_end(now, no, SendEnd::Disconnected);
        // The list shows the next incarnation.
        let incarnation = |listed: &mut ListedUpstream| {
            listed.started_unix_ms = no + 2;
        };
        let mut listing: Vec<_> = traffic.upstreams().values().map(|u| u.listed.clone()).collect();
        listing.iter_mut().for_each(incarnation);
        traffic.set_listing(now, listing);
        now = now + TRY_INTERVAL;
    }
    let demand = Demand { digest: FATAL, ..plain(9, now, "alder") };
    let refused = refusal(traffic.admit(now, demand));
    assert_eq!(refused.map(|(code, _)| code), Some(Code::RequestBarred));
}

/// Guards against identical requests of several callers that are refused because upstreams end one
/// after the other while they all wait there.
#[test]
fn identical_requests_at_the_same_time_blame_none_of_them() {
    let mut traffic = traffic(1e9, ENGINES);
    let sent = Millis(100);
    for no in 0..6 {
        let engine = format!("engine-{no}");
        let others = (0..ENGINES).map(|other| format!("engine-{other}"));
        let avoid = others.filter(|other| *other != engine).map(|o| o.as_str().into()).collect();
        assert!(is_started(traffic.admit(sent, Demand { avoid, ..same(no, sent) }).as_ref()));
        traffic.on_tokens(sent, no, 24);
    }
    let mut now = sent + Millis(400);
    for no in 0..6 {
        traffic.on_end(now, no, SendEnd::Disconnected);
        now = now + Millis(400);
    }
    serve(&mut traffic, now, same(30, now));
}

/// Guards against identical requests that are refused because upstreams end under some of them
/// while others are answered, also at another entry.
#[test]
fn identical_requests_with_answers_between_are_not_blamed() {
    let mut entries: Vec<Traffic> = (0..2).map(|n| traffic_for_entry(n, 1e9, ENGINES)).collect();
    let mut now = Millis(100);
    for round in 0..20 {
        assert!(crash(&mut entries[0], now, same(round * 10, now)), "round {round}");
        assert!(crash(&mut entries[0], now, same(round * 10 + 1, now)), "round {round}");
        exchange(&mut entries, now);
        now = now + TRY_INTERVAL;
        serve(&mut entries[1], now, same(round * 10 + 2, now));
        exchange(&mut entries, now);
    }
}

/// Guards against a request with answers shortly before that ends upstreams without an end.
#[test]
fn a_request_that_turns_fatal_is_barred() {
    let mut traffic = traffic(1e9, ENGINES);
    serve(&mut traffic, Millis(100), same(100, Millis(100)));
    let (_, crashes) = crash_until_barred(&mut traffic, Millis(1_000));
    assert!(crashes <= 6, "{crashes} crashes");
}

/// Guards against a request that stays barred for ever, and against entries that each try it again.
#[test]
fn a_barred_request_is_tried_by_one_entry_and_comes_free() {
    let mut entries: Vec<Traffic> = (0..5).map(|n| traffic_for_entry(n, 1e9, ENGINES)).collect();
    entries.iter_mut().for_each(|entry| entry.set_entries(entry_names(5)));
    let (barred, _) = crash_until_barred(&mut entries[0], Millis(100));
    exchange(&mut entries, barred);
    let now = barred + TRIAL_AFTER;
    let mut tried = Vec::new();
    for (place, entry) in entries.iter_mut().enumerate() {
        for no in 500..504 {
            if is_started(entry.admit(now, same(no, now)).as_ref()) {
                tried.push((place, no));
            }
        }
    }
    let [(place, no)] = tried[..] else { panic!("{tried:?}") };
    entries[place].on_end(now, no, SendEnd::Answered);
    exchange(&mut entries, now);
    for entry in &mut entries {
        assert!(is_started(entry.admit(now, same(600, now)).as_ref()));
    }
}

/// Guards against a request that was placed before it was blamed and is sent after.
#[test]
fn a_request_under_way_to_an_upstream_is_withheld() {
    let mut traffic = traffic(1e9, ENGINES);
    let now = Millis(100);
    assert!(is_started(traffic.admit(now, same(90, now)).as_ref()));
    assert!(traffic.may_send(now, 90));
    let (now, _) = crash_until_barred(&mut traffic, now);
    assert!(!traffic.may_send(now, 90));
}

/// Guards against causes that are kept, and told in each message, for as long as the fleet runs
/// although nobody asks for them any more.
#[test]
fn a_barred_request_is_forgotten_after_an_hour() {
    const HOUR: Millis = Millis(3_600_000);
    let mut entries: Vec<Traffic> = (0..2).map(|n| traffic_for_entry(n, 1e9, ENGINES)).collect();
    let (barred, _) = crash_until_barred(&mut entries[0], Millis(100));
    exchange(&mut entries, barred);
    for minute in 1..=61 {
        let now = barred + Millis(minute * 60_000);
        entries.iter_mut().for_each(Traffic::repeat_bars);
        let told = entries[0].take_crash_news(now).barred.len();
        assert_eq!(told, usize::from(now < barred + HOUR), "after {minute} min");
        entries.iter_mut().for_each(Traffic::repeat_bars);
        exchange(&mut entries, now);
    }
    let now = barred + HOUR + TRIAL_AFTER;
    for entry in &mut entries {
        assert!(is_started(entry.admit(now, same(900, now)).as_ref()));
    }
}

/// Guards against a request that is barred because upstreams go on running and close all
/// connections.
#[test]
fn upstreams_that_close_connections_and_go_on_running_blame_nothing() {
    let mut traffic = traffic(1e9, ENGINES);
    let mut now = Millis(100);
    for no in 0..20 {
        if is_started(traffic.admit(now, same(no, now)).as_ref()) {
            traffic.on_end(now, no, SendEnd::ClosedByRunning);
        }
        now = now + TRY_INTERVAL;
    }
    assert!(traffic.barred(now, FATAL, &[]).is_none());
    assert!(is_started(traffic.admit(now, same(30, now)).as_ref()));
}
