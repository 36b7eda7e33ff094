//! Rollouts in a fleet of daemons, whose dispatchers know the versions.

use std::{thread, time::Duration};

use kingcup_support::{
    engine::{Engine, EngineConfig},
    platform::FakeUpstream,
    wait_until,
};
use kingcupgrade::{
    core::Millis,
    ops::fresh_change_id,
    protocol::{
        record::Command,
        rollout::{RollbackReason, RolloutOrder, RolloutStage},
    },
};

use crate::support::{Harness, LoadGenerator, TIMEOUT, start};

/// The concurrent callers, and the tokens of an answer.
const CALLERS: usize = 4;
const TOKENS: u64 = 2;

struct Rollout {
    harness: Harness,
    new: Engine,
}

impl Rollout {
    /// Starts a fleet whose engine runs version `v1`, and an engine of `v2` that isn't listed.
    fn prepare() -> Rollout {
        let config = EngineConfig { token_time: Duration::from_millis(4), ..Default::default() };
        let harness = start(&["north"], 1, &config);
        harness.platform.set_version("engine-north", "v1");
        harness.engines[0].warm_up();
        let harness = harness.with_documents();
        let new = Engine::start(config);
        new.warm_up();
        Rollout { harness, new }
    }

    /// Orders a rollout to `version`, and lists the new engine with it.
    fn start(&self, version: &str, seconds: u64) {
        let order = RolloutOrder {
            service: "tutor".into(),
            to: version.into(),
            duration: Millis(seconds * 1_000),
        };
        let change = Some(fresh_change_id().expect("a change id"));
        let command = Command::StartRollout { change, order };
        self.harness.fleet.client().change(command).expect("the order accepted");
        let new = FakeUpstream::Engine(self.new.clone());
        self.harness.platform.remove("engine-new");
        self.harness.platform.add("engine-new", "tutor", "north", self.new.address(), new);
        self.harness.platform.set_version("engine-new", version);
    }

    fn stage(&self, version: &str) -> Option<RolloutStage> {
        let status = self.harness.fleet.status("entry-north-0").ok()?;
        let mut rollouts = status.rollouts.iter();
        rollouts.find(|rollout| rollout.order.to.as_str() == version).map(|rollout| rollout.stage)
    }

    /// Waits until the rollout to `version` has ended, and returns its last stage.
    fn end(&self, version: &str, patience: Duration) -> RolloutStage {
        let mut last = None;
        let has_ended = || {
            last = self.stage(version);
            last.is_some_and(|stage| !stage.is_running())
        };
        assert!(wait_until(patience, has_ended), "the rollout is at {last:?}");
        last.expect("a stage")
    }
}

/// Guards against a bad version that keeps its slots at the dispatcher: most callers would meet it.
#[test]
fn a_dispatcher_takes_a_bad_version_out_of_use() {
    let rollout = Rollout::prepare();
    rollout.new.stall_after(1);
    let entry = rollout.harness.fleet.entry("entry-north-0");
    let load = LoadGenerator::start("call", entry, "alder", CALLERS, TOKENS);
    rollout.start("v2", 25);
    let stage = rollout.end("v2", TIMEOUT);
    assert!(matches!(stage, RolloutStage::RolledBack(_)), "{stage:?}");
    // Requests that were granted before may still begin.
    thread::sleep(Duration::from_secs(1));
    let exposed = rollout.new.record().started.len();
    assert!(load.wait_for(50), "the old version does not serve");
    let answers = load.finish();
    assert!(exposed > 0, "the version was never a canary");
    assert_eq!(rollout.new.record().started.len(), exposed, "the bad version gets requests");
    assert!(exposed * 10 <= answers.len(), "{exposed} of {}", answers.len());
}

/// Guards against a good version that never gets the traffic of its service.
#[test]
fn a_dispatcher_moves_all_requests_to_a_good_version() {
    let rollout = Rollout::prepare();
    let entry = rollout.harness.fleet.entry("entry-north-0");
    let load = LoadGenerator::start("call", entry, "alder", CALLERS, TOKENS);
    // On a busy host too few requests may be answered to judge the version in a short time.
    let durations = [("v2", 20), ("v3", 40), ("v4", 80)];
    let no_evidence = RolloutStage::RolledBack(RollbackReason::NoEvidence);
    let mut ends = durations.iter().map(|(version, seconds)| {
        rollout.start(version, *seconds);
        rollout.end(version, Duration::from_secs(2 * seconds))
    });
    let end = ends.find(|stage| *stage != no_evidence);
    assert_eq!(end, Some(RolloutStage::Complete));
    rollout.harness.engines[0].stop();
    let before = rollout.harness.engines[0].record().started.len();
    assert!(load.wait_for(50), "the new version does not serve");
    let answers = load.finish();
    assert_eq!(rollout.harness.engines[0].record().started.len(), before);
    let incomplete = answers.iter().filter(|(asked, answer)| !answer.is_complete_for(asked));
    assert_eq!(incomplete.count(), 0, "answers were cut off or refused");
}
