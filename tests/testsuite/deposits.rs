//! Requests that must not repeat: each runs at most once, and `not-run` is reported only for
//! requests that did not run.

use std::{thread, time::Duration};

use kingcup_support::{
    caller::{Caller, Response},
    engine::EngineConfig,
    fleet::{Fleet, InstancePlan, document, token},
    plain_service::PlainService,
    platform::{FakeUpstream, Platform},
    proxy::Proxy,
    wait_until,
};
use kingcupgrade::core::settings::Role;

use crate::support::{Harness, TIMEOUT, daemon, daemon_with_full_disk, orders_document, start};

fn deposit(harness: &Harness, entry: &str, key: &str, body: &str) -> Response {
    let address = harness.fleet.entry(entry);
    Caller::new(&token("alder")).post(address, "/orders/deposits", body, Some(key))
}

fn runs(harness: &Harness, key: &str) -> u32 {
    harness.plain_services.iter().map(|plain| plain.runs_of(key)).sum()
}

/// Starts a fleet whose plain service is reachable only through a fault-injecting proxy.
fn start_behind_proxy(entries: usize) -> (Harness, Proxy) {
    let harness = start(&["north"], entries, &EngineConfig::default());
    let proxy = Proxy::start(harness.plain_services[0].address());
    let plain = FakeUpstream::Plain(harness.plain_services[0].clone());
    harness.platform.add("orders-behind", "orders", "north", proxy.address(), plain);
    harness.platform.leave("orders-north");
    let harness = harness.with_documents();
    // Until the platform's list shows the upstream at its direct address as leaving.
    thread::sleep(Duration::from_secs(1));
    (harness, proxy)
}

/// Sends a deposit from a background thread, so that its entry can be killed in the meantime.
fn spawn_deposit(
    harness: &Harness,
    entry: &str,
    key: &'static str,
) -> thread::JoinHandle<Response> {
    let address = harness.fleet.entry(entry);
    thread::spawn(move || {
        Caller::new(&token("alder")).post(address, "/orders/deposits", "50", Some(key))
    })
}

// Guards against a deposit that is charged twice because a caller sends it again, through another
// entry. The repeated request gets the first answer, or "in progress" until that answer is in the
// record. A different amount under the same key is refused, and so is a deposit without a key.
#[test]
fn a_repeated_deposit_gets_the_first_answer() {
    let harness = start(&["north"], 3, &EngineConfig::default()).with_documents();
    let first = deposit(&harness, "entry-north-0", "k1", "50");
    let mut second = deposit(&harness, "entry-north-1", "k1", "50");
    wait_until(TIMEOUT, || {
        let is_recorded = second.code != 2008;
        if !is_recorded {
            second = deposit(&harness, "entry-north-1", "k1", "50");
        }
        is_recorded
    });
    let other = deposit(&harness, "entry-north-1", "k1", "60");
    let address = harness.fleet.entry("entry-north-0");
    let without = Caller::new(&token("alder")).post(address, "/orders/deposits", "50", None);
    assert_eq!((first.code, first.outcome.as_str()), (1000, "done"));
    assert_eq!((second.code, second.outcome.as_str()), (1001, "done"));
    assert_eq!(first.body, second.body);
    assert_eq!((other.code, without.code), (2007, 2006));
    assert_eq!(runs(&harness, "k1"), 1);
}

