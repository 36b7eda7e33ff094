//! Tests dispatchers, entries, connections and upstreams that fail under load.

use std::{thread, time::Duration};

use kingcup_support::{
    caller::Caller,
    engine::{Engine, EngineConfig},
    fleet::{document, token},
    platform::FakeUpstream,
    wait_until,
};
use kingcupgrade::{ops::fresh_change_id, protocol::record::Command};

use crate::support::{
    Harness, LoadGenerator, TIMEOUT, check_answers, engine_owned_by, prompt, start, start_named,
};

/// Returns the configuration of an engine that never warms up, so that its cold slot limit always
/// applies.
fn cold_engine() -> EngineConfig {
    EngineConfig { requests_until_warm: u32::MAX, ..EngineConfig::default() }
}

/// Longer than a new dispatcher takes to recover what an earlier one has granted.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// The memory of an instance under the load of these tests, in bytes, with room to spare.
const MAX_MEMORY: u64 = 256 << 20;
/// Longer than a lease takes to expire and to be won by another entry.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);

fn assert_cold_limit_held(world: &Harness) {
    for engine in &world.engines {
        let record = engine.record();
        assert_eq!(record.crashes, 0, "a cold engine crashed");
        assert!(
            record.max_running_while_cold <= 2,
            "{} requests ran concurrently",
            record.max_running_while_cold
        );
    }
}

/// Returns the dispatcher of a failure domain, and the domain's other entries.
fn dispatcher_and_others(world: &Harness, domain: &str) -> (String, Vec<String>) {
    let dispatcher = world.fleet.dispatcher_of("tutor", domain).expect("a dispatcher");
    let entries = world.fleet.entries().into_iter().map(|(instance, _)| instance);
    let others = entries.filter(|i| *i != dispatcher && i.contains(domain)).collect();
    (dispatcher, others)
}

// Guards against slots that are lost or granted twice when the dispatcher is killed while requests
// wait: callers would wait for good, or the cold engine would crash and fail all requests.
#[test]
fn a_killed_dispatcher_is_replaced_and_the_backlog_served() {
    let mut world = start(&["north"], 3, &cold_engine()).with_documents();
    let (dispatcher, others) = dispatcher_and_others(&world, "north");
    let callers = LoadGenerator::start("kept", world.fleet.entry(&others[0]), "alder", 5, 10);
    assert!(callers.wait_for(5));
    world.fleet.kill(&dispatcher);
    assert!(callers.wait_for(20), "the backlog is not served after the takeover");
    let answers = callers.finish();
    assert!(answers.iter().all(|(asked, answer)| answer.is_complete_for(asked)));
    assert_cold_limit_held(&world);
}

// Guards against a dispatcher that is suspended, as when its host is paused for maintenance, and
// that grants slots after resuming although its lease has passed to a successor.
#[test]
fn a_thawed_dispatcher_gives_no_slot_of_its_successor() {
    let world = start(&["north"], 3, &cold_engine()).with_documents();
    let (dispatcher, others) = dispatcher_and_others(&world, "north");
    let callers = LoadGenerator::start("kept", world.fleet.entry(&others[0]), "alder", 5, 10);
    assert!(callers.wait_for(5));
    world.fleet.signal(&dispatcher, "STOP");
    let replaced = wait_until(TIMEOUT, || {
        others.iter().any(|i| {
            let status = world.fleet.status(i);
            status.is_ok_and(|s| s.pools.iter().any(|p| p.service.as_str() == "tutor"))
        })
    });
    assert!(replaced, "no other entry takes over");
    assert!(callers.wait_for(10), "the successor does not serve");
    world.fleet.signal(&dispatcher, "CONT");
    let thawed = LoadGenerator::start("thawed", world.fleet.entry(&dispatcher), "birch", 2, 10);
    assert!(thawed.wait_for(5), "the thawed entry does not serve");
    assert!(callers.wait_for(10));
    check_answers(&callers.finish());
    check_answers(&thawed.finish());
    assert_cold_limit_held(&world);
}

