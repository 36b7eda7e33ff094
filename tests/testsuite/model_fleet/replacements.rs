//! Control instances that are replaced one after the other.

use super::{FAULT_PERIOD_MS, FleetInput, Host, ReplicaId, Simulation};

/// A new instance counts as one that may be lost after this time, in milliseconds, and so does the
/// one that it replaces.
const CATCH_UP_MS: u64 = 4_000;
/// The time from the signal to stop to the end of the process.
const HAND_OVER_MS: u64 = 400;
/// How long changes and reads are watched at the end.
const WATCH_MS: u64 = 12_000;
const DRAWN: u64 = 40;
/// The number of drawn runs of a whole period of faults.
const DRAWN_FAULTS: u64 = 6;

/// How an instance is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Removal {
    /// It is told to stop, and hands its leadership over.
    Stopped,
    /// It ends without notice.
    Killed,
}

fn leader_among(simulation: &Simulation, old: &[usize]) -> Option<usize> {
    let leads = |host: &Host| {
        host.node.as_ref().and_then(|n| n.control()).is_some_and(|c| c.consensus().is_leader())
    };
    old.iter().copied().find(|host| leads(&simulation.hosts[*host]))
}

fn remove(simulation: &mut Simulation, host: usize, removal: Removal) {
    simulation.hosts[host].is_removed = true;
    if removal == Removal::Stopped {
        simulation.handle(host, FleetInput::Drain);
        simulation.run(simulation.now + HAND_OVER_MS);
    }
    simulation.kill(host, u64::MAX / 2);
}

/// Adds an empty instance that knows the present ones.
fn add(simulation: &mut Simulation) {
    let present = simulation.hosts.iter().filter(|host| !host.is_removed);
    let seeds = present.map(|host| host.settings.ip).collect();
    let replica = 1_000 + simulation.random_below(1 << 40);
    let number = simulation.hosts.len();
    simulation.hosts.push(Host::new(number, seeds, Vec::new(), replica));
}

/// Replaces all three instances, the leader first, each as soon as the one before may be lost.
fn replace_all(seed: u64, removal: Removal) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.faults_enabled = false;
    simulation.run(6_000);
    let mut old = vec![0, 1, 2];
    while !old.is_empty() {
        add(&mut simulation);
        simulation.run(simulation.now + CATCH_UP_MS);
        let next = leader_among(&simulation, &old).unwrap_or(old[0]);
        old.retain(|host| *host != next);
        remove(&mut simulation, next, removal);
    }
    simulation
}

fn assert_all_can_be_replaced(removal: Removal) {
    for seed in 200..200 + DRAWN {
        let mut simulation = replace_all(seed, removal);
        simulation.run(simulation.now + CATCH_UP_MS);
        let before = (simulation.acknowledgements, simulation.reads);
        simulation.run(simulation.now + WATCH_MS);
        assert!(simulation.acknowledgements > before.0, "seed {seed}: no change is accepted");
        assert!(simulation.reads > before.1, "seed {seed}: no read succeeds");
        assert!(simulation.membership_is_complete(), "seed {seed}: {:?}", simulation.voters());
    }
}

/// Guards against a record without a majority for good after two of its instances were stopped, each
/// once its successor had had time to catch up: nobody could read or change the configuration.
#[test]
fn all_control_instances_can_be_replaced_one_after_the_other() {
    assert_all_can_be_replaced(Removal::Stopped);
}

/// Guards against the same when they end without notice, so that a leader has to be elected first.
#[test]
fn all_control_instances_can_be_lost_one_after_the_other_once_replaced() {
    assert_all_can_be_replaced(Removal::Killed);
}

/// Guards against a leader that hands over to nobody when it is told to stop, because those who
/// still hear from it refuse their votes: nothing could be changed until it had been silent for
/// seconds.
#[test]
fn a_leader_that_is_told_to_stop_hands_over_at_once() {
    for seed in 400..400 + DRAWN {
        let mut simulation = Simulation::new(seed);
        simulation.faults_enabled = false;
        simulation.run(6_000);
        let leader = leader_among(&simulation, &[0, 1, 2]).expect("a leader");
        remove(&mut simulation, leader, Removal::Stopped);
        let others: Vec<usize> = (0..3).filter(|host| *host != leader).collect();
        assert!(leader_among(&simulation, &others).is_some(), "seed {seed}: nobody leads");
    }
}

/// Guards against a voter that was replaced while it was cut off and stays outside for good: the
/// record would be one loss closer to its end with each cut.
#[test]
fn a_voter_that_was_replaced_while_it_was_cut_off_votes_again() {
    for seed in 300..300 + DRAWN {
        let mut simulation = Simulation::new(seed);
        simulation.faults_enabled = false;
        simulation.run(6_000);
        let leader = leader_among(&simulation, &[0, 1, 2]).expect("a leader");
        let (cut, lost) = ((leader + 1) % 3, (leader + 2) % 3);
        add(&mut simulation);
        simulation.run(simulation.now + CATCH_UP_MS);
        simulation.hosts[cut].partitioned_until = simulation.now + CATCH_UP_MS;
        simulation.run(simulation.now + 3 * CATCH_UP_MS);
        let id = ReplicaId(simulation.hosts[cut].instance(), simulation.hosts[cut].replica);
        assert!(!simulation.voters().contains(&id), "seed {seed}: it was not replaced");
        remove(&mut simulation, lost, Removal::Killed);
        simulation.run(simulation.now + 2 * CATCH_UP_MS);
        let voters = simulation.voters();
        assert!(voters.contains(&id), "seed {seed}: {id} has no vote among {voters:?}");
        assert_eq!(voters.len(), 3, "seed {seed}: {voters:?}");
    }
}

/// Guards against a record that loses its majority, or a change, where control instances stand by:
/// a voter that restarts or is cut off for a moment is replaced by one of them, again and again.
#[test]
fn instances_that_stand_by_replace_voters_that_come_and_go() {
    for seed in 500..500 + DRAWN_FAULTS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..3 {
            add(&mut simulation);
        }
        simulation.run(FAULT_PERIOD_MS);
        simulation.heal();
        let before = (simulation.acknowledgements, simulation.reads);
        simulation.run(simulation.now + WATCH_MS);
        assert!(simulation.acknowledgements > before.0, "seed {seed}: no change is accepted");
        assert!(simulation.reads > before.1, "seed {seed}: no read succeeds");
        assert_eq!(simulation.voters().len(), 3, "seed {seed}: {:?}", simulation.voters());
    }
}
