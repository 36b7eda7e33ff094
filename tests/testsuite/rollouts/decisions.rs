//! The decisions of rollouts, without network.

use std::collections::BTreeMap;

use kingcup_support::{
    fleet::document,
    rollouts::{Ablation, Plan, Summary, run},
};
use kingcupgrade::{
    coordination::rollout::{
        Assessment, Exposure, ExposureLimit, Judge, LAST_STEP, ServiceVersions, Situation, Use,
        judge::{Comparison, Criterion, Evidence},
        next_stage,
    },
    core::{Instance, Millis, Version},
    protocol::{
        consensus::{LogEntry, Payload},
        record::{Command, RecordMessage, Reply},
        rollout::{RollbackReason, Rollout, RolloutOrder, RolloutStage, RouteEvidence},
    },
    state::record::Record,
};

/// The number of drawn rollouts; `kingcup-load rollouts` plays more.
const DRAWN: u64 = 150;
/// A bad version may get requests for this long after its 50th bad answer.
const ROLLBACK: Millis = Millis(5_000);

fn order(to: &str) -> RolloutOrder {
    RolloutOrder { service: "orders".into(), to: to.into(), duration: Millis(12_000) }
}

fn rollout(id: u64, to: &str, stage: RolloutStage) -> (u64, Rollout) {
    (id, Rollout { order: order(to), id, started_unix_ms: 0, stage, index: id })
}

/// Applies a command at the next index of a record.
fn apply(record: &mut Record, command: Command) -> Reply {
    let index = record.index() + 1;
    let payload = Payload::Command(command);
    let entry = LogEntry { term: 1, index, unix_ms: index * 1_000, payload };
    record.apply(&entry).expect("a reply")
}

fn start(record: &mut Record, to: &str) -> Reply {
    apply(record, Command::StartRollout { change: None, order: order(to) })
}

fn code(reply: &Reply) -> u16 {
    match reply {
        Reply::Refused(err) => err.code.number(),
        _ => 0,
    }
}

/// Plays the drawn rollouts and sums up what became of them.
fn play(draw: impl Fn(u64) -> Plan) -> Summary {
    let mut summary = Summary::default();
    for seed in 0..DRAWN {
        summary.add(&run(&draw(seed), Ablation::None));
    }
    summary
}

/// Guards against bad versions that are promoted, good ones that are rolled back, and bad versions
/// that reach too many callers, over versions that are bad in many ways and at many loads.
#[test]
fn drawn_rollouts_end_right_and_within_their_exposure() {
    let summary = play(Plan::draw);
    let [good, _, rejected, _] = summary.good;
    let [bad, promoted, hidden] = summary.bad;
    assert!(good > 0 && bad > 0);
    assert_eq!((rejected, promoted, hidden), (0, 0, 0), "{summary}");
    assert!(summary.greatest_exposure <= 1.0, "{summary}");
    assert!(summary.longest_after_50 <= ROLLBACK, "{summary}");
}

/// Plays drawn rollouts in fleets that stand still fewer than `most` times in each.
fn play_with_stalls(most: usize) {
    let summary = play(|seed| Plan::draw_with_stalls(seed, most));
    let [good, promoted, rejected, _] = summary.good;
    assert!(good > 0 && promoted > 0);
    assert_eq!(rejected, 0, "{summary}");
    assert_eq!(summary.bad[1..], [0, 0], "{summary}");
    assert!(summary.longest_after_50 <= ROLLBACK, "{summary}");
}

/// Guards against good versions that are rolled back because the whole fleet stood still for a
/// moment: answers of both versions come late then, but only in that moment.
#[test]
fn moments_in_which_both_versions_answer_late_reject_no_good_version() {
    play_with_stalls(20);
}

/// Guards against the same where such moments are rare.
#[test]
fn rare_moments_in_which_both_versions_answer_late_reject_no_good_version() {
    play_with_stalls(4);
}

/// A judge that is told answers of both versions on one route, 300 ms apart.
#[derive(Default)]
struct Reports {
    judge: Judge,
    evidence: RouteEvidence,
    now: u64,
}

impl Reports {
    /// Reports `old` and `new` answers of the versions, all after `ms`.
    fn add(&mut self, old: u32, new: u32, ms: f64) -> Assessment {
        let RouteEvidence { canary, baseline } = &mut self.evidence;
        for (answers, count) in [(baseline, old), (canary, new)] {
            answers.answered += count;
            (0..count).for_each(|_| answers.first.record(ms));
        }
        self.now += 300;
        let in_stage = BTreeMap::from([("r".to_owned(), self.evidence.canary.clone())]);
        let routes = BTreeMap::from([("r".to_owned(), self.evidence.clone())]);
        let evidence = Evidence { routes: &routes, in_stage: &in_stage, open: &BTreeMap::new() };
        self.judge.update(Millis(self.now), evidence);
        self.judge.assess()
    }
}

