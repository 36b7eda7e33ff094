//! Tests the durable record while control instances are killed, partitioned or lose their disks.

mod disks;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use kingcup_support::{
    caller::Caller,
    engine::EngineConfig,
    fleet::{Fleet, InstancePlan, token},
    platform::Platform,
    wait_until,
};
use kingcupgrade::{
    core::Code,
    ops::{OperatorClient, coded_error, fresh_change_id, verify},
    protocol::{
        consensus::Member,
        operator::{OperatorReply, OperatorRequest},
        record::{Command, Reply},
    },
};

use crate::support::{TIMEOUT, daemon, start, tutor_document};

fn small_change(n: usize) -> Command {
    Command::SetLeaving {
        change: format!("change-{n}"),
        upstream: "elsewhere".into(),
        leaving: n.is_multiple_of(2),
    }
}

fn set_north(change: &str, out: bool) -> Command {
    Command::SetDomain { change: change.to_owned(), domain: "north".into(), out }
}

fn submit_until_accepted(fleet: &Fleet, command: &Command) -> (u64, u64) {
    let mut answer = None;
    let done = wait_until(TIMEOUT, || {
        answer = fleet.client().change(command.clone()).ok();
        answer.is_some()
    });
    assert!(done, "{command:?} is not accepted");
    match answer {
        Some(Reply::Accepted { revision, index }) => (revision, index),
        other => panic!("unexpected reply: {other:?}"),
    }
}

fn wait_for_leader(fleet: &Fleet) -> String {
    let mut leader = None;
    assert!(wait_until(TIMEOUT, || {
        leader = fleet.leader();
        leader.is_some()
    }));
    leader.expect("a leader")
}

fn configuration_index(fleet: &Fleet, instance: &str) -> u64 {
    fleet.status(instance).map_or(0, |status| status.index)
}

/// Returns the commit index of a control instance's own replica.
///
/// The index of the instance's configuration is not suitable, because it may come from another
/// control instance.
fn commit_index(fleet: &Fleet, instance: &str) -> u64 {
    let control = fleet.status(instance).ok().and_then(|status| status.control);
    control.map_or(0, |control| control.commit)
}

fn start_control_instances(count: usize) -> Fleet {
    let plans: Vec<InstancePlan> =
        (0..count).map(|n| InstancePlan::control(&format!("control-{n}"), "north")).collect();
    let platform = Platform::start(Duration::ZERO);
    Fleet::start(daemon(), &plans, &platform, false).expect("a running fleet")
}

fn members(fleet: &Fleet) -> Vec<Member> {
    match fleet.client().ask(&OperatorRequest::Members) {
        Ok(OperatorReply::Members { members, .. }) => members,
        _ => Vec::new(),
    }
}

// Guards against losing accepted changes and running deposits twice when the leader is repeatedly
// killed while changes and deposits go on. A deposit that was answered "not-run" must not have run.
#[test]
fn a_leader_killed_again_and_again_loses_nothing() {
    let mut world =
        start(&["north", "south", "west"], 1, &EngineConfig::default()).with_documents();
    let stop = Arc::new(AtomicBool::new(false));
    let entry = world.fleet.entry("entry-north-0");
    let depositor = {
        let stop = stop.clone();
        thread::spawn(move || {
            let caller = Caller::new(&token("alder"));
            let mut deposits = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let key = format!("key-{}", deposits.len());
                let mut answer = caller.post(entry, "/orders/deposits", "50", Some(&key));
                let mut only_not_run = answer.outcome == "not-run";
                for _ in 0..3 {
                    if answer.outcome == "done" {
                        break;
                    }
                    answer = caller.post(entry, "/orders/deposits", "50", Some(&key));
                    only_not_run &= answer.outcome == "not-run";
                }
                deposits.push((key, answer.outcome, only_not_run));
            }
            deposits
        })
    };
    let mut last = (0, 0);
    for round in 0..4 {
        let leader = wait_for_leader(&world.fleet);
        last = submit_until_accepted(&world.fleet, &small_change(round));
        world.fleet.kill(&leader);
        let again = submit_until_accepted(&world.fleet, &small_change(round));
        assert_eq!(again, last, "resending after the kill gave another answer");
        world.fleet.start_instance(&leader).expect("a started control instance");
    }
    stop.store(true, Ordering::SeqCst);
    let deposits = depositor.join().expect("a depositor");
    let runs = |key: &str| world.plain_services.iter().map(|plain| plain.runs_of(key)).sum::<u32>();
    assert!(deposits.iter().any(|(_, outcome, _)| outcome == "done"));
    for (key, outcome, only_not_run) in &deposits {
        assert!(runs(key) <= 1, "{key} ran {} times", runs(key));
        assert!(outcome != "done" || runs(key) == 1, "{key} was answered done and did not run");
        assert!(!only_not_run || runs(key) == 0, "{key} was answered not-run and ran");
    }
    for (control, _) in world.fleet.controls() {
        let caught_up = || commit_index(&world.fleet, &control) >= last.1;
        assert!(wait_until(TIMEOUT, caught_up), "{control} lacks an accepted change");
    }
}

