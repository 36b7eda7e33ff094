//! Instances that stall: their process gets no processor time for a while.

use std::collections::VecDeque;

use kingcupgrade::{
    coordination::{
        consensus::{Consensus, ConsensusOutput, ELECTION_MIN},
        lease::LeaseManager,
    },
    core::{Instance, Millis},
    protocol::consensus::{ConsensusMessage, Member, ReplicaId},
    state::log::Stored,
};

/// The time that one step simulates, in milliseconds.
const STEP: u64 = 20;
/// Longer than a leader keeps leading without an answer from a majority, in milliseconds.
const STALL_DURATION: u64 = 1_800;

/// Three replicas, whose messages are delivered with the next step.
struct Simulation {
    now: u64,
    replicas: Vec<Consensus>,
    inboxes: Vec<VecDeque<ConsensusMessage>>,
    stalled: Option<usize>,
    /// Whether the last replica is cut off from the others.
    is_partitioned: bool,
}

fn id(index: usize) -> ReplicaId {
    ReplicaId(["a", "b", "c"][index].into(), 1)
}

impl Simulation {
    /// Starts the replicas and runs them long enough to elect a leader.
    fn new() -> Simulation {
        let members: Vec<Member> = (0..3).map(|n| Member { id: id(n), voter: true }).collect();
        let replica = |n| Consensus::new(Millis(0), id(n), Stored::initial(members.clone()), 7);
        let mut simulation = Simulation {
            now: 0,
            replicas: (0..3).map(replica).collect(),
            inboxes: vec![VecDeque::new(); 3],
            stalled: None,
            is_partitioned: false,
        };
        // All replicas have the same seed: without the stall their elections would start at the
        // same time.
        simulation.stalled = Some(1);
        simulation.run_for(700);
        simulation.stalled = None;
        simulation.run_for(2_000);
        simulation
    }

    fn leader(&self) -> usize {
        let leaders: Vec<usize> = (0..3).filter(|n| self.replicas[*n].is_leader()).collect();
        assert_eq!(leaders.len(), 1, "leaders at {} ms", self.now);
        leaders[0]
    }

    fn run_for(&mut self, span: u64) {
        for _ in 0..span / STEP {
            self.now += STEP;
            for index in (0..3).filter(|index| self.stalled != Some(*index)).collect::<Vec<_>>() {
                self.step(index);
            }
        }
    }

    /// Handles pending messages first and timers afterwards, as the processes do.
    fn step(&mut self, index: usize) {
        let now = Millis(self.now);
        let mut out = Vec::new();
        for message in std::mem::take(&mut self.inboxes[index]) {
            self.replicas[index].on_message(now, &message, &mut out);
        }
        self.replicas[index].tick(now, &mut out);
        self.replicas[index].flush(now, &mut out);
        for output in out {
            let ConsensusOutput::Send(message) = output else { continue };
            let Some(to) = (0..3).find(|n| id(*n) == message.to) else { continue };
            if !self.is_partitioned || (index != 2 && to != 2) {
                self.inboxes[to].push_back(message);
            }
        }
    }
}

/// Guards against a leader that steps down because it was stalled for a moment, although a majority
/// still follows it: changes would be refused until another leader is elected.
#[test]
fn a_leader_that_stood_still_goes_on_leading() {
    let mut simulation = Simulation::new();
    let leader = simulation.leader();
    assert!(leader < 2, "the replica that is to be cut off leads");
    let term = simulation.replicas[leader].term();
    simulation.is_partitioned = true;
    simulation.run_for(1_000);
    simulation.stalled = Some(leader);
    simulation.run_for(STALL_DURATION);
    simulation.stalled = None;
    simulation.run_for(3_000);
    assert_eq!((simulation.leader(), simulation.replicas[leader].term()), (leader, term));
}

/// Guards against a follower that starts an election because it was stalled itself: its leader's
/// heartbeats have arrived and are not handled yet.
#[test]
fn a_follower_that_stood_still_reads_its_leaders_heartbeats_first() {
    let mut simulation = Simulation::new();
    let leader = simulation.leader();
    let follower = 1 - leader;
    let heartbeats = std::mem::take(&mut simulation.inboxes[follower]);
    simulation.now += ELECTION_MIN.0 * 3;
    let (now, mut out) = (Millis(simulation.now), Vec::new());
    simulation.replicas[follower].tick(now, &mut out);
    assert!(out.is_empty(), "the follower requested votes: {out:?}");
    simulation.inboxes[follower] = heartbeats;
}

/// Guards against an entry that was stalled and takes an old refused connection as proof that a
/// process is terminated now: the processes may have restarted and elected a dispatcher since.
#[test]
fn a_refused_connection_read_after_a_stall_proves_nothing() {
    let voters: Vec<Instance> = ["a", "b", "c"].map(Instance::from).to_vec();
    let domain = "north".into();
    let mut manager = LeaseManager::new(Millis(0), 1, "a".into(), &domain, voters.clone());
    let refuse_all = |manager: &mut LeaseManager, now| {
        voters[1..].iter().for_each(|voter| manager.on_dial_failed(Millis(now), voter, true));
    };
    manager.tick(Millis(5_000), &mut Vec::new());
    refuse_all(&mut manager, 5_010);
    assert!(!manager.others_may_form_majority(Millis(5_020)), "both others are terminated");
    refuse_all(&mut manager, 15_000);
    assert!(
        manager.others_may_form_majority(Millis(15_000)),
        "the refusals may be ten seconds old"
    );
}

/// Guards against a leader that keeps leading for good without a majority because it stalls again
/// and again, as with a disk that hangs.
#[test]
fn a_leader_that_stands_still_again_and_again_steps_down_without_a_majority() {
    let mut simulation = Simulation::new();
    let leader = simulation.leader();
    simulation.stalled = Some(1 - leader);
    simulation.is_partitioned = true;
    for _ in 0..6 {
        simulation.now += 700;
        simulation.step(leader);
    }
    assert!(!simulation.replicas[leader].is_leader(), "it still leads at {} ms", simulation.now);
}
