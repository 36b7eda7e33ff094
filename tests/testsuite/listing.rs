//! Who reads the platform's list of upstreams, and when, and what is told of it.

use kingcupgrade::{
    coordination::listing::{KnownListing, ListingDuty, ListingPlan, Neighbours},
    core::{Instance, Millis},
    protocol::fleet::{ListedUpstream, ListingUpdate},
};

fn entries(count: usize) -> Vec<Instance> {
    (0..count).map(|entry| Instance::from(format!("e-127.0.0.{entry}").as_str())).collect()
}

const DOMAINS: usize = 5;
const PER_DOMAIN: usize = 39;
/// How long one reading takes.
const READING: u64 = 20;

struct Entry {
    domain: usize,
    duty: ListingDuty,
    plan: ListingPlan,
    /// When a reading that is under way ends.
    reading: Option<u64>,
}

/// The entries of a fleet in several failure domains.
struct Fleet {
    entries: Vec<Entry>,
    reads: usize,
}

impl Fleet {
    fn new() -> Fleet {
        let fleet = entries(DOMAINS * PER_DOMAIN);
        let entries = fleet.iter().enumerate().map(|(place, name)| {
            let domain = place / PER_DOMAIN;
            let here = &fleet[domain * PER_DOMAIN..(domain + 1) * PER_DOMAIN];
            let duty = Neighbours { fleet: &fleet, domain: here }.duty(name);
            Entry { domain, duty, plan: ListingPlan::new(name), reading: None }
        });
        Fleet { entries: entries.collect(), reads: 0 }
    }

    /// Plays a millisecond, in which those for whom `is_lost` holds do nothing and hear nothing.
    fn step(&mut self, now: u64, is_lost: impl Fn(&Entry) -> bool) {
        let mut told = Vec::new();
        for entry in self.entries.iter_mut() {
            if is_lost(entry) {
                entry.reading = None;
                continue;
            }
            if entry.reading.is_none() && entry.plan.is_due(Millis(now), entry.duty) {
                self.reads += 1;
                entry.reading = Some(now + READING);
            }
            if entry.reading.is_some_and(|end| end <= now) {
                entry.reading = None;
                entry.plan.on_read(Millis(now), true, DOMAINS * PER_DOMAIN);
                told.push((entry.domain, entry.duty));
            }
        }
        for (domain, duty) in told {
            for entry in self.entries.iter_mut().filter(|entry| !is_lost(entry)) {
                let is_told = match duty {
                    ListingDuty::Reads => true,
                    ListingDuty::Hears => false,
                    ListingDuty::StandsIn | ListingDuty::StandsInSecond => entry.domain == domain,
                };
                if is_told {
                    entry.plan.on_received(Millis(now), Millis(READING));
                }
            }
        }
    }

    fn oldest(&self, now: u64, is_lost: impl Fn(&Entry) -> bool) -> Millis {
        let alive = self.entries.iter().filter(|entry| !is_lost(entry));
        alive.map(|entry| entry.plan.age(Millis(now))).max().unwrap_or_default()
    }

    /// Plays ten seconds, and some more in which some are lost; returns how old a list gets.
    fn oldest_without(&mut self, span: u64, is_lost: impl Fn(&Entry) -> bool) -> Millis {
        (0..10_000).for_each(|now| self.step(now, |_| false));
        let mut oldest = Millis::ZERO;
        for now in 10_000..10_000 + span {
            self.step(now, &is_lost);
            oldest = oldest.max(self.oldest(now, &is_lost));
        }
        oldest
    }
}

/// Guards against a list that is read by more entries than need to: each call is priced, and beyond
/// a few a second the platform refuses them.
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
            assert!(fleet.oldest(now, |_| false) < Millis(1_000), "at {now}");
        }
    }
    assert!(fleet.reads <= 23, "{} reads in twenty seconds", fleet.reads);
}

/// Guards against requests for upstreams that have left, because whoever read the list for the
/// others is lost, frozen or cut off: nobody goes by a list older than the bound on that.
#[test]
fn the_list_stays_young_when_its_reader_is_lost() {
    let mut fleet = Fleet::new();
    let oldest = fleet.oldest_without(10_000, |entry| entry.duty == ListingDuty::Reads);
    assert!(oldest <= Millis(1_800), "{oldest:?}");
    assert!(fleet.reads <= 11 + 6 * 11, "{} reads", fleet.reads);
}

