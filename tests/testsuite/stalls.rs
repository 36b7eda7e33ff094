//! Instances whose processor stands still for a moment.

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

const STEP: u64 = 20;
/// Longer than a leader may be without word from a majority.
const STALL: u64 = 1_800;

/// Three replicas of which the last is cut off, and messages that arrive with the next step.
struct World {
    now: u64,
    replicas: Vec<Consensus>,
    inboxes: Vec<VecDeque<ConsensusMessage>>,
    stalled: Option<usize>,
    is_cut: bool,
}

fn id(place: usize) -> ReplicaId {
    ReplicaId(["a", "b", "c"][place].into(), 1)
}

impl World {
    /// Starts the replicas and waits for the first to lead.
    fn new() -> World {
        let members: Vec<Member> = (0..3).map(|n| Member { id: id(n), voter: true }).collect();
        let replica = |n| Consensus::new(Millis(0), id(n), Stored::initial(members.clone()), 7);
        let mut world = World {
            now: 0,
            replicas: (0..3).map(replica).collect(),
            inboxes: vec![VecDeque::new(); 3],
            stalled: None,
            is_cut: false,
        };
        // The others would stand for election in the same moment.
        world.stalled = Some(1);
        world.play(700);
        world.stalled = None;
        world.play(2_000);
        world
    }

    fn leader(&self) -> usize {
        let leaders: Vec<usize> = (0..3).filter(|n| self.replicas[*n].is_leader()).collect();
        assert_eq!(leaders.len(), 1, "leaders at {} ms", self.now);
        leaders[0]
    }

    fn play(&mut self, span: u64) {
        for _ in 0..span / STEP {
            self.now += STEP;
            for place in (0..3).filter(|place| self.stalled != Some(*place)).collect::<Vec<_>>() {
                self.step(place);
            }
        }
    }

    /// Handles what has arrived and then the passing of time, as processes do.
    fn step(&mut self, place: usize) {
        let now = Millis(self.now);
        let mut out = Vec::new();
        for message in std::mem::take(&mut self.inboxes[place]) {
            self.replicas[place].on_message(now, &message, &mut out);
        }
        self.replicas[place].tick(now, &mut out);
        self.replicas[place].flush(now, &mut out);
        for output in out {
            let ConsensusOutput::Send(message) = output else { continue };
            let Some(to) = (0..3).find(|n| id(*n) == message.to) else { continue };
            if !self.is_cut || (place != 2 && to != 2) {
                self.inboxes[to].push_back(message);
            }
        }
    }
}

/// Guards against a leader that deposes itself because it stood still for a moment, though a majority
/// follows it: changes are refused until another one is elected.
#[test]
fn a_leader_that_stood_still_goes_on_leading() {
    let mut world = World::new();
    let leader = world.leader();
    assert!(leader < 2, "the replica that is cut off leads");
    let term = world.replicas[leader].term();
    world.is_cut = true;
    world.play(1_000);
    world.stalled = Some(leader);
    world.play(STALL);
    world.stalled = None;
    world.play(3_000);
    assert_eq!((world.leader(), world.replicas[leader].term()), (leader, term));
}

/// Guards against a follower that stands for election because it stood still itself: its leader's
/// heartbeats have arrived and are not read yet.
#[test]
fn a_follower_that_stood_still_reads_its_leaders_heartbeats_first() {
    let mut world = World::new();
    let leader = world.leader();
    let follower = 1 - leader;
    let heartbeats = std::mem::take(&mut world.inboxes[follower]);
    world.now += ELECTION_MIN.0 * 3;
    let (now, mut out) = (Millis(world.now), Vec::new());
    world.replicas[follower].tick(now, &mut out);
    assert!(out.is_empty(), "it asked for votes: {out:?}");
    world.inboxes[follower] = heartbeats;
}

/// Guards against an entry that stood still and takes old word of processes that are gone for new: they
/// may run again and have a dispatcher by then.
#[test]
fn a_refused_connection_read_after_a_stall_proves_nothing() {
    let residents: Vec<Instance> = ["a", "b", "c"].map(Instance::from).to_vec();
    let domain = "north".into();
    let mut book = LeaseManager::new(Millis(0), 1, "a".into(), &domain, residents.clone());
    let refuse_all = |book: &mut LeaseManager, now| {
        residents[1..].iter().for_each(|gone| book.on_dial_failed(Millis(now), gone, true));
    };
    book.tick(Millis(5_000), &mut Vec::new());
    refuse_all(&mut book, 5_010);
    assert!(!book.others_may_form_majority(Millis(5_020)), "both are gone");
    refuse_all(&mut book, 15_000);
    assert!(book.others_may_form_majority(Millis(15_000)), "the word may be ten seconds old");
}

/// Guards against a leader that goes on for good without a majority since it stands still again and
/// again, as with a disk that hangs.
#[test]
fn a_leader_that_stands_still_again_and_again_steps_down_without_a_majority() {
    let mut world = World::new();
    let leader = world.leader();
    world.stalled = Some(1 - leader);
    world.is_cut = true;
    for _ in 0..6 {
        world.now += 700;
        world.step(leader);
    }
    assert!(!world.replicas[leader].is_leader(), "it leads at {} ms", world.now);
}
