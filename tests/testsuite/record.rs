//! The durable record under killed, cut off and emptied control instances.

use std::{
    fs,
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
    fleet::{Fleet, Plan, token},
    platform::Platform,
    wait_until,
};
use kingcupgrade::{
    core::Code,
    ops::{self, coded, fresh_change_id, verify},
    protocol::{
        consensus::Member,
        operator::{OperatorReply, OperatorRequest},
        record::{Command, Reply},
    },
};

use crate::support::{
    PATIENCE, daemon, daemon_with_full_disk, orders_document, start, tutor_document,
};

fn small_change(n: usize) -> Command {
    Command::SetLeaving {
        change: format!("change-{n}"),
        upstream: "elsewhere".into(),
        leaving: n.is_multiple_of(2),
    }
}

fn accepted(fleet: &Fleet, command: &Command) -> (u64, u64) {
    let mut answer = None;
    let done = wait_until(PATIENCE, || {
        answer = fleet.client().change(command.clone()).ok();
        answer.is_some()
    });
    assert!(done, "{command:?} is never accepted");
    match answer {
        Some(Reply::Accepted { revision, index }) => (revision, index),
        other => panic!("an answer that does not fit: {other:?}"),
    }
}

fn wait_for_leader(fleet: &Fleet) -> String {
    let mut leader = None;
    assert!(wait_until(PATIENCE, || {
        leader = fleet.leader();
        leader.is_some()
    }));
    leader.expect("a leader")
}

fn index_of(fleet: &Fleet, instance: &str) -> u64 {
    fleet.status(instance).map_or(0, |status| status.index)
}

/// Returns up to where a control instance's own replica is final.
///
/// The index of its configuration would not do: that may come from another control instance.
fn commit_of(fleet: &Fleet, instance: &str) -> u64 {
    let control = fleet.status(instance).ok().and_then(|status| status.control);
    control.map_or(0, |control| control.commit)
}

fn controls_only(count: usize) -> Fleet {
    let plans: Vec<Plan> =
        (0..count).map(|n| Plan::control(&format!("control-{n}"), "north")).collect();
    let platform = Platform::start(Duration::ZERO);
    Fleet::start(daemon(), &plans, &platform, false).expect("a running fleet")
}

fn members(fleet: &Fleet) -> Vec<Member> {
    match fleet.client().ask(&OperatorRequest::Members) {
        Ok(OperatorReply::Members { members, .. }) => members,
        _ => Vec::new(),
    }
}

// The leader is killed again and again while changes and deposits go on. A change that was
// accepted must stay, a deposit must not run twice, and one called "not run" must not have run.
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
        last = accepted(&world.fleet, &small_change(round));
        world.fleet.kill(&leader);
        let again = accepted(&world.fleet, &small_change(round));
        assert_eq!(again, last, "a resend after the kill got another answer");
        world.fleet.run(&leader).expect("a started control instance");
    }
    stop.store(true, Ordering::SeqCst);
    let deposits = depositor.join().expect("a depositor");
    let runs = |key: &str| world.plains.iter().map(|plain| plain.runs_of(key)).sum::<u32>();
    assert!(deposits.iter().any(|(_, outcome, _)| outcome == "done"));
    for (key, outcome, only_not_run) in &deposits {
        assert!(runs(key) <= 1, "{key} ran {} times", runs(key));
        assert!(outcome != "done" || runs(key) == 1, "{key} is done and did not run");
        assert!(!only_not_run || runs(key) == 0, "{key} ran and was called not run");
    }
    for (control, _) in world.fleet.controls() {
        let caught_up = || commit_of(&world.fleet, &control) >= last.1;
        assert!(wait_until(PATIENCE, caught_up), "{control} lacks an accepted change");
    }
}

// All control instances lose power after hundreds of changes and start again. Every accepted
// change must be there, entries go on with what they have meanwhile, and changes go on after.
#[test]
fn all_control_instances_restarted_after_hundreds_of_changes_keep_them() {
    let mut world =
        start(&["north", "south", "west"], 1, &EngineConfig::default()).with_documents();
    let mut last = (0, 0);
    for n in 0..300 {
        last = accepted(&world.fleet, &small_change(n));
    }
    let controls = world.fleet.controls();
    controls.iter().for_each(|(control, _)| world.fleet.kill(control));
    let held = verify(&world.fleet.data_folder("control-north")).expect("a sound data folder");
    assert!(held.last_index > 0);
    let entry = world.fleet.status("entry-north-0").expect("a running entry");
    assert_eq!(entry.revisions.len(), 2, "the entry forgot its configuration");
    controls.iter().for_each(|(control, _)| world.fleet.run(control).expect("a started instance"));
    let all_back =
        || controls.iter().all(|(control, _)| commit_of(&world.fleet, control) >= last.1);
    assert!(wait_until(PATIENCE, all_back), "an accepted change is lost");
    assert!(accepted(&world.fleet, &small_change(300)).1 > last.1);
}

