//! Fleets for tests.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

pub(crate) use kingcup_support::settings::fleet_settings;
use kingcup_support::{
    caller::{Caller, Response},
    engine::{Engine, EngineConfig, Prompt},
    fleet::{Fleet, InstancePlan, Program, document, token},
    plain_service::PlainService,
    platform::{FakeUpstream, Platform},
    wait_until,
};
use kingcupgrade::{
    core::{Instance, UpstreamName},
    util::rendezvous::static_shares,
};

/// The patience of tests: far beyond what is expected, so that a busy machine fails none.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// Returns how to start the daemon under test.
pub(crate) fn daemon() -> Program {
    Program::daemon(env!("CARGO_BIN_EXE_kingcupd"))
}

/// Returns how to start the daemon with a limit of so many blocks on the size of its files.
///
/// It stands for a full disk; a write beyond it fails the same way.
pub(crate) fn daemon_with_full_disk(blocks: u32) -> Program {
    let daemon = env!("CARGO_BIN_EXE_kingcupd");
    let limited = format!("trap '' XFSZ; ulimit -f {blocks}; exec {daemon} \"$@\"");
    Program {
        path: "/bin/sh".into(),
        run: vec!["-c".to_owned(), limited, "sh".to_owned()],
        init: Vec::new(),
    }
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
    pub(crate) plains: Vec<PlainService>,
    pub(crate) fleet: Fleet,
}

/// Starts a world with `entries` entries and one control instance in each failure domain.
pub(crate) fn start(domains: &[&str], entries: usize, engine: &EngineConfig) -> World {
    start_named(domains, entries, engine, |domain| format!("engine-{domain}"))
}

/// Returns an engine's name that `owner`, one of `entries`, serves by static share.
pub(crate) fn engine_owned_by(owner: &str, entries: &[String]) -> String {
    let residents: Vec<Instance> = entries.iter().map(|i| i.as_str().into()).collect();
    let owners = |name: &str| static_shares([UpstreamName::from(name)], &residents);
    let mut names = (0..).map(|n| format!("engine-{n}"));
    let name = names.find(|name| owners(name).values().all(|known| known.as_str() == owner));
    name.expect("a name for each owner")
}

/// The same, with engines' names by failure domain.
pub(crate) fn start_named(
    domains: &[&str],
    entries: usize,
    engine: &EngineConfig,
    engine_name: impl Fn(&str) -> String,
) -> World {
    let platform = Platform::start(Duration::from_millis(200));
    let (mut engines, mut plains, mut plans) = (Vec::new(), Vec::new(), Vec::new());
    for domain in domains {
        let stand_in = Engine::start(engine.clone());
        let name = engine_name(domain);
        platform.add(
            &name,
            "tutor",
            domain,
            stand_in.address(),
            FakeUpstream::Engine(stand_in.clone()),
        );
        engines.push(stand_in);
        let plain = PlainService::start(Duration::from_millis(20));
        let name = format!("orders-{domain}");
        platform.add(&name, "orders", domain, plain.address(), FakeUpstream::Plain(plain.clone()));
        plains.push(plain);
        for n in 0..entries {
            plans.push(InstancePlan::entry(&format!("entry-{domain}-{n}"), domain));
        }
        plans.push(InstancePlan::control(&format!("control-{domain}"), domain));
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

/// Callers that ask one after the other until they are told to stop.
pub(crate) struct Crowd {
    stop: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Vec<(Prompt, Response)>>>,
}

impl Crowd {
    /// Lets `callers` callers of `organisation` ask `entry` for answers of `tokens` tokens.
    pub(crate) fn start(
        name: &str,
        entry: SocketAddr,
        organisation: &str,
        callers: usize,
        tokens: u64,
    ) -> Crowd {
        let mut crowd = Crowd { stop: Arc::default(), done: Arc::default(), threads: Vec::new() };
        for n in 0..callers {
            let caller = Caller::new(&token(organisation));
            let (stop, done) = (crowd.stop.clone(), crowd.done.clone());
            let (name, organisation) = (name.to_owned(), organisation.to_owned());
            let call = move || {
                let mut answers = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("{name}-{n}-{}", answers.len());
                    let asked = prompt(&id, &organisation, tokens);
                    let answer = caller.prompt(entry, "tutor", &asked);
                    if answer.is_complete_for(&asked) {
                        done.fetch_add(1, Ordering::SeqCst);
                    } else {
                        std::thread::sleep(Duration::from_millis(50));
                    }
                    answers.push((asked, answer));
                }
                answers
            };
            crowd.threads.push(std::thread::spawn(call));
        }
        crowd
    }

    /// Returns how many whole answers came so far.
    pub(crate) fn done(&self) -> usize {
        self.done.load(Ordering::SeqCst)
    }

    /// Waits for `more` whole answers; returns false if they do not come.
    pub(crate) fn wait_for(&self, more: usize) -> bool {
        let goal = self.done() + more;
        wait_until(PATIENCE, || self.done() >= goal)
    }

    /// Lets the callers finish and returns all they asked and got.
    pub(crate) fn finish(self) -> Vec<(Prompt, Response)> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a caller")).collect()
    }
}

/// Checks that each answer is whole, or says plainly that it is not.
///
/// # Panics
///
/// Panics at the first one that does neither.
pub(crate) fn check_answers(answers: &[(Prompt, Response)]) {
    for (asked, answer) in answers {
        assert!(!answer.contains_other_prompt(asked), "crossed: {answer:?}");
        let is_refused = answer.outcome == "not-run" || answer.outcome == "unknown";
        let is_marked = answer.body.contains("event: error");
        let is_gone = !answer.is_complete;
        assert!(
            answer.is_complete_for(asked) || is_refused || is_marked || is_gone,
            "cut: {answer:?}"
        );
    }
}
