//! Orders to engines: carried out once, by one instance at a time, and at no caller's expense.

use std::{net::SocketAddr, thread, time::Duration};

use kingcup_support::{
    caller::Caller,
    engine::{Engine, EngineConfig, FIRST_MODEL},
    fleet::token,
    platform::FakeUpstream,
    wait_until,
};
use kingcupgrade::{
    coordination::orders::{
        EngineRequest, EngineResponse, EngineState, OrderOutput, OrderReconciler,
    },
    core::{Code, Millis, UpstreamName},
    ops,
    protocol::{
        order::{EngineSetup, ORDER_PATH, OrderRequest, Setup, SetupChange, UpstreamOrder},
        record::Command,
    },
};

use crate::support::{
    Harness, LoadGenerator, TIMEOUT, check_answers, engine_owned_by, prompt, start, start_named,
};

fn load(model: &str) -> SetupChange {
    SetupChange::Load(model.to_owned())
}

fn entries(world: &Harness) -> Vec<String> {
    world.fleet.entries().into_iter().map(|(instance, _)| instance).collect()
}

fn is_settled(world: &Harness, instances: &[String], upstream: &str, number: u64) -> bool {
    let stage = world.fleet.order_stage(instances, upstream);
    stage.is_some_and(|(known, stage)| known == number && stage == "as ordered")
}

/// Adds another engine to the pool.
fn add_engine(world: &Harness) -> Engine {
    let other = Engine::start(EngineConfig::default());
    let upstream = FakeUpstream::Engine(other.clone());
    world.platform.add("engine-other", "tutor", "north", other.address(), upstream);
    other
}

// An operator brings a new model to a pool while callers are served. Nobody's answer is cut, the
// engine changes when it runs nothing, and it comes back as the cold engine it is.
#[test]
fn a_model_is_loaded_under_load_at_nobodys_expense() {
    let world = start(&["north"], 2, &EngineConfig::default()).with_documents();
    let other = add_engine(&world);
    let crowd = LoadGenerator::start("kept", world.fleet.entry("entry-north-0"), "alder", 6, 10);
    assert!(crowd.wait_for(20));
    let number = world.fleet.order("engine-north", load("second")).expect("an order");
    let settled = || is_settled(&world, &entries(&world), "engine-north", number);
    assert!(wait_until(TIMEOUT, settled), "the order is not carried out");
    let begun = world.engines[0].record().started.len();
    let works_again = || world.engines[0].record().started.len() > begun;
    assert!(wait_until(TIMEOUT, works_again), "the changed engine gets no requests");
    let answers = crowd.finish();
    assert!(answers.iter().all(|(asked, answer)| answer.is_complete_for(asked)));
    assert_eq!(world.engines[0].setup().model, "second");
    assert_eq!(other.setup().model, FIRST_MODEL);
    let record = world.engines[0].record();
    assert_eq!((record.orders_while_busy, record.crashes, record.refused_over_limit), (0, 0, 0));
    assert!(
        record.applied_orders.iter().all(|(known, _)| *known == number),
        "{:?}",
        record.applied_orders
    );
}

fn order_directly(engine: SocketAddr, number: u64, model: &str) -> u16 {
    let order = OrderRequest { number, model: Some(model.to_owned()), role: None, drained: None };
    let body = serde_json::to_string(&order).expect("plain data");
    Caller::new("").post(engine, ORDER_PATH, &body, None).status
}

// An order of an earlier dispatcher was held up in the network and arrives after a later one. An
// engine that checks fencing numbers refuses it. One that ignores them would serve the wrong model
// for good; it is found by reading it back and ordered anew.
#[test]
fn an_order_that_arrives_late_does_not_last() {
    for checks_fencing in [true, false] {
        let engine = EngineConfig { checks_fencing, ..EngineConfig::default() };
        let world = start(&["north"], 1, &engine).with_documents();
        let instances = entries(&world);
        let first = world.fleet.order("engine-north", load("second")).expect("an order");
        assert!(wait_until(TIMEOUT, || is_settled(&world, &instances, "engine-north", first)));
        let second = world.fleet.order("engine-north", load("third")).expect("an order");
        assert!(wait_until(TIMEOUT, || is_settled(&world, &instances, "engine-north", second)));
        let status = order_directly(world.engines[0].address(), first, "second");
        assert_eq!(status, if checks_fencing { 409 } else { 202 });
        let is_right = || {
            let setup = world.engines[0].setup();
            setup.model == "third" && setup.ready
        };
        assert!(wait_until(TIMEOUT, is_right), "the late order lasts");
        let outdated = world.engines[0].record().outdated_orders;
        assert_eq!(outdated, if checks_fencing { vec![first] } else { vec![] });
        let asked = prompt("after", "alder", 3);
        let caller = Caller::new(&token("alder"));
        let entry = world.fleet.entry("entry-north-0");
        let served = || caller.prompt(entry, "tutor", &asked).is_complete_for(&asked);
        assert!(wait_until(TIMEOUT, served));
    }
}

