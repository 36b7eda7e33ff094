//! Tests how entries exchange load reports in fleets of any size.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use crate::support::fleet_settings;
use kingcupgrade::{
    coordination::fleet::{FleetInput, FleetNode, FleetOutput, share_interval},
    core::{
        Instance, Millis, RequestDigest,
        fleet::{FleetSettings, instance_name},
        settings::Role,
    },
    protocol::{
        Message,
        crash::{BarredCause, Crash, CrashCause, CrashNews},
        fleet::{
            BegunStreams, CachedParts, FleetEntry, FleetMessage, Load, LoadReport, OriginRequest,
            StreamKey, StreamOrigin,
        },
    },
};

const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// The entries of a fleet, with messages delivered immediately.
struct Fleet {
    nodes: BTreeMap<Instance, FleetNode>,
    entries: Vec<FleetEntry>,
    /// The latest reports that each entry received, by sender.
    reports: BTreeMap<Instance, BTreeMap<Instance, LoadReport>>,
    messages: BTreeMap<Instance, usize>,
    /// The cached prompt parts that were announced to each entry.
    cached_parts: BTreeMap<Instance, Vec<CachedParts>>,
    /// The streams that each entry knows others to have begun.
    begun: BTreeMap<Instance, Vec<BegunStreams>>,
    /// The origins that entries have asked for.
    origins: BTreeMap<Instance, StreamOrigin>,
    /// What each entry was told of crashes, and when.
    crash_news: BTreeMap<Instance, Vec<(Millis, CrashNews)>>,
    failed: Vec<Instance>,
}

fn ip(entry: usize) -> IpAddr {
    IpAddr::from([127, 0, (entry / 250) as u8, (entry % 250) as u8 + 1])
}

impl Fleet {
    fn start(count: usize) -> Fleet {
        let domain = |entry: usize| DOMAINS[entry % DOMAINS.len()];
        let fleet_entry =
            |entry| FleetEntry(instance_name(Role::Entry, ip(entry)), domain(entry).into());
        let entries: Vec<FleetEntry> = (0..count).map(fleet_entry).collect();
        let node = |entry: usize| {
            let settings = FleetSettings {
                ip: ip(entry),
                failure_domain: domain(entry).into(),
                ..fleet_settings()
            };
            (settings.instance(), FleetNode::new(Arc::new(settings), 1, None))
        };
        let mut fleet = Fleet {
            nodes: (0..count).map(node).collect(),
            entries,
            reports: BTreeMap::new(),
            messages: BTreeMap::new(),
            cached_parts: BTreeMap::new(),
            begun: BTreeMap::new(),
            origins: BTreeMap::new(),
            crash_news: BTreeMap::new(),
            failed: Vec::new(),
        };
        let entries = fleet.entries.clone();
        let roster =
            Message::Fleet(FleetMessage::Roster { number: 1, entries, controls: Vec::new() });
        let control: Instance = "c-127.9.9.9".into();
        for entry in fleet.names() {
            let input = FleetInput::Received(control.clone(), roster.clone());
            fleet.handle(Millis::ZERO, &entry, input);
        }
        fleet
    }

    fn names(&self) -> Vec<Instance> {
        self.entries.iter().map(|FleetEntry(entry, _)| entry.clone()).collect()
    }

    fn handle(&mut self, now: Millis, entry: &Instance, input: FleetInput) {
        if self.failed.contains(entry) {
            return;
        }
        let mut out = Vec::new();
        self.nodes.get_mut(entry).expect("an entry").handle(now, 0, input, &mut out);
        for output in out {
            match output {
                FleetOutput::SendToAll(to, message) => {
                    for peer in to {
                        *self.messages.entry(entry.clone()).or_default() += 1;
                        let input = FleetInput::Received(entry.clone(), message.clone());
                        self.handle(now, &peer, input);
                    }
                }
                FleetOutput::Send(to, message) => {
                    self.handle(now, &to, FleetInput::Received(entry.clone(), message));
                }
                FleetOutput::StreamsBegun(begun) => {
                    self.begun.entry(entry.clone()).or_default().extend(begun);
                }
                FleetOutput::OriginRequested(from, request) => {
                    let answer = FleetInput::SendOrigin(from, request.number, self.known(entry));
                    self.handle(now, entry, answer);
                }
                FleetOutput::CrashesReceived(news) => {
                    self.crash_news.entry(entry.clone()).or_default().push((now, news));
                }
                FleetOutput::OriginFound(_, origin) => {
                    self.origins.insert(entry.clone(), origin);
                }
                FleetOutput::LoadReceived(from, report) => {
                    self.begun.entry(entry.clone()).or_default().extend(report.begun.clone());
                    self.cached_parts.entry(entry.clone()).or_default().extend(report.kept.clone());
                    self.reports.entry(entry.clone()).or_default().insert(from, report);
                }
                _ => {}
            }
        }
    }

