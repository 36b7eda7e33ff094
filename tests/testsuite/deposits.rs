//! What must not be repeated runs at most once, and "not run" is always true.

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

use crate::support::{PATIENCE, World, daemon, daemon_with_full_disk, orders_document, start};

fn deposit(world: &World, entry: &str, key: &str, body: &str) -> Response {
    let address = world.fleet.entry(entry);
    Caller::new(&token("alder")).post(address, "/orders/deposits", body, Some(key))
}

fn runs(world: &World, key: &str) -> u32 {
    world.plains.iter().map(|plain| plain.runs_of(key)).sum()
}

/// Starts a world whose plain service is reached over a proxy only.
fn start_behind_proxy(entries: usize) -> (World, Proxy) {
    let world = start(&["north"], entries, &EngineConfig::default());
    let behind = Proxy::start(world.plains[0].address());
    let plain = FakeUpstream::Plain(world.plains[0].clone());
    world.platform.add("orders-behind", "orders", "north", behind.address(), plain);
    world.platform.leave("orders-north");
    let world = world.with_documents();
    // For the platform's list to show the direct way as leaving.
    thread::sleep(Duration::from_secs(1));
    (world, behind)
}

/// Sends a deposit in the background, to be cut off with its entry.
fn deposit_later(world: &World, entry: &str, key: &'static str) -> thread::JoinHandle<Response> {
    let address = world.fleet.entry(entry);
    thread::spawn(move || {
        Caller::new(&token("alder")).post(address, "/orders/deposits", "50", Some(key))
    })
}

// A bride's browser sends the deposit twice, through two entries. The second gets the first
// answer, or "in progress" for the moment until that answer is in the record; another amount under the same key is refused, and so is a deposit without a key.
#[test]
fn a_repeated_deposit_gets_the_first_answer() {
    let world = start(&["north"], 3, &EngineConfig::default()).with_documents();
    let first = deposit(&world, "entry-north-0", "k1", "50");
    let mut second = deposit(&world, "entry-north-1", "k1", "50");
    wait_until(PATIENCE, || {
        let is_recorded = second.code != 2008;
        if !is_recorded {
            second = deposit(&world, "entry-north-1", "k1", "50");
        }
        is_recorded
    });
    let other = deposit(&world, "entry-north-1", "k1", "60");
    let address = world.fleet.entry("entry-north-0");
    let without = Caller::new(&token("alder")).post(address, "/orders/deposits", "50", None);
    assert_eq!((first.code, first.outcome.as_str()), (1000, "done"));
    assert_eq!((second.code, second.outcome.as_str()), (1001, "done"));
    assert_eq!(first.body, second.body);
    assert_eq!((other.code, without.code), (2007, 2006));
    assert_eq!(runs(&world, "k1"), 1);
}

// The entry dies while the deposit still waits for a slot. Nothing was claimed or sent, so the
// retry through another entry runs it, once.
#[test]
fn a_deposit_lost_before_its_claim_runs_on_the_retry() {
    let mut world = start(&["north"], 3, &EngineConfig::default()).with_documents();
    let rest = "never_repeat:\n  - {method: POST, path: /deposits}\n\
                slots: {cold: 1, warm: 1}\nlimits: {deadline_ms: 20000, silence_ms: 9000}\n";
    let narrow = document("orders", "plain-service", &[("alder", 1)], rest);
    world.fleet.apply("orders", 1, &narrow).expect("a single slot in force");
    world.plains[0].set_delay(Duration::from_secs(4));
    let first = deposit_later(&world, "entry-north-0", "running");
    assert!(wait_until(PATIENCE, || runs(&world, "running") == 1));
    let second = deposit_later(&world, "entry-north-1", "waiting");
    let queued = || world.fleet.status("entry-north-1").is_ok_and(|s| s.open_requests == 1);
    assert!(wait_until(PATIENCE, queued));
    world.fleet.kill("entry-north-1");
    let lost = second.join().expect("a caller");
    assert_eq!(lost.status, 0);
    assert_eq!(first.join().expect("a caller").outcome, "done");
    let retried = deposit(&world, "entry-north-0", "waiting", "50");
    assert_eq!(retried.outcome, "done", "{retried:?}");
    assert_eq!((runs(&world, "running"), runs(&world, "waiting")), (1, 1));
}