// A control instance hears and reaches nobody for a while. It must not call its old state the
// newest, and when it is back it must not depose the leader that worked all the time.
#[test]
fn an_isolated_control_instance_confirms_nothing_and_disturbs_nobody() {
    let fleet = controls_only(3);
    let leader = wait_for_leader(&fleet);
    let cut = fleet.controls().into_iter().map(|(i, _)| i).find(|i| *i != leader).expect("another");
    let term = |i: &str| fleet.status(i).ok().and_then(|s| s.control).map(|c| c.term);
    let before = term(&leader);
    fleet.isolate(&cut, true);
    let stale = || fleet.status(&cut).is_ok_and(|status| !status.fresh);
    assert!(wait_until(PATIENCE, stale), "it still confirms its state");
    let (_, index) = accepted(&fleet, &small_change(1));
    thread::sleep(Duration::from_secs(3));
    assert!(commit_of(&fleet, &cut) < index);
    fleet.isolate(&cut, false);
    let caught_up =
        || commit_of(&fleet, &cut) >= index && fleet.status(&cut).is_ok_and(|s| s.fresh);
    assert!(wait_until(PATIENCE, caught_up), "it does not catch up");
    assert_eq!(term(&leader), before, "its return deposed the leader");
}

// Guards against a leader that deposes itself because its machine stood still for a moment while one
// of the others is cut off.
#[test]
fn a_leader_that_was_frozen_for_a_moment_goes_on_leading() {
    let fleet = controls_only(3);
    let leader = wait_for_leader(&fleet);
    let cut = fleet.controls().into_iter().map(|(i, _)| i).find(|i| *i != leader).expect("another");
    let term = || fleet.status(&leader).ok().and_then(|s| s.control).map(|c| c.term);
    let before = term();
    fleet.isolate(&cut, true);
    thread::sleep(Duration::from_secs(1));
    fleet.signal(&leader, "STOP");
    thread::sleep(Duration::from_millis(1_800));
    fleet.signal(&leader, "CONT");
    accepted(&fleet, &small_change(1));
    assert_eq!(term(), before, "it deposed itself");
    fleet.isolate(&cut, false);
}

// Messages reach a control instance no more, while its own still leave. It goes on asking for
// votes, and whoever gave in to that would depose a leader that works.
#[test]
fn a_control_instance_cut_off_one_way_deposes_nobody() {
    let fleet = controls_only(3);
    let leader = wait_for_leader(&fleet);
    let others: Vec<String> =
        fleet.controls().into_iter().map(|(i, _)| i).filter(|i| *i != leader).collect();
    let deaf = &others[0];
    fleet.link(&leader, deaf).cut(true);
    fleet.link(&others[1], deaf).cut(true);
    let term = || fleet.status(&leader).ok().and_then(|s| s.control).map(|c| c.term);
    let before = term();
    thread::sleep(Duration::from_secs(4));
    let (_, index) = accepted(&fleet, &small_change(1));
    assert_eq!(term(), before, "the deaf instance deposed the leader");
    fleet.link(&leader, deaf).cut(false);
    fleet.link(&others[1], deaf).cut(false);
    assert!(wait_until(PATIENCE, || commit_of(&fleet, deaf) >= index), "it does not catch up");
}