/// Guards against a good version that is rolled back for a few late answers in a row while the old
/// version's come as late, since they are few among all that it has answered.
#[test]
fn late_answers_beside_late_ones_of_the_old_version_are_no_evidence() {
    let mut reports = Reports::default();
    for _ in 0..20 {
        reports.add(120, 12, 2.0);
    }
    let late = reports.add(120, 12, 8.0);
    assert!(!matches!(late, Assessment::Degraded(..)), "{late:?}");
    assert_eq!(reports.add(120, 12, 2.0), Assessment::Sound);
}

/// Guards against a version of which half the answers come late once it gets all requests, and that
/// is never rolled back because the last answers of the old version are late too.
#[test]
fn the_last_answers_of_the_old_version_hide_no_late_ones_of_the_new() {
    let mut reports = Reports::default();
    for _ in 0..20 {
        reports.add(100, 10, 2.0);
    }
    for _ in 0..6 {
        reports.add(4, 40, 8.0);
        reports.add(0, 40, 2.0);
    }
    let last = reports.add(4, 40, 8.0);
    assert!(matches!(last, Assessment::Degraded(RollbackReason::Latency, _)), "{last:?}");
}

/// Guards against a version that turns bad shortly before it is promoted and stays in use, because
/// the rollout was complete before its first bad answers to the whole traffic were counted.
#[test]
fn a_version_that_turns_bad_as_it_is_promoted_is_taken_back() {
    let result = run(&Plan::draw(9_222), Ablation::None);
    assert!(result.last_after_50.is_some_and(|last| last <= ROLLBACK), "{result:?}");
    assert!(!result.is_promoted(), "{result:?}");
}

/// The situation of a version that gets all requests and is sound.
fn promoting() -> Situation {
    Situation {
        stage: RolloutStage::Promoting,
        elapsed: Millis(9_000),
        duration: Millis(12_000),
        assessment: Assessment::Sound,
        answers_in_stage: 100,
        is_sound_in_stage: true,
        known_for: Some(Millis(2_000)),
        is_load_tested: false,
        old_slots: 100,
        new_slots: 100,
        is_known_version: false,
        is_old_idle: true,
    }
}

/// Guards against a version that fails only under the load of the whole service and is complete
/// before that load has come about, since its first answers to it were sound.
#[test]
fn a_version_is_complete_only_after_it_was_watched_under_the_whole_load() {
    let known_for = |known_for| Situation { known_for, ..promoting() };
    assert_eq!(next_stage(&known_for(None)), None);
    assert_eq!(next_stage(&known_for(Some(Millis(100)))), None);
    assert_eq!(next_stage(&known_for(Some(Millis(2_000)))), Some(RolloutStage::Complete));
    let testing = Situation { stage: RolloutStage::LoadTest, ..promoting() };
    assert_eq!(next_stage(&testing), None, "some senders still test it");
    let tested = Situation { is_load_tested: true, ..testing };
    assert_eq!(next_stage(&tested), Some(RolloutStage::Promoting));
    let unshown = Situation { is_sound_in_stage: false, elapsed: Millis(10_600), ..tested };
    let no_evidence = RolloutStage::RolledBack(RollbackReason::NoEvidence);
    assert_eq!(next_stage(&unshown), Some(no_evidence), "no answers under load");
}

/// Guards against versions that are bad from a part of the traffic on that no canary gets, and that
/// are promoted by the answers to the light load.
#[test]
fn versions_that_are_bad_under_the_whole_load_are_rolled_back() {
    let summary = play(|seed| Plan { stage_delay_ms: 100, ..Plan::draw_with_traffic_fault(seed) });
    assert!(summary.load_tested[0] > 0, "{summary}");
    assert_eq!(summary.bad[1], 0, "{summary}");
}

/// Guards against a rollout that is complete, so that its old version is stopped, while the answers
/// to the whole traffic don't suffice to tell whether the new version is sound.
#[test]
fn a_promotion_is_complete_only_once_its_answers_are_sound() {
    let open = Comparison {
        route: "r".to_owned(),
        criterion: Criterion::Failures,
        canary: (1, 4),
        baseline: (2, 90),
    };
    let promoting = |assessment: Assessment, elapsed| Situation {
        is_sound_in_stage: assessment == Assessment::Sound,
        elapsed: Millis(elapsed),
        assessment,
        ..promoting()
    };
    let undecided = Assessment::Undecided(open.clone());
    let degraded = Assessment::Degraded(RollbackReason::Failures, open.clone());
    let rolled_back = RolloutStage::RolledBack(RollbackReason::Failures);
    assert_eq!(next_stage(&promoting(undecided.clone(), 9_000)), None);
    assert_eq!(next_stage(&promoting(degraded, 9_000)), Some(rolled_back));
    let complete = Some(RolloutStage::Complete);
    assert_eq!(next_stage(&promoting(Assessment::Sound, 9_000)), complete);
    let no_evidence = Some(RolloutStage::RolledBack(RollbackReason::NoEvidence));
    assert_eq!(next_stage(&promoting(undecided, 11_300)), no_evidence);
    let doubtful = Assessment::Doubtful(RollbackReason::Failures, open);
    assert_eq!(next_stage(&promoting(doubtful.clone(), 9_000)), None);
    assert_eq!(next_stage(&promoting(doubtful, 11_300)), Some(rolled_back));
}

