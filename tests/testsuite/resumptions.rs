//! Tests how an entry queues the rests of streams that have lost their upstream.

use kingcupgrade::{
    coordination::traffic::{Demand, RequestNo, SendEnd, Traffic, Verdict},
    core::{Code, Millis},
};

use crate::traffic::{assigned_upstream, demand, traffic};

/// The number of the stream that is to be resumed; those of the other requests are below it.
const STREAM: RequestNo = 1_000;
/// When the stream loses its upstream, long after its first byte was due.
const LOST_AT: Millis = Millis(20_000);

/// Returns the demand of a stream whose upstream is lost at `now`.
fn resumption(now: Millis) -> Demand {
    let began = demand(STREAM, Millis(10_000), "alder", STREAM, 300);
    Demand {
        target: now + Millis(1_500),
        deadline: now + Millis(9_000),
        is_repeat: true,
        is_resumption: true,
        ..began
    }
}

/// Fills all engines until another request has to wait; returns the number of requests that run.
fn fill(traffic: &mut Traffic, now: Millis) -> RequestNo {
    let mut start = |no| {
        let verdict = traffic.admit(now, demand(no, now, "alder", no, 300));
        traffic.on_first_event(now, no);
        assigned_upstream(verdict).is_some()
    };
    (1..STREAM).take_while(|no| start(*no)).count() as RequestNo
}

fn poll(traffic: &mut Traffic, now: Millis) -> Vec<(RequestNo, Verdict)> {
    let mut verdicts = Vec::new();
    traffic.poll(now, &mut verdicts);
    verdicts
}

/// Guards against a stream that is cut off because all upstreams are full at the moment at which it loses
/// its own, and that waits behind requests that have not begun.
#[test]
fn the_rest_of_a_stream_waits_for_a_place_and_goes_first() {
    let mut traffic = traffic(1e9, 2);
    let running = fill(&mut traffic, LOST_AT);
    assert!(traffic.admit(LOST_AT, resumption(LOST_AT)).is_none(), "it doesn't wait");
    assert_eq!(poll(&mut traffic, LOST_AT + Millis(200)), []);
    traffic.on_end(LOST_AT + Millis(250), running, SendEnd::Answered);
    let verdicts = poll(&mut traffic, LOST_AT + Millis(260));
    let first = verdicts.first().expect("a place is free");
    assert!(matches!(first, (STREAM, Verdict::Start(_))), "{first:?}");
}

/// Guards against callers that wait for the rest of a stream for longer than they would bear.
#[test]
fn the_rest_of_a_stream_is_given_up_if_no_place_becomes_free() {
    let mut traffic = traffic(1e9, 2);
    fill(&mut traffic, LOST_AT);
    assert!(traffic.admit(LOST_AT, resumption(LOST_AT)).is_none(), "it doesn't wait");
    let later = LOST_AT + Millis(1_500);
    let verdicts = poll(&mut traffic, later);
    let refused = |(no, verdict): &(RequestNo, Verdict)| {
        *no == STREAM && matches!(verdict, Verdict::Refuse { .. })
    };
    assert!(verdicts.iter().any(refused), "{verdicts:?}");
}

/// Guards against an organisation that gets far more than its share because the rests of its streams are
/// served before the requests of others, who wait.
#[test]
fn the_rest_of_a_stream_counts_towards_the_share() {
    let mut traffic = traffic(10_000.0, 2);
    let is_over = |verdict: Option<Verdict>| {
        matches!(verdict, Some(Verdict::Refuse { code: Code::OverShare, .. }))
    };
    let mut refused_at = None;
    for no in 1..STREAM {
        let now = Millis(10_000 + no * 10);
        let other = demand(2 * STREAM + no, now, "birch", 2 * STREAM + no, 300);
        traffic.admit(now, other);
        if is_over(traffic.admit(now, demand(no, now, "alder", no, 3_000))) {
            refused_at = Some(now);
            break;
        }
    }
    let now = refused_at.expect("the organisation exceeds its share");
    assert!(is_over(traffic.admit(now, resumption(now))), "it is served beyond the share");
}
