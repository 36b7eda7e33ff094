//! Fleets for tests.

use std::time::Duration;

use kingcup_support::{
    engine::{Engine, EngineConfig, Prompt},
    fleet::{Fleet, Plan, Program, document},
    plain::Plain,
    platform::{Backend, Platform},
};

/// The patience of tests: far beyond what is expected, so that a busy machine fails none.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// Returns how to start the daemon under test.
pub(crate) fn daemon() -> Program {
    Program::daemon(env!("CARGO_BIN_EXE_kingcupd"))
}

/// Makes a prompt.
pub(crate) fn prompt(id: &str, organisation: &str, tokens: u64) -> Prompt {
    Prompt { id: id.to_owned(), organisation: organisation.to_owned(), tokens }
}

/// The document of the engines' service, with organisations `alder` and `birch`.
pub(crate) fn tutor_document() -> String {
    let rest = "slots: {cold: 2, warm: 4}\nlimits: {deadline_ms: 20000, silence_ms: 1500}\n";
    document("tutor", "model-engine", &[("alder", 1), ("birch", 1)], rest)
}

/// The document of a plain service whose deposits must not repeat.
pub(crate) fn orders_document() -> String {
    let rest = "never_repeat:\n  - {method: POST, path: /deposits}\n\
                slots: {cold: 8, warm: 8}\nlimits: {deadline_ms: 8000, silence_ms: 6000}\n";
    document("orders", "plain-service", &[("alder", 1), ("birch", 1)], rest)
}

/// A small world: a platform, engines and a plain service in each failure domain, and a fleet.
pub(crate) struct World {
    pub(crate) platform: Platform,
    pub(crate) engines: Vec<Engine>,
    pub(crate) plains: Vec<Plain>,
    pub(crate) fleet: Fleet,
}

/// Starts a world with `entries` entries and one control instance in each failure domain.
pub(crate) fn start(domains: &[&str], entries: usize, engine: &EngineConfig) -> World {
    let platform = Platform::start(Duration::from_millis(200));
    let (mut engines, mut plains, mut plans) = (Vec::new(), Vec::new(), Vec::new());
    for domain in domains {
        let stand_in = Engine::start(engine.clone());
        let name = format!("engine-{domain}");
        platform.add(&name, "tutor", domain, stand_in.address(), Backend::Engine(stand_in.clone()));
        engines.push(stand_in);
        let plain = Plain::start(Duration::from_millis(20));
        let name = format!("orders-{domain}");
        platform.add(&name, "orders", domain, plain.address(), Backend::Plain(plain.clone()));
        plains.push(plain);
        for n in 0..entries {
            plans.push(Plan::entry(&format!("entry-{domain}-{n}"), domain));
        }
        plans.push(Plan::control(&format!("control-{domain}"), domain));
    }
    let fleet = Fleet::start(daemon(), &plans, &platform, false).expect("a running fleet");
    World { platform, engines, plains, fleet }
}

impl World {
    /// Puts both documents in force and waits for the dispatchers.
    pub(crate) fn with_documents(self) -> World {
        self.fleet.apply("tutor", 0, &tutor_document()).expect("the tutor's document in force");
        self.fleet.apply("orders", 0, &orders_document()).expect("the orders' document in force");
        self.fleet.wait_for_dispatchers("tutor").expect("dispatchers of the tutor");
        self.fleet.wait_for_dispatchers("orders").expect("dispatchers of the orders");
        self
    }
}
