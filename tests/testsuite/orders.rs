//! Tests orders to engines: each is carried out by one instance at a time and without affecting
//! callers.

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

fn is_carried_out(world: &Harness, instances: &[String], upstream: &str, number: u64) -> bool {
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

// Guards against answers cut off when an operator loads a new model into an engine while callers
// are served. The engine must change only when idle, and must be treated as cold afterwards.
#[test]
fn a_model_is_loaded_under_load_at_nobodys_expense() {
    let world = start(&["north"], 2, &EngineConfig::default()).with_documents();
    let other = add_engine(&world);
    let callers = LoadGenerator::start("kept", world.fleet.entry("entry-north-0"), "alder", 6, 10);
    assert!(callers.wait_for(20));
    let number = world.fleet.order("engine-north", load("second")).expect("an order");
    let carried_out = || is_carried_out(&world, &entries(&world), "engine-north", number);
    assert!(wait_until(TIMEOUT, carried_out), "the order is not carried out");
    let started_before = world.engines[0].record().started.len();
    let serves_again = || world.engines[0].record().started.len() > started_before;
    assert!(wait_until(TIMEOUT, serves_again), "the changed engine gets no requests");
    let answers = callers.finish();
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

fn send_order_directly(engine: SocketAddr, number: u64, model: &str) -> u16 {
    let order = OrderRequest { number, model: Some(model.to_owned()), role: None, drained: None };
    let body = serde_json::to_string(&order).expect("plain data");
    Caller::new("").post(engine, ORDER_PATH, &body, None).status
}

// Guards against an earlier dispatcher's order that is delayed in the network and takes effect
// after a later one. An engine that checks fencing numbers refuses it. An engine that ignores them
// would serve the wrong model for good, so its setup must be read back and the later order sent
// again.
#[test]
fn an_order_that_arrives_late_does_not_last() {
    for checks_fencing in [true, false] {
        let engine = EngineConfig { checks_fencing, ..EngineConfig::default() };
        let world = start(&["north"], 1, &engine).with_documents();
        let instances = entries(&world);
        let first = world.fleet.order("engine-north", load("second")).expect("an order");
        assert!(wait_until(TIMEOUT, || is_carried_out(&world, &instances, "engine-north", first)));
        let second = world.fleet.order("engine-north", load("third")).expect("an order");
        assert!(wait_until(TIMEOUT, || is_carried_out(&world, &instances, "engine-north", second)));
        let status = send_order_directly(world.engines[0].address(), first, "second");
        assert_eq!(status, if checks_fencing { 409 } else { 202 });
        let has_third_model = || {
            let setup = world.engines[0].setup();
            setup.model == "third" && setup.ready
        };
        assert!(wait_until(TIMEOUT, has_third_model), "the delayed order remains in effect");
        let outdated = world.engines[0].record().outdated_orders;
        assert_eq!(outdated, if checks_fencing { vec![first] } else { vec![] });
        let asked = prompt("after", "alder", 3);
        let caller = Caller::new(&token("alder"));
        let entry = world.fleet.entry("entry-north-0");
        let served = || caller.prompt(entry, "tutor", &asked).is_complete_for(&asked);
        assert!(wait_until(TIMEOUT, served));
    }
}

// Guards against a dispatcher that is frozen while an order waits for an engine to become idle, and
// that sends this order once thawed although its successor has carried out a newer one.
#[test]
fn a_thawed_dispatcher_sends_no_old_order() {
    let world = start(&["north"], 3, &EngineConfig::default()).with_documents();
    let dispatcher = world.fleet.dispatcher_of("tutor", "north").expect("a dispatcher");
    let others: Vec<String> = entries(&world).into_iter().filter(|i| *i != dispatcher).collect();
    // A long answer keeps the engine busy, so that the order waits.
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
    assert!(wait_until(TIMEOUT, waits), "the order does not wait for the engine");
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
    assert!(long.join().expect("a caller"), "the long answer is cut off");
    let record = world.engines[0].record();
    let numbers: Vec<u64> = record.applied_orders.iter().map(|(number, _)| *number).collect();
    assert!(numbers.is_sorted() && numbers.iter().all(|number| *number > first), "{numbers:?}");
    assert_eq!(record.orders_while_busy, 0);
}

// Guards against an order that waits for as long as the engine's static-share owner is frozen. That
// entry might be using the engine, but the engine reports that it runs no requests.
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
        assert!(
            wait_until(TIMEOUT, is_second),
            "the order is not carried out while {owner} is frozen"
        );
        world.fleet.signal(owner, "CONT");
        assert_eq!(world.engines[0].record().orders_while_busy, 0);
    }
}