// Guards against losing accepted changes when all control instances are killed after hundreds of
// changes and restarted, as after a power failure. Meanwhile entries must go on with the
// configuration they hold, and afterwards changes must be accepted again.
#[test]
fn all_control_instances_restarted_after_hundreds_of_changes_keep_them() {
    let mut world =
        start(&["north", "south", "west"], 1, &EngineConfig::default()).with_documents();
    let mut last = (0, 0);
    for n in 0..300 {
        last = submit_until_accepted(&world.fleet, &small_change(n));
    }
    let controls = world.fleet.controls();
    controls.iter().for_each(|(control, _)| world.fleet.kill(control));
    let held = verify(&world.fleet.data_folder("control-north")).expect("a sound data folder");
    assert!(held.last_index > 0);
    let entry = world.fleet.status("entry-north-0").expect("a running entry");
    assert_eq!(entry.revisions.len(), 2, "the entry forgot its configuration");
    controls
        .iter()
        .for_each(|(control, _)| world.fleet.start_instance(control).expect("a started instance"));
    let all_back =
        || controls.iter().all(|(control, _)| commit_index(&world.fleet, control) >= last.1);
    assert!(wait_until(TIMEOUT, all_back), "an accepted change is lost");
    assert!(submit_until_accepted(&world.fleet, &small_change(300)).1 > last.1);
}

// Guards against a control instance that is partitioned for a while and confirms its stale state as
// current, or that deposes the working leader once the partition heals.
#[test]
fn an_isolated_control_instance_confirms_nothing_and_disturbs_nobody() {
    let fleet = start_control_instances(3);
    let leader = wait_for_leader(&fleet);
    let isolated =
        fleet.controls().into_iter().map(|(i, _)| i).find(|i| *i != leader).expect("another");
    let term = |i: &str| fleet.status(i).ok().and_then(|s| s.control).map(|c| c.term);
    let before = term(&leader);
    fleet.isolate(&isolated, true);
    let stale = || fleet.status(&isolated).is_ok_and(|status| !status.fresh);
    assert!(wait_until(TIMEOUT, stale), "it still confirms its stale state");
    let (_, index) = submit_until_accepted(&fleet, &small_change(1));
    thread::sleep(Duration::from_secs(3));
    assert!(commit_index(&fleet, &isolated) < index);
    fleet.isolate(&isolated, false);
    let caught_up = || {
        commit_index(&fleet, &isolated) >= index && fleet.status(&isolated).is_ok_and(|s| s.fresh)
    };
    assert!(wait_until(TIMEOUT, caught_up), "it does not catch up");
    assert_eq!(term(&leader), before, "its return deposed the leader");
}

