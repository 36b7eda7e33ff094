//! Measures the commit rate of the durable record, compared to a loop of appends and syncs on the
//! same disk.
//!
//! It is measured by deposits, which include the cost of HTTP, queues and grants, and by clients
//! that speak the protocol of entries with the record's leader, which shows the capacity of the
//! record itself.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use kingcup_support::{
    caller::Caller,
    fleet::{Fleet, InstancePlan, Program, document, token},
    plain_service::PlainService,
    platform::{FakeUpstream, Platform},
    wait_until,
};
use kingcupgrade::{
    coordination::node::Input,
    core::{Instance, Millis, Settings},
    protocol::{
        Message,
        record::{ClaimId, Command, RecordMessage, Reply, RequestKey, Settlement},
    },
    transport::{
        Event,
        peers::{PeerConfig, Peers},
    },
};
use serde::Serialize;

/// The duration of the measurement of each step.
const MEASURED_TIME: Duration = Duration::from_secs(4);
/// The size of an append in bytes without the record, about that of a claim in the log.
const APPEND_LEN: usize = 200;
/// The numbers of concurrent clients to measure.
const CLIENTS: [usize; 3] = [1, 16, 256];
/// Organisations that make deposits. There are several because the number of request keys of one is
/// limited.
const ORGANISATIONS: usize = 16;
/// The instance name that the clients of the record use. It has no process in the fleet.
const CLIENT: &str = "client";
/// The timeout for a reply of the record, and for the fleet to start.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Entries of the measured fleet.
const ENTRIES: usize = 4;

#[derive(Clone, Debug, Serialize)]
struct Step {
    clients: usize,
    /// Claims and settlements committed per second.
    commits_per_s: f64,
    /// The 95th percentile of the time of a deposit, or of one change of the record.
    ms_p95: f64,
    /// The commit rate relative to the rate of bare syncs.
    ratio: f64,
}

impl Step {
    fn new(clients: usize, commits_per_s: f64, mut times: Vec<Duration>, bare: f64) -> Step {
        times.sort();
        let p95 = times.get(times.len() * 95 / 100).copied().unwrap_or_default();
        let ms_p95 = p95.as_secs_f64() * 1_000.0;
        Step { clients, commits_per_s, ms_p95, ratio: commits_per_s / bare }
    }
}

#[derive(Clone, Debug, Serialize)]
struct RecordResult {
    bare_syncs_per_s: f64,
    deposits: Vec<Step>,
    changes: Vec<Step>,
    /// Changes per disk sync of the leader, with the most clients.
    changes_a_sync: f64,
    seconds_without_leader: f64,
}

/// Runs all measurements, prints one JSON object and returns true.
pub(crate) fn exec() -> anyhow::Result<bool> {
    let platform = Platform::start(Duration::ZERO);
    let plain = PlainService::start(Duration::ZERO);
    platform.add("orders", "orders", "north", plain.address(), FakeUpstream::Plain(plain.clone()));
    let mut plans: Vec<InstancePlan> =
        (0..3).map(|n| InstancePlan::control(&format!("control-{n}"), "north")).collect();
    plans.extend((0..ENTRIES).map(|n| InstancePlan::entry(&format!("entry-{n}"), "north")));
    let program = Program {
        path: std::env::current_exe()?,
        run: vec!["instance".to_owned()],
        init: vec!["init".to_owned()],
    };
    let running: Vec<String> = plans.iter().map(|plan| plan.instance.clone()).collect();
    plans.push(InstancePlan::entry(CLIENT, "elsewhere"));
    let mut fleet = Fleet::prepare(program, &plans, &platform, false)?;
    for instance in &running {
        fleet.start_instance(instance)?;
    }
    let is_up = || running.iter().all(|instance| fleet.status(instance).is_ok());
    anyhow::ensure!(
        wait_until(REPLY_TIMEOUT, is_up),
        "an instance did not respond within {REPLY_TIMEOUT:?}"
    );
    let rest = "never_repeat:\n  - {method: POST, path: /deposits}\n\
                slots: {cold: 512, warm: 512}\nlimits: {queue_requests: 1024}\n";
    let names: Vec<String> = (0..ORGANISATIONS).map(organisation).collect();
    let organisations: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    fleet.apply("orders", 0, &document("orders", "plain-service", &organisations, rest))?;
    let is_dispatched = || fleet.dispatcher_of("orders", "north").is_some();
    anyhow::ensure!(
        wait_until(REPLY_TIMEOUT, is_dispatched),
        "no dispatcher of orders within {REPLY_TIMEOUT:?}"
    );
    let bare = measure_bare_syncs(&fleet.data_folder("control-0"))?;
    let entries: Vec<SocketAddr> =
        (0..ENTRIES).map(|n| fleet.entry(&format!("entry-{n}"))).collect();
    let deposits = CLIENTS.map(|clients| measure_deposits(clients, &entries, bare)).to_vec();
    let mut clients = RecordClients::start(&fleet)?;
    let mut changes = Vec::new();
    let mut changes_a_sync = 0.0;
    for count in CLIENTS {
        let leader = clients.leader.clone();
        let syncs = || fleet.metric(leader.as_str(), "kingcup_disk_syncs");
        let before = syncs();
        let (step, made) = clients.measure(count, bare)?;
        changes.push(step);
        changes_a_sync = made as f64 / (syncs() - before);
    }
    let seconds_without_leader = measure_failover(&mut fleet)?;
    let result = RecordResult {
        bare_syncs_per_s: bare,
        deposits,
        changes,
        changes_a_sync,
        seconds_without_leader,
    };
    println!("{}", serde_json::to_string(&result)?);
    Ok(true)
}

