//! Tests whose requests an overloaded entry of a large fleet sheds, when it begins to, and which
//! retry delays it sends.

use std::collections::{BTreeMap, VecDeque};

use kingcupgrade::{
    coordination::{
        fleet::report_ttl,
        overload::{Overload, PeerRoom, RetrySpread, early_refusal},
        traffic::{EarlyRequest, Traffic, Verdict},
    },
    core::{Code, Millis, Organisation},
    protocol::fleet::{DomainRoom, LoadReport},
};

use crate::traffic::{demand, entry_names, traffic};

/// A size of fleet that exchanges load through collectors.
const LARGE_FLEET: usize = 20;
/// The largest fleet in which each entry sends to all others.
const SMALL_FLEET: usize = 16;
/// The capacity that is promised to all organisations, in tokens per second.
const CAPACITY: f64 = 100_000.0;

/// The requests of one organisation in a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    sent: u32,
    served: u32,
}

/// A simulated processor of an entry that runs its tasks in order of arrival.
struct Processor {
    overload: Overload,
    now: u64,
    busy_until_ms: f64,
    /// When each task was queued, and the organisation if it is a request.
    tasks: VecDeque<(u64, Option<Organisation>)>,
    is_probing: bool,
    totals: BTreeMap<Organisation, Totals>,
    /// How long the served requests waited, in milliseconds.
    waits: Vec<u64>,
}

impl Processor {
    /// The processor time that serving a request takes.
    const SERVE_COST_MS: f64 = 5.0;
    /// The processor time that refusing a request early takes.
    const REFUSE_COST_MS: f64 = 0.1;

    fn new(room: PeerRoom) -> Processor {
        let mut overload = Overload::default();
        overload.set_peer_room(room);
        Processor {
            overload,
            now: 0,
            busy_until_ms: 0.0,
            tasks: VecDeque::new(),
            is_probing: false,
            totals: BTreeMap::new(),
            waits: Vec::new(),
        }
    }

    /// Simulates a number of milliseconds in which organisations send these requests per second.
    fn run(&mut self, duration_ms: u64, rates: &[(&str, u64)]) {
        for _ in 0..duration_ms {
            self.now += 1;
            for (name, rate) in rates {
                let due = |at: u64| at * rate / 1_000;
                for _ in due(self.now - 1)..due(self.now) {
                    self.tasks.push_back((self.now, Some(Organisation::from(*name))));
                }
            }
            if !self.is_probing && self.now.is_multiple_of(10) {
                self.is_probing = true;
                self.tasks.push_back((self.now, None));
            }
            self.run_tasks();
        }
    }

    fn run_tasks(&mut self) {
        while self.busy_until_ms <= self.now as f64 {
            let Some((queued, task)) = self.tasks.pop_front() else { break };
            let waited = self.now - queued;
            match task {
                Some(organisation) => self.run_request(waited, &organisation),
                None => {
                    self.is_probing = false;
                    self.overload.on_probe_delay(Millis(waited));
                }
            }
        }
        self.busy_until_ms = self.busy_until_ms.max(self.now as f64);
    }

    fn run_request(&mut self, waited: u64, organisation: &Organisation) {
        let now = Millis(self.now);
        self.overload.on_delay(Millis(waited));
        self.overload.on_arrival(now, organisation);
        let is_refused = self.overload.should_refuse_from(now, organisation);
        let totals = self.totals.entry(organisation.clone()).or_default();
        totals.sent += 1;
        totals.served += u32::from(!is_refused);
        self.busy_until_ms += if is_refused { Self::REFUSE_COST_MS } else { Self::SERVE_COST_MS };
        if !is_refused {
            self.waits.push(waited);
        }
    }

    fn totals(&self, name: &str) -> Totals {
        self.totals.get(&Organisation::from(name)).copied().unwrap_or_default()
    }

    fn reset_totals(&mut self) {
        self.totals.clear();
        self.waits.clear();
    }

    fn mean_wait(&self) -> f64 {
        self.waits.iter().sum::<u64>() as f64 / self.waits.len().max(1) as f64
    }
}

/// Guards against an organisation that loses requests because of another one's flood: the load
/// balancer sends a flood to one entry, where all would lose the same fraction.
#[test]
fn a_flood_is_taken_from_the_organisation_that_sends_it() {
    let mut processor = Processor::new(PeerRoom::Available);
    let rates = [("flood", 1_500), ("first", 10), ("second", 6)];
    processor.run(1_000, &rates[1..]);
    processor.run(3_000, &rates);
    processor.reset_totals();
    processor.run(10_000, &rates);
    for name in ["first", "second"] {
        let Totals { sent, served } = processor.totals(name);
        assert_eq!(served, sent, "{name}");
    }
    let Totals { served, .. } = processor.totals("flood");
    assert!((600..1_900).contains(&served), "{served} of the flood served in ten seconds");
}

