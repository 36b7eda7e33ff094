//! The machines of the core are replaced one after the other, the new one first each time.

mod rig;

use std::{net::IpAddr, path::Path, time::Duration};

use rig::{Answer, Clients, End, Fleet, Record, Replica, ZONES, configuration, get, pause, run};

/// The time from the start of a new machine to the SIGTERM of the one that it replaces; `catch_up_s`
/// is 4 s.
const OVERLAP_MS: u64 = 4_500;
/// The time from the SIGTERM of one machine to that of the next.
const STEP_MS: u64 = 4_500;
const RECOVER_MS: u64 = 12_000;
const WATCH_MS: u64 = 15_000;

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
    let clients = Clients::start(record, fleet.front_addresses(), Duration::from_millis(50), 1_000);
    pause(4_000);
    let all: Vec<IpAddr> = fleet.cores().iter().map(|core| core.ip).collect();
    let spares: Vec<IpAddr> = fleet.spares().iter().map(|core| core.ip).collect();
    let Some(first) = fleet.leader() else { return End::CouldNotRun("no leader".to_owned()) };
    let second = all.iter().copied().find(|ip| *ip != first).expect("a follower");
    let third = all.iter().copied().find(|ip| *ip != first && *ip != second).expect("a follower");
    if fleet.order("/api/Config.Replace", &configuration(8), &all).is_none() {
        return End::CouldNotRun("version 8 is not acknowledged".to_owned());
    }
    // The settings of a new machine name the three of the operator's list, which lags.
    let steps = [
        (first, spares[0], [first, second, third]),
        (second, spares[1], [second, third, spares[0]]),
    ];
    let began = record.now();
    for (number, (old, new, seeds)) in steps.into_iter().enumerate() {
        let stop_at = began + OVERLAP_MS + STEP_MS * number as u64;
        pause((stop_at - OVERLAP_MS).saturating_sub(record.now()));
        if has_trouble {
            record.line(&format!("add      {new}, empty, in place of {old}"));
            fleet.start_spare(new, &seeds);
        }
        pause(stop_at.saturating_sub(record.now()));
        if has_trouble {
            record.line(&format!("remove   {old}: SIGTERM, and it does not come back"));
            fleet.machine(old).signal("TERM");
        }
    }
    pause(1_000);
    if has_trouble {
        for (old, _, _) in steps {
            let is_running = fleet.machine(old).is_running();
            record.line(&format!("{old} {}", if is_running { "still runs" } else { "has ended" }));
        }
    }
    let now_there = if has_trouble { vec![third, spares[0], spares[1]] } else { all.clone() };
    pause(RECOVER_MS);
    record.line("recover_s is over; the operator reads the configuration, and sends a new one");
    let until = record.now() + WATCH_MS;
    let (mut read, mut tries) = (0, 0);
    while record.now() < until {
        for ip in &now_there {
            let answer = get(fleet.control_address(*ip), "/api/Config.Get");
            record.line(&format!("read     at {ip}: {}", answer.text()));
            tries += 1;
            read += u32::from(matches!(answer, Answer::Status(200, _)));
        }
        pause(1_000);
    }
    let is_acknowledged =
        fleet.order("/api/Config.Replace", &configuration(9), &now_there).is_some();
    record.line(&format!(
        "{read} of {tries} reads were answered; a new version {}",
        if is_acknowledged { "is acknowledged" } else { "is not acknowledged" }
    ));
    let sent = clients.finish();
    let served = sent.iter().filter(|s| s.answer.status() == Some(200)).count();
    record.line(&format!("{} requests sent, {served} answered with 200", sent.len()));
    if read == 0 { End::Broken } else { End::Held }
}