fn organisation(n: usize) -> String {
    format!("org-{n}")
}

/// Returns the rate per second of appends that are each synced before the next.
fn measure_bare_syncs(folder: &Path) -> anyhow::Result<f64> {
    let path = folder.join("bare");
    let mut f = File::create(&path)?;
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < MEASURED_TIME / 2 {
        f.write_all(&[7; APPEND_LEN])?;
        f.sync_data()?;
        count += 1;
    }
    let rate = f64::from(count) / start.elapsed().as_secs_f64();
    std::fs::remove_file(path)?;
    Ok(rate)
}

fn measure_deposits(clients: usize, entries: &[SocketAddr], bare: f64) -> Step {
    let stop = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicUsize::new(0));
    let threads = (0..clients).map(|n| {
        let (stop, done) = (stop.clone(), done.clone());
        let entry = entries[n % entries.len()];
        thread::spawn(move || send_deposits(clients, n, entry, &stop, &done))
    });
    let threads: Vec<_> = threads.collect();
    thread::sleep(Duration::from_millis(500));
    let (start, before) = (Instant::now(), done.load(Ordering::SeqCst));
    thread::sleep(MEASURED_TIME);
    let rate = (done.load(Ordering::SeqCst) - before) as f64 / start.elapsed().as_secs_f64();
    stop.store(true, Ordering::SeqCst);
    let times = threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default());
    // A deposit commits a claim and a settlement.
    Step::new(clients, 2.0 * rate, times.collect(), bare)
}

fn send_deposits(
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

/// Kills the leader and returns the seconds until another instance leads.
fn measure_failover(fleet: &mut Fleet) -> anyhow::Result<f64> {
    let timeout = Duration::from_secs(30);
    let mut leader = None;
    wait_until(timeout, || {
        leader = fleet.leader();
        leader.is_some()
    });
    let leader = leader.ok_or_else(|| anyhow::anyhow!("the record has no leader"))?;
    let start = Instant::now();
    fleet.kill(&leader);
    let found = wait_until(timeout, || fleet.leader().is_some_and(|l| l != leader));
    anyhow::ensure!(found, "no other instance became leader within {timeout:?}");
    Ok(start.elapsed().as_secs_f64())
}

/// Clients of the record in this process.
///
/// Each has one change in flight: a claim, then its release, and so on.
struct RecordClients {
    peers: Peers,
    events: mpsc::Receiver<Event>,
    leader: Instance,
    next: u64,
}

impl RecordClients {
    fn start(fleet: &Fleet) -> anyhow::Result<RecordClients> {
        let leader = fleet.leader().ok_or_else(|| anyhow::anyhow!("the record has no leader"))?;
        let text = std::fs::read_to_string(fleet.settings_path(CLIENT))?;
        let (tx, events) = mpsc::channel();
        let peers = Peers::start(PeerConfig::of(&Arc::new(Settings::parse(&text)?), tx))?;
        Ok(RecordClients { peers, events, leader: leader.as_str().into(), next: 1 })
    }

    /// Returns the measured step and the number of changes made.
    fn measure(&mut self, clients: usize, bare: f64) -> anyhow::Result<(Step, usize)> {
        let mut in_flight: BTreeMap<u64, (usize, bool, Instant)> = BTreeMap::new();
        for client in 0..clients {
            let id = self.propose(client, false);
            in_flight.insert(id, (client, false, Instant::now()));
        }
        let (start, mut times) = (Instant::now(), Vec::new());
        while start.elapsed() < MEASURED_TIME {
            let (id, reply) = self.next_reply()?;
            let Some((client, is_release, sent)) = in_flight.remove(&id) else { continue };
            let is_made = matches!(reply, Reply::Claimed | Reply::Settled);
            anyhow::ensure!(is_made, "unexpected reply of the record: {reply:?}");
            times.push(sent.elapsed());
            let id = self.propose(client, !is_release);
            in_flight.insert(id, (client, !is_release, Instant::now()));
        }
        let seconds = start.elapsed().as_secs_f64();
        // Wait for the changes in flight, so that they do not count in the next measurement.
        while !in_flight.is_empty() {
            let (id, _) = self.next_reply()?;
            in_flight.remove(&id);
        }
        let made = times.len();
        Ok((Step::new(clients, made as f64 / seconds, times, bare), made))
    }

    fn propose(&mut self, client: usize, release: bool) -> u64 {
        let id = self.next;
        self.next += 1;
        // All claims of a client have the same ID, so that a release refers to the claim before it.
        let claim = ClaimId(u64::MAX, client as u64);
        let key = RequestKey {
            service: "orders".into(),
            organisation: organisation(client % ORGANISATIONS).as_str().into(),
            key: format!("client-{client}"),
        };
        let command = if release {
            Command::Settle { id: claim, key, settlement: Settlement::Released }
        } else {
            Command::Claim { id: claim, key, digest: 1, span: Millis(60_000) }
        };
        let message = Message::Record(RecordMessage::Propose { id, command });
        self.peers.send(&self.leader, &message);
        id
    }

    fn next_reply(&self) -> anyhow::Result<(u64, Reply)> {
        loop {
            let event = self.events.recv_timeout(REPLY_TIMEOUT)?;
            let Event::Input(Input::Received(_, Message::Record(message))) = event else {
                continue;
            };
            if let RecordMessage::Answer { id, reply } = message {
                return Ok((id, reply));
            }
        }
    }
}