// The dispatcher is frozen while it waits for an engine to finish, with an order in its hands, and
// wakes after its successor has carried out a newer one. It must not send the old order then.
#[test]
fn a_thawed_dispatcher_sends_no_old_order() {
    let world = start(&["north"], 3, &EngineConfig::default()).with_documents();
    let dispatcher = world.fleet.dispatcher_of("tutor", "north").expect("a dispatcher");
    let others: Vec<String> = entries(&world).into_iter().filter(|i| *i != dispatcher).collect();
    // A long answer keeps the engine from being changed.
    let entry = world.fleet.entry(&others[0]);
    let long = thread::spawn(move || {
        let asked = prompt("long", "alder", 400);
        Caller::new(&token("alder")).prompt(entry, "tutor", &asked).is_complete_for(&asked)
    });
    assert!(wait_until(TIMEOUT, || world.engines[0].running() == 1));
    let first = world.fleet.order("engine-north", load("second")).expect("an order");
    let waits = || {
        let stage = world.fleet.order_stage(std::slice::from_ref(&dispatcher), "engine-north");
        stage.is_some_and(|(number, stage)| number == first && stage == "finishing its requests")
    };
    assert!(wait_until(TIMEOUT, waits), "the order does not wait");
    world.fleet.signal(&dispatcher, "STOP");
    let change = ops::fresh_change_id().expect("a change id");
    let command = Command::Order { change, upstream: "engine-north".into(), setup: load("third") };
    world.fleet.client().change(command).expect("an order");
    let is_third = || {
        let setup = world.engines[0].setup();
        setup.model == "third" && setup.ready
    };
    assert!(wait_until(TIMEOUT, is_third), "the successor does not carry out the order");
    world.fleet.signal(&dispatcher, "CONT");
    let thawed = || world.fleet.status(&dispatcher).is_ok_and(|s| s.fresh && s.pools.is_empty());
    assert!(wait_until(TIMEOUT, thawed), "the thawed entry still dispatches");
    assert!(long.join().expect("a caller"), "the long answer is cut");
    let record = world.engines[0].record();
    let numbers: Vec<u64> = record.applied_orders.iter().map(|(number, _)| *number).collect();
    assert!(numbers.is_sorted() && numbers.iter().all(|number| *number > first), "{numbers:?}");
    assert_eq!(record.orders_while_busy, 0);
}

// Guards against an order that waits for as long as an entry is frozen, since that entry might be
// using the engine by static share, though the engine reports that it runs nothing.
#[test]
fn an_order_is_carried_out_beside_a_frozen_owner() {
    let names: Vec<String> = (0..3).map(|n| format!("entry-north-{n}")).collect();
    for owner in &names {
        let engine = engine_owned_by(owner, &names);
        let config = EngineConfig::default();
        let world = start_named(&["north"], 3, &config, |_| engine.clone()).with_documents();
        world.fleet.signal(owner, "STOP");
        let change = ops::fresh_change_id().expect("a change id");
        let upstream = engine.as_str().into();
        let order = Command::Order { change, upstream, setup: load("second") };
        world.fleet.client().change(order).expect("an order");
        let is_second = || {
            let setup = world.engines[0].setup();
            setup.model == "second" && setup.ready
        };
        assert!(wait_until(TIMEOUT, is_second), "{owner} is frozen and holds the order up");
        world.fleet.signal(owner, "CONT");
        assert_eq!(world.engines[0].record().orders_while_busy, 0);
    }
}