/// Guards against a new version that takes more requests than allowed because each entry rounds its
/// part up, or because a route with few requests gets a part of its own.
#[test]
fn all_entries_together_keep_to_the_exposure_limit() {
    let limit = ExposureLimit { fraction: 0.1, slack: 50.0 };
    let entries: Vec<Instance> =
        (0..68).map(|n| Instance::from(format!("entry-{n}").as_str())).collect();
    let mut exposures: Vec<Exposure> =
        entries.iter().map(|entry| Exposure::new(limit, "orders", entry, &entries)).collect();
    for request in 0..68 * 40 {
        let route = if request % 97 == 0 { "rare" } else { "common" };
        let exposure = &mut exposures[request % 68];
        if exposure.allows(route) {
            exposure.on_exposed(route);
        }
        exposure.on_request(route, Some(LAST_STEP));
        let counts = exposures.iter().map(Exposure::counts);
        let (sent, exposed) = counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
        assert!(exposed as f64 <= 0.1 * sent as f64 + 50.0, "{exposed} of {sent}");
    }
}

/// Guards against an entry that restarts during a rollout and takes, knowing few other entries, the
/// requests that the whole fleet may send beyond the fraction.
#[test]
fn an_entry_that_starts_during_a_rollout_has_no_part_in_the_slack() {
    let limit = ExposureLimit { fraction: 0.1, slack: 50.0 };
    let mut exposure = Exposure::new(limit, "orders", &"entry-0".into(), &[]);
    let mut exposed = 0;
    for _ in 0..100 {
        exposure.on_request("r", Some(LAST_STEP));
        if exposure.allows("r") {
            exposure.on_exposed("r");
            exposed += 1;
        }
    }
    assert!(exposed <= 10, "{exposed}");
}

/// Guards against a new version that gets all requests because an entry sees its upstreams before
/// it hears of the rollout.
#[test]
fn a_version_seen_before_its_order_gets_nothing() {
    let (old, new) = (Version::from("v1"), Version::from("v2"));
    let mut versions = ServiceVersions::default();
    versions.on_listed(Millis(1_000), &BTreeMap::from([(&old, 5)]));
    versions.on_listed(Millis(10_000), &BTreeMap::from([(&old, 5), (&new, 9)]));
    versions.on_confirmed(Millis(11_000));
    assert_eq!(
        (versions.use_of(Some(&old)), versions.use_of(Some(&new))),
        (Use::Serving, Use::Unused)
    );
    versions.set_rollouts(&BTreeMap::from([rollout(7, "v2", RolloutStage::Canary(0))]));
    assert_eq!(versions.use_of(Some(&new)), Use::Canary);
    // Without any order, it belongs to a release.
    let mut versions = ServiceVersions::default();
    versions.on_listed(Millis(1_000), &BTreeMap::from([(&old, 5)]));
    versions.on_listed(Millis(10_000), &BTreeMap::from([(&old, 5), (&new, 9)]));
    versions.on_confirmed(Millis(30_000));
    assert_eq!(versions.use_of(Some(&new)), Use::Serving);
}

/// Guards against an entry that starts during a rollout, finds both versions listed, and takes the
/// new one for the one in use.
#[test]
fn an_entry_that_starts_with_both_versions_listed_uses_the_older() {
    let (old, new) = (Version::from("v1"), Version::from("v2"));
    let mut versions = ServiceVersions::default();
    versions.on_listed(Millis(1_000), &BTreeMap::from([(&old, 5), (&new, 9)]));
    assert_eq!(
        (versions.use_of(Some(&old)), versions.use_of(Some(&new))),
        (Use::Serving, Use::Unused)
    );
}

/// Guards against a service without any upstream: the old version out of use because a promotion had
/// begun, and the new one because it was rolled back.
#[test]
fn a_promotion_that_is_rolled_back_returns_to_the_old_version() {
    let (old, new) = (Version::from("v1"), Version::from("v2"));
    let mut versions = ServiceVersions::default();
    versions.on_listed(Millis(1_000), &BTreeMap::from([(&old, 5)]));
    let mut uses = |stage| {
        versions.set_rollouts(&BTreeMap::from([rollout(7, "v2", stage)]));
        (versions.use_of(Some(&old)), versions.use_of(Some(&new)))
    };
    assert_eq!(uses(RolloutStage::Promoting), (Use::Unused, Use::Serving));
    let rolled_back = RolloutStage::RolledBack(RollbackReason::Failures);
    assert_eq!(uses(rolled_back), (Use::Serving, Use::Unused));
    assert_eq!(uses(RolloutStage::Complete), (Use::Unused, Use::Serving));
}