// Guards against an engine left out of service when the dispatcher is killed while the pool's only
// engine loads a model. The successor knows the order only from the record and the engine's setup,
// and must return the engine to service.
#[test]
fn an_order_survives_the_dispatcher_that_gave_it() {
    let engine =
        EngineConfig { load_time: Duration::from_millis(3_500), ..EngineConfig::default() };
    let mut world = start(&["north"], 3, &engine).with_documents();
    let dispatcher = world.fleet.dispatcher_of("tutor", "north").expect("a dispatcher");
    let others: Vec<String> = entries(&world).into_iter().filter(|i| *i != dispatcher).collect();
    let callers = LoadGenerator::start("kept", world.fleet.entry(&others[0]), "alder", 3, 10);
    assert!(callers.wait_for(5));
    let number = world.fleet.order("engine-north", load("second")).expect("an order");
    let is_loading = || !world.engines[0].setup().ready;
    assert!(wait_until(TIMEOUT, is_loading), "the order is not sent");
    world.fleet.kill(&dispatcher);
    assert!(wait_until(TIMEOUT, || is_carried_out(&world, &others, "engine-north", number)));
    assert!(callers.wait_for(10), "the engine does not serve again");
    check_answers(&callers.finish());
    let record = world.engines[0].record();
    assert_eq!((record.orders_while_busy, record.crashes), (0, 0));
    assert_eq!(world.engines[0].setup().model, "second");
}

// Guards against new requests at an engine that an operator has drained for repair, and against an
// engine that does not serve again once the drain order is reverted. A drained engine finishes the
// requests it runs.
#[test]
fn a_drained_engine_rests_until_it_is_ordered_back() {
    let world = start(&["north"], 1, &EngineConfig::default()).with_documents();
    add_engine(&world);
    let callers = LoadGenerator::start("kept", world.fleet.entry("entry-north-0"), "alder", 4, 10);
    assert!(callers.wait_for(10));
    world.fleet.order("engine-north", SetupChange::Drained(true)).expect("an order");
    let is_drained = || world.engines[0].setup().drained && world.engines[0].running() == 0;
    assert!(wait_until(TIMEOUT, is_drained), "the engine is not drained");
    let started_before = world.engines[0].record().started.len();
    assert!(callers.wait_for(20), "the other engine does not serve");
    assert_eq!(world.engines[0].record().started.len(), started_before);
    world.fleet.order("engine-north", SetupChange::Drained(false)).expect("an order");
    let serves_again = || world.engines[0].record().started.len() > started_before;
    assert!(wait_until(TIMEOUT, serves_again), "the engine does not serve again");
    let answers = callers.finish();
    assert!(answers.iter().all(|(asked, answer)| answer.is_complete_for(asked)));
}

// Guards against a mistyped order reaching an engine, which might take it for a model's name.
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

/// Drives a reconciler with orders to load the model `second` on engines `a` and `b`.
struct ReconcilerDriver {
    reconciler: OrderReconciler,
    orders: Vec<UpstreamOrder>,
    is_idle: bool,
    backs_off: bool,
}

impl ReconcilerDriver {
    fn new() -> ReconcilerDriver {
        let order = |name: &str, index| UpstreamOrder {
            upstream: name.into(),
            setup: Setup { model: Some("second".to_owned()), ..Setup::default() },
            index,
        };
        ReconcilerDriver {
            reconciler: OrderReconciler::new(Millis(0), "tutor".into(), 1),
            orders: vec![order("a", 5), order("b", 6)],
            is_idle: true,
            backs_off: false,
        }
    }

    fn tick(&mut self, now: u64, lease_left: u64) -> Vec<EngineRequest> {
        requests_in(self.tick_all(now, lease_left))
    }

    fn tick_all(&mut self, now: u64, lease_left: u64) -> Vec<OrderOutput> {
        let address = "127.0.0.1:1".parse().expect("an address");
        let (is_idle, backs_off) = (self.is_idle, self.backs_off);
        let orders = self.orders.iter();
        let engines = orders.map(|order| EngineState { order, address, is_idle, backs_off });
        let mut out = Vec::new();
        self.reconciler.tick(Millis(now), Millis(now + lease_left), engines, &mut out);
        out
    }

    fn answer(&mut self, now: u64, request: &EngineRequest, answer: EngineResponse) {
        self.reconciler.on_response(Millis(now), &request.id, answer, &mut Vec::new());
    }

    fn held(&self) -> Vec<UpstreamName> {
        self.reconciler.held().cloned().collect()
    }
}

fn requests_in(out: Vec<OrderOutput>) -> Vec<EngineRequest> {
    let requests = out.into_iter().filter_map(|output| match output {
        OrderOutput::Request(request) => Some(request),
        _ => None,
    });
    requests.collect()
}

fn setup_with_model(model: &str, ready: bool) -> EngineResponse {
    let (model, role) = (model.to_owned(), "mixed".to_owned());
    EngineResponse::Setup(EngineSetup { model, role, drained: false, ready })
}

