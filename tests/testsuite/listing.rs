//! Who reads the platform's list of upstreams, and when.

use kingcupgrade::{
    coordination::listing::{ListingPlan, is_reader},
    core::{Instance, Millis},
};

fn entries(count: usize) -> Vec<Instance> {
    (0..count).map(|entry| Instance::from(format!("e-127.0.0.{entry}").as_str())).collect()
}

/// All entries read the list, and the platform refused most of their calls. Two of a failure domain
/// read it, whoever is asked.
#[test]
fn two_entries_of_a_failure_domain_read_the_list() {
    for count in [1, 2, 3, 28] {
        let domain = entries(count);
        let readers = domain.iter().filter(|entry| is_reader(entry, &domain)).count();
        assert_eq!(readers, count.min(2), "of {count}");
    }
}

/// Both readers of a failure domain are gone. An entry that waited for them would send requests to
/// upstreams that have left; it reads the list itself within three seconds, not all at once.
#[test]
fn an_entry_that_hears_nothing_reads_the_list_itself() {
    let mut reads = Vec::new();
    for entry in entries(28) {
        let mut plan = ListingPlan::new(&entry);
        assert!(plan.is_due(Millis::ZERO, false), "nothing is known at the start");
        plan.on_read(Millis::ZERO, true, 84);
        for now in [900, 1_800, 2_700] {
            plan.on_heard(Millis(now));
            assert!(!plan.is_due(Millis(now), false));
        }
        let due = (2_700..12_000).find(|now| plan.is_due(Millis(*now), false));
        reads.push(due.expect("it reads the list in the end"));
    }
    assert!(reads.iter().all(|due| (4_700..=5_701).contains(due)), "{reads:?}");
    let first = reads.iter().filter(|due| **due < 5_000).count();
    assert!(first <= 14, "{first} of 28 read at once");
}

/// No reader reaches the list, so every entry tries. Together they must not ask more often than the
/// list bears, or nobody gets an answer.
#[test]
fn entries_without_a_reader_read_less_often_in_a_large_fleet() {
    let mut reads = 0;
    for entry in entries(84) {
        let mut plan = ListingPlan::new(&entry);
        for now in 0..10_000 {
            if plan.is_due(Millis(now), false) {
                plan.on_read(Millis(now), true, 84);
                reads += 1;
            }
        }
    }
    assert!(reads <= 10 * 20, "{reads} reads in ten seconds");
}
