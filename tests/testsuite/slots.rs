//! Tests the slot accounting of one upstream.

use kingcupgrade::{
    coordination::dispatcher::slots::{Listed, LoadReport, Slots},
    core::{Millis, document::SlotLimits},
};

fn listed(age_ms: u64, warm: bool) -> Listed {
    Listed {
        upstream: "engine".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        leaving: false,
        incarnation: 1,
        report: Some(LoadReport { running: 0, warm, age_ms }),
        version: None,
    }
}

fn slots_with_report(now: u64, warm: bool) -> Slots {
    let limits = SlotLimits { cold: 2, warm: 8 };
    let mut slots = Slots::new(Millis(0), &listed(0, warm), limits);
    slots.on_listed(Millis(now), Millis(0), Millis(1_000), &listed(0, warm), |_| 0);
    slots
}

// Guards against backing off longest at once when a busy service briefly refuses a burst of
// connections. If each refusal counted as a separate failure, requests would wait although the
// service is idle.
#[test]
fn requests_that_fail_together_pause_an_upstream_once() {
    let mut slots = slots_with_report(1_000, true);
    for _ in 0..50 {
        slots.on_failure(Millis(1_000));
    }
    assert_eq!(slots.free(Millis(1_100), 0, 0), 0);
    assert!(
        slots.free(Millis(1_500), 0, 0) > 0,
        "the pause is longer than that of a single failure"
    );
}

// Guards against raising the slot limit on a stale load report: an engine has turned cold, which a
// refusal shows, while a report from before the refusal still says warm.
#[test]
fn a_report_older_than_the_trouble_is_not_believed() {
    let mut slots = slots_with_report(1_000, true);
    for _ in 0..6 {
        slots.on_completed(Millis(1_100), Millis(1_050), Some(10));
    }
    assert_eq!(slots.limit(), 8);
    slots.on_failure(Millis(2_000));
    slots.on_listed(Millis(2_400), Millis(0), Millis(1_000), &listed(500, true), |_| 0);
    slots.on_completed(Millis(2_500), Millis(2_450), Some(10));
    assert_eq!(slots.limit(), 2, "the limit grew because of a stale report");
    slots.on_listed(Millis(2_800), Millis(0), Millis(1_000), &listed(100, true), |_| 0);
    slots.on_completed(Millis(2_900), Millis(2_850), Some(10));
    assert_eq!(slots.limit(), 3, "the limit did not grow after a current report");
}
