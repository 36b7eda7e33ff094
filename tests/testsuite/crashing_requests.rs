//! One request that ends each engine that begins it, tried again and again by its caller, in a fleet
//! of daemons.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use kingcup_support::{
    caller::{Caller, Response},
    engine::{Engine, EngineConfig},
    fleet::token,
    platform::FakeUpstream,
    wait_until,
};
use kingcupgrade::core::Code;

use crate::support::{Harness, TIMEOUT, prompt, start};

const ENGINES: usize = 14;
/// The id of the request that ends engines.
const FATAL: &str = "fatal";
/// The tries of its caller, and the time between two.
const TRIES: usize = 8;
const TRY_INTERVAL: Duration = Duration::from_millis(350);
/// The time from its begin to the end of the engine.
const CRASH_AFTER: Duration = Duration::from_millis(30);
/// Once three engines have ended under a request, all entries know it after this time.
const LEARNING_SPAN: Duration = Duration::from_millis(500);
const MAX_ENDED: usize = 5;
const TOKENS: u64 = 12;
/// How often engines are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(3);

struct World {
    harness: Harness,
    engines: Vec<Engine>,
}

impl World {
    /// Starts a fleet of two entries with warm engines.
    fn start() -> World {
        let config = EngineConfig::default();
        let harness = start(&["north"], 2, &config);
        let mut engines = vec![harness.engines[0].clone()];
        for number in 1..ENGINES {
            let (engine, name) = (Engine::start(config.clone()), format!("engine-{number}"));
            let fake = FakeUpstream::Engine(engine.clone());
            harness.platform.add(&name, "tutor", "north", engine.address(), fake);
            engines.push(engine);
        }
        engines.iter().for_each(Engine::warm_up);
        let world = World { harness: harness.with_documents(), engines };
        let is_used = |engine: &Engine| !engine.record().started.is_empty();
        let are_used = || {
            thread::scope(|scope| {
                (0..ENGINES).for_each(|number| {
                    let id = format!("warm-up-{number}");
                    scope.spawn(|| world.ask(world.entries()[0], id, 2));
                });
            });
            world.engines.iter().filter(|engine| is_used(engine)).count() >= ENGINES / 2
        };
        assert!(wait_until(TIMEOUT, are_used), "the engines are not used");
        world
    }

    fn entries(&self) -> [SocketAddr; 2] {
        ["entry-north-0", "entry-north-1"].map(|entry| self.harness.fleet.entry(entry))
    }

    fn ask(&self, entry: SocketAddr, id: String, tokens: u64) -> bool {
        let asked = prompt(&id, "alder", tokens);
        Caller::new(&token("alder")).prompt(entry, "tutor", &asked).is_complete_for(&asked)
    }

    /// Ends each engine some time after it has begun the fatal request; returns when that was begun,
    /// and when the engines ended.
    fn end_engines(&self, stop: &AtomicBool) -> (Vec<Instant>, Vec<Instant>) {
        let ended = Mutex::new(Vec::new());
        let began = |engine: &Engine| {
            let started = engine.record().started;
            started.into_iter().filter(|(id, _)| id == FATAL).map(|(_, at)| at).collect::<Vec<_>>()
        };
        let watch = |engine: &Engine| {
            while began(engine).is_empty() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                thread::sleep(WATCH_INTERVAL);
            }
            thread::sleep(CRASH_AFTER);
            engine.stop();
            ended.lock().expect("no thread panics").push(Instant::now());
        };
        thread::scope(|scope| {
            self.engines.iter().for_each(|engine| {
                scope.spawn(move || watch(engine));
            });
        });
        let mut begun: Vec<Instant> = self.engines.iter().flat_map(began).collect();
        let mut ended = ended.into_inner().expect("no thread panics");
        begun.sort();
        ended.sort();
        (begun, ended)
    }
}

/// Guards against a request that ends engine after engine, since its caller's next try, at another
/// entry, is taken for another request.
#[test]
fn a_request_that_ends_engines_is_contained() {
    let world = World::start();
    let stop = AtomicBool::new(false);
    let (answers, (begun, ended)) = thread::scope(|scope| {
        let ends = scope.spawn(|| world.end_engines(&stop));
        let tries = (0..TRIES).map(|number| {
            let entry = world.entries()[number % 2];
            let caller = Caller::new(&token("alder"));
            let answer = caller.prompt(entry, "tutor", &prompt(FATAL, "alder", TOKENS));
            thread::sleep(TRY_INTERVAL);
            answer
        });
        let answers: Vec<Response> = tries.collect();
        stop.store(true, Ordering::SeqCst);
        (answers, ends.join().expect("the watcher"))
    });
    let third = *ended.get(2).expect("three engines that ended");
    let late = begun.iter().filter(|at| **at > third + LEARNING_SPAN).count();
    let codes: Vec<u16> = answers.iter().map(|answer| answer.code).collect();
    let found = format!("{} engines ended, {late} begun late, codes {codes:?}", ended.len());
    assert!(late == 0 && ended.len() <= MAX_ENDED, "{found}");
    let last = answers.last().expect("an answer");
    assert_eq!(last.code, Code::RequestBarred.number(), "{found}");
    assert!(last.outcome == "unknown" && last.retry_after.is_some(), "{last:?}");
    let whole = (0..20).filter(|n| world.ask(world.entries()[n % 2], format!("after-{n}"), 4));
    assert_eq!(whole.count(), 20, "of 20 sound ones afterwards; {found}");
}
