//! A failure domain taken out of service and back.

use std::{thread, time::Duration};

use kingcup_support::{engine::EngineConfig, wait_until};

use crate::support::{Crowd, PATIENCE, start};

// Operators take a failure domain out at short notice on the busiest day. Its upstreams must get
// nothing new within three seconds, nobody's order may be lost on the way, and when it is back it
// must serve again without anyone being told.
#[test]
fn a_failure_domain_out_gets_nothing_new_and_serves_again_when_it_is_back() {
    let world = start(&["north", "south"], 2, &EngineConfig::default()).with_documents();
    let north = Crowd::start("north", world.fleet.entry("entry-north-0"), "alder", 3, 15);
    let south = Crowd::start("south", world.fleet.entry("entry-south-0"), "birch", 3, 15);
    let begun = || world.engines[1].record().started.len();
    assert!(wait_until(PATIENCE, || begun() > 5), "the south never served");
    world.fleet.set_domain("south", true).expect("a failure domain out");
    // The promise is three seconds; the load goes on all the while.
    thread::sleep(Duration::from_secs(3));
    let before = begun();
    assert!(north.wait_for(10), "the north's callers are not served");
    assert!(south.wait_for(10), "the callers of the entry in the south are not served elsewhere");
    assert_eq!(begun(), before, "new work in a failure domain that is out");
    world.fleet.set_domain("south", false).expect("a failure domain in");
    assert!(wait_until(PATIENCE, || begun() > before + 5), "the south does not serve again");
    for (asked, answer) in north.finish().iter().chain(&south.finish()) {
        assert!(answer.is_complete_for(asked), "{answer:?}");
    }
    assert!(world.engines.iter().all(|engine| engine.record().crashes == 0));
}