// A control instance's disk is lost. It comes back as a new member, and right after that repair
// another instance is lost. With five, every accepted change survives and changes go on.
#[test]
fn a_lost_disk_is_replaced_and_a_second_loss_survived() {
    let mut fleet = controls_only(5);
    let leader = wait_for_leader(&fleet);
    let names: Vec<String> =
        fleet.controls().into_iter().map(|(i, _)| i).filter(|i| *i != leader).collect();
    let (lost, second) = (&names[0], &names[1]);
    let (_, before) = accepted(&fleet, &small_change(1));
    fleet.kill(lost);
    fs::remove_dir_all(fleet.data_folder(lost)).expect("a removed folder");
    fleet.run(lost).expect("a started instance");
    let add = Command::ChangeMembers { add: true, instance: lost.as_str().into(), replica: None };
    let added = || fleet.client().change(add.clone()).is_ok();
    assert!(wait_until(PATIENCE, added), "the new replica can't be added");
    let votes =
        || members(&fleet).iter().filter(|m| m.voter && m.id.0.as_str() == lost).count() == 2;
    assert!(wait_until(PATIENCE, votes), "the new replica gets no vote");
    let old = Some(kingcupgrade::protocol::consensus::FOUNDING_REPLICA);
    let remove =
        Command::ChangeMembers { add: false, instance: lost.as_str().into(), replica: old };
    let removed = || fleet.client().change(remove.clone()).is_ok();
    assert!(wait_until(PATIENCE, removed), "the old replica can't be removed");
    fleet.kill(second);
    let (_, index) = accepted(&fleet, &small_change(2));
    assert!(index > before);
    assert!(wait_until(PATIENCE, || commit_of(&fleet, lost) >= index), "the new replica lags");
}

// An operator writes a backup while the first control instance of the fleet file is cut off. What
// that one holds is old; restored later, it would undo accepted changes.
#[test]
fn a_backup_is_not_taken_from_an_instance_that_is_cut_off() {
    let fleet = controls_only(3);
    wait_for_leader(&fleet);
    let folder = fleet.fleet_file().expect("a fleet file").with_file_name("record.backup");
    accepted(&fleet, &small_change(1));
    fleet.isolate("control-0", true);
    let (_, index) = accepted(&fleet, &small_change(2));
    let newest = || {
        let info = ops::backup(&fleet.client(), &folder);
        info.is_ok_and(|info| info.confirmed && info.index >= index)
    };
    assert!(wait_until(PATIENCE, newest), "the backup lacks an accepted change");
    let held = fleet.client().ask_one(&"control-0".into(), &OperatorRequest::Backup);
    let is_old = matches!(held, Ok(OperatorReply::Backup(held)) if held.index < index);
    assert!(is_old, "the instance that is cut off was to hold an old state");
}

// With three, a disk is lost, and the replica that replaces it is lost before the repair ends. The
// two others are a majority of three all the time and must go on deciding; a newcomer that got its
// vote beside the lost replica would leave two of four, for good.
#[test]
fn a_replacement_lost_before_the_repair_ends_costs_nothing() {
    let mut fleet = controls_only(3);
    let leader = wait_for_leader(&fleet);
    let lost = fleet.controls().into_iter().map(|(i, _)| i).find(|i| *i != leader);
    let lost = lost.expect("an instance that does not lead");
    let add = Command::ChangeMembers { add: true, instance: lost.as_str().into(), replica: None };
    let wipe = |fleet: &mut Fleet| {
        fleet.kill(&lost);
        fs::remove_dir_all(fleet.data_folder(&lost)).expect("a removed folder");
        fleet.run(&lost).expect("a started instance");
    };
    let others: Vec<u64> = members(&fleet).iter().map(|m| m.id.1).collect();
    wipe(&mut fleet);
    assert!(wait_until(PATIENCE, || fleet.client().change(add.clone()).is_ok()), "not added");
    // Time enough to catch up, and to get a vote if that were given.
    let caught_up =
        || commit_of(&fleet, &lost) > 0 && commit_of(&fleet, &lost) >= commit_of(&fleet, &leader);
    assert!(wait_until(PATIENCE, caught_up), "the newcomer does not catch up");
    thread::sleep(Duration::from_millis(500));
    wipe(&mut fleet);
    accepted(&fleet, &small_change(1));
    let of_lost = |fleet: &Fleet| {
        let all = members(fleet).into_iter();
        all.filter(|m| m.id.0.as_str() == lost).collect::<Vec<_>>()
    };
    for member in of_lost(&fleet) {
        let remove = Command::ChangeMembers {
            add: false,
            instance: lost.as_str().into(),
            replica: Some(member.id.1),
        };
        let removed = || fleet.client().change(remove.clone()).is_ok();
        assert!(wait_until(PATIENCE, removed), "{} can't be removed", member.id);
    }
    assert!(wait_until(PATIENCE, || fleet.client().change(add.clone()).is_ok()), "not added again");
    let is_whole = || {
        let votes = members(&fleet).iter().filter(|m| m.voter).count();
        votes == others.len() && of_lost(&fleet).len() == 1
    };
    assert!(wait_until(PATIENCE, is_whole), "{:?}", members(&fleet));
}