// Guards against orders and questions about its set-up that are sent to an engine which has asked
// for no requests for some time.
#[test]
fn an_engine_that_backs_off_gets_no_orders() {
    let mut driver = ReconcilerDriver::new();
    driver.backs_off = true;
    for step in 0..200 {
        assert!(driver.tick(step * 25, 1_800).is_empty(), "sent after {} ms", step * 25);
    }
    driver.backs_off = false;
    assert_eq!(driver.tick(5_000, 1_800).len(), 2, "the engines are forgotten");
}

// Guards against changing two engines of a pool at the same time when both have orders: a model
// that can't be loaded would take the whole pool out of service.
#[test]
fn one_engine_of_a_pool_changes_at_a_time() {
    let mut driver = ReconcilerDriver::new();
    for request in driver.tick(0, 1_800) {
        assert!(request.order.is_none(), "an order was sent before the engine's setup was read");
        driver.answer(1, &request, setup_with_model("first", true));
    }
    assert!(
        driver.tick(100, 1_800).is_empty(),
        "an order was sent while an earlier one may be in transit"
    );
    driver.tick(2_100, 1_800);
    assert_eq!(driver.held(), [UpstreamName::from("a")]);
    let ordered = driver.tick(2_125, 1_800);
    assert_eq!(ordered.len(), 1);
    assert_eq!(ordered[0].order.as_ref().map(|order| order.index), Some(5));
    driver.answer(2_130, &ordered[0], EngineResponse::Accepted);
    let read = driver.tick(2_150, 1_800);
    driver.answer(2_160, &read[0], setup_with_model("second", false));
    assert_eq!(driver.held(), [UpstreamName::from("a")]);
    let read = driver.tick(2_500, 1_800);
    driver.answer(2_510, &read[0], setup_with_model("second", true));
    assert!(driver.held().is_empty());
    driver.tick(2_525, 1_800);
    assert_eq!(driver.held(), [UpstreamName::from("b")]);
}

// Guards against an order that waits for good because a change of the held engines is not
// reported. One engine's drain order is withdrawn at the moment another engine is due, so the
// number of held engines stays the same. Without the report the second engine keeps getting
// requests under load and never becomes idle.
#[test]
fn a_change_of_the_held_engines_is_told_though_their_number_stays() {
    let mut driver = ReconcilerDriver::new();
    driver.orders[0].setup = Setup { drained: Some(true), ..Setup::default() };
    for request in driver.tick(0, 1_800) {
        // The first engine is drained as ordered; the second is due to load a model.
        let mut setup = setup_with_model("first", true);
        if let EngineResponse::Setup(reported) = &mut setup {
            reported.drained = request.id.upstream.as_str() == "a";
        }
        driver.answer(1, &request, setup);
    }
    driver.tick(25, 1_800);
    assert_eq!(driver.held(), [UpstreamName::from("a")]);
    driver.orders.remove(0);
    let out = driver.tick_all(2_100, 1_800);
    assert_eq!(driver.held(), [UpstreamName::from("b")]);
    assert!(out.iter().any(|output| matches!(output, OrderOutput::HeldChanged)), "{out:?}");
}

// Guards against an order that is sent shortly before the lease expires and reaches the engine
// after the next holder has sent its own; it must wait for the renewal. Also guards against an
// order to an engine that still runs requests.
#[test]
fn an_order_is_sent_within_the_lease_and_to_an_idle_engine_only() {
    let mut driver = ReconcilerDriver::new();
    for request in driver.tick(0, 1_800) {
        driver.answer(1, &request, setup_with_model("first", true));
    }
    driver.tick(2_100, 1_800);
    assert!(
        driver.tick(2_125, 900).is_empty(),
        "an order was sent with too little of the lease left"
    );
    driver.is_idle = false;
    assert!(
        driver.tick(2_150, 1_800).is_empty(),
        "an order was sent while the engine runs requests"
    );
    driver.is_idle = true;
    assert_eq!(driver.tick(2_175, 1_800).len(), 1);
}

// Guards against a delayed response to an earlier request, as from a thread that was paused. It
// describes the engine's setup before the newer order; taken as confirmation of that order, it
// would release an engine that is still loading.
#[test]
fn a_late_answer_says_nothing_about_a_newer_order() {
    let mut driver = ReconcilerDriver::new();
    let delayed = driver.tick(0, 1_800);
    driver.orders[0].index = 9;
    driver.orders[0].setup.model = Some("third".to_owned());
    let second = driver.tick(25, 1_800);
    assert_eq!(second.len(), 1);
    driver.answer(30, &delayed[0], setup_with_model("second", true));
    let stage = |driver: &ReconcilerDriver| {
        let mut stages = driver.reconciler.stages();
        stages.find(|(name, ..)| name.as_str() == "a").map(|(_, number, stage)| (number, stage))
    };
    assert_eq!(stage(&driver), Some((9, "not read yet".to_owned())));
    driver.answer(40, &second[0], setup_with_model("third", true));
    assert_eq!(stage(&driver), Some((9, "as ordered".to_owned())));
}
