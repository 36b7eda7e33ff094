//! How fast the durable record commits, against a bare loop of appends and syncs on the same disk.

use std::{
    fs::File,
    io::Write,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use kingcup_support::{
    caller::Caller,
    fleet::{Fleet, Plan, Program, document, token},
    plain::Plain,
    platform::{Backend, Platform},
    wait_until,
};
use serde::Serialize;

/// How long each step is measured.
const SPAN: Duration = Duration::from_secs(4);
/// The size of a bare append, about that of a claim in the log.
const APPEND_LEN: usize = 200;
/// Organisations that make deposits; each may have so many request keys and no more.
const ORGANISATIONS: usize = 16;
/// Entries of the measured fleet.
const ENTRIES: usize = 4;

#[derive(Clone, Debug, Serialize)]
struct Step {
    clients: usize,
    /// Claims and settlements made final each second.
    commits_per_s: f64,
    deposit_ms_p95: f64,
    /// Commits against bare syncs.
    ratio: f64,
}

#[derive(Clone, Debug, Serialize)]
struct RecordResult {
    bare_syncs_per_s: f64,
    steps: Vec<Step>,
    seconds_without_leader: f64,
}

/// Measures and prints one JSON object.
pub(crate) fn exec() -> anyhow::Result<bool> {
    let platform = Platform::start(Duration::ZERO);
    let plain = Plain::start(Duration::ZERO);
    platform.add("orders", "orders", "north", plain.address(), Backend::Plain(plain.clone()));
    let mut plans: Vec<Plan> =
        (0..3).map(|n| Plan::control(&format!("control-{n}"), "north")).collect();
    plans.extend((0..ENTRIES).map(|n| Plan::entry(&format!("entry-{n}"), "north")));
    let program = Program {
        path: std::env::current_exe()?,
        run: vec!["instance".to_owned()],
        init: vec!["init".to_owned()],
    };
    let mut fleet = Fleet::start(program, &plans, &platform, false)?;
    let rest = "never_repeat:\n  - {method: POST, path: /deposits}\n\
                slots: {cold: 512, warm: 512}\nlimits: {queue_requests: 1024}\n";
    let names: Vec<String> = (0..ORGANISATIONS).map(organisation).collect();
    let organisations: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    fleet.apply("orders", 0, &document("orders", "plain-service", &organisations, rest))?;
    fleet.wait_for_dispatchers("orders")?;
    let bare = bare_syncs(&fleet.data_folder("control-0"))?;
    let entries: Vec<SocketAddr> = fleet.entries().iter().map(|(i, _)| fleet.entry(i)).collect();
    let steps = [1, 16, 256].map(|clients| measure(clients, &entries, bare)).to_vec();
    let seconds_without_leader = without_leader(&mut fleet)?;
    let result = RecordResult { bare_syncs_per_s: bare, steps, seconds_without_leader };
    println!("{}", serde_json::to_string(&result)?);
    Ok(true)
}

fn organisation(n: usize) -> String {
    format!("org-{n}")
}

/// Appends and syncs one after the other.
fn bare_syncs(folder: &Path) -> anyhow::Result<f64> {
    let path = folder.join("bare");
    let mut f = File::create(&path)?;
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < SPAN / 2 {
        f.write_all(&[7; APPEND_LEN])?;
        f.sync_data()?;
        count += 1;
    }
    let rate = f64::from(count) / start.elapsed().as_secs_f64();
    std::fs::remove_file(path)?;
    Ok(rate)
}

fn measure(clients: usize, entries: &[SocketAddr], bare: f64) -> Step {
    let stop = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicUsize::new(0));
    let threads = (0..clients).map(|n| {
        let (stop, done) = (stop.clone(), done.clone());
        let entry = entries[n % entries.len()];
        thread::spawn(move || deposit_all(clients, n, entry, &stop, &done))
    });
    let threads: Vec<_> = threads.collect();
    thread::sleep(Duration::from_millis(500));
    let (start, before) = (Instant::now(), done.load(Ordering::SeqCst));
    thread::sleep(SPAN);
    let rate = (done.load(Ordering::SeqCst) - before) as f64 / start.elapsed().as_secs_f64();
    stop.store(true, Ordering::SeqCst);
    let times = threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default());
    let mut times: Vec<Duration> = times.collect();
    times.sort();
    let p95 = times.get(times.len() * 95 / 100).copied().unwrap_or_default();
    // Each deposit is a claim and a settlement.
    let commits_per_s = 2.0 * rate;
    Step {
        clients,
        commits_per_s,
        deposit_ms_p95: p95.as_secs_f64() * 1_000.0,
        ratio: commits_per_s / bare,
    }
}

fn deposit_all(
    clients: usize,
    n: usize,
    entry: SocketAddr,
    stop: &AtomicBool,
    done: &AtomicUsize,
) -> Vec<Duration> {
    let caller = Caller::new(&token(&organisation(n % ORGANISATIONS)));
    let mut times = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let key = format!("{clients}-{n}-{}", times.len());
        let start = Instant::now();
        let answer = caller.post(entry, "/orders/deposits", "50", Some(&key));
        if answer.outcome == "done" {
            done.fetch_add(1, Ordering::SeqCst);
            times.push(start.elapsed());
        } else {
            thread::sleep(Duration::from_millis(100));
        }
    }
    times
}

/// Kills the leader and returns how long it takes until another leads.
fn without_leader(fleet: &mut Fleet) -> anyhow::Result<f64> {
    let patience = Duration::from_secs(30);
    let mut leader = None;
    wait_until(patience, || {
        leader = fleet.leader();
        leader.is_some()
    });
    let leader = leader.ok_or_else(|| anyhow::anyhow!("nobody leads"))?;
    let start = Instant::now();
    fleet.kill(&leader);
    let found = wait_until(patience, || fleet.leader().is_some_and(|l| l != leader));
    anyhow::ensure!(found, "nobody takes the lead");
    Ok(start.elapsed().as_secs_f64())
}
