//! What entries tell each other of the parts of prompts that upstreams keep.

use kingcupgrade::{
    coordination::traffic::{RequestNo, Traffic, Verdict},
    core::Millis,
};

use crate::traffic::{demand, traffic};

const OWN_TOKENS: u32 = 300;

/// Returns the tokens that an entry believes an engine has to read for a request of a session.
fn to_read(traffic: &mut Traffic, now: Millis, no: RequestNo, session: u64) -> u64 {
    match traffic.admit(now, demand(no, now, "alder", session, OWN_TOKENS)) {
        Some(Verdict::Start(grant)) => grant.basis.to_read,
        other => panic!("not started: {other:?}"),
    }
}

/// Guards against an entry that takes what another one had an engine read for unread: it tells the
/// others of work that is not there, and they send their requests elsewhere.
#[test]
fn a_part_that_another_entry_sent_counts_as_kept() {
    let (mut one, mut other) = (traffic(1e9, 4), traffic(1e9, 4));
    let now = Millis(100);
    assert!(to_read(&mut one, now, 1, 7) > 5_000);
    let told = one.take_report(now);
    other.on_report(now, "e-127.0.0.9".into(), told);
    assert_eq!(to_read(&mut other, Millis(110), 1, 7), u64::from(OWN_TOKENS));
}

/// Guards against entries that start anew and never learn what engines keep, and against telling
/// the same with each report.
#[test]
fn a_part_in_use_is_told_of_from_time_to_time() {
    let mut traffic = traffic(1e9, 4);
    let mut told = Vec::new();
    for second in 0..25 {
        let now = Millis(second * 1_000);
        to_read(&mut traffic, now, second, 7);
        traffic.on_first_event(now, second);
        told.push(traffic.take_report(now).kept.len());
    }
    assert_eq!(told.iter().sum::<usize>(), 3, "{told:?}");
    assert_eq!((told[0], told[10], told[20]), (1, 1, 1), "{told:?}");
}
