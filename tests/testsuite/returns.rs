//! Tests when refused callers are told to retry, and which requests wait, in fleets of many entries.

use kingcupgrade::{
    coordination::traffic::{Demand, RequestNo, RetryWindow, Returns, SendEnd, Traffic, Verdict},
    core::{Code, Millis, Organisation, Service},
    protocol::fleet::LoadReport,
};

use crate::traffic::{assigned_upstream, demand, entry_names, traffic};

/// The size of a fleet in which each refused caller gets its own retry time.
const ENTRIES: usize = 67;
/// The time between two starts in these tests.
const GAP: Millis = Millis(50);
/// A window as of a request with a deadline of 12 s.
const WINDOW: RetryWindow = RetryWindow { earliest: Millis(120), latest: Millis(4_000) };

fn large_fleet(tokens_per_s: f64, engines: usize) -> Traffic {
    let mut traffic = traffic(tokens_per_s, engines);
    traffic.set_entries(entry_names(ENTRIES));
    traffic
}

fn engine() -> Service {
    Service::from("engine")
}

/// Returns the state of an entry that started a request every [`GAP`] from `from` to `to` while
/// others found no capacity.
fn learn(returns: &mut Returns, from: Millis, to: Millis) {
    for at in (from.0..=to.0).step_by(GAP.0 as usize) {
        returns.on_full(Millis(at), &engine());
        returns.on_started(Millis(at), &engine());
    }
}

fn delays(returns: &mut Returns, now: Millis, count: usize, window: RetryWindow) -> Vec<Millis> {
    (0..count).map(|_| returns.after_shortage(now, &engine(), window)).collect()
}

/// Returns the largest number of times within any interval of `span`.
fn most_within(times: &[Millis], span: Millis) -> usize {
    let within = |from: Millis| times.iter().filter(move |at| **at >= from && **at < from + span);
    times.iter().map(|from| within(*from).count()).max().unwrap_or(0)
}

/// Guards against callers that are refused in one moment and return in one moment, find the same
/// lack of capacity and are refused for good.
#[test]
fn callers_refused_in_one_moment_return_at_the_rate_of_starts() {
    let mut returns = Returns::default();
    learn(&mut returns, Millis(0), Millis(2_000));
    let now = Millis(2_000);
    let told = delays(&mut returns, now, 60, WINDOW);
    assert!(told.iter().all(|delay| *delay >= WINDOW.earliest && *delay <= WINDOW.latest));
    assert!(told.is_sorted(), "{told:?}");
    let most = most_within(&told, Millis(1_000));
    assert!((15..=25).contains(&most), "{most} callers return within a second, 20 can start");
}

/// Guards against a promised time that has passed and still delays others: callers would wait for
/// capacity that has long been free.
#[test]
fn promised_returns_run_empty_as_time_passes() {
    let mut returns = Returns::default();
    learn(&mut returns, Millis(0), Millis(2_000));
    delays(&mut returns, Millis(2_000), 60, WINDOW);
    let later = returns.after_shortage(Millis(4_000), &engine(), WINDOW);
    assert!((800..=1_600).contains(&later.0), "{later}");
    let last = returns.after_shortage(Millis(6_000), &engine(), WINDOW);
    assert_eq!(last, WINDOW.earliest);
}

/// Guards against a flood whose callers all get the longest delay that they can use, and so return
/// in one moment, or get one that they don't honour.
#[test]
fn callers_beyond_the_useful_time_are_spread_over_the_end_of_it() {
    let mut returns = Returns::default();
    learn(&mut returns, Millis(0), Millis(2_000));
    delays(&mut returns, Millis(2_000), 80, WINDOW);
    let told = delays(&mut returns, Millis(2_000), 400, WINDOW);
    assert!(told.iter().all(|delay| *delay <= WINDOW.latest), "{told:?}");
    assert!(told.iter().all(|delay| *delay >= Millis(3_000)), "{told:?}");
    let most = most_within(&told, Millis(100));
    assert!(most <= 50, "{most} of 400 callers return within a tenth of a second");
}