// The dispatcher dies while the only engine of its pool loads. Its successor knows nothing of the
// order but what the record and the engine say, and must bring the engine back to work.
#[test]
fn an_order_survives_the_dispatcher_that_gave_it() {
    let engine =
        EngineConfig { load_time: Duration::from_millis(3_500), ..EngineConfig::default() };
    let mut world = start(&["north"], 3, &engine).with_documents();
    let dispatcher = world.fleet.dispatcher_of("tutor", "north").expect("a dispatcher");
    let others: Vec<String> = entries(&world).into_iter().filter(|i| *i != dispatcher).collect();
    let crowd = LoadGenerator::start("kept", world.fleet.entry(&others[0]), "alder", 3, 10);
    assert!(crowd.wait_for(5));
    let number = world.fleet.order("engine-north", load("second")).expect("an order");
    let is_loading = || !world.engines[0].setup().ready;
    assert!(wait_until(TIMEOUT, is_loading), "the order is not given");
    world.fleet.kill(&dispatcher);
    assert!(wait_until(TIMEOUT, || is_settled(&world, &others, "engine-north", number)));
    assert!(crowd.wait_for(10), "the engine does not work again");
    check_answers(&crowd.finish());
    let record = world.engines[0].record();
    assert_eq!((record.orders_while_busy, record.crashes), (0, 0));
    assert_eq!(world.engines[0].setup().model, "second");
}

// An operator drains an engine for repair: it finishes what it runs, gets nothing new, and works
// again when the order is taken back.
#[test]
fn a_drained_engine_rests_until_it_is_ordered_back() {
    let world = start(&["north"], 1, &EngineConfig::default()).with_documents();
    add_engine(&world);
    let crowd = LoadGenerator::start("kept", world.fleet.entry("entry-north-0"), "alder", 4, 10);
    assert!(crowd.wait_for(10));
    world.fleet.order("engine-north", SetupChange::Drained(true)).expect("an order");
    let rests = || world.engines[0].setup().drained && world.engines[0].running() == 0;
    assert!(wait_until(TIMEOUT, rests), "it is not drained");
    let begun = world.engines[0].record().started.len();
    assert!(crowd.wait_for(20), "the other engine does not serve");
    assert_eq!(world.engines[0].record().started.len(), begun);
    world.fleet.order("engine-north", SetupChange::Drained(false)).expect("an order");
    let works = || world.engines[0].record().started.len() > begun;
    assert!(wait_until(TIMEOUT, works), "it does not work again");
    let answers = crowd.finish();
    assert!(answers.iter().all(|(asked, answer)| answer.is_complete_for(asked)));
}

// A slip in an order must not reach an engine, which might take it for a model's name.
#[test]
fn a_wrong_order_is_refused_with_a_number() {
    let world = start(&["north"], 1, &EngineConfig::default()).with_documents();
    for model in ["", "two words", &"x".repeat(300)] {
        let err = world.fleet.order("engine-north", load(model)).expect_err("a refused order");
        assert_eq!(ops::coded_error(&err).map(|err| err.code), Some(Code::OrderInvalid), "{err:#}");
    }
    let status = world.fleet.status("entry-north-0").expect("a status");
    assert!(status.orders.is_empty());
}

/// A reconciler that was asked to load `model`s on engines a and b, driven directly.
struct Drive {
    reconciler: OrderReconciler,
    orders: Vec<UpstreamOrder>,
    is_idle: bool,
}

impl Drive {
    fn new() -> Drive {
        let order = |name: &str, index| UpstreamOrder {
            upstream: name.into(),
            setup: Setup { model: Some("second".to_owned()), ..Setup::default() },
            index,
        };
        Drive {
            reconciler: OrderReconciler::new(Millis(0), "tutor".into(), 1),
            orders: vec![order("a", 5), order("b", 6)],
            is_idle: true,
        }
    }

    fn tick(&mut self, now: u64, lease_left: u64) -> Vec<EngineRequest> {
        asks(self.tick_all(now, lease_left))
    }

    fn tick_all(&mut self, now: u64, lease_left: u64) -> Vec<OrderOutput> {
        let address = "127.0.0.1:1".parse().expect("an address");
        let engines =
            self.orders.iter().map(|order| EngineState { order, address, is_idle: self.is_idle });
        let mut out = Vec::new();
        self.reconciler.tick(Millis(now), Millis(now + lease_left), engines, &mut out);
        out
    }

    fn answer(&mut self, now: u64, ask: &EngineRequest, answer: EngineResponse) {
        self.reconciler.on_response(Millis(now), &ask.id, answer, &mut Vec::new());
    }

    fn held(&self) -> Vec<UpstreamName> {
        self.reconciler.held().cloned().collect()
    }
}

fn asks(out: Vec<OrderOutput>) -> Vec<EngineRequest> {
    let asks = out.into_iter().filter_map(|output| match output {
        OrderOutput::Request(ask) => Some(ask),
        _ => None,
    });
    asks.collect()
}