// Guards against a frozen entry, dispatcher or not, that takes the engine it owns by static share
// out of service for its whole failure domain.
#[test]
fn a_frozen_entry_takes_no_engine_with_it() {
    let names: Vec<String> = (0..3).map(|n| format!("entry-north-{n}")).collect();
    for (n, owner) in names.iter().enumerate() {
        let engine = engine_owned_by(owner, &names);
        let world = start_named(&["north"], 3, &cold_engine(), |_| engine.clone()).with_documents();
        let other = &names[(n + 1) % 3];
        let callers = LoadGenerator::start("kept", world.fleet.entry(other), "alder", 5, 10);
        assert!(callers.wait_for(5));
        world.fleet.signal(owner, "STOP");
        thread::sleep(TAKEOVER_TIME);
        assert!(callers.wait_for(10), "no request is served while {owner} is frozen");
        world.fleet.signal(owner, "CONT");
        assert!(callers.wait_for(10));
        check_answers(&callers.finish());
        assert_cold_limit_held(&world);
    }
}

// Guards against an outage in either of two failure domains that are partitioned from each other,
// and against faults when the partition heals. Each side must serve its own callers with its own
// upstreams.
#[test]
fn a_failure_domain_that_is_cut_off_serves_and_rejoins() {
    let world = start(&["north", "south"], 2, &cold_engine()).with_documents();
    let north = LoadGenerator::start("north", world.fleet.entry("entry-north-0"), "alder", 4, 10);
    let south = LoadGenerator::start("south", world.fleet.entry("entry-south-0"), "birch", 4, 10);
    assert!(north.wait_for(5) && south.wait_for(5));
    world.fleet.partition_domain("south", true);
    // Long enough for both sides to detect the partition: leases, sessions and the configuration's
    // freshness have expired.
    thread::sleep(Duration::from_secs(5));
    assert!(north.wait_for(10), "the north does not serve");
    assert!(south.wait_for(10), "the south does not serve");
    world.fleet.partition_domain("south", false);
    let fresh = || world.fleet.status("entry-south-0").is_ok_and(|status| status.fresh);
    assert!(wait_until(TIMEOUT, fresh), "the south does not rejoin");
    assert!(north.wait_for(10) && south.wait_for(10));
    check_answers(&north.finish());
    check_answers(&south.finish());
    assert_cold_limit_held(&world);
}

// Guards against an entry that is killed under load and disturbs others' requests, or that does not
// serve again after a restart without state. Only the answers of its own callers may be lost.
#[test]
fn a_restarted_entry_serves_again_and_disturbs_nobody() {
    let mut world = start(&["north"], 3, &cold_engine()).with_documents();
    let (_, others) = dispatcher_and_others(&world, "north");
    let unaffected = LoadGenerator::start("kept", world.fleet.entry(&others[0]), "alder", 3, 10);
    let affected = LoadGenerator::start("lost", world.fleet.entry(&others[1]), "birch", 3, 10);
    assert!(unaffected.wait_for(5) && affected.wait_for(5));
    world.fleet.kill(&others[1]);
    assert!(unaffected.wait_for(10));
    world.fleet.start_instance(&others[1]).expect("a started entry");
    assert!(affected.wait_for(10), "the restarted entry does not serve");
    let answers = unaffected.finish();
    assert!(answers.iter().all(|(asked, answer)| answer.is_complete_for(asked)));
    check_answers(&affected.finish());
    assert_cold_limit_held(&world);
}

