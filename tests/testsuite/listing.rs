//! Tests which entries read the platform's list of upstreams, and when, and how changes are
//! distributed.

use kingcupgrade::{
    coordination::listing::{KnownListing, ListingDuty, ListingPlan, Neighbours},
    core::{Instance, Millis},
    protocol::fleet::{ListedUpstream, ListingUpdate},
};

fn entries(count: usize) -> Vec<Instance> {
    (0..count).map(|entry| Instance::from(format!("e-127.0.0.{entry}").as_str())).collect()
}

const DOMAINS: usize = 5;
const ENTRIES_PER_DOMAIN: usize = 39;
/// How long reading the list takes, in milliseconds.
const READ_DURATION_MS: u64 = 20;

struct Entry {
    domain: usize,
    duty: ListingDuty,
    plan: ListingPlan,
    /// When the current reading ends, if one is in progress.
    read_ends_at: Option<u64>,
}

/// The entries of a fleet in several failure domains.
struct Fleet {
    entries: Vec<Entry>,
    reads: usize,
}

impl Fleet {
    fn new() -> Fleet {
        let fleet = entries(DOMAINS * ENTRIES_PER_DOMAIN);
        let entries = fleet.iter().enumerate().map(|(position, name)| {
            let domain = position / ENTRIES_PER_DOMAIN;
            let here = &fleet[domain * ENTRIES_PER_DOMAIN..(domain + 1) * ENTRIES_PER_DOMAIN];
            let duty = Neighbours { fleet: &fleet, domain: here }.duty(name);
            Entry { domain, duty, plan: ListingPlan::new(name), read_ends_at: None }
        });
        Fleet { entries: entries.collect(), reads: 0 }
    }

    /// Simulates a millisecond, in which the entries for which `is_lost` returns true neither act
    /// nor receive messages.
    fn step(&mut self, now: u64, is_lost: impl Fn(&Entry) -> bool) {
        let mut completed = Vec::new();
        for entry in self.entries.iter_mut() {
            if is_lost(entry) {
                entry.read_ends_at = None;
                continue;
            }
            if entry.read_ends_at.is_none() && entry.plan.is_due(Millis(now), entry.duty) {
                self.reads += 1;
                entry.read_ends_at = Some(now + READ_DURATION_MS);
            }
            if entry.read_ends_at.is_some_and(|end| end <= now) {
                entry.read_ends_at = None;
                entry.plan.on_read(Millis(now), true, DOMAINS * ENTRIES_PER_DOMAIN);
                completed.push((entry.domain, entry.duty));
            }
        }
        for (domain, duty) in completed {
            for entry in self.entries.iter_mut().filter(|entry| !is_lost(entry)) {
                let receives = match duty {
                    ListingDuty::Reads => true,
                    ListingDuty::Hears => false,
                    ListingDuty::StandsIn | ListingDuty::StandsInSecond => entry.domain == domain,
                };
                if receives {
                    entry.plan.on_received(Millis(now), Millis(READ_DURATION_MS));
                }
            }
        }
    }

    fn max_age(&self, now: u64, is_lost: impl Fn(&Entry) -> bool) -> Millis {
        let alive = self.entries.iter().filter(|entry| !is_lost(entry));
        alive.map(|entry| entry.plan.age(Millis(now))).max().unwrap_or_default()
    }

    /// Simulates 10 s without failures, then `span` ms in which the entries for which `is_lost`
    /// returns true are lost. Returns the maximum age of any other entry's list meanwhile.
    fn max_age_without(&mut self, span: u64, is_lost: impl Fn(&Entry) -> bool) -> Millis {
        (0..10_000).for_each(|now| self.step(now, |_| false));
        let mut max_age = Millis::ZERO;
        for now in 10_000..10_000 + span {
            self.step(now, &is_lost);
            max_age = max_age.max(self.max_age(now, &is_lost));
        }
        max_age
    }
}

