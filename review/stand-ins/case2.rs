//! An entry of the platform's list holds bytes that can't be read, while replicas are replaced.

mod rig;

use std::{path::Path, time::Duration};

use rig::{Clients, End, Fleet, Record, Replica, ZONES, configuration, pause, run};

const SERVICE: &str = "wuno96b";
const DRAIN_MS: u64 = 3_000;
/// How long a replica that leaves goes on serving, from when the list shows it as draining:
/// `drain_ms` and a little longer.
const SERVES_MS: u64 = 6_000;
/// The time from the end of one release to the next.
const GAP_MS: u64 = 1_000;
const WATCH_MS: u64 = 10_000;

fn main() {
    run(script);
}

fn script(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> End {
    let mut fleet = Fleet::prepare(root, folder, record);
    let work = Duration::from_millis(60);
    let start = |number: u8, zone: &str| {
        let ip = fleet.ip(101 + number);
        Replica::start(record, ip, &format!("i-{number}a91c2"), SERVICE, zone, work)
    };
    let old: Vec<Replica> = (0..3).map(|n| start(n, ZONES[n as usize])).collect();
    let new: Vec<Replica> = (3..6).map(|n| start(n, ZONES[n as usize - 3])).collect();
    for replica in &old {
        fleet.list.put(&replica.id, replica.entry("ready"));
    }
    fleet.start();
    if let Err(why) = fleet.configure(&configuration(7)) {
        return End::CouldNotRun(why);
    }
    let clients = Clients::start(record, fleet.front_addresses(), Duration::from_millis(20), 1_000);
    pause(3_000);
    if has_trouble {
        // Written by another program, in another encoding. It names no replica; the others hold.
        let mut entry =
            br#"{"service":"intranet","address":"127.0.0.1:9","zone":"santiago-b","version":"Stra"#
                .to_vec();
        entry.extend_from_slice(b"\xdf");
        entry.extend_from_slice(
            br#"e 2","slots":1,"state":"ready","cold_remaining_ms":0,"id":"x-1"}"#,
        );
        record.line("list     an entry of another writer appears, with a byte that is not UTF-8");
        fleet.list.put("x-1", entry);
    }
    pause(2_000);
    // Three releases, each of one replica of the three.
    let mut listed = Vec::new();
    for (old, new) in old.iter().zip(&new) {
        fleet.list.put(&new.id, new.entry("ready"));
        fleet.list.put(&old.id, old.entry("draining"));
        old.leave();
        let at = record.now();
        listed.push(at);
        record.line(&format!("list     {} is ready, {} is draining", new.id, old.id));
        pause((at + SERVES_MS).saturating_sub(record.now()));
        old.end();
        fleet.list.remove(&old.id);
        record.line(&format!("replica  {} ends, and is gone from the list", old.id));
        pause(GAP_MS);
    }
    let released = record.now();
    pause(WATCH_MS);
    let reads = fleet.list.reads.load(std::sync::atomic::Ordering::SeqCst);
    let sent = clients.finish();
    record.line(&format!("the list was read {reads} times"));
    let mut late = 0;
    for (old, at) in old.iter().zip(&listed) {
        let runs = old.runs.lock().unwrap();
        let count = runs.iter().filter(|run| run.at > at + DRAIN_MS).count();
        record.line(&format!(
            "{}: {count} requests later than drain_ms after it was listed as draining",
            old.id
        ));
        late += count;
    }
    let runs = |replica: &Replica| replica.runs.lock().unwrap().len();
    record.line(&format!(
        "the three new replicas got {} requests",
        new.iter().map(runs).sum::<usize>()
    ));
    let ran = |id: &str| {
        old.iter().chain(&new).any(|r| r.runs.lock().unwrap().iter().any(|run| run.id == id))
    };
    let lost =
        sent.iter().filter(|s| s.is_unsafe && s.answer.status() != Some(200) && ran(&s.id)).count();
    record.line(&format!(
        "{lost} requests that may run once ran and have no answer of their replica"
    ));
    let after: Vec<_> = sent.iter().filter(|s| s.at > released + 500).collect();
    let served = after.iter().filter(|s| s.answer.status() == Some(200)).count();
    record.line(&format!(
        "after the release {} requests were sent, {served} were served",
        after.len()
    ));
    let before = sent.iter().filter(|s| s.at < listed[0] && s.answer.status() == Some(200)).count();
    if before < 50 {
        return End::CouldNotRun("too little was served before the release".to_owned());
    }
    if late > 0 { End::Broken } else { End::Held }
}