// Guards against callers who wait until their deadline at one entry while the same organisation's
// callers at the other entries are served.
#[test]
fn callers_of_one_organisation_are_served_at_every_entry() {
    let world = start(&["north"], 3, &cold_engine()).with_documents();
    let start =
        |entry: String| LoadGenerator::start(&entry, world.fleet.entry(&entry), "alder", 3, 10);
    let callers: Vec<LoadGenerator> =
        world.fleet.entries().into_iter().map(|(entry, _)| start(entry)).collect();
    let are_served = callers.iter().all(|callers| callers.wait_for(15));
    assert!(are_served, "an entry's callers are not served");
    let answers = callers.into_iter().flat_map(LoadGenerator::finish);
    let unserved = answers.filter(|(asked, answer)| !answer.is_complete_for(asked));
    assert_eq!(unserved.count(), 0);
    assert_cold_limit_held(&world);
}

// Guards against an organisation that floods one entry beyond its queue and delays others. It must
// be refused at once with a retry delay, and another organisation at the same entry must get every
// answer.
#[test]
fn a_flood_is_refused_at_once_and_costs_the_others_nothing() {
    let world = start(&["north"], 1, &cold_engine()).with_documents();
    let rest = "slots: {cold: 2, warm: 4}\nlimits: {queue_requests: 4, deadline_ms: 20000}\n";
    let small = document("tutor", "model-engine", &[("alder", 1), ("birch", 1)], rest);
    world.fleet.apply("tutor", 1, &small).expect("the smaller queue in force");
    let entry = world.fleet.entry("entry-north-0");
    let flood = LoadGenerator::start("flood", entry, "alder", 30, 10);
    assert!(flood.wait_for(5));
    let other = LoadGenerator::start("other", entry, "birch", 2, 10);
    assert!(other.wait_for(10), "the other organisation is not served");
    let answers = other.finish();
    assert!(answers.iter().all(|(asked, answer)| answer.is_complete_for(asked)));
    let answers = flood.finish();
    let refused: Vec<_> = answers.iter().filter(|(_, answer)| answer.code == 3001).collect();
    assert!(!refused.is_empty(), "no request is refused");
    for (_, answer) in refused {
        assert_eq!(answer.outcome, "not-run");
        assert!(answer.retry_after.is_some(), "a refusal without a retry delay");
    }
}

// Guards against overloading an engine that has lost its cache and is cold again while its load
// report still says warm. With its full warm load it would crash.
#[test]
fn a_warm_engine_gone_cold_without_notice_does_not_fall_over() {
    let engine = EngineConfig { warm_slots: 4, ..EngineConfig::default() };
    let world = start(&["north"], 2, &engine).with_documents();
    let callers = LoadGenerator::start("kept", world.fleet.entry("entry-north-0"), "alder", 8, 15);
    let warmed = || world.engines[0].is_warm() && world.engines[0].running() > 2;
    assert!(wait_until(TIMEOUT, warmed), "the engine is never given more than its cold limit");
    world.engines[0].turn_cold();
    assert!(callers.wait_for(20));
    check_answers(&callers.finish());
    assert_eq!(world.engines[0].record().crashes, 0);
}

// Guards against a cold engine that falls over because it stood still for a moment: entries give up
// on the requests that it still runs, and their slots must not be granted again at once.
#[test]
fn a_cold_engine_that_stands_still_gets_nothing_beyond_its_limit() {
    let world = start(&["north"], 2, &cold_engine()).with_documents();
    let engine = world.engines[0].clone();
    let callers = LoadGenerator::start("kept", world.fleet.entry("entry-north-0"), "alder", 5, 10);
    assert!(callers.wait_for(5));
    engine.pause();
    // Longer than an entry waits for the next event, 1.5 s, and than the pauses after its failures.
    thread::sleep(Duration::from_millis(5_000));
    engine.resume();
    assert!(callers.wait_for(10), "nothing is served after the engine has gone on");
    check_answers(&callers.finish());
    assert_cold_limit_held(&world);
}