// Guards against a change that waits at a control instance that is cut off, and is carried out after
// later ones when the cut ends: a failure domain that is out would get requests.
#[test]
fn a_change_that_waited_for_the_end_of_a_cut_does_not_undo_later_ones() {
    let fleet = start_control_instances(3);
    let leader = wait_for_leader(&fleet);
    let cut = fleet.controls().into_iter().map(|(i, _)| i).find(|i| *i != leader).expect("another");
    let ask = |client: &OperatorClient, instance: &str, since, change: &str, out| {
        let command = Box::new(set_north(change, out));
        let request = OperatorRequest::Change { command: Command::IfUnchanged { since, command } };
        match client.ask_one(&instance.into(), &request) {
            Ok(OperatorReply::Changed { reply }) => reply,
            other => panic!("{change}: {other:?}"),
        }
    };
    let Reply::Accepted { index: known, .. } = ask(&fleet.client(), &leader, 0, "out-1", true)
    else {
        panic!("the failure domain is not taken out")
    };
    fleet.isolate(&cut, true);
    let waiting = {
        let (client, cut) = (fleet.client(), cut.clone());
        thread::spawn(move || ask(&client, &cut, known, "in-late", false))
    };
    thread::sleep(Duration::from_millis(500));
    let taken_back = ask(&fleet.client(), &leader, known, "in-1", false);
    let Reply::Accepted { index, .. } = taken_back else { panic!("{taken_back:?}") };
    let taken_out = ask(&fleet.client(), &leader, index, "out-2", true);
    assert!(matches!(taken_out, Reply::Accepted { .. }), "{taken_out:?}");
    fleet.isolate(&cut, false);
    let late = waiting.join().expect("an answer");
    assert!(matches!(&late, Reply::Refused(err) if err.code == Code::Overtaken), "{late:?}");
    let domains = fleet.status(&leader).expect("a status").domains;
    assert!(domains.iter().any(|domain| domain.name.as_str() == "north" && domain.out));
}

// Guards against a leader that steps down because its process was paused for a moment while another
// control instance is partitioned.
#[test]
fn a_leader_that_was_frozen_for_a_moment_goes_on_leading() {
    let fleet = start_control_instances(3);
    let leader = wait_for_leader(&fleet);
    let isolated =
        fleet.controls().into_iter().map(|(i, _)| i).find(|i| *i != leader).expect("another");
    let term = || fleet.status(&leader).ok().and_then(|s| s.control).map(|c| c.term);
    let before = term();
    fleet.isolate(&isolated, true);
    thread::sleep(Duration::from_secs(1));
    fleet.signal(&leader, "STOP");
    thread::sleep(Duration::from_millis(1_800));
    fleet.signal(&leader, "CONT");
    submit_until_accepted(&fleet, &small_change(1));
    assert_eq!(term(), before, "it stepped down");
    fleet.isolate(&isolated, false);
}

// Guards against a one-way partition that deposes a working leader: a control instance receives no
// messages, while those it sends still arrive. It keeps requesting votes, which the others must not
// grant.
#[test]
fn a_control_instance_cut_off_one_way_deposes_nobody() {
    let fleet = start_control_instances(3);
    let leader = wait_for_leader(&fleet);
    let others: Vec<String> =
        fleet.controls().into_iter().map(|(i, _)| i).filter(|i| *i != leader).collect();
    let unreachable = &others[0];
    fleet.link(&leader, unreachable).cut(true);
    fleet.link(&others[1], unreachable).cut(true);
    let term = || fleet.status(&leader).ok().and_then(|s| s.control).map(|c| c.term);
    let before = term();
    thread::sleep(Duration::from_secs(4));
    let (_, index) = submit_until_accepted(&fleet, &small_change(1));
    assert_eq!(term(), before, "the unreachable instance deposed the leader");
    fleet.link(&leader, unreachable).cut(false);
    fleet.link(&others[1], unreachable).cut(false);
    assert!(
        wait_until(TIMEOUT, || commit_index(&fleet, unreachable) >= index),
        "it does not catch up"
    );
}

