//! Tests how entries report to each other which prompt parts upstreams have cached.

use kingcupgrade::{
    coordination::traffic::{RequestNo, Traffic, Verdict},
    core::Millis,
};

use crate::traffic::{demand, traffic};

const OWN_TOKENS: u32 = 300;

/// Returns the number of tokens that an entry expects an engine to read for a request of a session.
fn to_read(traffic: &mut Traffic, now: Millis, no: RequestNo, session: u64) -> u64 {
    match traffic.admit(now, demand(no, now, "alder", session, OWN_TOKENS)) {
        Some(Verdict::Start(grant)) => grant.basis.to_read,
        other => panic!("not started: {other:?}"),
    }
}

/// Guards against an entry that counts a prompt part as unread although another entry has had an
/// engine read it: it would report load that does not exist, and the others would send their
/// requests elsewhere.
#[test]
fn a_part_that_another_entry_sent_counts_as_kept() {
    let (mut first, mut second) = (traffic(1e9, 4), traffic(1e9, 4));
    let now = Millis(100);
    assert!(to_read(&mut first, now, 1, 7) > 5_000);
    let report = first.take_report(now);
    second.on_report(now, "e-127.0.0.9".into(), report);
    assert_eq!(to_read(&mut second, Millis(110), 1, 7), u64::from(OWN_TOKENS));
}

/// Guards against restarted entries that never learn what engines have cached, and against
/// announcing the same parts in every report.
#[test]
fn a_part_in_use_is_told_of_from_time_to_time() {
    let mut traffic = traffic(1e9, 4);
    let mut announced_counts = Vec::new();
    for second in 0..25 {
        let now = Millis(second * 1_000);
        to_read(&mut traffic, now, second, 7);
        traffic.on_first_event(now, second);
        announced_counts.push(traffic.take_report(now).kept.len());
    }
    assert_eq!(announced_counts.iter().sum::<usize>(), 3, "{announced_counts:?}");
    assert_eq!(
        (announced_counts[0], announced_counts[10], announced_counts[20]),
        (1, 1, 1),
        "{announced_counts:?}"
    );
}
