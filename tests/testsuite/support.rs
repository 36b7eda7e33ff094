//! Test harness: starts fleets of real processes with fake upstreams, and generates load.

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

/// Upper bound on each wait in a test, far above the expected time, so that a test does not fail
/// because the host is slow.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the command that starts the daemon under test.
pub(crate) fn daemon() -> Program {
    Program::daemon(env!("CARGO_BIN_EXE_kingcupd"))
}

/// Returns the command that starts the daemon with a file size limit of `blocks` blocks.
///
/// The limit simulates a full disk: a write beyond it fails in the same way.
pub(crate) fn daemon_with_full_disk(blocks: u32) -> Program {
    let daemon = env!("CARGO_BIN_EXE_kingcupd");
    let limited = format!("trap '' XFSZ; ulimit -f {blocks}; exec {daemon} \"$@\"");
    Program {
        path: "/bin/sh".into(),
        run: vec!["-c".to_owned(), limited, "sh".to_owned()],
        init: Vec::new(),
    }
}

pub(crate) fn prompt(id: &str, organisation: &str, tokens: u64) -> Prompt {
    Prompt { id: id.to_owned(), organisation: organisation.to_owned(), tokens }
}

/// Returns the document of the engine service, with the organisations `alder` and `birch`.
pub(crate) fn tutor_document() -> String {
    let rest = "slots: {cold: 2, warm: 4}\nlimits: {deadline_ms: 20000, silence_ms: 1500}\n";
    document("tutor", "model-engine", &[("alder", 1), ("birch", 1)], rest)
}

/// Returns the document of a plain service whose deposits must not be executed more than once.
pub(crate) fn orders_document() -> String {
    let rest = "never_repeat:\n  - {method: POST, path: /deposits}\n\
                slots: {cold: 8, warm: 8}\nlimits: {deadline_ms: 8000, silence_ms: 6000}\n";
    document("orders", "plain-service", &[("alder", 1), ("birch", 1)], rest)
}

/// A running fleet with a fake platform, and an engine and a plain service in each failure
/// domain.
pub(crate) struct Harness {
    pub(crate) platform: Platform,
    pub(crate) engines: Vec<Engine>,
    pub(crate) plain_services: Vec<PlainService>,
    pub(crate) fleet: Fleet,
}

/// Starts a harness with `entries` entries and one control instance in each failure domain.
pub(crate) fn start(domains: &[&str], entries: usize, engine: &EngineConfig) -> Harness {
    start_named(domains, entries, engine, |domain| format!("engine-{domain}"))
}

/// Returns the name of an engine that static sharing assigns to `owner`, one of `entries`.
pub(crate) fn engine_owned_by(owner: &str, entries: &[String]) -> String {
    let instances: Vec<Instance> = entries.iter().map(|i| i.as_str().into()).collect();
    let owners = |name: &str| static_shares([UpstreamName::from(name)], &instances);
    let mut names = (0..).map(|n| format!("engine-{n}"));
    let name = names.find(|name| owners(name).values().all(|assigned| assigned.as_str() == owner));
    name.expect("a name for each owner")
}

/// Like [`start`], with engine names derived from the failure domain by `engine_name`.
pub(crate) fn start_named(
    domains: &[&str],
    entries: usize,
    engine: &EngineConfig,
    engine_name: impl Fn(&str) -> String,
) -> Harness {
    let platform = Platform::start(Duration::from_millis(200));
    let (mut engines, mut plain_services, mut plans) = (Vec::new(), Vec::new(), Vec::new());
    for domain in domains {
        let fake = Engine::start(engine.clone());
        let name = engine_name(domain);
        platform.add(&name, "tutor", domain, fake.address(), FakeUpstream::Engine(fake.clone()));
        engines.push(fake);
        let plain = PlainService::start(Duration::from_millis(20));
        let name = format!("orders-{domain}");
        platform.add(&name, "orders", domain, plain.address(), FakeUpstream::Plain(plain.clone()));
        plain_services.push(plain);
        for n in 0..entries {
            plans.push(InstancePlan::entry(&format!("entry-{domain}-{n}"), domain));
        }
        plans.push(InstancePlan::control(&format!("control-{domain}"), domain));
    }
    let fleet = Fleet::start(daemon(), &plans, &platform, false).expect("a running fleet");
    Harness { platform, engines, plain_services, fleet }
}

impl Harness {
    /// Applies both documents and waits until each service has a dispatcher.
    pub(crate) fn with_documents(self) -> Harness {
        self.fleet.apply("tutor", 0, &tutor_document()).expect("the tutor document applied");
        self.fleet.apply("orders", 0, &orders_document()).expect("the orders document applied");
        self.fleet.wait_for_dispatchers("tutor").expect("a dispatcher for tutor");
        self.fleet.wait_for_dispatchers("orders").expect("a dispatcher for orders");
        self
    }
}

/// Generates closed-loop load: each caller sends its next request when the previous one has ended.
pub(crate) struct LoadGenerator {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Vec<(Prompt, Response)>>>,
}

impl LoadGenerator {
    /// Starts `callers` threads that request answers of `tokens` tokens from `entry` on behalf of
    /// `organisation`.
    pub(crate) fn start(
        name: &str,
        entry: SocketAddr,
        organisation: &str,
        callers: usize,
        tokens: u64,
    ) -> LoadGenerator {
        let mut generator =
            LoadGenerator { stop: Arc::default(), completed: Arc::default(), threads: Vec::new() };
        for n in 0..callers {
            let caller = Caller::new(&token(organisation));
            let (stop, completed) = (generator.stop.clone(), generator.completed.clone());
            let (name, organisation) = (name.to_owned(), organisation.to_owned());
            let call = move || {
                let mut answers = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("{name}-{n}-{}", answers.len());
                    let asked = prompt(&id, &organisation, tokens);
                    let answer = caller.prompt(entry, "tutor", &asked);
                    if answer.is_complete_for(&asked) {
                        completed.fetch_add(1, Ordering::SeqCst);
                    } else {
                        std::thread::sleep(Duration::from_millis(50));
                    }
                    answers.push((asked, answer));
                }
                answers
            };
            generator.threads.push(std::thread::spawn(call));
        }
        generator
    }

    /// Returns the number of complete answers received so far.
    pub(crate) fn completed(&self) -> usize {
        self.completed.load(Ordering::SeqCst)
    }

    /// Waits for `more` complete answers; returns false if they do not arrive in time.
    pub(crate) fn wait_for(&self, more: usize) -> bool {
        let target = self.completed() + more;
        wait_until(TIMEOUT, || self.completed() >= target)
    }

    /// Lets the requests in flight finish, and returns all prompts with their answers.
    pub(crate) fn finish(self) -> Vec<(Prompt, Response)> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a caller")).collect()
    }
}

/// Checks that each answer is either complete or recognisable as incomplete: refused, ended with
/// an error event, or cut off by a closed connection.
///
/// # Panics
///
/// Panics on the first answer that is neither, and on one with events of another request.
pub(crate) fn check_answers(answers: &[(Prompt, Response)]) {
    for (asked, answer) in answers {
        assert!(!answer.contains_other_prompt(asked), "crossed: {answer:?}");
        let is_refused = answer.outcome == "not-run" || answer.outcome == "unknown";
        let is_marked = answer.body.contains("event: error");
        let is_cut_off = !answer.is_complete;
        assert!(
            answer.is_complete_for(asked) || is_refused || is_marked || is_cut_off,
            "truncated: {answer:?}"
        );
    }
}
