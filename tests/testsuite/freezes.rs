//! Tests processes that are frozen again and again while they serve.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use kingcup_support::{caller::Caller, engine::EngineConfig, freezes, wait_until};

use crate::support::{Harness, LoadGenerator, TIMEOUT, check_answers, start};

/// The number of freezes.
const FREEZES: u64 = 6;
/// Seeds the moments and lengths of the freezes.
const SEED: u64 = 7;

/// Scrapes the metrics of all entries until `stop` is set.
fn scrape(world: &Harness, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let entries = world.fleet.entries().into_iter();
    let addresses: Vec<_> = entries.map(|(i, _)| world.fleet.operator_address(&i)).collect();
    let stop = stop.clone();
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            for address in &addresses {
                // A frozen entry does not respond.
                let _ = Caller::new("").get(*address, "/metrics");
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

// Guards against a process that ends, or stays silent for good, after it was suspended for a moment
// or for seconds while it served: its callers would get no answer until it is restarted.
#[test]
fn an_entry_that_is_frozen_again_and_again_goes_on() {
    let cold = EngineConfig { requests_until_warm: u32::MAX, ..EngineConfig::default() };
    let world = start(&["north"], 3, &cold).with_documents();
    let names: Vec<String> = world.fleet.entries().into_iter().map(|(i, _)| i).collect();
    let callers: Vec<LoadGenerator> = names
        .iter()
        .map(|i| LoadGenerator::start(i, world.fleet.entry(i), "alder", 3, 10))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let scraper = scrape(&world, &stop);
    for freeze in freezes::draw(SEED, FREEZES, names.len()) {
        let frozen = &names[freeze.process];
        thread::sleep(freeze.pause);
        world.fleet.signal(frozen, "STOP");
        thread::sleep(freeze.length);
        world.fleet.signal(frozen, "CONT");
        let responds = || world.fleet.status(frozen).is_ok();
        assert!(wait_until(TIMEOUT, responds), "{frozen} does not respond after {freeze:?}");
    }
    for (name, callers) in names.iter().zip(&callers) {
        assert!(callers.wait_for(3), "{name} does not serve");
    }
    stop.store(true, Ordering::SeqCst);
    scraper.join().expect("the scraper");
    callers.into_iter().for_each(|callers| check_answers(&callers.finish()));
    assert_eq!(world.engines[0].record().crashes, 0, "a cold engine crashed");
}
