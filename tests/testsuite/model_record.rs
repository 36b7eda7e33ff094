//! Simulates the replicas of the record under random faults.
//!
//! Messages are lost, duplicated and reordered; replicas crash before and after a disk sync, and
//! restart from the synced state. With `with_disk_losses`, disks are also lost one after another,
//! and an operator adds and removes members at any time.

use std::collections::BTreeMap;

use kingcupgrade::{
    coordination::consensus::{Consensus, ConsensusOutput},
    core::Millis,
    protocol::{
        consensus::{ConsensusMessage, LogEntry, Member, Payload, ReplicaId, Snapshot},
        record::{ClaimId, Command, Reply, RequestKey},
    },
    state::{
        log::{HardState, Log, Persist, Stored},
        record::Record,
    },
};
use proptest::{prelude::*, test_runner::RngSeed};

const STEP_MS: u64 = 10;
const FAULT_PERIOD_MS: u64 = 30_000;
const RECOVERY_PERIOD_MS: u64 = 8_000;
/// The time within which a lost disk is repaired: the empty replica announces itself, catches up
/// as a learner, and two membership changes are committed.
const REPAIR_PERIOD_MS: u64 = 20_000;

/// An in-memory disk that holds the synced state.
#[derive(Clone)]
struct FakeDisk {
    hard_state: HardState,
    log: Log,
}

impl FakeDisk {
    fn write(&mut self, persist: Persist) {
        match persist {
            Persist::HardState(state) => self.hard_state = state,
            Persist::Entries(entries) => {
                for entry in entries {
                    self.log.truncate(entry.index);
                    self.log.push(entry);
                }
            }
            Persist::Snapshot(snapshot) => self.log.compact(snapshot),
        }
    }
}

struct Replica {
    id: ReplicaId,
    disk: FakeDisk,
    running: Option<(Consensus, Record)>,
}

struct Cluster {
    now: u64,
    random: u64,
    replicas: Vec<Replica>,
    network: BTreeMap<(u64, u64), ConsensusMessage>,
    sent: u64,
    faults_enabled: bool,
    /// Whether disks are lost and members added and removed.
    with_disk_losses: bool,
    disk_losses: u32,
    /// The partition's side of each replica, one bit per replica. Messages between replicas with
    /// different bits are dropped.
    partition_sides: u64,
    /// The entry that the first replica to apply each index applied there.
    applied: BTreeMap<u64, LogEntry>,
    /// The leader observed in each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// The claim that was granted each request key.
    claims: BTreeMap<String, ClaimId>,
    accepted: BTreeMap<(String, u64), u64>,
    next_number: u64,
}

impl Cluster {
    fn new(seed: u64, size: usize, with_disk_losses: bool) -> Cluster {
        let ids: Vec<ReplicaId> =
            (0..size).map(|n| ReplicaId(format!("control-{n}").as_str().into(), 1)).collect();
        let members: Vec<Member> =
            ids.iter().map(|id| Member { id: id.clone(), voter: true }).collect();
        let replicas = ids.into_iter().map(|id| {
            let Stored { hard_state, log } = Stored::initial(members.clone());
            Replica { id, disk: FakeDisk { hard_state, log }, running: None }
        });
        let mut cluster = Cluster {
            now: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            replicas: replicas.collect(),
            network: BTreeMap::new(),
            sent: 0,
            faults_enabled: true,
            with_disk_losses,
            disk_losses: 0,
            partition_sides: 0,
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            claims: BTreeMap::new(),
            accepted: BTreeMap::new(),
            next_number: 1,
        };
        for n in 0..size {
            cluster.start(n);
        }
        cluster
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound
    }

    fn start(&mut self, n: usize) {
        let seed = self.random_below(u64::MAX);
        let now = Millis(self.now);
        let replica = &mut self.replicas[n];
        let FakeDisk { hard_state, log } = replica.disk.clone();
        let record = Record::decode(&log.snapshot().data).expect("a readable snapshot");
        let stored = Stored { hard_state, log };
        replica.running = Some((Consensus::new(now, replica.id.clone(), stored, seed), record));
    }

