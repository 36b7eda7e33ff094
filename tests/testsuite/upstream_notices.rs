//! What upstreams ask for on their answers, in a fleet of real processes: to be left alone for some
//! time, or to get no new requests because they are shutting down.

use std::{
    thread,
    time::{Duration, Instant},
};

use kingcup_support::{
    caller::{Caller, Response},
    engine::EngineConfig,
    fleet::token,
    plain_service::PlainService,
    platform::FakeUpstream,
    wait_until,
};
use kingcupgrade::{
    core::{Instance, UpstreamName},
    util::rendezvous::static_shares,
};

use crate::support::{Harness, TIMEOUT, start};

/// How long after the answer of an upstream that asks for a delay requests may still arrive: they
/// may have been on their way.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);
/// How many requests may reach an upstream within the delay that it asked for.
const MAX_WITHIN_DELAY: usize = 2;
/// The delay that upstreams ask for; longer than the pause after a single rejection.
const DELAY: Duration = Duration::from_secs(5);
/// The concurrent callers.
const CALLERS: usize = 6;

/// The upstream of the plain service that each fleet has.
const FIRST: &str = "orders-north";
/// The upstreams that tests add.
const SECOND: &str = "orders-second";
const THIRD: &str = "orders-third";
const ENTRIES: [&str; 2] = ["entry-north-0", "entry-north-1"];

/// Starts a fleet with two upstreams of the plain service, and returns the second.
fn start_with_two() -> (Harness, PlainService) {
    start_with(&[])
}

/// Starts a fleet with two upstreams of the plain service and these, and returns the second.
fn start_with(others: &[&str]) -> (Harness, PlainService) {
    let harness = start(&["north"], 2, &EngineConfig::default());
    let second = add(&harness, SECOND);
    for name in others {
        add(&harness, name);
    }
    (harness.with_documents(), second)
}

fn add(harness: &Harness, name: &str) -> PlainService {
    let upstream = PlainService::start(Duration::from_millis(20));
    let fake = FakeUpstream::Plain(upstream.clone());
    harness.platform.add(name, "orders", "north", upstream.address(), fake);
    upstream
}

/// Returns the entry that has the second of three upstreams in its static share, beside another.
fn entry_with_second() -> Instance {
    let entries = ENTRIES.map(Instance::from);
    let mut owners = static_shares([FIRST, SECOND, THIRD].map(UpstreamName::from), &entries);
    let owner = owners.remove(&UpstreamName::from(SECOND)).expect("an owner");
    assert!(owners.values().any(|other| *other == owner), "{owner} has no other upstream");
    owner
}

/// Lets callers of one entry send requests for some time, and returns their answers.
fn send_for(harness: &Harness, span: Duration) -> Vec<Response> {
    send_to(harness, ENTRIES[0], span)
}

fn send_to(harness: &Harness, entry: &str, span: Duration) -> Vec<Response> {
    let address = harness.fleet.entry(entry);
    let call = || {
        let caller = Caller::new(&token("alder"));
        let started = Instant::now();
        let mut answers = Vec::new();
        while started.elapsed() < span {
            answers.push(caller.post(address, "/orders/status", "1", None));
        }
        answers
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(call)).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    })
}

fn all_done(answers: &[Response]) -> bool {
    answers.iter().all(|answer| answer.outcome == "done")
}

fn is_used(harness: &Harness, upstream: &PlainService) -> bool {
    is_used_by(harness, ENTRIES[0], upstream)
}

fn is_used_by(harness: &Harness, entry: &str, upstream: &PlainService) -> bool {
    let before = upstream.arrivals().len();
    send_to(harness, entry, Duration::from_millis(200));
    upstream.arrivals().len() > before
}

// Guards against requests that are sent on to an upstream that has turned one away and asked to be
// left alone for some time, and against one that is lost after it.
#[test]
fn an_upstream_that_asks_for_a_delay_gets_nothing_until_it_is_over() {
    let (harness, second) = start_with_two();
    second.ask_for_delay(Some("5"));
    second.set_rejects(true);
    let answers = send_for(&harness, DELAY);
    assert!(all_done(&answers), "{answers:?}");
    let arrivals = second.arrivals();
    let first = *arrivals.first().expect("a request");
    let is_within = |at: &&Instant| **at > first + ON_THEIR_WAY && **at < first + DELAY;
    let within = arrivals.iter().filter(is_within).count();
    assert!(within <= MAX_WITHIN_DELAY, "{within} requests within the delay asked for");
    second.set_rejects(false);
    assert!(wait_until(TIMEOUT, || is_used(&harness, &second)), "the upstream is lost");
}