/// Guards against a loss of all capacity after which the callers keep being told long delays though
/// requests start again, or in which all are told the same.
#[test]
fn a_loss_of_all_capacity_is_forgotten_once_requests_start_again() {
    let mut returns = Returns::default();
    for at in (0..3_000).step_by(50) {
        returns.on_full(Millis(at), &engine());
    }
    let told = delays(&mut returns, Millis(3_000), 100, WINDOW);
    assert!(told.iter().all(|delay| *delay <= WINDOW.latest));
    let most = most_within(&told[1..], Millis(100));
    assert!(most <= 12, "{most} of 100 callers return within a tenth of a second");
    learn(&mut returns, Millis(3_050), Millis(7_100));
    let after = delays(&mut returns, Millis(7_100), 10, WINDOW);
    assert!(after.iter().all(|delay| *delay <= Millis(1_000)), "{after:?}");
}

/// Guards against an entry that has just started and, without a learned rate, tells all callers the
/// same delay or gives none.
#[test]
fn callers_are_spread_while_the_rate_is_unknown() {
    let mut returns = Returns::default();
    returns.on_full(Millis(10), &engine());
    let told = delays(&mut returns, Millis(10), 100, WINDOW);
    assert!(told.iter().all(|delay| *delay >= WINDOW.earliest && *delay <= WINDOW.latest));
    let most = most_within(&told, Millis(400));
    assert!(most <= 14, "{most} of 100 callers return within a tenth of the time");
}

/// Guards against a delay that is later than the caller can use because capacity is expected later
/// still, or that is then the same for all callers.
#[test]
fn a_retry_is_never_later_than_is_useful() {
    let mut returns = Returns::default();
    learn(&mut returns, Millis(0), Millis(2_000));
    let window = RetryWindow { earliest: Millis(900), latest: Millis(500) };
    let told = delays(&mut returns, Millis(2_000), 20, window);
    assert!(told.iter().all(|delay| *delay <= Millis(500)), "{told:?}");
    let most = most_within(&told, Millis(25));
    assert!(most <= 6, "{most} of 20 callers return within 25 ms: {told:?}");
}