// Guards against a deposit that can't be retried after its entry crashed while the deposit was
// queued for a slot. Its key was not claimed and nothing was sent, so the retry through another
// entry runs it, once.
#[test]
fn a_deposit_lost_before_its_claim_runs_on_the_retry() {
    let mut harness = start(&["north"], 3, &EngineConfig::default()).with_documents();
    let rest = "never_repeat:\n  - {method: POST, path: /deposits}\n\
                slots: {cold: 1, warm: 1}\nlimits: {deadline_ms: 20000, silence_ms: 9000}\n";
    let single_slot = document("orders", "plain-service", &[("alder", 1)], rest);
    harness.fleet.apply("orders", 1, &single_slot).expect("the document with one slot applied");
    harness.plain_services[0].set_delay(Duration::from_secs(4));
    let first = spawn_deposit(&harness, "entry-north-0", "running");
    assert!(wait_until(TIMEOUT, || runs(&harness, "running") == 1));
    let second = spawn_deposit(&harness, "entry-north-1", "waiting");
    let queued = || harness.fleet.status("entry-north-1").is_ok_and(|s| s.open_requests == 1);
    assert!(wait_until(TIMEOUT, queued));
    harness.fleet.kill("entry-north-1");
    let lost = second.join().expect("a caller");
    assert_eq!(lost.status, 0);
    assert_eq!(first.join().expect("a caller").outcome, "done");
    let retried = deposit(&harness, "entry-north-0", "waiting", "50");
    assert_eq!(retried.outcome, "done", "{retried:?}");
    assert_eq!((runs(&harness, "running"), runs(&harness, "waiting")), (1, 1));
}

// Guards against a wrong outcome after an entry crashed between claiming a key and the arrival of
// the request at the service. No other instance can know whether the request ran, so a retry is
// answered `unknown`, never `not-run`, and does not run the request.
#[test]
fn a_deposit_lost_after_its_claim_is_not_run_again() {
    let (mut harness, proxy) = start_behind_proxy(3);
    proxy.cut(true);
    let lost = spawn_deposit(&harness, "entry-north-0", "claimed");
    let claimed = || {
        let status = harness.fleet.status("control-north");
        status.is_ok_and(|s| s.control.is_some_and(|control| control.keys == 1))
    };
    assert!(wait_until(TIMEOUT, claimed));
    harness.fleet.kill("entry-north-0");
    assert_eq!(lost.join().expect("a caller").status, 0);
    let retried = deposit(&harness, "entry-north-1", "claimed", "50");
    assert_eq!(retried.outcome, "unknown", "{retried:?}");
    assert_eq!(retried.code, 2008, "{retried:?}");
    proxy.close_open_connections();
    proxy.cut(false);
    assert!(runs(&harness, "claimed") <= 1);
}

// Guards against a deposit charged twice because its entry crashed after the service had begun to
// process it: a retry through another entry must not run it again, and is answered `unknown`.
#[test]
fn a_deposit_lost_after_it_was_sent_runs_once() {
    let mut harness = start(&["north"], 3, &EngineConfig::default()).with_documents();
    harness.plain_services[0].set_delay(Duration::from_secs(3));
    let lost = spawn_deposit(&harness, "entry-north-0", "sent");
    assert!(wait_until(TIMEOUT, || runs(&harness, "sent") == 1));
    harness.fleet.kill("entry-north-0");
    assert_eq!(lost.join().expect("a caller").status, 0);
    for _ in 0..3 {
        let retried = deposit(&harness, "entry-north-1", "sent", "50");
        assert_eq!(retried.outcome, "unknown", "{retried:?}");
    }
    assert_eq!(runs(&harness, "sent"), 1);
}

// Guards against an automatic retry of a deposit whose connection broke after the service had run
// it. The entry can't tell whether it ran: it answers `unknown` and does not retry.
#[test]
fn a_deposit_whose_answer_breaks_off_is_unknown_and_not_retried() {
    let (harness, proxy) = start_behind_proxy(1);
    harness.plain_services[0].set_delay(Duration::from_secs(3));
    let broken = spawn_deposit(&harness, "entry-north-0", "broken");
    assert!(wait_until(TIMEOUT, || runs(&harness, "broken") == 1));
    proxy.close_open_connections();
    let answer = broken.join().expect("a caller");
    assert_eq!((answer.code, answer.outcome.as_str()), (4002, "unknown"), "{answer:?}");
    let retried = deposit(&harness, "entry-north-0", "broken", "50");
    assert_eq!((retried.code, retried.outcome.as_str()), (2009, "unknown"), "{retried:?}");
    assert_eq!(runs(&harness, "broken"), 1);
}