// Guards against connections that stay open and carry nothing, as after a firewall has dropped
// their state, while new connections work. Demand reports and grants sent on them would be lost for
// good.
#[test]
fn connections_silent_for_good_are_replaced() {
    let world = start(&["north"], 3, &cold_engine()).with_documents();
    let (dispatcher, others) = dispatcher_and_others(&world, "north");
    let callers = LoadGenerator::start("kept", world.fleet.entry(&others[0]), "alder", 4, 10);
    assert!(callers.wait_for(5));
    for other in &others {
        world.fleet.link(other, &dispatcher).stall_open_connections();
        world.fleet.link(&dispatcher, other).stall_open_connections();
    }
    assert!(callers.wait_for(15), "nothing is served after the connections went silent");
    let replaced = || world.fleet.metrics(&others[0]).contains("kingcup_peer_connections_replaced");
    assert!(wait_until(TIMEOUT, replaced), "no connection was replaced");
    check_answers(&callers.finish());
    assert_cold_limit_held(&world);
}

// Guards against a pool without a dispatcher when the dispatcher is killed at the moment the
// connections among the other entries go silent. These connections must be replaced before a
// successor can be elected.
#[test]
fn a_dispatcher_killed_while_connections_are_silent_is_replaced() {
    let mut world = start(&["north"], 3, &cold_engine()).with_documents();
    let (dispatcher, others) = dispatcher_and_others(&world, "north");
    let callers = LoadGenerator::start("kept", world.fleet.entry(&others[0]), "alder", 4, 10);
    assert!(callers.wait_for(5));
    world.fleet.link(&others[0], &others[1]).stall_open_connections();
    world.fleet.link(&others[1], &others[0]).stall_open_connections();
    world.fleet.kill(&dispatcher);
    assert!(callers.wait_for(15), "the backlog is not served");
    check_answers(&callers.finish());
    assert_cold_limit_held(&world);
}

// Guards against a failure domain that stops serving when two of its three entries are lost and no
// majority can elect a dispatcher. The last entry must go on alone with the upstreams that it owns
// by static share, within their cold slot limit.
#[test]
fn the_last_entry_of_a_failure_domain_serves_its_static_share() {
    let mut world = start(&["north"], 3, &cold_engine());
    for n in 0..4 {
        let engine = Engine::start(cold_engine());
        let name = format!("engine-more-{n}");
        world.platform.add(
            &name,
            "tutor",
            "north",
            engine.address(),
            FakeUpstream::Engine(engine.clone()),
        );
        world.engines.push(engine);
    }
    let mut world = world.with_documents();
    let callers = LoadGenerator::start("kept", world.fleet.entry("entry-north-0"), "alder", 4, 10);
    assert!(callers.wait_for(5));
    world.fleet.kill("entry-north-1");
    world.fleet.kill("entry-north-2");
    let alone = || {
        let status = world.fleet.status("entry-north-0");
        status.is_ok_and(|s| {
            s.pools.iter().any(|p| p.service.as_str() == "tutor" && p.term.is_none())
        })
    };
    assert!(wait_until(TIMEOUT, alone), "the last entry does not start its static share");
    assert!(callers.wait_for(10), "the last entry does not serve");
    check_answers(&callers.finish());
    assert_cold_limit_held(&world);
}

// Guards against new requests at an engine that is marked as leaving before its replacement, and
// against cutting off the requests it still runs.
#[test]
fn a_leaving_upstream_gets_nothing_new_and_finishes_its_work() {
    let mut world = start(&["north"], 2, &EngineConfig::default());
    let second = Engine::start(EngineConfig::default());
    world.platform.add(
        "engine-2",
        "tutor",
        "north",
        second.address(),
        FakeUpstream::Engine(second.clone()),
    );
    world.engines.push(second);
    let world = world.with_documents();
    let callers = LoadGenerator::start("kept", world.fleet.entry("entry-north-0"), "alder", 6, 20);
    assert!(wait_until(TIMEOUT, || world.engines.iter().all(|e| e.record().started.len() > 5)));
    let change = fresh_change_id().expect("a change id");
    let leave = Command::SetLeaving { change, upstream: "engine-north".into(), leaving: true };
    world.fleet.client().change(leave).expect("an accepted change");
    // A leaving upstream gets no new requests after at most 3 s; the load continues meanwhile.
    thread::sleep(Duration::from_secs(3));
    let before = world.engines[0].record().started.len();
    assert!(callers.wait_for(20), "the other engine does not serve");
    assert_eq!(
        world.engines[0].record().started.len(),
        before,
        "a new request at a leaving engine"
    );
    let answers = callers.finish();
    assert!(answers.iter().all(|(asked, answer)| answer.is_complete_for(asked)));
}

