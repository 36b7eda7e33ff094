//! An entry whose processor can't carry what the balancer sends it.

use kingcupgrade::{coordination::overload::Overload, core::Millis};

/// One organisation sends most of the traffic through one entry. Its processor fell behind by
/// seconds, and all its callers waited until they gave up, though other entries were idle. Here a
/// processor carries 200 requests a second and gets 800; what it takes must come near what it
/// carries, and the delay must stay small.
#[test]
fn an_entry_with_too_much_refuses_the_rest_at_once() {
    let mut overload = Overload::default();
    let mut behind_ms = 0.0_f64;
    let mut taken = 0;
    for turn in 0..2_000 {
        for _ in 0..8 {
            if overload.refuses() {
                behind_ms += 0.2;
            } else {
                behind_ms += 5.0;
                taken += u32::from(turn >= 1_000);
            }
        }
        behind_ms = (behind_ms - 10.0).max(0.0);
        overload.on_turn(Millis(behind_ms as u64));
        assert!(turn < 200 || behind_ms < 250.0, "{behind_ms} ms behind at turn {turn}");
    }
    assert!((1_200..2_400).contains(&taken), "{taken} requests taken in ten seconds");
}

/// The rush is over. An entry that went on refusing would send its callers away for nothing.
#[test]
fn refusing_ends_with_the_rush() {
    let mut overload = Overload::default();
    for _ in 0..100 {
        overload.on_turn(Millis(300));
    }
    assert!(overload.part() > 0.5 && overload.is_full());
    for _ in 0..200 {
        overload.on_turn(Millis(1));
    }
    assert!(!(0..100).any(|_| overload.refuses()) && !overload.is_full());
}

/// In a process that stood still for seconds one task has waited that long. Nothing is too much for
/// it, and most callers must be served as before.
#[test]
fn one_long_pause_is_no_overload() {
    let mut overload = Overload::default();
    overload.on_turn(Millis(5_000));
    let refused = (0..100).filter(|_| overload.refuses()).count();
    assert!(refused <= 20, "{refused} of 100 refused");
}