    /// Returns the origin of the only stream that an entry may know.
    fn known(&self, entry: &Instance) -> StreamOrigin {
        let begun = self.begun.get(entry).and_then(|begun| begun.first());
        begun.map_or(StreamOrigin::Unknown, |begun| {
            StreamOrigin::begun(&begun.service, &begun.version, true)
        })
    }

    /// Makes each entry report that it runs `running(entry)` requests at one upstream.
    fn share_load(&mut self, now: Millis, running: impl Fn(usize) -> u32) {
        for (place, entry) in self.names().into_iter().enumerate() {
            let load =
                Load { running: running(place), unread: 100, memory: 1_000, ..Load::default() };
            let loads = vec![("engine".into(), load)];
            let served = vec![("alder".into(), 10.0)];
            let report = LoadReport { loads, served, ..LoadReport::default() };
            self.handle(now, &entry, FleetInput::ShareLoad(report));
        }
    }

    /// Returns the requests running at other entries and the tokens served there, as known to an
    /// entry.
    fn load_of_others(&self, entry: &Instance) -> (u32, f32) {
        let reports = self.reports.get(entry).into_iter().flat_map(BTreeMap::values);
        reports.fold((0, 0.0), |(running, served), report| {
            let loads = report.loads.iter().map(|(_, load)| load.running).sum::<u32>();
            let tokens = report.served.iter().map(|(_, tokens)| *tokens).sum::<f32>();
            (running + loads, served + tokens)
        })
    }
}

/// Guards against wrong sums of the other entries' load, which entries of a large fleet receive
/// instead of single reports. An entry that counts its own requests among the others' overestimates
/// the load of its engines and refuses callers although there is capacity; an entry that misses a
/// failure domain overloads the engines.
#[test]
fn each_entry_hears_of_all_others_and_not_of_itself() {
    for count in [3, 16, 17, 84] {
        let mut fleet = Fleet::start(count);
        for round in 0..4_u64 {
            fleet.share_load(Millis(round * 200), |place| place as u32 + 1);
        }
        let all: u32 = (1..=count as u32).sum();
        for (place, entry) in fleet.names().iter().enumerate() {
            let (running, served) = fleet.load_of_others(entry);
            assert_eq!(running, all - (place as u32 + 1), "{entry} of {count}");
            assert_eq!(served, 10.0 * (count as f32 - 1.0), "{entry} of {count}");
        }
    }
}

/// Guards against load reports that take up an entry's processor in a large fleet, as when every
/// entry reported to every other one. The number of messages that one entry sends must stay bounded
/// as the fleet grows.
#[test]
fn no_entry_sends_more_than_a_few_hundred_messages_a_second() {
    for count in [9, 84, 300, 410] {
        let mut fleet = Fleet::start(count);
        fleet.share_load(Millis::ZERO, |_| 1);
        let most = fleet.messages.values().max().copied().unwrap_or(0) as f64;
        let per_second = most * 1_000.0 / share_interval(count).0 as f64;
        assert!(per_second <= 200.0, "{per_second} messages a second in a fleet of {count}");
    }
}

/// Guards against a failure domain that misses the others' load when one of its two collectors
/// fails. The second collector must keep forwarding it without a gap.
#[test]
fn a_lost_collector_leaves_no_gap() {
    let mut fleet = Fleet::start(84);
    fleet.share_load(Millis::ZERO, |_| 1);
    let busiest = fleet.messages.iter().max_by_key(|(_, sent)| **sent);
    let collector = busiest.map(|(entry, _)| entry.clone()).expect("a collector");
    fleet.failed.push(collector.clone());
    fleet.reports.clear();
    for round in 1..12_u64 {
        fleet.share_load(Millis(round * 200), |_| 1);
    }
    for entry in fleet.names().iter().filter(|entry| **entry != collector) {
        // The failed collector's own load is dropped once its last report has expired.
        assert_eq!(fleet.load_of_others(entry).0, 82, "{entry}");
    }
}