/// Guards against more entries reading the list than necessary: each call is priced, and the
/// platform refuses more than a few calls per second.
#[test]
fn one_entry_of_the_fleet_reads_the_list_and_two_of_a_failure_domain_stand_in() {
    for count in [1, 2, 3, 39] {
        let names = entries(count);
        let neighbours = Neighbours { fleet: &names, domain: &names };
        let with = |wanted| names.iter().filter(|name| neighbours.duty(name) == wanted).count();
        assert_eq!(with(ListingDuty::Reads), 1, "of {count}");
        assert!(with(ListingDuty::StandsIn) + with(ListingDuty::StandsInSecond) <= 2);
        assert!(neighbours.readers().len() <= 3);
    }
    let fleet = Fleet::new();
    for domain in 0..DOMAINS {
        let here = fleet.entries.iter().filter(|entry| entry.domain == domain);
        let duties: Vec<ListingDuty> = here.map(|entry| entry.duty).collect();
        assert!(duties.contains(&ListingDuty::StandsInSecond), "in {domain}");
    }
    let mut fleet = Fleet::new();
    for now in 0..20_000 {
        fleet.step(now, |_| false);
        if now > 100 {
            assert!(fleet.max_age(now, |_| false) < Millis(1_000), "at {now}");
        }
    }
    assert!(fleet.reads <= 23, "{} reads in twenty seconds", fleet.reads);
}

/// Guards against requests to upstreams that have left, because the entry that reads the list for
/// the others is lost, frozen or partitioned. No entry may use a list older than the bound.
#[test]
fn the_list_stays_young_when_its_reader_is_lost() {
    let mut fleet = Fleet::new();
    let max_age = fleet.max_age_without(10_000, |entry| entry.duty == ListingDuty::Reads);
    assert!(max_age <= Millis(1_800), "{max_age:?}");
    assert!(fleet.reads <= 11 + 6 * 11, "{} reads", fleet.reads);
}

/// Guards against the same when the reader's failure domain is cut off from all others.
#[test]
fn the_list_stays_young_in_every_domain_when_they_are_cut_off_from_each_other() {
    let mut fleet = Fleet::new();
    let reader = fleet.entries.iter().find(|entry| entry.duty == ListingDuty::Reads);
    let domain = reader.expect("a reader").domain;
    let max_age = fleet.max_age_without(10_000, |entry| entry.domain == domain);
    assert!(max_age <= Millis(1_400), "{max_age:?}");
}

/// Guards against the same when the stand-ins are lost as well.
#[test]
fn the_list_stays_young_when_all_readers_are_lost() {
    let mut fleet = Fleet::new();
    let max_age = fleet.max_age_without(3_100, |entry| entry.duty != ListingDuty::Hears);
    assert!(max_age <= Millis(3_100), "{max_age:?}");
}

/// Guards against hundreds of entries that all read the list when they start together, and against
/// an entry that has no upstreams for seconds because it waits for others to send the list.
#[test]
fn entries_that_start_together_do_not_all_read_the_list() {
    let mut fleet = Fleet::new();
    (0..1_000).for_each(|now| fleet.step(now, |_| false));
    assert!(fleet.reads <= 3, "{} reads in the first second", fleet.reads);
    let due = |name: &Instance| {
        let plan = ListingPlan::new(name);
        (0..5_000).find(|now| plan.is_due(Millis(*now), ListingDuty::Hears))
    };
    let due: Vec<u64> = entries(39).iter().filter_map(due).collect();
    assert_eq!(due.len(), 39);
    assert!(due.iter().all(|due| (500..=1_001).contains(due)), "{due:?}");
}

/// Guards against underestimating the age of a list. An entry that received a list read a second
/// ago and counted its age from the receipt would use it for a second too long.
#[test]
fn a_list_counts_from_when_it_was_read() {
    let mut plan = ListingPlan::new(&entries(1)[0]);
    plan.on_received(Millis(5_000), Millis(900));
    assert_eq!(plan.age(Millis(5_000)), Millis(900));
    // An older list that arrives later has no effect.
    plan.on_received(Millis(5_100), Millis(1_500));
    assert_eq!(plan.age(Millis(5_100)), Millis(1_000));
}

fn listed(name: &str, is_ready: bool) -> ListedUpstream {
    ListedUpstream {
        name: name.into(),
        service: "engine".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: "north".into(),
        slots: 6,
        is_ready,
        cold: Millis::ZERO,
        started_unix_ms: 1,
        version: None,
    }
}

fn all(ready: &[&str]) -> Vec<ListedUpstream> {
    ready.iter().map(|name| listed(name, true)).collect()
}

fn names(known: &KnownListing) -> Vec<String> {
    known.upstreams().map(|listed| listed.name.to_string()).collect()
}