/// Guards against refusing everyone in the first seconds of a flood: the processor is saturated at
/// times until the refused fraction has adapted.
#[test]
fn few_requests_of_others_are_lost_while_a_flood_begins() {
    for (room, flood) in [(PeerRoom::Available, 800), (PeerRoom::Short, 1_500)] {
        let mut processor = Processor::new(room);
        let rates = [("flood", flood), ("first", 20), ("second", 10), ("third", 6)];
        processor.run(2_000, &rates[1..]);
        processor.reset_totals();
        processor.run(3_000, &rates);
        let others = ["first", "second", "third"].map(|name| processor.totals(name));
        let sent: u32 = others.iter().map(|totals| totals.sent).sum();
        let served: u32 = others.iter().map(|totals| totals.served).sum();
        assert!(served * 10 >= sent * 9, "{served} of {sent} served beside {flood} per second");
    }
}

/// Guards against taking from those who send little while those who send most keep what exceeds an
/// even part: two that send a lot must end at the same level.
#[test]
fn those_who_send_most_are_served_alike() {
    let mut processor = Processor::new(PeerRoom::Available);
    let rates = [("more", 600), ("much", 300), ("little", 20)];
    processor.run(3_000, &rates);
    processor.reset_totals();
    processor.run(10_000, &rates);
    let [more, much] = ["more", "much"].map(|name| f64::from(processor.totals(name).served));
    assert!((0.8..1.25).contains(&(more / much)), "{more} and {much} served");
    let Totals { sent, served } = processor.totals("little");
    assert!(served * 100 >= sent * 95, "{served} of {sent} served");
}

/// Guards against callers that are served late although another entry could serve them sooner:
/// without room elsewhere, load is shed only from a delay twice as long as the detour.
#[test]
fn less_delay_is_accepted_where_others_have_room() {
    let mean_wait = |room| {
        let mut processor = Processor::new(room);
        processor.run(13_000, &[("flood", 800), ("other", 20)]);
        processor.mean_wait()
    };
    let (available, short) = (mean_wait(PeerRoom::Available), mean_wait(PeerRoom::Short));
    assert!(available < 60.0, "requests waited {available:.0} ms");
    assert!(available < short * 0.75, "{available:.0} ms with room elsewhere, {short:.0} without");
}

/// Guards against two faults of a saturated entry: refusing the few callers of others with a flood,
/// and serving so many organisations that it never catches up.
#[test]
fn a_saturated_entry_serves_the_others_only_if_they_are_a_small_part() {
    let saturated = |flood: usize| {
        let mut overload = Overload::default();
        let now = Millis(1_000);
        (0..flood).for_each(|_| overload.on_arrival(now, &Organisation::from("flood")));
        for n in 0..30 {
            overload.on_arrival(now, &Organisation::from(format!("small-{n}").as_str()));
        }
        (0..2).for_each(|_| overload.on_delay(Millis(300)));
        assert!(overload.is_saturated());
        let mut refuses = |name: &str| overload.should_refuse_from(now, &Organisation::from(name));
        (refuses("flood"), (0..30).filter(|n| refuses(&format!("small-{n}"))).count())
    };
    assert_eq!(saturated(1_000), (true, 0), "30 of 1,030 requests are a small part");
    assert_eq!(saturated(30), (true, 30), "half of the requests are not");
}

/// Guards against memory that grows with the number of organisations, and against one that sends
/// much hiding behind many others.
#[test]
fn many_organisations_do_not_hide_the_flood() {
    let mut overload = Overload::default();
    for n in 0..10_000 {
        let now = Millis(n);
        overload.on_arrival(now, &Organisation::from(format!("small-{n}").as_str()));
        overload.on_arrival(now, &Organisation::from("flood"));
    }
    (0..20).for_each(|_| overload.on_probe_delay(Millis(200)));
    let now = Millis(10_000);
    let mut refused = 0;
    for _ in 0..100 {
        overload.on_arrival(now, &Organisation::from("flood"));
        refused += u32::from(overload.should_refuse_from(now, &Organisation::from("flood")));
    }
    assert!(refused >= 50, "{refused} of 100 refused");
    let late = Organisation::from("small-9999");
    assert!(!overload.should_refuse_from(now, &late));
    assert!(overload.take_shed().len() <= 128);
}

