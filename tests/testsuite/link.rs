//! Tests how an entry sees that its network link is full.

use kingcupgrade::{
    coordination::link::LinkLoad,
    core::{Instance, Millis},
};

/// How long the balancer takes to send callers elsewhere, or back.
const BALANCER_DELAY: Millis = Millis(2_000);

/// Records a round trip to each of `peers` peers.
fn answer_pings(link: &mut LinkLoad, now: Millis, peers: usize, delay: impl Fn(usize) -> u64) {
    for peer in 0..peers {
        let name = Instance::from(format!("c-{peer}").as_str());
        link.on_round_trip(now, &name, Millis(1 + delay(peer)));
    }
}

/// Guards against an entry that goes on asking for callers although its link can't move what comes
/// in: bytes wait before it for seconds, and every caller of the entry is served too late or gives
/// up. Here half as much again as the link can carry comes in for as long as the balancer sends
/// callers; what waits must stay bounded, and most of the link be used.
#[test]
fn an_entry_behind_a_full_link_asks_for_no_more_callers() {
    let mut link = LinkLoad::default();
    let (mut queue_ms, mut longest, mut idle) = (0.0_f64, 0.0_f64, 0);
    let mut full_at = vec![false; 40_000];
    for ms in 0..40_000_u64 {
        let now = Millis(ms);
        let seen = ms.checked_sub(BALANCER_DELAY.0).is_some_and(|at| full_at[at as usize]);
        let offered = if seen { 0.2 } else { 1.5 };
        queue_ms = (queue_ms + offered - 1.0).max(0.0);
        if ms > 10_000 {
            longest = longest.max(queue_ms);
            idle += u32::from(queue_ms == 0.0);
        }
        if ms % 100 == 0 {
            answer_pings(&mut link, now, 4, |_| queue_ms as u64);
        }
        link.update(now, Millis::ZERO);
        full_at[ms as usize] = link.is_full(now);
    }
    assert!(longest < 1_300.0, "{longest} ms before the link");
    assert!(full_at.contains(&true) && !full_at[100]);
    assert!(idle < 20_000, "nothing waits for {idle} of 30,000 ms");
}

/// Guards against an entry that keeps callers away because a single peer is slow, as after its
/// restart or while packets to its failure domain are lost.
#[test]
fn a_slow_peer_is_no_full_link() {
    let mut link = LinkLoad::default();
    for ms in (0..10_000).step_by(100) {
        let slow = if ms > 1_000 { 900 } else { 0 };
        answer_pings(&mut link, Millis(ms), 3, |peer| if peer == 0 { slow } else { 0 });
        link.update(Millis(ms), Millis::ZERO);
        assert!(!link.is_full(Millis(ms)));
    }
}

/// Guards against taking an overloaded processor, which delays pongs too, for a full link, and
/// against a judgement from a single peer.
#[test]
fn a_late_processor_is_no_full_link() {
    let mut link = LinkLoad::default();
    answer_pings(&mut link, Millis::ZERO, 3, |_| 0);
    answer_pings(&mut link, Millis(1_000), 3, |_| 250);
    link.update(Millis(1_000), Millis(240));
    assert!(!link.is_full(Millis(1_000)));
    let mut link = LinkLoad::default();
    answer_pings(&mut link, Millis::ZERO, 1, |_| 0);
    answer_pings(&mut link, Millis(1_000), 1, |_| 250);
    link.update(Millis(1_000), Millis::ZERO);
    assert!(!link.is_full(Millis(1_000)));
}

/// Guards against an entry that keeps callers away long after its link has emptied.
#[test]
fn callers_come_back_when_the_link_has_emptied() {
    let mut link = LinkLoad::default();
    let mut full = Vec::new();
    for ms in (0..10_000).step_by(100) {
        let delay = if (1_000..3_000).contains(&ms) { 300 } else { 0 };
        answer_pings(&mut link, Millis(ms), 3, |_| delay);
        link.update(Millis(ms), Millis::ZERO);
        full.push(link.is_full(Millis(ms)));
    }
    assert!(full[15] && full[40] && !full[60], "{full:?}");
}
