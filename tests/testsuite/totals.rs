//! What entries learn of each other's load in fleets of any size.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use crate::support::fleet_settings;
use kingcupgrade::{
    coordination::fleet::{FleetInput, FleetNode, FleetOutput, share_interval},
    core::{
        Instance, Millis,
        fleet::{FleetSettings, instance_name},
        settings::Role,
    },
    protocol::{
        Message,
        fleet::{CachedParts, FleetEntry, FleetMessage, Load, LoadReport},
    },
};

const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// Entries that pass messages on at once.
struct Fleet {
    nodes: BTreeMap<Instance, FleetNode>,
    residents: Vec<FleetEntry>,
    /// What each has heard, by who told it.
    heard: BTreeMap<Instance, BTreeMap<Instance, LoadReport>>,
    messages: BTreeMap<Instance, usize>,
    /// The parts of prompts that each was told upstreams keep.
    kept: BTreeMap<Instance, Vec<CachedParts>>,
    down: Vec<Instance>,
}

fn ip(entry: usize) -> IpAddr {
    IpAddr::from([127, 0, (entry / 250) as u8, (entry % 250) as u8 + 1])
}

impl Fleet {
    fn start(count: usize) -> Fleet {
        let domain = |entry: usize| DOMAINS[entry % DOMAINS.len()];
        let resident =
            |entry| FleetEntry(instance_name(Role::Entry, ip(entry)), domain(entry).into());
        let residents: Vec<FleetEntry> = (0..count).map(resident).collect();
        let node = |entry: usize| {
            let settings = FleetSettings {
                ip: ip(entry),
                failure_domain: domain(entry).into(),
                ..fleet_settings()
            };
            (settings.instance(), FleetNode::new(Arc::new(settings), None))
        };
        let mut fleet = Fleet {
            nodes: (0..count).map(node).collect(),
            residents,
            heard: BTreeMap::new(),
            messages: BTreeMap::new(),
            kept: BTreeMap::new(),
            down: Vec::new(),
        };
        let entries = fleet.residents.clone();
        let roster =
            Message::Fleet(FleetMessage::Roster { number: 1, entries, controls: Vec::new() });
        let control: Instance = "c-127.9.9.9".into();
        for entry in fleet.names() {
            let told = FleetInput::Received(control.clone(), roster.clone());
            fleet.handle(Millis::ZERO, &entry, told);
        }
        fleet
    }

    fn names(&self) -> Vec<Instance> {
        self.residents.iter().map(|FleetEntry(entry, _)| entry.clone()).collect()
    }

    fn handle(&mut self, now: Millis, entry: &Instance, input: FleetInput) {
        if self.down.contains(entry) {
            return;
        }
        let mut out = Vec::new();
        self.nodes.get_mut(entry).expect("an entry").handle(now, 0, input, &mut out);
        for output in out {
            match output {
                FleetOutput::SendToAll(to, message) => {
                    for peer in to {
                        *self.messages.entry(entry.clone()).or_default() += 1;
                        let told = FleetInput::Received(entry.clone(), message.clone());
                        self.handle(now, &peer, told);
                    }
                }
                FleetOutput::LoadReceived(from, report) => {
                    self.kept.entry(entry.clone()).or_default().extend(report.kept.clone());
                    self.heard.entry(entry.clone()).or_default().insert(from, report);
                }
                _ => {}
            }
        }
    }

    /// Lets each entry tell that it runs `running(entry)` requests at one upstream.
    fn share(&mut self, now: Millis, running: impl Fn(usize) -> u32) {
        for (place, entry) in self.names().into_iter().enumerate() {
            let load = Load { running: running(place), unread: 100, memory: 1_000 };
            let loads = vec![("engine".into(), load)];
            let served = vec![("alder".into(), 10.0)];
            let report = LoadReport { loads, served, ..LoadReport::default() };
            self.handle(now, &entry, FleetInput::ShareLoad(report));
        }
    }