/// Guards against refused callers who come back together, too late to be served, or sooner than
/// they need to where no entry has room.
#[test]
fn callers_come_back_spread_over_the_time_they_can_use() {
    let mut spread = RetrySpread::default();
    for (time_left, longest) in [(Millis(12_000), 1_500), (Millis(1_500), 500)] {
        let delays: Vec<u64> =
            (0..1_000).map(|_| spread.next(PeerRoom::Short, time_left).0).collect();
        assert!(delays.iter().all(|delay| (50..=longest).contains(delay)));
        for tenth in 0..10 {
            let at = |n: u64| 50 + (longest - 50) * n / 10;
            let within = at(tenth)..at(tenth + 1);
            let count = delays.iter().filter(|delay| within.contains(delay)).count();
            assert!((90..=110).contains(&count), "{count} of 1,000 within {within:?}");
        }
    }
    assert_eq!(spread.next(PeerRoom::Short, Millis(90)), Millis(30));
    assert_eq!(spread.next(PeerRoom::Available, Millis(12_000)), Millis(50));
    assert_eq!(spread.next(PeerRoom::Unknown, Millis(12_000)), Millis(50));
}

/// Creates an entry of a fleet whose failure domain has `local` entries.
fn entry(fleet: usize, local: usize) -> Traffic {
    let mut traffic = traffic(CAPACITY, 4);
    traffic.set_entries(entry_names(fleet));
    traffic.set_domain_entries(local);
    traffic
}

/// Delivers the sum of the other entries' reports.
fn tell_room(traffic: &mut Traffic, now: Millis, room: Vec<DomainRoom>) {
    traffic.on_report(now, "total".into(), LoadReport { room, ..LoadReport::default() });
}

fn room(domain: &str, entries: u32, with_room: u32) -> DomainRoom {
    DomainRoom { domain: domain.into(), entries, with_room }
}

/// Guards against an entry that sheds early because entries have room that its callers don't reach,
/// or because few entries tell of theirs.
#[test]
fn room_counts_if_half_of_the_own_failure_domain_has_it() {
    let told = |rooms: Vec<DomainRoom>| {
        let mut entry = entry(LARGE_FLEET, 9);
        tell_room(&mut entry, Millis(100), rooms);
        entry.peer_room(Millis(200))
    };
    assert_eq!(told(vec![room("north", 8, 4), room("south", 9, 0)]), PeerRoom::Available);
    assert_eq!(told(vec![room("north", 8, 3), room("south", 9, 9)]), PeerRoom::Short);
    assert_eq!(told(vec![room("south", 9, 9)]), PeerRoom::Unknown);
    // Five entries of the previous version don't tell.
    assert_eq!(told(vec![room("north", 3, 3)]), PeerRoom::Short);
}

/// Guards against an entry that goes on relying on room elsewhere after it was cut off or the
/// collectors were lost.
#[test]
fn an_entry_without_reports_sheds_as_if_alone() {
    let mut entry = entry(LARGE_FLEET, 9);
    let mut overload = Overload::default();
    assert_eq!(entry.peer_room(Millis(100)), PeerRoom::Unknown);
    tell_room(&mut entry, Millis(100), vec![room("north", 8, 8)]);
    overload.set_peer_room(entry.peer_room(Millis(200)));
    assert_eq!(overload.delay_limit(), Millis(50));
    // Sums of collectors of the previous version say nothing of the room.
    let lost = Millis(101) + report_ttl(LARGE_FLEET);
    tell_room(&mut entry, lost, Vec::new());
    overload.set_peer_room(entry.peer_room(lost));
    assert_eq!(overload.delay_limit(), Millis(100));
    let refused = demand(1, lost, "any", 1, 100);
    assert_eq!(entry.refuse_overloaded(lost, &refused), Millis(50));
}

/// Guards against a change of what small fleets do, whose entries know each other's load without
/// collectors.
#[test]
fn a_small_fleet_neither_tells_nor_uses_room() {
    for (fleet, is_told) in [(SMALL_FLEET, false), (SMALL_FLEET + 1, true)] {
        let mut entry = entry(fleet, 9);
        entry.set_own_room(true);
        let expected = if is_told { vec![room("north", 1, 1)] } else { Vec::new() };
        assert_eq!(entry.take_report(Millis(100)).room, expected);
        tell_room(&mut entry, Millis(100), vec![room("north", 8, 0)]);
        let expected = if is_told { PeerRoom::Short } else { PeerRoom::Unknown };
        assert_eq!(entry.peer_room(Millis(100)), expected);
    }
}