// Guards against lost updates when two operators change the same document from the same revision:
// one change is accepted and the other is refused with a revision conflict. Sending the accepted
// change again, as after a lost answer, must return its first answer.
#[test]
fn of_two_operators_under_one_revision_one_wins() {
    let fleet = start_control_instances(3);
    wait_for_leader(&fleet);
    let apply = |change: &str| Command::ApplyDocument {
        change: change.to_owned(),
        service: "tutor".into(),
        base: 0,
        text: tutor_document(),
    };
    let race = |change: &'static str| {
        let (client, command) = (fleet.client(), apply(change));
        thread::spawn(move || {
            client.change(command).map_err(|err| coded_error(&err).map(|e| e.code))
        })
    };
    let (first, second) = (race("first"), race("second"));
    let results = [first.join().expect("an operator"), second.join().expect("an operator")];
    let wins = results.iter().filter(|result| result.is_ok()).count();
    let conflicts = results.iter().filter(|r| **r == Err(Some(Code::RevisionConflict))).count();
    assert_eq!((wins, conflicts), (1, 1), "{results:?}");
    let winner = if results[0].is_ok() { "first" } else { "second" };
    let again = fleet.client().change(apply(winner)).expect("the first answer again");
    assert_eq!(Some(&again), results.iter().find_map(|result| result.as_ref().ok()));
}

/// Kills an entry and cuts it off from all control instances but an isolated one, which lacks the
/// newest document. Returns the revision of that document, which the entry's neighbour has.
fn kill_and_confine_to_isolated_control(fleet: &mut Fleet) -> u64 {
    fleet.isolate("control-north", true);
    let text = tutor_document();
    let change = fresh_change_id().expect("a change id");
    let apply = Command::ApplyDocument { change, service: "tutor".into(), base: 1, text };
    let (revision, index) = submit_until_accepted(fleet, &apply);
    assert!(wait_until(TIMEOUT, || configuration_index(fleet, "entry-north-1") >= index));
    fleet.kill("entry-north-0");
    for control in ["control-south", "control-west"] {
        fleet.link("entry-north-0", control).cut(true);
        fleet.link(control, "entry-north-0").cut(true);
    }
    fleet.link("entry-north-0", "control-north").cut(false);
    fleet.link("control-north", "entry-north-0").cut(false);
    revision
}

// Guards against an entry that goes back to an old document when it restarts without state and the
// only control instance it reaches is an isolated one that holds that document. Its neighbour has
// the newer one.
#[test]
fn an_entry_restarted_beside_an_isolated_control_instance_takes_the_newest() {
    let mut world =
        start(&["north", "south", "west"], 2, &EngineConfig::default()).with_documents();
    let fleet = &mut world.fleet;
    let revision = kill_and_confine_to_isolated_control(fleet);
    fleet.start_instance("entry-north-0").expect("a started entry");
    let newest = || {
        let status = fleet.status("entry-north-0");
        status.is_ok_and(|status| status.revisions.get("tutor") == Some(&revision))
    };
    assert!(wait_until(TIMEOUT, newest), "it does not take its neighbour's newer document");
    thread::sleep(Duration::from_secs(2));
    assert!(newest(), "it went back to the old document");
    let status = fleet.status("entry-north-0").expect("a status");
    assert!(!status.fresh, "an isolated control instance confirmed its state");
}

// Guards against an entry that stops asking its neighbours once an isolated control instance
// answers. At first the neighbour is unreachable too, so the entry has only the old document; once
// the neighbour is reachable, the entry must take the newer document from it.
#[test]
fn an_entry_beside_an_isolated_control_instance_goes_on_asking_its_neighbours() {
    let mut world =
        start(&["north", "south", "west"], 2, &EngineConfig::default()).with_documents();
    let fleet = &mut world.fleet;
    let revision = kill_and_confine_to_isolated_control(fleet);
    // Messages sent while the link is down are lost, not delayed.
    fleet.link("entry-north-0", "entry-north-1").set_down(true);
    fleet.start_instance("entry-north-0").expect("a started entry");
    let knows = |wanted: u64| {
        let status = fleet.status("entry-north-0");
        status.is_ok_and(|status| status.revisions.get("tutor") == Some(&wanted))
    };
    assert!(wait_until(TIMEOUT, || knows(revision - 1)), "it does not take the old document");
    fleet.link("entry-north-0", "entry-north-1").set_down(false);
    assert!(
        wait_until(TIMEOUT, || knows(revision)),
        "it does not take its neighbour's newer document"
    );
}