/// Guards against entries that never learn which prompt parts engines have cached, and so have
/// these parts read again at other engines.
#[test]
fn every_entry_hears_which_parts_are_kept() {
    for count in [3, 16, 17, 84] {
        let mut fleet = Fleet::start(count);
        fleet.share_load(Millis::ZERO, |_| 1);
        let kept = CachedParts("engine".into(), vec![7, 8]);
        let sender = fleet.names().pop().expect("an entry");
        let report = LoadReport { kept: vec![kept.clone()], ..LoadReport::default() };
        fleet.handle(Millis(200), &sender, FleetInput::ShareLoad(report));
        for round in 2..5_u64 {
            fleet.share_load(Millis(round * 200), |_| 1);
        }
        for entry in fleet.names().iter().filter(|entry| **entry != sender) {
            let received = fleet.cached_parts.get(entry).map_or(0, |parts| {
                parts
                    .iter()
                    .filter(|parts| **parts == CachedParts("engine".into(), vec![7, 8]))
                    .count()
            });
            // Each of the entry's two collectors forwards it from each of the sender's two.
            assert!((1..=4).contains(&received), "{entry} of {count} received it {received} times");
        }
    }
}

/// Guards against a stream that no other entry knows once the entry that began it has failed, in a
/// fleet of any size, and against one that is told of to all entries of a large fleet.
#[test]
fn any_entry_finds_out_where_a_stream_of_a_failed_one_began() {
    for count in [3, 16, 17, 84] {
        let mut fleet = Fleet::start(count);
        fleet.share_load(Millis::ZERO, |_| 1);
        let beginner = fleet.names().pop().expect("an entry");
        let streams = vec![StreamKey(7)];
        let begun = BegunStreams { service: "engine".into(), version: Some("v1".into()), streams };
        let report = LoadReport { begun: vec![begun], ..LoadReport::default() };
        fleet.handle(Millis(200), &beginner, FleetInput::ShareLoad(report));
        fleet.share_load(Millis(400), |_| 1);
        let told = fleet.begun.values().filter(|begun| !begun.is_empty()).count();
        assert!(told <= 15, "{told} of {count} entries were told");
        fleet.failed.push(beginner.clone());
        for entry in fleet.names().into_iter().filter(|entry| *entry != beginner) {
            let stream = Some(StreamKey(7));
            let request = OriginRequest { number: 1, stream, service: None };
            fleet.handle(Millis(500), &entry, FleetInput::AskOrigin(request));
            let found = fleet.origins.get(&entry).is_some_and(StreamOrigin::is_recorded);
            let knows = fleet.known(&entry).is_recorded();
            assert!(found || knows, "{entry} of {count}");
        }
    }
}

/// Guards against crashes of upstreams, and what causes them, that are known at one entry only, or
/// so late that a request has ended more upstreams meanwhile, or as if they had happened later.
#[test]
fn every_entry_hears_of_crashes_and_barred_causes_at_once() {
    /// The time between two ticks of an entry; they don't tick at the same time.
    const TICK: u64 = 40;
    const CRASHED: Millis = Millis(1_000);
    for count in [3, 16, 17, 84] {
        let mut fleet = Fleet::start(count);
        let sender = fleet.names().pop().expect("an entry");
        let crash = Crash {
            upstream: "engine".into(),
            incarnation: 1,
            age: Millis::ZERO,
            after: Millis(30),
            had_head: true,
            request: RequestDigest(5),
            shared_parts: vec![1, 2],
        };
        let barred = vec![BarredCause { cause: CrashCause::Part(2), age: Millis(10) }];
        let news = CrashNews { crashes: vec![crash], sound: Vec::new(), barred };
        fleet.handle(CRASHED, &sender, FleetInput::ShareCrashes(news));
        for step in 1..=2 * TICK {
            let is_due = |number: usize| (step + number as u64).is_multiple_of(TICK);
            let names = fleet.names().into_iter().enumerate();
            for (_, entry) in names.filter(|(number, _)| is_due(*number)) {
                fleet.handle(CRASHED + Millis(step), &entry, FleetInput::Tick);
            }
        }
        for entry in fleet.names().iter().filter(|entry| **entry != sender) {
            let told = fleet.crash_news.get(entry).cloned().unwrap_or_default();
            assert!((1..=4).contains(&told.len()), "{entry} of {count} was told {told:?}");
            for (at, news) in told {
                let [crash] = &news.crashes[..] else { panic!("{entry} of {count}: {news:?}") };
                let [barred] = &news.barred[..] else { panic!("{entry} of {count}: {news:?}") };
                let passed = at.since(CRASHED);
                assert_eq!((crash.age, barred.age), (passed, passed + Millis(10)), "{entry}");
            }
        }
    }
}