// Guards against callers that wait while every upstream of their service has asked to be left
// alone: each is refused at once with the time left.
#[test]
fn callers_are_refused_at_once_while_every_upstream_asks_for_a_delay() {
    let harness = start(&["north"], 2, &EngineConfig::default()).with_documents();
    let upstream = &harness.plain_services[0];
    upstream.ask_for_delay(Some("5"));
    upstream.set_rejects(true);
    send_for(&harness, Duration::from_millis(1));
    let first = *upstream.arrivals().first().expect("a request");
    let address = harness.fleet.entry("entry-north-1");
    for no in 0..6 {
        let asked = Instant::now();
        let key = format!("deposit-{no}");
        let answer =
            Caller::new(&token("birch")).post(address, "/orders/deposits", "5", Some(&key));
        assert_eq!((answer.code, answer.outcome.as_str()), (3009, "not-run"), "{answer:?}");
        assert!(asked.elapsed() < Duration::from_millis(600), "held for {:?}", asked.elapsed());
        let left = DELAY.saturating_sub(first.elapsed()).as_secs_f64();
        let retry_after = answer.retry_after.expect("when to come back") as f64;
        assert!(retry_after + 0.1 >= left && retry_after <= left + 1.5, "{retry_after} of {left}");
        thread::sleep(Duration::from_millis(300));
    }
    upstream.set_rejects(false);
    let is_served = || {
        let answer =
            Caller::new(&token("birch")).post(address, "/orders/deposits", "5", Some("deposit-0"));
        answer.outcome == "done"
    };
    assert!(wait_until(TIMEOUT, is_served), "the service is lost after the delay");
    assert_eq!(upstream.runs_of("deposit-0"), 1);
}

// Guards against requests that are sent to an upstream after it has said that it is shutting down,
// while the platform's list still shows it as ready, by an entry that knows the dispatcher and by
// one that is cut off and uses its static share.
#[test]
fn an_upstream_that_says_that_it_leaves_gets_nothing_more_also_without_a_dispatcher() {
    for is_cut_off in [false, true] {
        let entry = entry_with_second();
        let entry = entry.as_str();
        let (harness, second) = start_with(&[THIRD]);
        assert!(wait_until(TIMEOUT, || is_used_by(&harness, entry, &second)));
        if is_cut_off {
            harness.fleet.isolate(entry, true);
            assert!(wait_until(TIMEOUT, || has_static_share(&harness, entry)));
        }
        second.set_leaves(true);
        assert!(wait_until(TIMEOUT, || is_used_by(&harness, entry, &second)));
        thread::sleep(ON_THEIR_WAY);
        let told = second.arrivals().len();
        let answers = send_to(&harness, entry, Duration::from_secs(6));
        assert!(answers.iter().any(|answer| answer.outcome == "done"), "nothing is served");
        let later = second.arrivals().len() - told;
        assert_eq!(later, 0, "cut off: {is_cut_off}: requests after it said that it leaves");
    }
}

/// Returns whether an entry says that it uses its static share of the plain service.
fn has_static_share(harness: &Harness, entry: &str) -> bool {
    let log = harness.fleet.log(entry);
    let mut fallbacks = log.lines().filter(|line| {
        line.contains(r#""decision":"fallback""#) && line.contains(r#""service":"orders""#)
    });
    fallbacks.next_back().is_some_and(|line| line.contains(r#""active":true"#))
}

// Guards against an upstream that is lost, or a request, by a delay that is no number, negative or
// absurdly long. Each is logged with its code.
#[test]
fn a_delay_that_is_not_valid_is_logged_and_loses_nothing() {
    let (harness, second) = start_with_two();
    for value in ["soon", "-5", "1e99"] {
        second.ask_for_delay(Some(value));
        second.set_rejects(true);
        let answers = send_for(&harness, Duration::from_millis(1_500));
        assert!(all_done(&answers), "{value}: {answers:?}");
        second.set_rejects(false);
        assert!(wait_until(TIMEOUT, || is_used(&harness, &second)), "{value}: it is lost");
        let log = harness.fleet.log("entry-north-0");
        let is_logged = |line: &str| line.contains("4004") && line.contains(value);
        assert!(log.lines().any(is_logged), "{value}: not logged");
    }
}