// Guards against a deposit that runs without a claim, or is lost for good, while two of three
// control instances are down. Without a quorum no key can be claimed: the deposit is refused with
// the outcome `not-run`, and runs under the same key once the quorum is restored.
#[test]
fn without_a_quorum_a_deposit_is_refused_as_not_run() {
    let mut harness =
        start(&["north", "south", "west"], 1, &EngineConfig::default()).with_documents();
    harness.fleet.kill("control-south");
    harness.fleet.kill("control-west");
    let refused = deposit(&harness, "entry-north-0", "later", "50");
    assert_eq!((refused.code, refused.outcome.as_str()), (3005, "not-run"), "{refused:?}");
    assert_eq!(runs(&harness, "later"), 0);
    harness.fleet.start_instance("control-south").expect("a started control instance");
    let mut last = None;
    let done = wait_until(TIMEOUT, || {
        let answer = deposit(&harness, "entry-north-0", "later", "50");
        let is_done = answer.outcome == "done";
        last = Some(answer);
        is_done
    });
    assert!(done, "{last:?}");
    assert_eq!(runs(&harness, "later"), 1);
}

// Guards against a deposit that is sent although its claim could not be written: after a restart
// there is no trace of it, and its retry would charge the customer twice. A single instance has
// both roles, and its disk fills up while deposits are processed.
#[test]
fn a_deposit_whose_claim_can_not_be_written_is_not_sent() {
    // Several limits, so that some are reached while writing a claim and some while writing its
    // completion.
    let threads = [40, 41, 42, 43].map(|blocks| thread::spawn(move || fill_disk(blocks)));
    for thread in threads {
        thread.join().expect("each deposit runs at most once");
    }
}

fn fill_disk(blocks: u32) {
    let platform = Platform::start(Duration::ZERO);
    let plain = PlainService::start(Duration::ZERO);
    platform.add("orders", "orders", "north", plain.address(), FakeUpstream::Plain(plain.clone()));
    let roles = vec![Role::Entry, Role::Control];
    let plan = InstancePlan { instance: "all".to_owned(), domain: "north".to_owned(), roles };
    let mut fleet = Fleet::prepare(daemon(), &[plan], &platform, false).expect("a prepared fleet");
    fleet.start_instance_with("all", &daemon_with_full_disk(blocks)).expect("a started instance");
    assert!(wait_until(TIMEOUT, || fleet.leader().is_some()));
    fleet.apply("orders", 0, &orders_document()).expect("the document applied");
    fleet.wait_for_dispatchers("orders").expect("a dispatcher");
    let failed = |fleet: &Fleet| {
        let control = fleet.status("all").ok().and_then(|status| status.control);
        control.is_some_and(|control| control.failure.is_some())
    };
    let caller = Caller::new(&token("alder"));
    let entry = fleet.entry("all");
    let deposit = |key: &str| caller.post(entry, "/orders/deposits", "50", Some(key));
    let mut keys = Vec::new();
    while !failed(&fleet) && keys.len() < 2_000 {
        let key = format!("key-{}", keys.len());
        let answer = deposit(&key);
        let runs = plain.runs_of(&key);
        assert!(answer.outcome != "not-run" || runs == 0, "{key} ran: {answer:?}");
        assert!(answer.outcome != "done" || runs == 1, "{key} did not run: {answer:?}");
        keys.push(key);
    }
    assert!(failed(&fleet), "the file size limit was never reached");
    fleet.kill("all");
    fleet.start_instance("all").expect("a started instance without a file size limit");
    fleet.wait_for_dispatchers("orders").expect("a dispatcher");
    for key in keys.iter().rev().take(3) {
        deposit(key);
        assert!(plain.runs_of(key) <= 1, "{key} ran twice");
    }
}
