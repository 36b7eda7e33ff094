//! Tests control instances whose disk is lost, full or restored from a backup, or that lag far
//! behind.

use std::{fs, thread, time::Duration};

use kingcup_support::{
    engine::EngineConfig,
    fleet::{Fleet, InstancePlan},
    platform::Platform,
    wait_until,
};
use kingcupgrade::{
    core::Code,
    ops::{self, fresh_change_id, verify},
    protocol::{
        operator::{OperatorReply, OperatorRequest},
        record::Command,
    },
};

use crate::support::{
    TIMEOUT, daemon, daemon_with_full_disk, orders_document, start, tutor_document,
};

use super::{
    commit_index, configuration_index, members, small_change, start_control_instances,
    submit_until_accepted, wait_for_leader,
};

// Guards against losing accepted changes, or the quorum, when a control instance loses its disk,
// rejoins as a new member, and another instance fails right after that repair. Five control
// instances must tolerate this and go on accepting changes.
#[test]
fn a_lost_disk_is_replaced_and_a_second_loss_survived() {
    let mut fleet = start_control_instances(5);
    let leader = wait_for_leader(&fleet);
    let follower_names: Vec<String> =
        fleet.controls().into_iter().map(|(i, _)| i).filter(|i| *i != leader).collect();
    let (lost, second) = (&follower_names[0], &follower_names[1]);
    let (_, before) = submit_until_accepted(&fleet, &small_change(1));
    fleet.kill(lost);
    fs::remove_dir_all(fleet.data_folder(lost)).expect("a removed folder");
    fleet.start_instance(lost).expect("a started instance");
    let add = Command::ChangeMembers { add: true, instance: lost.as_str().into(), replica: None };
    let added = || fleet.client().change(add.clone()).is_ok();
    assert!(wait_until(TIMEOUT, added), "the new replica is not added");
    let has_vote =
        || members(&fleet).iter().filter(|m| m.voter && m.id.0.as_str() == lost).count() == 2;
    assert!(wait_until(TIMEOUT, has_vote), "the new replica does not become a voter");
    let old = Some(kingcupgrade::protocol::consensus::INITIAL_REPLICA);
    let remove =
        Command::ChangeMembers { add: false, instance: lost.as_str().into(), replica: old };
    let removed = || fleet.client().change(remove.clone()).is_ok();
    assert!(wait_until(TIMEOUT, removed), "the old replica is not removed");
    fleet.kill(second);
    let (_, index) = submit_until_accepted(&fleet, &small_change(2));
    assert!(index > before);
    assert!(wait_until(TIMEOUT, || commit_index(&fleet, lost) >= index), "the new replica lags");
}

// Guards against a backup of stale state: an operator takes it while the first control instance in
// the fleet file is partitioned. Restoring that instance's state later would undo accepted changes.
#[test]
fn a_backup_is_not_taken_from_an_instance_that_is_cut_off() {
    let fleet = start_control_instances(3);
    wait_for_leader(&fleet);
    let folder = fleet.fleet_file().expect("a fleet file").with_file_name("record.backup");
    submit_until_accepted(&fleet, &small_change(1));
    fleet.isolate("control-0", true);
    let (_, index) = submit_until_accepted(&fleet, &small_change(2));
    let newest = || {
        let info = ops::backup(&fleet.client(), &folder);
        info.is_ok_and(|info| info.confirmed && info.index >= index)
    };
    assert!(wait_until(TIMEOUT, newest), "the backup lacks an accepted change");
    let held = fleet.client().ask_one(&"control-0".into(), &OperatorRequest::Backup);
    let is_stale = matches!(held, Ok(OperatorReply::Backup(held)) if held.index < index);
    assert!(is_stale, "the partitioned instance does not hold an older state");
}

// Guards against losing the quorum when one of three disks is lost, and the replacement replica is
// lost before the repair ends. The other two are a majority of three throughout and must go on
// committing; a replacement made a voter alongside the lost replica would leave two of four for
// good.
#[test]
fn a_replacement_lost_before_the_repair_ends_costs_nothing() {
    let mut fleet = start_control_instances(3);
    let leader = wait_for_leader(&fleet);
    let lost = fleet.controls().into_iter().map(|(i, _)| i).find(|i| *i != leader);
    let lost = lost.expect("an instance that does not lead");
    let add = Command::ChangeMembers { add: true, instance: lost.as_str().into(), replica: None };
    let wipe = |fleet: &mut Fleet| {
        fleet.kill(&lost);
        fs::remove_dir_all(fleet.data_folder(&lost)).expect("a removed folder");
        fleet.start_instance(&lost).expect("a started instance");
    };
    let others: Vec<u64> = members(&fleet).iter().map(|m| m.id.1).collect();
    wipe(&mut fleet);
    assert!(wait_until(TIMEOUT, || fleet.client().change(add.clone()).is_ok()), "not added");
    // Long enough to catch up and to be made a voter, if the leader did that.
    let caught_up = || {
        commit_index(&fleet, &lost) > 0
            && commit_index(&fleet, &lost) >= commit_index(&fleet, &leader)
    };
    assert!(wait_until(TIMEOUT, caught_up), "the new replica does not catch up");
    thread::sleep(Duration::from_millis(500));
    wipe(&mut fleet);
    submit_until_accepted(&fleet, &small_change(1));
    let members_of_lost = |fleet: &Fleet| {
        let all = members(fleet).into_iter();
        all.filter(|m| m.id.0.as_str() == lost).collect::<Vec<_>>()
    };
    for member in members_of_lost(&fleet) {
        let remove = Command::ChangeMembers {
            add: false,
            instance: lost.as_str().into(),
            replica: Some(member.id.1),
        };
        let removed = || fleet.client().change(remove.clone()).is_ok();
        assert!(wait_until(TIMEOUT, removed), "{} is not removed", member.id);
    }
    assert!(wait_until(TIMEOUT, || fleet.client().change(add.clone()).is_ok()), "not added again");
    let membership_is_complete = || {
        let has_vote = members(&fleet).iter().filter(|m| m.voter).count();
        has_vote == others.len() && members_of_lost(&fleet).len() == 1
    };
    assert!(wait_until(TIMEOUT, membership_is_complete), "{:?}", members(&fleet));
}