fn holding(model: &str, ready: bool) -> EngineResponse {
    let (model, role) = (model.to_owned(), "mixed".to_owned());
    EngineResponse::Setup(EngineSetup { model, role, drained: false, ready })
}

// Two engines of a pool are ordered at once. Were both emptied together, a model that can't be
// loaded would take the whole pool with it.
#[test]
fn one_engine_of_a_pool_changes_at_a_time() {
    let mut drive = Drive::new();
    for ask in drive.tick(0, 1_800) {
        assert!(ask.order.is_none(), "ordered before it was read");
        drive.answer(1, &ask, holding("first", true));
    }
    assert!(drive.tick(100, 1_800).is_empty(), "ordered while an earlier order may be under way");
    drive.tick(2_100, 1_800);
    assert_eq!(drive.held(), [UpstreamName::from("a")]);
    let ordered = drive.tick(2_125, 1_800);
    assert_eq!(ordered.len(), 1);
    assert_eq!(ordered[0].order.as_ref().map(|order| order.index), Some(5));
    drive.answer(2_130, &ordered[0], EngineResponse::Accepted);
    let read = drive.tick(2_150, 1_800);
    drive.answer(2_160, &read[0], holding("second", false));
    assert_eq!(drive.held(), [UpstreamName::from("a")]);
    let read = drive.tick(2_500, 1_800);
    drive.answer(2_510, &read[0], holding("second", true));
    assert!(drive.held().is_empty());
    drive.tick(2_525, 1_800);
    assert_eq!(drive.held(), [UpstreamName::from("b")]);
}

// The order to drain one engine is withdrawn in the moment another's turn comes: as many engines
// are held as before, and not the same ones. Unless that is told, the second goes on getting
// requests under load, never runs empty, and its order waits for good.
#[test]
fn a_change_of_the_held_engines_is_told_though_their_number_stays() {
    let mut drive = Drive::new();
    drive.orders[0].setup = Setup { drained: Some(true), ..Setup::default() };
    for ask in drive.tick(0, 1_800) {
        // The first is drained as ordered, the second is to load a model.
        let mut setup = holding("first", true);
        if let EngineResponse::Setup(told) = &mut setup {
            told.drained = ask.id.upstream.as_str() == "a";
        }
        drive.answer(1, &ask, setup);
    }
    drive.tick(25, 1_800);
    assert_eq!(drive.held(), [UpstreamName::from("a")]);
    drive.orders.remove(0);
    let out = drive.tick_all(2_100, 1_800);
    assert_eq!(drive.held(), [UpstreamName::from("b")]);
    assert!(out.iter().any(|output| matches!(output, OrderOutput::HeldChanged)), "{out:?}");
}

// A lease is about to run out. An order sent now could reach the engine when the next holder has
// begun to order; so it waits for the renewal. An engine that still runs something is not ordered.
#[test]
fn an_order_is_sent_within_the_lease_and_to_an_idle_engine_only() {
    let mut drive = Drive::new();
    for ask in drive.tick(0, 1_800) {
        drive.answer(1, &ask, holding("first", true));
    }
    drive.tick(2_100, 1_800);
    assert!(drive.tick(2_125, 900).is_empty(), "ordered with too little of the lease left");
    drive.is_idle = false;
    assert!(drive.tick(2_150, 1_800).is_empty(), "ordered while it runs requests");
    drive.is_idle = true;
    assert_eq!(drive.tick(2_175, 1_800).len(), 1);
}

// An answer to an earlier question comes late, as when its thread stood still. It speaks of a time
// before the order, and "as wanted" then would set an engine free that loads now.
#[test]
fn a_late_answer_says_nothing_about_a_newer_order() {
    let mut drive = Drive::new();
    let early = drive.tick(0, 1_800);
    drive.orders[0].index = 9;
    drive.orders[0].setup.model = Some("third".to_owned());
    let again = drive.tick(25, 1_800);
    assert_eq!(again.len(), 1);
    drive.answer(30, &early[0], holding("second", true));
    let stage = |drive: &Drive| {
        let mut stages = drive.reconciler.stages();
        stages.find(|(name, ..)| name.as_str() == "a").map(|(_, number, stage)| (number, stage))
    };
    assert_eq!(stage(&drive), Some((9, "not read yet".to_owned())));
    drive.answer(40, &again[0], holding("third", true));
    assert_eq!(stage(&drive), Some((9, "as ordered".to_owned())));
}
