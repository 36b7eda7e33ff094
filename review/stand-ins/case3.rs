//! An order that waits at a frozen machine, and is carried out after later ones.

mod rig;

use std::{net::IpAddr, path::Path, time::Duration};

use rig::{Clients, End, Fleet, Record, Replica, ZONES, configuration, pause, run};

const ZONE: &str = "santiago-b";
/// The length of the freeze, as in the site file.
const FREEZE_MS: u64 = 3_500;
const EVAC_MS: u64 = 5_000;
const OUTER_MS: u64 = 5_000;
/// How long the rule is watched.
const WATCH_MS: u64 = 10_000;

fn main() {
    run(script);
}

fn script(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> End {
    let mut fleet = Fleet::prepare(root, folder, record);
    let replicas: Vec<Replica> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let ip = fleet.ip(101 + number as u8);
            Replica::start(
                record,
                ip,
                &format!("i-{number}a91c2"),
                "wuno96b",
                zone,
                Duration::from_millis(30),
            )
        })
        .collect();
    for replica in &replicas {
        fleet.list.put(&replica.id, replica.entry("ready"));
    }
    fleet.start();
    if let Err(why) = fleet.configure(&configuration(7)) {
        return End::CouldNotRun(why);
    }
    let clients = Clients::start(record, fleet.front_addresses(), Duration::from_millis(20), 1_000);
    pause(4_000);
    let Some(leader) = fleet.leader() else { return End::CouldNotRun("no leader".to_owned()) };
    let cores: Vec<IpAddr> =
        fleet.cores().iter().map(|core| core.ip).filter(|ip| *ip != leader).collect();
    let (frozen, other) = (cores[0], cores[1]);
    record.line(&format!("the leader is {leader}; {frozen} is to be frozen"));
    let start = format!("/api/Evacuations.Start/{ZONE}");
    let finish = format!("/api/Evacuations.Finish/{ZONE}");
    if fleet.order(&start, "", &[frozen, other, leader]).is_none() {
        return End::CouldNotRun("the first evacuation is not acknowledged".to_owned());
    }
    pause(4_000);
    if has_trouble {
        record.line(&format!("freeze   {frozen} (SIGSTOP)"));
        fleet.machine(frozen).signal("STOP");
    }
    let frozen_at = record.now();
    pause(100);
    if fleet.order(&finish, "", &[frozen, other, leader]).is_none() {
        return End::CouldNotRun("the end of the evacuation is not acknowledged".to_owned());
    }
    pause(500);
    let Some(acknowledged) = fleet.order(&start, "", &[other, leader]) else {
        return End::CouldNotRun("the second evacuation is not acknowledged".to_owned());
    };
    if has_trouble && record.now() >= frozen_at + FREEZE_MS {
        return End::CouldNotRun("the orders took longer than the freeze".to_owned());
    }
    record.line(&format!("{ZONE} is evacuated from {acknowledged} ms on, and is not taken back"));
    pause((frozen_at + FREEZE_MS).saturating_sub(record.now()));
    if has_trouble {
        record.line(&format!("thaw     {frozen} (SIGCONT)"));
        fleet.machine(frozen).signal("CONT");
    }
    let judged_from = acknowledged + EVAC_MS + OUTER_MS;
    let judged_to = judged_from + WATCH_MS;
    pause(judged_to.saturating_sub(record.now()));
    let sent = clients.finish();
    let served = sent.iter().filter(|s| s.answer.status() == Some(200)).count();
    record.line(&format!("{} requests sent, {served} answered with 200", sent.len()));
    if served * 2 < sent.len() {
        return End::CouldNotRun("under half of the requests were served".to_owned());
    }
    let runs = |replica: &Replica| {
        let runs = replica.runs.lock().unwrap();
        runs.iter().filter(|run| (judged_from..judged_to).contains(&run.at)).count()
    };
    for replica in &replicas {
        record.line(&format!(
            "{} in {}: {} requests from {judged_from} to {judged_to} ms",
            replica.id,
            replica.zone,
            runs(replica)
        ));
    }
    let wrong: usize = replicas.iter().filter(|replica| replica.zone == ZONE).map(runs).sum();
    if wrong > 0 { End::Broken } else { End::Held }
}