/// Guards against sending complete lists of hundreds of upstreams to hundreds of entries each
/// second, and against entries that miss a change.
#[test]
fn only_changes_of_the_list_are_told_and_all_of_them_arrive() {
    let own = &entries(1)[0];
    let (mut reader, mut receiver) = (KnownListing::default(), KnownListing::default());
    let first = reader.on_read(own, 1_000, all(&["a", "b", "c"]));
    assert!(receiver.on_change(first));
    let same = reader.on_read(own, 2_000, all(&["a", "b", "c"]));
    assert!(same.changed.is_empty() && same.removed.is_empty());
    assert!(receiver.on_change(same));
    let mut read = all(&["a", "d"]);
    read[0].is_ready = false;
    let change = reader.on_read(own, 3_000, read.clone());
    assert_eq!((change.changed.len(), change.removed.len()), (2, 2));
    assert!(receiver.on_change(change));
    assert_eq!(names(&receiver), ["a", "d"]);
    assert_eq!(receiver.upstreams().cloned().collect::<Vec<_>>(), read);
}

/// Guards against an entry that applies a change to a list that it doesn't have, because a message
/// was lost, the reader restarted or another entry now reads the list. It would go on sending
/// requests to upstreams that have left.
#[test]
fn a_change_of_a_list_that_is_not_known_is_not_taken_in() {
    let readers = entries(2);
    let (mut reader, mut receiver) = (KnownListing::default(), KnownListing::default());
    assert!(receiver.on_change(reader.on_read(&readers[0], 1_000, all(&["a", "b"]))));
    let _lost = reader.on_read(&readers[0], 2_000, all(&["a"]));
    let later = reader.on_read(&readers[0], 3_000, all(&["a"]));
    assert!(!receiver.on_change(later.clone()));
    assert_eq!(
        names(&receiver),
        ["a", "b"],
        "a change was applied to another list than it was made from"
    );
    assert!(receiver.on_change(reader.full_list().expect("a list")));
    assert_eq!(names(&receiver), ["a"]);
    // A reader that restarts with an earlier wall clock, and then another reader.
    let mut restarted = KnownListing::default();
    restarted.on_read(&readers[0], 2_500, all(&["x"]));
    assert!(!receiver.on_change(restarted.on_read(&readers[0], 2_600, all(&["x", "y"]))));
    let other: ListingUpdate = restarted.on_read(&readers[1], 2_700, all(&["x"]));
    assert_eq!(other.base, 0, "a new reader sends the complete list");
    assert!(receiver.on_change(other));
    assert_eq!(names(&receiver), ["x"]);
}

/// Guards against a list of which a part can't be read that removes the upstreams in that part, or
/// that hides what the other part says.
#[test]
fn a_partial_list_changes_what_it_contains_and_removes_nothing() {
    let own = &entries(1)[0];
    let (mut reader, mut receiver) = (KnownListing::default(), KnownListing::default());
    assert!(receiver.on_change(reader.on_read(own, 1_000, all(&["a", "b"]))));
    let part = vec![listed("a", false), listed("c", true)];
    let change = reader.on_partial_read(own, 2_000, part.clone());
    assert!(change.removed.is_empty());
    assert!(receiver.on_change(change));
    let known: Vec<ListedUpstream> = receiver.upstreams().cloned().collect();
    assert_eq!(known, [part[0].clone(), listed("b", true), part[1].clone()]);
}

/// Guards against a name that is listed twice and taken by the older of its entries: requests would
/// go to an upstream that has ended or leaves.
#[test]
fn the_latest_start_of_an_upstream_that_is_listed_twice_holds() {
    let own = &entries(1)[0];
    let restarted = ListedUpstream { started_unix_ms: 2, ..listed("a", true) };
    let leaves = listed("b", false);
    let mut both = vec![listed("a", true), restarted.clone(), listed("b", true), leaves.clone()];
    for _ in 0..2 {
        let mut reader = KnownListing::default();
        reader.on_read(own, 1_000, both.clone());
        let known: Vec<ListedUpstream> = reader.upstreams().cloned().collect();
        assert_eq!(known, [restarted.clone(), leaves.clone()]);
        both.reverse();
    }
}

/// Guards against exceeding the platform's rate limit when no reader reaches the list and every
/// entry tries to read it: if all entries together called too often, none would get an answer.
#[test]
fn entries_without_a_reader_read_less_often_in_a_large_fleet() {
    let mut reads = 0;
    for entry in entries(84) {
        let mut plan = ListingPlan::new(&entry);
        for now in 0..10_000 {
            if plan.is_due(Millis(now), ListingDuty::Hears) {
                plan.on_read(Millis(now), true, 84);
                reads += 1;
            }
        }
    }
    assert!(reads <= 10 * 20, "{reads} reads in ten seconds");
}
