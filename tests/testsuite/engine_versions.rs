//! Answers while engines of two software versions serve side by side, in a fleet of daemons: what two
//! versions write doesn't fit together.

use std::{collections::BTreeSet, thread, time::Duration};

use kingcup_support::{
    caller::{Caller, Response},
    engine::{Engine, EngineConfig, Prompt},
    fleet::token,
    platform::FakeUpstream,
    wait_until,
};

use crate::support::{Harness, TIMEOUT, prompt, start};

/// The concurrent callers.
const CALLERS: usize = 6;
/// The events of an answer, some of which have been sent when an engine ends.
const TOKENS: u64 = 60;

struct Versions {
    harness: Harness,
    /// The engines, each with its version.
    engines: Vec<(Engine, &'static str)>,
}

impl Versions {
    /// Starts a fleet with warm engines of these versions.
    fn start(versions: &[&'static str]) -> Versions {
        let config = EngineConfig::default();
        let harness = start(&["north"], 1, &config);
        let mut engines = vec![(harness.engines[0].clone(), versions[0])];
        harness.platform.set_version("engine-north", versions[0]);
        for (number, version) in versions.iter().enumerate().skip(1) {
            let (engine, name) = (Engine::start(config.clone()), format!("engine-{number}"));
            let fake = FakeUpstream::Engine(engine.clone());
            harness.platform.add(&name, "tutor", "north", engine.address(), fake);
            harness.platform.set_version(&name, version);
            engines.push((engine, version));
        }
        engines.iter().for_each(|(engine, _)| engine.warm_up());
        let versions = Versions { harness: harness.with_documents(), engines };
        let is_used = |engine: &Engine| !engine.record().started.is_empty();
        let are_all_used = || {
            versions.ask("warm-up", 2);
            versions.engines.iter().all(|(engine, _)| is_used(engine))
        };
        assert!(wait_until(TIMEOUT, are_all_used), "an engine is not used");
        versions
    }

    /// Lets callers ask at the same time.
    fn ask(&self, name: &str, tokens: u64) -> Vec<(Prompt, Response)> {
        let entry = self.harness.fleet.entry("entry-north-0");
        let ask = |number| {
            let asked = prompt(&format!("{name}-{number}"), "alder", tokens);
            let answer = Caller::new(&token("alder")).prompt(entry, "tutor", &asked);
            (asked, answer)
        };
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS).map(|n| scope.spawn(move || ask(n))).collect();
            callers.into_iter().map(|caller| caller.join().expect("a caller")).collect()
        })
    }

    /// Lets callers ask, and ends the first engine in the middle of their answers.
    fn ask_while_one_ends(&self) -> Vec<(Prompt, Response)> {
        thread::scope(|scope| {
            let answers = scope.spawn(|| self.ask("stream", TOKENS));
            thread::sleep(Duration::from_millis(250));
            self.engines[0].0.stop();
            answers.join().expect("the callers")
        })
    }

    /// Returns the versions of the engines that a request has run at.
    fn versions_of(&self, asked: &Prompt) -> BTreeSet<&'static str> {
        let ran = |engine: &Engine| engine.record().started.iter().any(|(id, _)| *id == asked.id);
        self.engines.iter().filter(|(engine, _)| ran(engine)).map(|(_, version)| *version).collect()
    }

    fn assert_unmixed(&self, answers: &[(Prompt, Response)]) {
        for (asked, answer) in answers {
            let versions = self.versions_of(asked);
            assert!(versions.len() < 2, "{} ran at {versions:?}: {answer:?}", asked.id);
        }
    }
}

/// Guards against an answer that is resumed at an engine of another version, and against one that is
/// cut off although another engine of its version serves.
#[test]
fn an_answer_goes_on_only_at_the_version_that_began_it() {
    let versions = Versions::start(&["v1", "v1", "v2"]);
    let answers = versions.ask_while_one_ends();
    versions.assert_unmixed(&answers);
    let whole = answers.iter().filter(|(asked, answer)| answer.is_complete_for(asked)).count();
    assert!(whole * 2 > CALLERS, "{whole} of {CALLERS} are whole: {answers:?}");
}

/// Guards against an answer that is joined with another version's events because no engine of its
/// own version is left, and against a caller who then waits until the deadline.
#[test]
fn an_answer_whose_version_is_gone_is_cut_off() {
    let versions = Versions::start(&["v1", "v2"]);
    let started = std::time::Instant::now();
    let answers = versions.ask_while_one_ends();
    versions.assert_unmixed(&answers);
    let cut_off = answers.iter().filter(|(asked, answer)| !answer.is_complete_for(asked)).count();
    assert!(cut_off > 0, "no answer was cut off: {answers:?}");
    assert!(started.elapsed() < Duration::from_secs(8), "callers waited {:?}", started.elapsed());
}
