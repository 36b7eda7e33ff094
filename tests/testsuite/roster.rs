//! Who is in the fleet: what entries and a control instance tell each other of it.

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

const STEP: u64 = 40;
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
    let founding = Stored::initial(vec![Member { id: id.clone(), voter: true }]);
    let machine = ControlMachine::new(Millis(0), id, founding, 7).expect("a founded record");
    FleetNode::new(Arc::new(settings), Some(machine))
}

fn entry(number: u8) -> FleetNode {
    let settings = FleetSettings { ip: entry_ip(number), seeds: vec![CONTROL], ..fleet_settings() };
    FleetNode::new(Arc::new(settings), None)
}

/// One control instance and its entries, with messages that arrive at once.
struct World {
    now: u64,
    nodes: BTreeMap<Instance, FleetNode>,
    /// Who is there, as each entry was last told.
    known: BTreeMap<Instance, Vec<FleetEntry>>,
    /// Bytes of answers about who is there.
    roster_bytes: usize,
    /// Answers about who is there that get lost from now on.
    lost: usize,
    /// Restarts as the control instance told of them.
    restarts: Vec<(Instance, u32)>,
}

impl World {
    fn new(entries: u8) -> World {
        let mut nodes: BTreeMap<Instance, FleetNode> =
            (0..entries).map(|n| (instance_name(Role::Entry, entry_ip(n)), entry(n))).collect();
        nodes.insert(instance_name(Role::Control, CONTROL), control());
        World {
            now: 0,
            nodes,
            known: BTreeMap::new(),
            roster_bytes: 0,
            lost: 0,
            restarts: Vec::new(),
        }
    }

    fn play(&mut self, span: u64) {
        for _ in 0..span / STEP {
            self.now += STEP;
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
            if self.lost > 0 {
                self.lost -= 1;
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

/// Guards against a fleet of hundreds that mostly sends lists of itself: each entry is told all
/// others by each control instance, each second.
#[test]
fn a_fleet_that_stays_the_same_is_not_listed_again() {
    let mut world = World::new(ENTRIES);
    world.play(5_000);
    assert!(world.all_know(usize::from(ENTRIES)));
    world.roster_bytes = 0;
    world.play(10_000);
    let bytes = world.roster_bytes / usize::from(ENTRIES) / 10;
    assert!(bytes < 100, "{bytes} bytes a second for each entry");
    assert!(world.all_know(usize::from(ENTRIES)), "an entry forgot others");
}

/// The same must not hide that an entry has come or gone.
#[test]
fn entries_that_come_and_go_are_known_within_seconds() {
    let mut world = World::new(20);
    world.play(6_000);
    let newcomer = instance_name(Role::Entry, entry_ip(40));
    world.nodes.insert(newcomer, entry(40));
    world.play(2_500);
    assert!(world.all_know(21), "the newcomer is not known");
    for gone in 0..5 {
        world.nodes.remove(&instance_name(Role::Entry, entry_ip(gone)));
    }
    // An entry counts for four seconds after it was last heard, here and at the control instance.
    world.play(10_000);
    assert!(world.all_know(16), "those that are gone are still known");
}

/// Guards against an entry that goes by an old list for good, since the newer one was lost on its
/// way, or since the control instance started again and counts anew.
#[test]
fn a_list_that_was_lost_is_told_again() {
    let mut world = World::new(20);
    world.play(6_000);
    world.nodes.insert(instance_name(Role::Entry, entry_ip(40)), entry(40));
    world.lost = 20;
    world.play(4_000);
    assert!(world.all_know(21), "the list was told only once");
    world.nodes.insert(instance_name(Role::Control, CONTROL), control());
    world.play(500);
    world.nodes.remove(&instance_name(Role::Entry, entry_ip(3)));
    world.play(12_000);
    assert!(world.all_know(20), "the restarted control instance's list was not taken");
}

/// Guards against a process that starts again and again without anybody noticing: its own logs
/// tell only of the last one.
#[test]
fn a_control_instance_counts_the_restarts_of_the_others() {
    let mut world = World::new(3);
    world.play(2_000);
    assert!(world.restarts.is_empty(), "{:?}", world.restarts);
    let name = instance_name(Role::Entry, entry_ip(1));
    for restarts in 1..=2 {
        world.nodes.insert(name.clone(), entry(1));
        world.play(2_000);
        assert_eq!(world.restarts.last(), Some(&(name.clone(), restarts)));
    }
    assert_eq!(world.restarts.len(), 2);
}