    fn drive(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut Consensus, &mut Vec<ConsensusOutput>),
    ) -> Result<(), TestCaseError> {
        let crash = if self.faults_enabled { self.random_below(1_500) } else { u64::MAX };
        let Some((consensus, _)) = &mut self.replicas[n].running else { return Ok(()) };
        let mut outputs = Vec::new();
        act(consensus, &mut outputs);
        if crash == 0 {
            // Crash before the sync: none of these outputs is on disk or was sent.
            self.replicas[n].running = None;
            return Ok(());
        }
        let (writes, rest): (Vec<_>, Vec<_>) =
            outputs.into_iter().partition(|o| matches!(o, ConsensusOutput::Persist(_)));
        for write in writes {
            if let ConsensusOutput::Persist(persist) = write {
                self.replicas[n].disk.write(persist);
            }
        }
        if crash == 1 {
            // Crash after the sync: all writes are on disk, and no message was sent.
            self.replicas[n].running = None;
            return Ok(());
        }
        for output in rest {
            self.process_output(n, output)?;
        }
        self.check_leader(n)
    }

    fn process_output(&mut self, n: usize, output: ConsensusOutput) -> Result<(), TestCaseError> {
        match output {
            ConsensusOutput::Persist(_) => {}
            ConsensusOutput::Send(message) => self.send(&message),
            ConsensusOutput::Apply(entry) => self.apply(n, &entry)?,
            ConsensusOutput::Restore(snapshot) => self.restore(n, &snapshot),
        }
        Ok(())
    }

    fn restore(&mut self, n: usize, snapshot: &Snapshot) {
        let record = Record::decode(&snapshot.data).expect("a readable snapshot");
        if let Some((_, known)) = &mut self.replicas[n].running {
            *known = record;
        }
    }

    fn apply(&mut self, n: usize, entry: &LogEntry) -> Result<(), TestCaseError> {
        let first = self.applied.entry(entry.index).or_insert_with(|| entry.clone());
        prop_assert!(
            first == entry,
            "two different entries were committed at index {}",
            entry.index
        );
        let Some((_, record)) = &mut self.replicas[n].running else { return Ok(()) };
        let reply = record.apply(entry);
        let Payload::Command(command) = &entry.payload else { return Ok(()) };
        match (command, reply) {
            (Command::Claim { id, key, .. }, Some(Reply::Claimed)) => {
                let owner = self.claims.entry(key.key.clone()).or_insert(*id);
                prop_assert!(owner == id, "{} was granted to two claims", key.key);
            }
            (Command::SetDomain { change, .. }, Some(Reply::Accepted { index, .. })) => {
                let known = self.accepted.entry((change.clone(), 0)).or_insert(index);
                prop_assert!(*known == index, "{change} was accepted twice");
            }
            _ => {}
        }
        Ok(())
    }

    fn check_leader(&mut self, n: usize) -> Result<(), TestCaseError> {
        let Some((consensus, _)) = &self.replicas[n].running else { return Ok(()) };
        if consensus.is_leader() {
            let id = &self.replicas[n].id;
            let known = self.leaders.entry(consensus.term()).or_insert_with(|| id.clone());
            prop_assert!(known == id, "two leaders in term {}", consensus.term());
        }
        Ok(())
    }

    fn send(&mut self, message: &ConsensusMessage) {
        if message.to.1 == 0 {
            // Replica number 0 addresses all control instances.
            for to in self.replicas.iter().map(|replica| replica.id.clone()).collect::<Vec<_>>() {
                self.send(&ConsensusMessage { to, ..message.clone() });
            }
            return;
        }
        let copies = if !self.faults_enabled {
            1
        } else {
            match self.random_below(100) {
                0..8 => 0,
                8..12 => 2,
                _ => 1,
            }
        };
        for _ in 0..copies {
            let slow = self.faults_enabled && self.random_below(20) == 0;
            let delay = if slow { self.random_below(2_000) } else { 1 + self.random_below(30) };
            self.sent += 1;
            self.network.insert((self.now + delay, self.sent), message.clone());
        }
    }

    fn deliver(&mut self) -> Result<(), TestCaseError> {
        while self.network.first_key_value().is_some_and(|((due, _), _)| *due <= self.now) {
            let Some((_, message)) = self.network.pop_first() else { break };
            let place = |id: &ReplicaId| self.replicas.iter().position(|r| r.id == *id);
            let (from, to) = (place(&message.from), place(&message.to));
            let (Some(from), Some(to)) = (from, to) else { continue };
            if (self.partition_sides >> from ^ self.partition_sides >> to) & 1 == 1 {
                continue;
            }
            let now = Millis(self.now);
            self.drive(to, |consensus, out| consensus.on_message(now, &message, out))?;
        }
        Ok(())
    }

    fn propose(&mut self) -> Result<(), TestCaseError> {
        let n = self.random_below(self.replicas.len() as u64) as usize;
        self.next_number += 1;
        // Keys and changes are drawn from a small range, so that many proposals conflict.
        let subject = self.random_below(200);
        let command = if self.random_below(2) == 0 {
            Command::Claim {
                id: ClaimId(n as u64, self.next_number),
                key: RequestKey {
                    service: "orders".into(),
                    organisation: "alder".into(),
                    key: format!("key-{subject}"),
                },
                digest: 1,
                span: Millis(1_000_000),
            }
        } else {
            Command::SetDomain {
                change: format!("change-{subject}"),
                domain: "north".into(),
                out: true,
            }
        };
        let now = Millis(self.now);
        self.drive(n, |consensus, out| {
            // Only the leader accepts proposals; a refusal is expected.
            let _ = consensus.propose(now, now.0, Payload::Command(command), out);
        })
    }

    fn compact(&mut self) -> Result<(), TestCaseError> {
        let n = self.random_below(self.replicas.len() as u64) as usize;
        let Some((consensus, record)) = &mut self.replicas[n].running else { return Ok(()) };
        if consensus.log().len() < 30 {
            return Ok(());
        }
        let data = record.encode();
        self.drive(n, |consensus, out| consensus.compact(data, out))
    }

    fn inject_faults(&mut self) {
        let n = self.random_below(self.replicas.len() as u64) as usize;
        match self.random_below(800) {
            0..8 if self.replicas[n].running.is_none() => self.start(n),
            8 if self.with_disk_losses => {
                self.partition_sides = self.random_below(1 << self.replicas.len())
            }
            8 => self.partition_sides = 1 << n,
            9..12 => self.partition_sides = 0,
            _ => {}
        }
    }

    /// Returns the members set by the last committed membership entry.
    fn committed_members(&self) -> Option<&[Member]> {
        self.applied.values().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.as_slice()),
            Payload::Command(_) | Payload::Noop => None,
        })
    }

    /// Returns whether every replica is a voter, both in the committed membership and in the
    /// membership in each replica's own log.
    fn membership_is_complete(&self) -> bool {
        let is_all = |members: &[Member]| {
            let votes =
                |id: &ReplicaId| members.iter().any(|member| member.voter && member.id == *id);
            members.len() == self.replicas.len() && self.replicas.iter().all(|r| votes(&r.id))
        };
        let in_order = |replica: &Replica| is_all(replica.disk.log.members().0);
        self.committed_members().is_none_or(is_all) && self.replicas.iter().all(in_order)
    }

    /// Empties an instance's data folder, which gives it a new replica number.
    fn wipe(&mut self, n: usize) {
        let replica = &mut self.replicas[n];
        replica.id.1 += 1;
        let Stored { hard_state, log } = Stored::initial(Vec::new());
        replica.disk = FakeDisk { hard_state, log };
        replica.running = None;
        self.start(n);
    }

    /// Loses a disk if the previous loss has been repaired, and issues an operator's membership
    /// changes at a replica that considers itself the leader.
    ///
    /// The next loss waits for the repair because an operator repairs a loss before anything else.
    fn lose_disk_and_repair(&mut self) -> Result<(), TestCaseError> {
        let n = self.random_below(self.replicas.len() as u64) as usize;
        if self.faults_enabled && self.membership_is_complete() && self.random_below(150) == 0 {
            self.disk_losses += 1;
            self.wipe(n);
        }
        let is_removed = |members: &[Member]| !members.iter().any(|m| m.id == self.replicas[n].id);
        let knows_a_record = !self.replicas[n].disk.log.members().0.is_empty();
        if knows_a_record
            && self.committed_members().is_some_and(is_removed)
            && self.random_below(50) == 0
        {
            // The record has removed this replica: it rejoins with an empty data folder.
            self.wipe(n);
        }
        if self.random_below(10) > 0 {
            return Ok(());
        }
        let now = Millis(self.now);
        let ids: Vec<ReplicaId> = self.replicas.iter().map(|r| r.id.clone()).collect();
        let remove_healthy = self.faults_enabled && self.random_below(8) == 0;
        self.drive(n, |consensus, out| {
            if !consensus.is_leader() {
                return;
            }
            let (own, members) = (consensus.id().clone(), consensus.members().to_vec());
            let lost = members.iter().find(|member| !ids.contains(&member.id));
            // A lost member is removed first: removing a healthy member while one is lost would
            // amount to a second loss.
            let may_remove = remove_healthy && lost.is_none();
            let healthy = members.iter().filter(|m| may_remove && m.id != own);
            let unknown = ids.iter().find(|id| !members.iter().any(|m| m.id == **id));
            // Any change may be refused, and the second of two concurrent ones must be. The
            // operator retries.
            for Member { id, .. } in lost.into_iter().chain(healthy.take(2)) {
                let _ = consensus.remove_member(now, now.0, &id.0, Some(id.1), out);
            }
            if let Some(id) = unknown {
                let _ = consensus.add_member(now, now.0, &id.0, out);
            }
        })
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
        self.now += STEP_MS;
        if self.faults_enabled {
            self.inject_faults();
        }
        if self.with_disk_losses {
            self.lose_disk_and_repair()?;
        }
        self.deliver()?;
        if self.random_below(6) == 0 {
            self.propose()?;
        }
        if self.random_below(40) == 0 {
            self.compact()?;
        }
        let now = Millis(self.now);
        for n in 0..self.replicas.len() {
            self.drive(n, |consensus, out| consensus.tick(now, out))?;
        }
        Ok(())
    }

    fn commit(&self) -> u64 {
        let running = self.replicas.iter().filter_map(|replica| replica.running.as_ref());
        running.map(|(consensus, _)| consensus.commit()).max().unwrap_or(0)
    }
}