// A control instance's disk is full. It must say so and stop taking part; what it could not write
// must never count as written, and the others go on.
#[test]
fn a_full_disk_is_an_error_and_never_an_acknowledgement() {
    let plans: Vec<Plan> =
        (0..3).map(|n| Plan::control(&format!("control-{n}"), "north")).collect();
    let platform = Platform::start(Duration::ZERO);
    let mut fleet = Fleet::prepare(daemon(), &plans, &platform, false).expect("a prepared fleet");
    let program = daemon_with_full_disk(24);
    fleet.run_as("control-0", &program).expect("a started instance");
    fleet.run("control-1").expect("a started instance");
    fleet.run("control-2").expect("a started instance");
    wait_for_leader(&fleet);
    let mut base = 0;
    let failed = |fleet: &Fleet| {
        let control = fleet.status("control-0").ok().and_then(|status| status.control);
        control.and_then(|control| control.failure)
    };
    while failed(&fleet).is_none() && base < 60 {
        let change = fresh_change_id().expect("a change id");
        let text = orders_document();
        let apply = Command::ApplyDocument { change, service: "orders".into(), base, text };
        base = accepted(&fleet, &apply).0;
    }
    assert_eq!(failed(&fleet).map(|err| err.code), Some(Code::StorageFailed));
    let (_, index) = accepted(&fleet, &small_change(1));
    for control in ["control-1", "control-2"] {
        assert!(wait_until(PATIENCE, || commit_of(&fleet, control) >= index));
    }
    fleet.kill("control-0");
    let held = verify(&fleet.data_folder("control-0")).expect("a sound data folder");
    assert!(held.last_index < index, "it holds what it could not write");
}

