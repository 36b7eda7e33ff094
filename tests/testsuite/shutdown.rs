//! Graceful shutdown of an entry.

use kingcupgrade::{
    coordination::{
        shutdown::{DrainStage, Shutdown},
        traffic::{RequestNo, SendEnd},
    },
    core::Millis,
};

use crate::traffic::{assigned_upstream, demand, traffic};

const GRACE: Millis = Millis(8_000);

/// Returns a shutdown that began at zero and has reached [`DrainStage::Closing`] at `now`.
fn closing_at(now: Millis) -> Shutdown {
    let mut shutdown = Shutdown::default();
    shutdown.begin(Millis::ZERO, GRACE);
    assert_eq!(shutdown.step(now, false), DrainStage::Closing);
    shutdown
}

/// Guards against a process that exits as soon as it finds no open connection, with its listener
/// still open: a request of a caller that connects in between is sent on and run, and the caller
/// finds its connection closed. The process may exit only at a check after the listener closed.
#[test]
fn nothing_ends_while_the_listener_is_open() {
    let mut shutdown = closing_at(Millis(3_000));
    assert_eq!(shutdown.step(Millis(3_010), true), DrainStage::ListenerClosed);
    // A connection that was accepted just before the listener closed is served to its end.
    assert_eq!(shutdown.step(Millis(3_020), false), DrainStage::ListenerClosed);
    assert_eq!(shutdown.step(Millis(3_030), true), DrainStage::Stopped);
}

/// Guards against a caller that keeps its connection open and so keeps the process running: the
/// platform kills it at the end of the grace period, and requests open then are lost unreported.
#[test]
fn it_stops_by_itself_before_the_grace_time_is_over() {
    let mut shutdown = closing_at(Millis(3_000));
    let mut now = Millis(3_000);
    while shutdown.step(now, false) != DrainStage::Stopped {
        now = now + Millis(10);
        assert!(now < GRACE, "still running at {now}, when the grace period ends");
    }
    assert!(now > Millis(7_000), "stopped at {now}, long before the grace period ends");
}

/// Guards against requests refused needlessly, and against requests cut off by the process's exit.
/// The load balancer routes callers to the entry until it has noticed that the entry is not ready,
/// and until then each is served. After that, a request that might outlast the process is refused
/// before it is sent.
#[test]
fn requests_are_taken_as_long_as_they_end_in_time() {
    let mut shutdown = Shutdown::default();
    let long = Millis(12_000);
    assert!(shutdown.has_time_for(Millis::ZERO, long, long));
    shutdown.begin(Millis::ZERO, GRACE);
    assert_eq!(shutdown.step(Millis(1_000), true), DrainStage::NotReady);
    assert!(shutdown.has_time_for(Millis(1_000), long, Millis::ZERO));
    let shutdown = closing_at(Millis(3_000));
    assert!(shutdown.has_time_for(Millis(3_000), Millis(600), Millis::ZERO));
    assert!(!shutdown.has_time_for(Millis(3_000), long, Millis::ZERO));
    assert!(!shutdown.has_time_for(Millis(7_400), Millis(600), Millis::ZERO));
}

/// Guards against requests that are taken just after the signal and cut off at the process's end, as
/// their answers are known to take longer.
#[test]
fn a_request_that_is_expected_to_outlast_the_process_is_refused_from_the_signal_on() {
    let mut shutdown = Shutdown::default();
    let timeout = Millis(15_000);
    shutdown.begin(Millis::ZERO, GRACE);
    assert!(shutdown.has_time_for(Millis(1_000), timeout, Millis(6_500)));
    assert!(!shutdown.has_time_for(Millis(2_000), timeout, Millis(6_500)));
    assert!(shutdown.has_time_for(Millis(2_000), Millis(600), Millis(6_500)));
}

/// Guards against streams that a stopping entry takes although others of their route last longer, those
/// under way among them, and against requests of other routes that are refused for them.
#[test]
fn an_answer_is_expected_to_take_as_long_as_others_of_its_route() {
    let mut traffic = traffic(1e9, 4);
    let route = demand(0, Millis::ZERO, "alder", 7, 100).route;
    assert_eq!(traffic.expected_duration(Millis(9_000), &route), Millis::ZERO);
    let took = |no: RequestNo| Millis(if no.is_multiple_of(2) { 1_500 } else { 2_500 });
    for no in 1..=100 {
        let sent = Millis(no * 10_000);
        assert!(
            assigned_upstream(traffic.admit(sent, demand(no, sent, "alder", 7, 100))).is_some()
        );
        traffic.on_end(sent + took(no), no, SendEnd::Answered);
    }
    let now = Millis(2_000_000);
    let expected = traffic.expected_duration(now, &route);
    assert!((Millis(2_500)..Millis(3_500)).contains(&expected), "{expected}");
    assert!(assigned_upstream(traffic.admit(now, demand(101, now, "alder", 7, 100))).is_some());
    let later = now + Millis(6_000);
    assert_eq!(traffic.expected_duration(later, &route), Millis(6_000));
    assert_eq!(traffic.expected_duration(later, "another"), Millis::ZERO);
}

/// Guards against a second termination signal from the platform that restarts the grace period.
#[test]
fn a_second_signal_changes_nothing() {
    let mut shutdown = closing_at(Millis(3_000));
    shutdown.begin(Millis(3_000), GRACE);
    assert_eq!(shutdown.step(Millis(7_900), false), DrainStage::ListenerClosed);
    assert_eq!(shutdown.step(Millis(7_910), false), DrainStage::Stopped);
}