fn run(seed: u64, size: usize) -> Result<(), TestCaseError> {
    run_cluster(Cluster::new(seed, size, false), RECOVERY_PERIOD_MS).map(|_| ())
}

/// Returns the number of disks lost.
fn run_with_disk_losses(seed: u64, size: usize) -> Result<u32, TestCaseError> {
    let cluster = run_cluster(Cluster::new(seed, size, true), REPAIR_PERIOD_MS)?;
    prop_assert!(cluster.membership_is_complete(), "the last disk loss is not repaired");
    Ok(cluster.disk_losses)
}

/// The time within which an entry must be committed after all replicas start at once without
/// faults: twice the longest initial election timeout, to allow for one split vote, plus a few
/// messages of 30 ms each.
const SIMULTANEOUS_START_LIMIT_MS: u64 = 1_500;

/// Starts all replicas simultaneously, repeatedly under faults and then once without.
fn run_simultaneous_starts(seed: u64, size: usize) -> Result<(), TestCaseError> {
    let mut cluster = Cluster::new(seed, size, false);
    let start_all = |cluster: &mut Cluster| (0..size).for_each(|n| cluster.start(n));
    while cluster.now < FAULT_PERIOD_MS {
        if cluster.random_below(150) == 0 {
            start_all(&mut cluster);
        }
        cluster.step()?;
    }
    cluster.faults_enabled = false;
    cluster.partition_sides = 0;
    cluster.network.clear();
    start_all(&mut cluster);
    let before = cluster.applied.len();
    let until = cluster.now + SIMULTANEOUS_START_LIMIT_MS;
    while cluster.now < until {
        cluster.step()?;
    }
    prop_assert!(
        cluster.applied.len() > before,
        "no entry is committed after a simultaneous start"
    );
    Ok(())
}