// The entry dies after it claimed the key and before the service got the request. Nobody can know
// that it did not run, so it is never called "not run", and never run either.
#[test]
fn a_deposit_lost_after_its_claim_is_not_run_again() {
    let (mut world, behind) = start_behind_proxy(3);
    behind.cut(true);
    let lost = deposit_later(&world, "entry-north-0", "claimed");
    let claimed = || {
        let status = world.fleet.status("control-north");
        status.is_ok_and(|s| s.control.is_some_and(|control| control.keys == 1))
    };
    assert!(wait_until(PATIENCE, claimed));
    world.fleet.kill("entry-north-0");
    assert_eq!(lost.join().expect("a caller").status, 0);
    let retried = deposit(&world, "entry-north-1", "claimed", "50");
    assert_eq!(retried.outcome, "unknown", "{retried:?}");
    assert_eq!(retried.code, 2008, "{retried:?}");
    behind.close_open_connections();
    behind.cut(false);
    assert!(runs(&world, "claimed") <= 1);
}

// The entry dies after the service began the deposit. The retry through another entry must not
// charge it a second time, whatever it answers.
#[test]
fn a_deposit_lost_after_it_was_sent_runs_once() {
    let mut world = start(&["north"], 3, &EngineConfig::default()).with_documents();
    world.plains[0].set_delay(Duration::from_secs(3));
    let lost = deposit_later(&world, "entry-north-0", "sent");
    assert!(wait_until(PATIENCE, || runs(&world, "sent") == 1));
    world.fleet.kill("entry-north-0");
    assert_eq!(lost.join().expect("a caller").status, 0);
    for _ in 0..3 {
        let retried = deposit(&world, "entry-north-1", "sent", "50");
        assert_eq!(retried.outcome, "unknown", "{retried:?}");
    }
    assert_eq!(runs(&world, "sent"), 1);
}

// The service breaks off after it has run the deposit. The entry can't know, says so, and does not
// try again by itself.
#[test]
fn a_deposit_whose_answer_breaks_off_is_unknown_and_not_retried() {
    let (world, behind) = start_behind_proxy(1);
    world.plains[0].set_delay(Duration::from_secs(3));
    let broken = deposit_later(&world, "entry-north-0", "broken");
    assert!(wait_until(PATIENCE, || runs(&world, "broken") == 1));
    behind.close_open_connections();
    let answer = broken.join().expect("a caller");
    assert_eq!((answer.code, answer.outcome.as_str()), (4002, "unknown"), "{answer:?}");
    let retried = deposit(&world, "entry-north-0", "broken", "50");
    assert_eq!((retried.code, retried.outcome.as_str()), (2009, "unknown"), "{retried:?}");
    assert_eq!(runs(&world, "broken"), 1);
}

// Two of three control instances are gone, and no key can be claimed. The deposit is refused as
// not run, and it runs under the same key when the record is back.
#[test]
fn without_a_quorum_a_deposit_is_refused_as_not_run() {
    let mut world =
        start(&["north", "south", "west"], 1, &EngineConfig::default()).with_documents();
    world.fleet.kill("control-south");
    world.fleet.kill("control-west");
    let refused = deposit(&world, "entry-north-0", "later", "50");
    assert_eq!((refused.code, refused.outcome.as_str()), (3005, "not-run"), "{refused:?}");
    assert_eq!(runs(&world, "later"), 0);
    world.fleet.start_instance("control-south").expect("a started control instance");
    let mut last = None;
    let done = wait_until(PATIENCE, || {
        let answer = deposit(&world, "entry-north-0", "later", "50");
        let is_done = answer.outcome == "done";
        last = Some(answer);
        is_done
    });
    assert!(done, "{last:?}");
    assert_eq!(runs(&world, "later"), 1);
}

// A single instance is entry and record at once, and its disk fills up in the middle of deposits.
// A deposit whose claim could not be written must not be sent: after a restart nobody would know
// of it, and its retry would charge the bride a second time.
#[test]
fn a_deposit_whose_claim_can_not_be_written_is_not_sent() {
    // Limits of which some are reached by a claim and some by its end.
    let runs = [40, 41, 42, 43].map(|blocks| thread::spawn(move || fill_disk(blocks)));
    for run in runs {
        run.join().expect("each deposit runs at most once");
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
    assert!(wait_until(PATIENCE, || fleet.leader().is_some()));
    fleet.apply("orders", 0, &orders_document()).expect("the document in force");
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
    assert!(failed(&fleet), "the disk never filled up");
    fleet.kill("all");
    fleet.start_instance("all").expect("a started instance on a larger disk");
    fleet.wait_for_dispatchers("orders").expect("a dispatcher");
    for key in keys.iter().rev().take(3) {
        deposit(key);
        assert!(plain.runs_of(key) <= 1, "{key} ran twice");
    }
}