// Guards against acknowledging entries that were not written because a control instance's disk is
// full. The instance must report the failure and stop taking part, and the others must go on.
#[test]
fn a_full_disk_is_an_error_and_never_an_acknowledgement() {
    let plans: Vec<InstancePlan> =
        (0..3).map(|n| InstancePlan::control(&format!("control-{n}"), "north")).collect();
    let platform = Platform::start(Duration::ZERO);
    let mut fleet = Fleet::prepare(daemon(), &plans, &platform, false).expect("a prepared fleet");
    let program = daemon_with_full_disk(24);
    fleet.start_instance_with("control-0", &program).expect("a started instance");
    fleet.start_instance("control-1").expect("a started instance");
    fleet.start_instance("control-2").expect("a started instance");
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
        base = submit_until_accepted(&fleet, &apply).0;
    }
    assert_eq!(failed(&fleet).map(|err| err.code), Some(Code::StorageFailed));
    let (_, index) = submit_until_accepted(&fleet, &small_change(1));
    for control in ["control-1", "control-2"] {
        assert!(wait_until(TIMEOUT, || commit_index(&fleet, control) >= index));
    }
    fleet.kill("control-0");
    let held = verify(&fleet.data_folder("control-0")).expect("a sound data folder");
    assert!(held.last_index < index, "it holds an entry that it could not write");
}

// Guards against a control instance that cannot catch up: it is down while thousands of changes are
// committed, and the others have compacted the log entries it lacks. It must catch up from a
// snapshot and hold every change.
#[test]
fn a_replica_far_behind_is_brought_up_by_a_snapshot() {
    let mut fleet = start_control_instances(3);
    let leader = wait_for_leader(&fleet);
    let controls = fleet.controls();
    let lagging = controls.iter().map(|(i, _)| i).find(|i| **i != leader).expect("another").clone();
    fleet.kill(&lagging);
    let clients = (0..8).map(|thread| {
        let client = fleet.client();
        thread::spawn(move || {
            for n in 0..300 {
                // A refusal or a lost answer costs only one of many changes.
                let _ = client.change(small_change(1_000 * thread + n));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let (_, index) = submit_until_accepted(&fleet, &small_change(9_999));
    assert!(index > 2_100, "too few changes for a snapshot: {index}");
    fleet.start_instance(&lagging).expect("a started instance");
    assert!(
        wait_until(TIMEOUT, || commit_index(&fleet, &lagging) >= index),
        "it does not catch up"
    );
    fleet.kill(&lagging);
    let held = verify(&fleet.data_folder(&lagging)).expect("a sound data folder");
    assert!(held.snapshot_index > 0, "it did not catch up from a snapshot");
}

// Guards against entries that keep newer documents after a restore: all control instances' disks
// are lost and restored from a backup of the day before. The documents in the backup must be in
// force everywhere, also at entries that have seen later ones.
#[test]
fn a_record_restored_from_a_backup_is_in_force_everywhere() {
    let mut world =
        start(&["north", "south", "west"], 1, &EngineConfig::default()).with_documents();
    let backup = world.fleet.data_folder("backup");
    ops::backup(&world.fleet.client(), &backup).expect("a backup");
    world.fleet.apply("tutor", 1, &tutor_document()).expect("a later document");
    let seen = configuration_index(&world.fleet, "entry-north-0");
    let controls = world.fleet.controls();
    for (control, _) in &controls {
        world.fleet.kill(control);
        fs::remove_dir_all(world.fleet.data_folder(control)).expect("a removed folder");
        ops::init(world.fleet.settings_path(control), Some(&backup)).expect("a restored folder");
    }
    let second_init = ops::init(world.fleet.settings_path("control-north"), Some(&backup));
    assert!(second_init.is_err(), "a folder in use was overwritten");
    controls
        .iter()
        .for_each(|(control, _)| world.fleet.start_instance(control).expect("a started instance"));
    let restored = || {
        let status = world.fleet.status("entry-north-0");
        status.is_ok_and(|s| s.fresh && s.index > seen && s.revisions.get("tutor") == Some(&1))
    };
    assert!(wait_until(TIMEOUT, restored), "the restored document is not in force");
    assert!(submit_until_accepted(&world.fleet, &small_change(1)).1 > seen);
    let damaged = world.fleet.data_folder("damaged");
    let mut bytes = fs::read(&backup).expect("a backup");
    bytes[40] ^= 1;
    fs::write(&damaged, bytes).expect("a damaged backup");
    let refused = ops::init(world.fleet.settings_path("control-north"), Some(&damaged));
    assert!(refused.is_err());
}