// Guards against an entry of the platform's list that can't be read and hides all others: new
// engines would get no requests.
#[test]
fn an_entry_of_the_list_that_cannot_be_read_hides_no_engine() {
    let world = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let unreadable = [&br#"{"name":"Stra"#[..], b"\xdf", br#"e","address":"127.0.0.1:9"}"#];
    world.platform.add_foreign(unreadable.concat());
    world.platform.add_foreign(r#"{"name":"cut"#);
    let new = Engine::start(EngineConfig::default());
    world.platform.remove("engine-north");
    let listed = FakeUpstream::Engine(new.clone());
    world.platform.add("engine-2", "tutor", "north", new.address(), listed);
    let callers = LoadGenerator::start("new", world.fleet.entry("entry-north-0"), "alder", 2, 5);
    let is_served = || new.record().started.len() > 5;
    assert!(wait_until(TIMEOUT, is_served), "the new engine gets no requests");
    callers.finish();
}

// Guards against a load in an entry of another writer that is too large: the dispatcher would allocate
// a record for each of the requests that it claims are running, and end for want of memory.
#[test]
fn a_load_of_the_list_that_is_too_large_ends_no_process() {
    let world = start(&["north"], 1, &EngineConfig::default());
    // So many that the records of one take more memory than all else, and little enough to see it.
    let entry = |age_ms: u64| {
        format!(
            r#"{{"name":"odd-{age_ms}","address":"127.0.0.1:9","incarnation":18446744073709551615,
            "load":{{"running":20000000,"warm":true,"age_ms":{age_ms}}}}}"#
        )
    };
    world.platform.add_foreign(entry(u64::MAX));
    world.platform.add_foreign(entry(0));
    // What a new dispatcher reads in reports counts as granted by an earlier one.
    let world = world.with_documents();
    let callers = LoadGenerator::start("odd", world.fleet.entry("entry-north-0"), "alder", 2, 5);
    let before = callers.completed();
    assert!(callers.wait_for(before + 20), "nothing is served beside the odd entries");
    thread::sleep(RECOVERY_TIME);
    let usage = world.fleet.usage("entry-north-0").expect("the entry runs");
    callers.finish();
    assert!(usage.memory < MAX_MEMORY, "{} bytes", usage.memory);
}

// Guards against an answer that stays incomplete when the engine goes silent in the middle and the
// connection stays open. The entry must detect this and resume the answer where it stopped, and the
// caller must get the complete answer without repeated parts.
#[test]
fn an_answer_that_goes_silent_is_resumed_where_it_stopped() {
    let world = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let engine = world.engines[0].clone();
    engine.stall_after(5);
    let entry = world.fleet.entry("entry-north-0");
    let caller = thread::spawn(move || {
        let asked = prompt("quote", "alder", 12);
        let answer = Caller::new(&token("alder")).prompt(entry, "tutor", &asked);
        (asked, answer)
    });
    let silent = || engine.record().served.len() == 5;
    assert!(wait_until(TIMEOUT, silent), "the engine did not start to answer");
    assert!(
        wait_until(TIMEOUT, || engine.record().started.len() > 1),
        "the entry does not resume the answer"
    );
    engine.stall_after(0);
    let (asked, answer) = caller.join().expect("a caller");
    assert!(answer.is_complete_for(&asked), "{answer:?}");
}