    /// Returns the requests that an entry believes the others to run, and the tokens served there.
    fn others(&self, entry: &Instance) -> (u32, f32) {
        let heard = self.heard.get(entry).into_iter().flat_map(BTreeMap::values);
        heard.fold((0, 0.0), |(running, served), report| {
            let loads = report.loads.iter().map(|(_, load)| load.running).sum::<u32>();
            let tokens = report.served.iter().map(|(_, tokens)| *tokens).sum::<f32>();
            (running + loads, served + tokens)
        })
    }
}

/// In a large fleet entries hear sums. One that counted its own requests among the others' would
/// take its engines for fuller than they are and refuse callers with room left; one that missed a
/// failure domain would overfill them.
#[test]
fn each_entry_hears_of_all_others_and_not_of_itself() {
    for count in [3, 16, 17, 84] {
        let mut fleet = Fleet::start(count);
        for round in 0..4_u64 {
            fleet.share(Millis(round * 200), |place| place as u32 + 1);
        }
        let all: u32 = (1..=count as u32).sum();
        for (place, entry) in fleet.names().iter().enumerate() {
            let (running, served) = fleet.others(entry);
            assert_eq!(running, all - (place as u32 + 1), "{entry} of {count}");
            assert_eq!(served, 10.0 * (count as f32 - 1.0), "{entry} of {count}");
        }
    }
}

/// Each entry told each other of its load, and a small processor did nothing else. The messages of
/// one entry must not grow with the fleet beyond what a part of its processor carries.
#[test]
fn no_entry_sends_more_than_a_few_hundred_messages_a_second() {
    for count in [9, 84, 300, 410] {
        let mut fleet = Fleet::start(count);
        fleet.share(Millis::ZERO, |_| 1);
        let most = fleet.messages.values().max().copied().unwrap_or(0) as f64;
        let a_second = most * 1_000.0 / share_interval(count).0 as f64;
        assert!(a_second <= 200.0, "{a_second} messages a second in a fleet of {count}");
    }
}

/// A collector dies. Its domain must go on hearing of the others by the second one, without a gap.
#[test]
fn a_lost_collector_leaves_no_gap() {
    let mut fleet = Fleet::start(84);
    fleet.share(Millis::ZERO, |_| 1);
    let busiest = fleet.messages.iter().max_by_key(|(_, sent)| **sent);
    let collector = busiest.map(|(entry, _)| entry.clone()).expect("a collector");
    fleet.down.push(collector.clone());
    fleet.heard.clear();
    for round in 1..12_u64 {
        fleet.share(Millis(round * 200), |_| 1);
    }
    for entry in fleet.names().iter().filter(|entry| **entry != collector) {
        // The lost one's own part is forgotten once its last report has aged.
        assert_eq!(fleet.others(entry).0, 82, "{entry}");
    }
}

/// Guards against parts that engines keep and some entries never hear of: those go on having them
/// read elsewhere.
#[test]
fn every_entry_hears_which_parts_are_kept() {
    for count in [3, 16, 17, 84] {
        let mut fleet = Fleet::start(count);
        fleet.share(Millis::ZERO, |_| 1);
        let kept = CachedParts("engine".into(), vec![7, 8]);
        let teller = fleet.names().pop().expect("an entry");
        let report = LoadReport { kept: vec![kept.clone()], ..LoadReport::default() };
        fleet.handle(Millis(200), &teller, FleetInput::ShareLoad(report));
        for round in 2..5_u64 {
            fleet.share(Millis(round * 200), |_| 1);
        }
        for entry in fleet.names().iter().filter(|entry| **entry != teller) {
            let heard = fleet.kept.get(entry).map_or(0, |kept| {
                kept.iter()
                    .filter(|parts| **parts == CachedParts("engine".into(), vec![7, 8]))
                    .count()
            });
            // By each of two collectors, from each of the two of the teller's failure domain.
            assert!((1..=4).contains(&heard), "{entry} of {count} heard it {heard} times");
        }
    }
}
