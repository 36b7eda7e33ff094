//! Tests the roster: how entries and a control instance exchange the list of fleet members.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use kingcupgrade::{
    coordination::{
        control::ControlMachine,
        fleet::{FleetInput, FleetNode, FleetOutput},
    },
    core::{
        Instance, Millis,
        fleet::{FleetSettings, instance_name},
        settings::Role,
    },
    protocol::{
        Message,
        consensus::{INITIAL_REPLICA, Member, ReplicaId},
        fleet::{FleetEntry, FleetMessage},
        frame::Payload,
    },
    state::log::Stored,
};

use crate::support::fleet_settings;

const STEP_MS: u64 = 40;
const ENTRIES: u8 = 195;
const CONTROL: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 1, 1));

fn entry_ip(number: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, number + 1])
}

fn control() -> FleetNode {
    let settings = FleetSettings {
        ip: CONTROL,
        role: Role::Control,
        seeds: vec![CONTROL],
        ..fleet_settings()
    };
    let id = ReplicaId(settings.instance(), INITIAL_REPLICA);
    let initial = Stored::initial(vec![Member { id: id.clone(), voter: true }]);
    let machine = ControlMachine::new(Millis(0), id, initial, 7).expect("an initial record");
    FleetNode::new(Arc::new(settings), 1, Some(machine))
}

fn entry(number: u8) -> FleetNode {
    let settings = FleetSettings { ip: entry_ip(number), seeds: vec![CONTROL], ..fleet_settings() };
    FleetNode::new(Arc::new(settings), 1, None)
}

/// Simulates a control instance and its entries, with messages delivered immediately.
struct Simulation {
    now: u64,
    nodes: BTreeMap<Instance, FleetNode>,
    /// The fleet's entries as last reported to each entry.
    known: BTreeMap<Instance, Vec<FleetEntry>>,
    /// The total size of the roster answers sent.
    roster_bytes: usize,
    /// How many of the next roster answers are dropped.
    rosters_to_drop: usize,
    /// The restarts that the control instance reported.
    restarts: Vec<(Instance, u32)>,
}

impl Simulation {
    fn new(entries: u8) -> Simulation {
        let mut nodes: BTreeMap<Instance, FleetNode> =
            (0..entries).map(|n| (instance_name(Role::Entry, entry_ip(n)), entry(n))).collect();
        nodes.insert(instance_name(Role::Control, CONTROL), control());
        Simulation {
            now: 0,
            nodes,
            known: BTreeMap::new(),
            roster_bytes: 0,
            rosters_to_drop: 0,
            restarts: Vec::new(),
        }
    }

    fn run_for(&mut self, span: u64) {
        for _ in 0..span / STEP_MS {
            self.now += STEP_MS;
            let names: Vec<Instance> = self.nodes.keys().cloned().collect();
            for name in names {
                self.handle(&name, FleetInput::Tick);
            }
        }
    }

    fn handle(&mut self, name: &Instance, input: FleetInput) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        let mut out = Vec::new();
        node.handle(Millis(self.now), self.now, input, &mut out);
        for output in out {
            match output {
                FleetOutput::Send(to, message) => self.deliver(name, &to, message),
                FleetOutput::SendToAll(all, message) => {
                    all.iter().for_each(|to| self.deliver(name, to, message.clone()));
                }
                FleetOutput::Entries(entries) => {
                    self.known.insert(name.clone(), entries);
                }
                FleetOutput::Restarted { instance, restarts } => {
                    self.restarts.push((instance, restarts));
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, from: &Instance, to: &Instance, message: Message) {
        let is_roster = matches!(
            message,
            Message::Fleet(FleetMessage::Roster { .. } | FleetMessage::RosterUnchanged(_))
        );
        if is_roster {
            self.roster_bytes += Payload::new(&message).bytes().len();
            if self.rosters_to_drop > 0 {
                self.rosters_to_drop -= 1;
                return;
            }
        }
        self.handle(to, FleetInput::Received(from.clone(), message));
    }

    fn all_know(&self, entries: usize) -> bool {
        let mut entry_names = self.nodes.keys().filter(|name| name.as_str().starts_with('e'));
        entry_names.all(|name| self.known.get(name).is_some_and(|known| known.len() == entries))
    }
}

/// Guards against roster traffic that grows with the square of the fleet: every control instance
/// sent every entry the full list of entries each second.
#[test]
fn a_fleet_that_stays_the_same_is_not_listed_again() {
    let mut simulation = Simulation::new(ENTRIES);
    simulation.run_for(5_000);
    assert!(simulation.all_know(usize::from(ENTRIES)));
    simulation.roster_bytes = 0;
    simulation.run_for(10_000);
    let bytes = simulation.roster_bytes / usize::from(ENTRIES) / 10;
    assert!(bytes < 100, "{bytes} bytes a second for each entry");
    assert!(
        simulation.all_know(usize::from(ENTRIES)),
        "an entry lost other entries from its roster"
    );
}

/// Guards against entries that join or leave unnoticed because the roster is only sent on changes.
#[test]
fn entries_that_come_and_go_are_known_within_seconds() {
    let mut simulation = Simulation::new(20);
    simulation.run_for(6_000);
    let new_entry = instance_name(Role::Entry, entry_ip(40));
    simulation.nodes.insert(new_entry, entry(40));
    simulation.run_for(2_500);
    assert!(simulation.all_know(21), "the new entry is not known");
    for removed in 0..5 {
        simulation.nodes.remove(&instance_name(Role::Entry, entry_ip(removed)));
    }
    // An entry is listed for 4 s after its last message, both here and at the control instance.
    simulation.run_for(10_000);
    assert!(simulation.all_know(16), "removed entries are still known");
}

/// Guards against an entry that uses an outdated roster for good because the newer one was lost in
/// transit, or because the control instance restarted and its roster numbers start over.
#[test]
fn a_list_that_was_lost_is_told_again() {
    let mut simulation = Simulation::new(20);
    simulation.run_for(6_000);
    simulation.nodes.insert(instance_name(Role::Entry, entry_ip(40)), entry(40));
    simulation.rosters_to_drop = 20;
    simulation.run_for(4_000);
    assert!(simulation.all_know(21), "the lost roster was not sent again");
    simulation.nodes.insert(instance_name(Role::Control, CONTROL), control());
    simulation.run_for(500);
    simulation.nodes.remove(&instance_name(Role::Entry, entry_ip(3)));
    simulation.run_for(12_000);
    assert!(simulation.all_know(20), "the restarted control instance's roster was not accepted");
}

/// Guards against a process that restarts repeatedly without being noticed: its own logs cover only
/// the last run.
#[test]
fn a_control_instance_counts_the_restarts_of_the_others() {
    let mut simulation = Simulation::new(3);
    simulation.run_for(2_000);
    assert!(simulation.restarts.is_empty(), "{:?}", simulation.restarts);
    let name = instance_name(Role::Entry, entry_ip(1));
    for restarts in 1..=2 {
        simulation.nodes.insert(name.clone(), entry(1));
        simulation.run_for(2_000);
        assert_eq!(simulation.restarts.last(), Some(&(name.clone(), restarts)));
    }
    assert_eq!(simulation.restarts.len(), 2);
}