// Two operators change the same document from the same revision. One wins, the other is told of
// the new revision; and the winner, whose answer was lost, sends again and gets it.
#[test]
fn of_two_operators_under_one_revision_one_wins() {
    let fleet = controls_only(3);
    wait_for_leader(&fleet);
    let apply = |change: &str| Command::ApplyDocument {
        change: change.to_owned(),
        service: "tutor".into(),
        base: 0,
        text: tutor_document(),
    };
    let race = |change: &'static str| {
        let (client, command) = (fleet.client(), apply(change));
        thread::spawn(move || client.change(command).map_err(|err| coded(&err).map(|e| e.code)))
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

/// Kills an entry and lets it reach, when it is started again, no control instance but an isolated
/// one that has not heard of the newest document. Its neighbour has; returns that revision.
fn leave_beside_isolated_control(fleet: &mut Fleet) -> u64 {
    fleet.isolate("control-north", true);
    let text = tutor_document();
    let change = fresh_change_id().expect("a change id");
    let apply = Command::ApplyDocument { change, service: "tutor".into(), base: 1, text };
    let (revision, index) = accepted(fleet, &apply);
    assert!(wait_until(PATIENCE, || index_of(fleet, "entry-north-1") >= index));
    fleet.kill("entry-north-0");
    for control in ["control-south", "control-west"] {
        fleet.link("entry-north-0", control).cut(true);
        fleet.link(control, "entry-north-0").cut(true);
    }
    fleet.link("entry-north-0", "control-north").cut(false);
    fleet.link("control-north", "entry-north-0").cut(false);
    revision
}

// An entry restarts empty while the only control instance it reaches is an isolated one with an
// old document. Its neighbour knows the newer one; the entry must not go back behind that.
#[test]
fn an_entry_restarted_beside_an_isolated_control_instance_takes_the_newest() {
    let mut world =
        start(&["north", "south", "west"], 2, &EngineConfig::default()).with_documents();
    let fleet = &mut world.fleet;
    let revision = leave_beside_isolated_control(fleet);
    fleet.run("entry-north-0").expect("a started entry");
    let newest = || {
        let status = fleet.status("entry-north-0");
        status.is_ok_and(|status| status.revisions.get("tutor") == Some(&revision))
    };
    assert!(wait_until(PATIENCE, newest), "it stays behind its neighbour");
    thread::sleep(Duration::from_secs(2));
    assert!(newest(), "it went back");
    let status = fleet.status("entry-north-0").expect("a status");
    assert!(!status.fresh, "an isolated control instance confirmed its state");
}

// The same, and the neighbour can't be heard at first either: the old document is all there is. As
// soon as the neighbour can be heard the newer one must come from there, although the control
// instance goes on answering.
#[test]
fn an_entry_beside_an_isolated_control_instance_goes_on_asking_its_neighbours() {
    let mut world =
        start(&["north", "south", "west"], 2, &EngineConfig::default()).with_documents();
    let fleet = &mut world.fleet;
    let revision = leave_beside_isolated_control(fleet);
    // What is sent meanwhile is lost, not held back.
    fleet.link("entry-north-0", "entry-north-1").set_down(true);
    fleet.run("entry-north-0").expect("a started entry");
    let knows = |wanted: u64| {
        let status = fleet.status("entry-north-0");
        status.is_ok_and(|status| status.revisions.get("tutor") == Some(&wanted))
    };
    assert!(wait_until(PATIENCE, || knows(revision - 1)), "it hears nothing");
    fleet.link("entry-north-0", "entry-north-1").set_down(false);
    assert!(wait_until(PATIENCE, || knows(revision)), "it stays behind its neighbour");
}

// A control instance is away while thousands of changes go by, and the others have dropped the
// log it would need. It must be brought up by a snapshot and hold everything.
#[test]
fn a_replica_far_behind_is_brought_up_by_a_snapshot() {
    let mut fleet = controls_only(3);
    let leader = wait_for_leader(&fleet);
    let controls = fleet.controls();
    let away = controls.iter().map(|(i, _)| i).find(|i| **i != leader).expect("another").clone();
    fleet.kill(&away);
    let clients = (0..8).map(|thread| {
        let client = fleet.client();
        thread::spawn(move || {
            for n in 0..300 {
                // A refusal or a lost answer costs one of many changes.
                let _ = client.change(small_change(1_000 * thread + n));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let (_, index) = accepted(&fleet, &small_change(9_999));
    assert!(index > 2_100, "too few changes for a snapshot: {index}");
    fleet.run(&away).expect("a started instance");
    assert!(wait_until(PATIENCE, || commit_of(&fleet, &away) >= index), "it does not catch up");
    fleet.kill(&away);
    let held = verify(&fleet.data_folder(&away)).expect("a sound data folder");
    assert!(held.snapshot_index > 0, "it was not brought up by a snapshot");
}

// All control instances' disks are lost. A backup of the day before is put in their place; the
// documents in it must be in force everywhere, at entries too that had seen later ones.
#[test]
fn a_record_restored_from_a_backup_is_in_force_everywhere() {
    let mut world =
        start(&["north", "south", "west"], 1, &EngineConfig::default()).with_documents();
    let backup = world.fleet.data_folder("backup");
    ops::backup(&world.fleet.client(), &backup).expect("a backup");
    world.fleet.apply("tutor", 1, &tutor_document()).expect("a later document");
    let seen = index_of(&world.fleet, "entry-north-0");
    let controls = world.fleet.controls();
    for (control, _) in &controls {
        world.fleet.kill(control);
        fs::remove_dir_all(world.fleet.data_folder(control)).expect("a removed folder");
        ops::found(world.fleet.settings_path(control), Some(&backup)).expect("a restored folder");
    }
    let again = ops::found(world.fleet.settings_path("control-north"), Some(&backup));
    assert!(again.is_err(), "a folder in use was overwritten");
    controls.iter().for_each(|(control, _)| world.fleet.run(control).expect("a started instance"));
    let restored = || {
        let status = world.fleet.status("entry-north-0");
        status.is_ok_and(|s| s.fresh && s.index > seen && s.revisions.get("tutor") == Some(&1))
    };
    assert!(wait_until(PATIENCE, restored), "the restored document is not in force");
    assert!(accepted(&world.fleet, &small_change(1)).1 > seen);
    let damaged = world.fleet.data_folder("damaged");
    let mut bytes = fs::read(&backup).expect("a backup");
    bytes[40] ^= 1;
    fs::write(&damaged, bytes).expect("a damaged backup");
    let refused = ops::found(world.fleet.settings_path("control-north"), Some(&damaged));
    assert!(refused.is_err());
}