/// Guards against the same in a failure domain that is cut off with the one that reads.
#[test]
fn the_list_stays_young_in_every_domain_when_they_are_cut_off_from_each_other() {
    let mut fleet = Fleet::new();
    let reader = fleet.entries.iter().find(|entry| entry.duty == ListingDuty::Reads);
    let domain = reader.expect("one reads").domain;
    let oldest = fleet.oldest_without(10_000, |entry| entry.domain == domain);
    assert!(oldest <= Millis(1_400), "{oldest:?}");
}

/// Guards against the same while those that stand in are lost, too.
#[test]
fn the_list_stays_young_when_all_readers_are_lost() {
    let mut fleet = Fleet::new();
    let oldest = fleet.oldest_without(3_100, |entry| entry.duty != ListingDuty::Hears);
    assert!(oldest <= Millis(3_100), "{oldest:?}");
}

/// Guards against hundreds of entries that all read the list when all start at once, and against
/// one that has no upstreams for seconds because it waits for others.
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

/// Guards against an entry that takes a list for younger than it is: told it by one that read it a
/// second ago, it would go by it for a second longer than it may.
#[test]
fn a_list_counts_from_when_it_was_read() {
    let mut plan = ListingPlan::new(&entries(1)[0]);
    plan.on_received(Millis(5_000), Millis(900));
    assert_eq!(plan.age(Millis(5_000)), Millis(900));
    // An older one that arrives later takes nothing back.
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
    }
}

fn all(ready: &[&str]) -> Vec<ListedUpstream> {
    ready.iter().map(|name| listed(name, true)).collect()
}

fn names(known: &KnownListing) -> Vec<String> {
    known.upstreams().map(|listed| listed.name.to_string()).collect()
}

/// Guards against whole lists of hundreds of upstreams told to hundreds of entries each second, and
/// against entries that miss a change.
#[test]
fn only_changes_of_the_list_are_told_and_all_of_them_arrive() {
    let own = &entries(1)[0];
    let (mut reader, mut hearer) = (KnownListing::default(), KnownListing::default());
    let first = reader.on_read(own, 1_000, all(&["a", "b", "c"]));
    assert!(hearer.on_change(first));
    let same = reader.on_read(own, 2_000, all(&["a", "b", "c"]));
    assert!(same.changed.is_empty() && same.removed.is_empty());
    assert!(hearer.on_change(same));
    let mut read = all(&["a", "d"]);
    read[0].is_ready = false;
    let news = reader.on_read(own, 3_000, read.clone());
    assert_eq!((news.changed.len(), news.removed.len()), (2, 2));
    assert!(hearer.on_change(news));
    assert_eq!(names(&hearer), ["a", "d"]);
    assert_eq!(hearer.upstreams().cloned().collect::<Vec<_>>(), read);
}

/// Guards against an entry that applies a change to a list that it doesn't know, since a message
/// was lost, its reader started again, or another one reads now: it would go on sending requests to
/// upstreams that have left.
#[test]
fn a_change_of_a_list_that_is_not_known_is_not_taken_in() {
    let readers = entries(2);
    let (mut reader, mut hearer) = (KnownListing::default(), KnownListing::default());
    assert!(hearer.on_change(reader.on_read(&readers[0], 1_000, all(&["a", "b"]))));
    let _lost = reader.on_read(&readers[0], 2_000, all(&["a"]));
    let later = reader.on_read(&readers[0], 3_000, all(&["a"]));
    assert!(!hearer.on_change(later.clone()));
    assert_eq!(names(&hearer), ["a", "b"], "a list that is only half known");
    assert!(hearer.on_change(reader.full_list().expect("a list")));
    assert_eq!(names(&hearer), ["a"]);
    // One that starts again, at an earlier wall clock, or that read for others meanwhile.
    let mut restarted = KnownListing::default();
    restarted.on_read(&readers[0], 2_500, all(&["x"]));
    assert!(!hearer.on_change(restarted.on_read(&readers[0], 2_600, all(&["x", "y"]))));
    let other: ListingUpdate = restarted.on_read(&readers[1], 2_700, all(&["x"]));
    assert_eq!(other.base, 0, "a new reader tells the whole list");
    assert!(hearer.on_change(other));
    assert_eq!(names(&hearer), ["x"]);
}

/// No reader reaches the list, so every entry tries. Together they must not ask more often than the
/// list bears, or nobody gets an answer.
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
