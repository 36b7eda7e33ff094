//! Control instances whose disks are lost, full, far behind, or restored from a backup.

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

use super::{accepted, commit_of, controls_only, index_of, members, small_change, wait_for_leader};

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
    fleet.start_instance(lost).expect("a started instance");
    let add = Command::ChangeMembers { add: true, instance: lost.as_str().into(), replica: None };
    let added = || fleet.client().change(add.clone()).is_ok();
    assert!(wait_until(TIMEOUT, added), "the new replica can't be added");
    let votes =
        || members(&fleet).iter().filter(|m| m.voter && m.id.0.as_str() == lost).count() == 2;
    assert!(wait_until(TIMEOUT, votes), "the new replica gets no vote");
    let old = Some(kingcupgrade::protocol::consensus::INITIAL_REPLICA);
    let remove =
        Command::ChangeMembers { add: false, instance: lost.as_str().into(), replica: old };
    let removed = || fleet.client().change(remove.clone()).is_ok();
    assert!(wait_until(TIMEOUT, removed), "the old replica can't be removed");
    fleet.kill(second);
    let (_, index) = accepted(&fleet, &small_change(2));
    assert!(index > before);
    assert!(wait_until(TIMEOUT, || commit_of(&fleet, lost) >= index), "the new replica lags");
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
    assert!(wait_until(TIMEOUT, newest), "the backup lacks an accepted change");
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
        fleet.start_instance(&lost).expect("a started instance");
    };
    let others: Vec<u64> = members(&fleet).iter().map(|m| m.id.1).collect();
    wipe(&mut fleet);
    assert!(wait_until(TIMEOUT, || fleet.client().change(add.clone()).is_ok()), "not added");
    // Time enough to catch up, and to get a vote if that were given.
    let caught_up =
        || commit_of(&fleet, &lost) > 0 && commit_of(&fleet, &lost) >= commit_of(&fleet, &leader);
    assert!(wait_until(TIMEOUT, caught_up), "the newcomer does not catch up");
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
        assert!(wait_until(TIMEOUT, removed), "{} can't be removed", member.id);
    }
    assert!(wait_until(TIMEOUT, || fleet.client().change(add.clone()).is_ok()), "not added again");
    let is_whole = || {
        let votes = members(&fleet).iter().filter(|m| m.voter).count();
        votes == others.len() && of_lost(&fleet).len() == 1
    };
    assert!(wait_until(TIMEOUT, is_whole), "{:?}", members(&fleet));
}

// A control instance's disk is full. It must say so and stop taking part; what it could not write
// must never count as written, and the others go on.
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
        base = accepted(&fleet, &apply).0;
    }
    assert_eq!(failed(&fleet).map(|err| err.code), Some(Code::StorageFailed));
    let (_, index) = accepted(&fleet, &small_change(1));
    for control in ["control-1", "control-2"] {
        assert!(wait_until(TIMEOUT, || commit_of(&fleet, control) >= index));
    }
    fleet.kill("control-0");
    let held = verify(&fleet.data_folder("control-0")).expect("a sound data folder");
    assert!(held.last_index < index, "it holds what it could not write");
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
    fleet.start_instance(&away).expect("a started instance");
    assert!(wait_until(TIMEOUT, || commit_of(&fleet, &away) >= index), "it does not catch up");
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
        ops::init(world.fleet.settings_path(control), Some(&backup)).expect("a restored folder");
    }
    let again = ops::init(world.fleet.settings_path("control-north"), Some(&backup));
    assert!(again.is_err(), "a folder in use was overwritten");
    controls
        .iter()
        .for_each(|(control, _)| world.fleet.start_instance(control).expect("a started instance"));
    let restored = || {
        let status = world.fleet.status("entry-north-0");
        status.is_ok_and(|s| s.fresh && s.index > seen && s.revisions.get("tutor") == Some(&1))
    };
    assert!(wait_until(TIMEOUT, restored), "the restored document is not in force");
    assert!(accepted(&world.fleet, &small_change(1)).1 > seen);
    let damaged = world.fleet.data_folder("damaged");
    let mut bytes = fs::read(&backup).expect("a backup");
    bytes[40] ^= 1;
    fs::write(&damaged, bytes).expect("a damaged backup");
    let refused = ops::init(world.fleet.settings_path("control-north"), Some(&damaged));
    assert!(refused.is_err());
}