/// Guards against a service without upstreams: those of the new version are lost while it gets the
/// traffic, and those of the old one would stop on completion.
#[test]
fn a_promotion_whose_upstreams_are_lost_is_rolled_back() {
    let promoting = |new_slots, elapsed| Situation {
        elapsed: Millis(elapsed),
        new_slots,
        is_old_idle: false,
        ..promoting()
    };
    let lost = RolloutStage::RolledBack(RollbackReason::NoCapacity);
    assert_eq!(next_stage(&promoting(100, 9_000)), None);
    assert_eq!(next_stage(&promoting(40, 9_000)), Some(lost));
    assert_eq!(next_stage(&promoting(0, 11_900)), Some(lost));
    assert_eq!(next_stage(&promoting(100, 11_900)), Some(RolloutStage::Complete));
}

/// Guards against a version that a plain release brings after a completed rollout and that gets
/// nothing: applying the same rollouts again, as a dispatcher does, took it out of use each time.
#[test]
fn a_version_released_after_a_completed_rollout_is_used() {
    let (new, released) = (Version::from("v2"), Version::from("v3"));
    let rollouts = BTreeMap::from([rollout(7, "v2", RolloutStage::Complete)]);
    let mut versions = ServiceVersions::default();
    versions.on_listed(Millis(1_000), &BTreeMap::from([(&new, 5)]));
    versions.set_rollouts(&rollouts);
    versions.on_listed(Millis(10_000), &BTreeMap::from([(&new, 5), (&released, 9)]));
    versions.on_confirmed(Millis(30_000));
    versions.set_rollouts(&rollouts);
    let uses = (versions.use_of(Some(&new)), versions.use_of(Some(&released)));
    assert_eq!(uses, (Use::Serving, Use::Serving));
}

/// Guards against a repeated order that begins a rollout anew after the version was rolled back, and
/// against a second rollout beside a running one.
#[test]
fn the_record_takes_a_repeated_order_once() {
    let mut record = Record::default();
    assert_eq!(code(&start(&mut record, "v2")), 5005, "the service is unknown");
    let text = document("orders", "plain-service", &[("alder", 1)], "slots: {cold: 1, warm: 2}\n");
    let document =
        Command::ApplyDocument { change: "1".to_owned(), service: "orders".into(), base: 0, text };
    let applied = apply(&mut record, document);
    assert!(matches!(applied, Reply::Accepted { .. }), "{applied:?}");
    assert_eq!(code(&start(&mut record, "v2")), 0);
    let running = record.running_rollouts().next().expect("a rollout").clone();
    assert_eq!(code(&start(&mut record, "v2")), 0);
    assert_eq!(code(&start(&mut record, "v3")), 5011);
    let advance = |to| Command::AdvanceRollout {
        id: running.id,
        service: "orders".into(),
        from: running.stage,
        to,
    };
    apply(&mut record, advance(RolloutStage::RolledBack(RollbackReason::Latency)));
    // A second leader decided otherwise at the same time.
    apply(&mut record, advance(RolloutStage::Complete));
    assert_eq!(code(&start(&mut record, "v2")), 0);
    assert_eq!(record.running_rollouts().count(), 0, "the repeated order began a rollout");
    let Reply::Rollout(Some(last)) = apply(&mut record, Command::ReadRollout("orders".into()))
    else {
        panic!("no rollout")
    };
    assert_eq!(last.stage, RolloutStage::RolledBack(RollbackReason::Latency));
    assert_eq!(code(&start(&mut record, "v3")), 0);
}

/// Guards against rollouts that are missing in a snapshot, from which a lost disk is restored.
#[test]
fn a_snapshot_holds_the_rollouts() {
    let mut record = Record::default();
    let services = vec!["orders".into()];
    let configuration = kingcupgrade::protocol::record::StoredConfiguration {
        version: 1,
        text: "{}".into(),
        index: 0,
        services,
    };
    apply(&mut record, Command::Replace(configuration));
    assert_eq!(code(&start(&mut record, "v2")), 0);
    let restored = Record::decode(&record.encode()).expect("a record");
    assert_eq!(restored.running_rollouts().count(), 1);
    let RecordMessage::State { rollouts, .. } = restored.state_since(0, None, None) else {
        panic!("no state")
    };
    assert_eq!(rollouts.len(), 1);
}