fn run_cluster(mut cluster: Cluster, recovery: u64) -> Result<Cluster, TestCaseError> {
    let size = cluster.replicas.len();
    while cluster.now < FAULT_PERIOD_MS {
        cluster.step()?;
    }
    cluster.faults_enabled = false;
    cluster.partition_sides = 0;
    for n in 0..size {
        if cluster.replicas[n].running.is_none() {
            cluster.start(n);
        }
    }
    let before = cluster.commit();
    while cluster.now < FAULT_PERIOD_MS + recovery {
        cluster.step()?;
    }
    prop_assert!(cluster.commit() > before, "no entry is committed after the faults");
    let last = *cluster.applied.keys().last().expect("applied entries");
    prop_assert!(last >= before, "a committed entry was lost");
    Ok(cluster)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against two leaders in one term and against replacing a committed log entry: either
    // would grant one deposit's request key to two entry instances, and the deposit would be
    // charged twice.
    #[test]
    fn no_final_entry_is_lost_and_no_key_given_twice(seed in any::<u64>()) {
        run(seed, 3)?;
        run(seed, 5)?;
    }

    // Guards against seconds of downtime after all instances stopped at once, and against losing
    // committed entries in the many elections that simultaneous starts cause.
    #[test]
    fn a_common_start_loses_nothing_and_ends_soon(seed in any::<u64>()) {
        run_simultaneous_starts(seed, 3)?;
        run_simultaneous_starts(seed, 4)?;
        run_simultaneous_starts(seed, 5)?;
    }

    // Guards against losing an accepted change or a deposit's request key while disks are lost and
    // replaced one after another amid all other faults. A member that votes before it has caught
    // up, or two concurrent membership changes, would allow two majorities that do not overlap.
    #[test]
    fn no_final_entry_is_lost_while_disks_are_replaced(seed in any::<u64>()) {
        prop_assert!(run_with_disk_losses(seed, 3)? + run_with_disk_losses(seed, 5)? > 0);
    }
}

// Guards against a leader that steps down right after its election. A replica elected more than
// 1.5 s after its process started counted the other replicas as silent since that start and stepped
// down at once, so nothing was committed again after a crash.
#[test]
fn a_late_leader_stays_in_office() {
    run(1_311_768_467_463_790_321, 3).expect("entries are committed after the faults");
}

// Guards against losing the quorum when an instance loses its disk again while the first loss is
// being repaired. The replacement had been made a voter alongside the lost replica, so two of four
// voters were lost and nothing could be committed again.
#[test]
fn a_newcomer_lost_before_the_repair_ends_costs_nothing() {
    run_with_disk_losses(16_119_409_534_279_837_912, 3)
        .expect("entries are committed after the faults");
}
