//! Failure domains taken out of service and put back.

use std::{thread, time::Duration};

use kingcup_support::{engine::EngineConfig, wait_until};

use crate::support::{LoadGenerator, TIMEOUT, start};

// Guards against a failure domain that still receives requests three seconds after an operator has
// taken it out, at short notice and under full load, against requests lost in the transition, and
// against a domain that does not serve again by itself once it is back.
#[test]
fn a_failure_domain_out_gets_nothing_new_and_serves_again_when_it_is_back() {
    let harness = start(&["north", "south"], 2, &EngineConfig::default()).with_documents();
    let north = LoadGenerator::start("north", harness.fleet.entry("entry-north-0"), "alder", 3, 15);
    let south = LoadGenerator::start("south", harness.fleet.entry("entry-south-0"), "birch", 3, 15);
    let begun = || harness.engines[1].record().started.len();
    assert!(wait_until(TIMEOUT, || begun() > 5), "south never served");
    harness.fleet.set_domain("south", true).expect("the failure domain out of service");
    // Three seconds is the guaranteed limit; the load continues meanwhile.
    thread::sleep(Duration::from_secs(3));
    let before = begun();
    assert!(north.wait_for(10), "callers of the entry in north are not served");
    assert!(south.wait_for(10), "callers of the entry in south are not served by north");
    assert_eq!(begun(), before, "new requests in a failure domain that is out of service");
    harness.fleet.set_domain("south", false).expect("the failure domain back in service");
    assert!(wait_until(TIMEOUT, || begun() > before + 5), "south does not serve again");
    for (asked, answer) in north.finish().iter().chain(&south.finish()) {
        assert!(answer.is_complete_for(asked), "{answer:?}");
    }
    assert!(harness.engines.iter().all(|engine| engine.record().crashes == 0));
}