/// Guards against callers of an organisation beyond its share that all return when its share next
/// permits one request.
#[test]
fn callers_beyond_their_share_return_one_after_the_other() {
    let mut traffic = large_fleet(10_000.0, 4);
    let tokens_of = |organisation: &str, tokens: f32| (Organisation::from(organisation), tokens);
    let report = LoadReport {
        served: vec![tokens_of("ahead", 900_000.0), tokens_of("behind", 500_000.0)],
        requested: vec![tokens_of("ahead", 2_000_000.0), tokens_of("behind", 2_000_000.0)],
        refused: vec![tokens_of("ahead", 200_000.0), tokens_of("behind", 200_000.0)],
        ..LoadReport::default()
    };
    traffic.on_report(Millis(100), "e-127.0.0.9".into(), report);
    let now = Millis(300);
    let told: Vec<Millis> = (1..=40)
        .map(|no| match traffic.admit(now, demand(no, now, "ahead", no, 500)) {
            Some(Verdict::Refuse { code: Code::OverShare, retry_after }) => retry_after,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(told.iter().all(|delay| delay.0 <= 10_000 / 3), "{told:?}");
    let most = most_within(&told, Millis(50));
    assert!(most <= 8, "{most} of 40 callers return within 50 ms: {told:?}");
}

/// Guards against an organisation with few requests that waits behind all requests of another one
/// which arrived before, although both are within their shares.
#[test]
fn organisations_of_one_status_take_turns() {
    const FIRST_SMALL_NO: RequestNo = 1_000;
    let mut traffic = large_fleet(1e9, 1);
    let now = Millis(100);
    let started: Vec<RequestNo> = (1..=20)
        .filter(|no| {
            let verdict = traffic.admit(now, demand(*no, now, "flood", 5, 3_000));
            assigned_upstream(verdict).is_some()
        })
        .collect();
    assert!(traffic.waiting() >= 10, "only {} wait", traffic.waiting());
    let later = Millis(104);
    for no in FIRST_SMALL_NO..FIRST_SMALL_NO + 2 {
        assert_eq!(traffic.admit(later, demand(no, later, "small", 5, 3_000)), None);
    }
    let at = Millis(108);
    started.iter().for_each(|no| traffic.on_first_event(at, *no));
    let mut verdicts = Vec::new();
    traffic.poll(at, &mut verdicts);
    let order: Vec<RequestNo> = verdicts.iter().map(|(no, _)| *no).take(4).collect();
    let small = order.iter().filter(|no| **no >= FIRST_SMALL_NO).count();
    assert_eq!(small, 2, "started first: {order:?}");
}

/// The requests that an entry with one engine started, refused on arrival, and refused later.
#[derive(Debug, Default)]
struct Outcomes {
    started: usize,
    refused_on_arrival: usize,
    refused_later: usize,
}

/// Sends an entry two requests every 10 ms from `from` to `to`. Its engine reads one every 50 ms if
/// `is_serving`, and none otherwise.
fn overload(traffic: &mut Traffic, from: Millis, to: Millis, is_serving: bool) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut unread = std::collections::VecDeque::new();
    for at in (from.0..to.0).step_by(10) {
        let now = Millis(at);
        if is_serving
            && at % 50 == 0
            && let Some(no) = unread.pop_front()
        {
            traffic.on_first_event(now, no);
            traffic.on_end(now, no, SendEnd::Answered);
        }
        let mut verdicts = Vec::new();
        for no in [at, at + 1] {
            let organisation = if no % 3 == 0 { "alder" } else { "birch" };
            let arrived: Demand = demand(no, now, organisation, 5, 3_000);
            match traffic.admit(now, arrived) {
                Some(Verdict::Refuse { .. }) => outcomes.refused_on_arrival += 1,
                Some(Verdict::Start(_)) => {
                    outcomes.started += 1;
                    unread.push_back(no);
                }
                None => {}
            }
        }
        traffic.poll(now, &mut verdicts);
        for (no, verdict) in verdicts {
            match verdict {
                Verdict::Start(_) => {
                    outcomes.started += 1;
                    unread.push_back(no);
                }
                Verdict::Refuse { .. } => outcomes.refused_later += 1,
            }
        }
    }
    outcomes
}

/// Guards against requests that wait for a part of their target though it is known that they can't
/// start in time: their callers lose the time in which they could retry.
#[test]
fn requests_that_would_start_too_late_are_refused_on_arrival() {
    let mut traffic = large_fleet(1e9, 1);
    overload(&mut traffic, Millis(1_000), Millis(3_000), true);
    let outcomes = overload(&mut traffic, Millis(3_000), Millis(6_000), true);
    assert!(outcomes.started >= 50, "{outcomes:?}");
    assert!(outcomes.refused_on_arrival > outcomes.refused_later * 4, "{outcomes:?}");
}

/// Guards against an entry that, after a time in which its upstreams began nothing, refuses all
/// requests on arrival for good, since nothing that waits could show that they start again.
#[test]
fn requests_start_again_after_a_standstill() {
    let mut traffic = large_fleet(1e9, 1);
    overload(&mut traffic, Millis(1_000), Millis(3_000), true);
    overload(&mut traffic, Millis(3_000), Millis(5_000), false);
    let outcomes = overload(&mut traffic, Millis(5_000), Millis(8_000), true);
    assert!(outcomes.started >= 50, "{outcomes:?}");
}

/// Guards against refusing on arrival by a rate that is not known yet: after a start, an entry would
/// refuse requests that can start in time.
#[test]
fn requests_wait_while_the_rate_is_unknown() {
    let mut traffic = large_fleet(1e9, 1);
    let outcomes = overload(&mut traffic, Millis(1_000), Millis(1_200), true);
    assert_eq!(outcomes.refused_on_arrival, 0, "{outcomes:?}");
    assert!(traffic.waiting() > 10, "only {} wait", traffic.waiting());
}