/// Guards against an entry that invites refused callers of others while it is about to refuse its
/// own.
#[test]
fn an_entry_has_room_only_well_below_its_limit() {
    let after = |delay| {
        let mut overload = Overload::default();
        (0..100).for_each(|_| overload.on_probe_delay(Millis(delay)));
        overload.has_room()
    };
    assert!(after(0) && after(15));
    assert!(!after(40) && !after(150));
    let mut paused = Overload::default();
    paused.on_probe_delay(Millis(60));
    assert!(paused.has_room(), "a single short pause is no lack of room");
}

/// Creates an entry that knows by a report that `ahead` is beyond its share and `least` is not.
fn entry_with_backlog(fleet: usize) -> Traffic {
    let mut entry = entry(fleet, 9);
    let tokens = |amounts: [(&str, f32); 2]| {
        amounts.map(|(name, tokens)| (Organisation::from(name), tokens)).to_vec()
    };
    let report = LoadReport {
        served: tokens([("least", 140_000.0), ("ahead", 300_000.0)]),
        requested: tokens([("least", 900_000.0), ("ahead", 900_000.0)]),
        refused: tokens([("least", 50_000.0), ("ahead", 50_000.0)]),
        ..LoadReport::default()
    };
    entry.on_report(Millis(100), "total".into(), report);
    entry
}

fn early(organisation: &Organisation, uses_engine: bool) -> EarlyRequest<'_> {
    EarlyRequest { organisation, work: 1_000.0, uses_engine, time_left: Millis(12_000) }
}

/// Guards against an early refusal of requests that admission would take, and against one that is
/// not counted as requested and refused.
#[test]
fn early_refusals_for_the_share_are_those_of_admission() {
    let mut entry = entry_with_backlog(LARGE_FLEET);
    let now = Millis(110);
    let [least, ahead] = ["least", "ahead"].map(Organisation::from);
    assert_eq!(entry.refuse_over_share(now, &early(&least, true)), None);
    assert_eq!(entry.refuse_over_share(now, &early(&ahead, false)), None);
    let delay = entry.refuse_over_share(now, &early(&ahead, true)).expect("a refusal");
    assert_eq!(entry.report(now).refused, [(ahead.clone(), 1_000.0)]);
    match entry.admit(now, demand(1, now, "ahead", 5, 100)) {
        Some(Verdict::Refuse { code: Code::OverShare, retry_after }) => {
            assert_eq!(retry_after, delay);
        }
        verdict => panic!("{verdict:?}"),
    }
}

/// Guards against two faults: an entry with room that refuses by shares before admission, and small
/// fleets that shed by organisation or share.
#[test]
fn requests_are_refused_early_only_by_overloaded_entries_and_by_share_only_in_large_fleets() {
    let now = Millis(110);
    let [least, ahead] = ["least", "ahead"].map(Organisation::from);
    let refused = |fleet: usize, is_overloaded: bool, organisation: &Organisation| {
        let mut entry = entry_with_backlog(fleet);
        let mut overload = Overload::default();
        if is_overloaded {
            (0..5).for_each(|_| overload.on_probe_delay(Millis(300)));
            overload.on_probe_delay(Millis(1));
            overload.on_probe_delay(Millis(1));
        }
        for _ in 0..100 {
            overload.on_arrival(now, &ahead);
        }
        let refusals = (0..10).filter_map(|_| {
            early_refusal(now, &mut overload, &mut entry, &early(organisation, true))
        });
        let codes = refusals.map(|(code, _)| code).collect::<Vec<Code>>();
        let count = |code| codes.iter().filter(|refused| **refused == code).count();
        (count(Code::OverShare), count(Code::TooBusy))
    };
    assert_eq!(refused(LARGE_FLEET, false, &ahead), (0, 0));
    assert_eq!(refused(LARGE_FLEET, true, &ahead), (10, 0));
    assert_eq!(refused(LARGE_FLEET, true, &least), (0, 0));
    assert_eq!(refused(SMALL_FLEET, false, &ahead), (0, 0));
    let small = refused(SMALL_FLEET, true, &ahead);
    assert!(small.0 == 0 && (1..10).contains(&small.1), "{small:?}");
    assert_eq!(small, refused(SMALL_FLEET, true, &least));
}
