//! Graceful shutdown of an entry.

use kingcupgrade::{
    coordination::shutdown::{DrainStage, Shutdown},
    core::Millis,
};

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
    assert!(shutdown.has_time_for(Millis::ZERO, long));
    shutdown.begin(Millis::ZERO, GRACE);
    assert_eq!(shutdown.step(Millis(1_000), true), DrainStage::NotReady);
    assert!(shutdown.has_time_for(Millis(1_000), long));
    let shutdown = closing_at(Millis(3_000));
    assert!(shutdown.has_time_for(Millis(3_000), Millis(600)));
    assert!(!shutdown.has_time_for(Millis(3_000), long));
    assert!(!shutdown.has_time_for(Millis(7_400), Millis(600)));
}

/// Guards against a second termination signal from the platform that restarts the grace period.
#[test]
fn a_second_signal_changes_nothing() {
    let mut shutdown = closing_at(Millis(3_000));
    shutdown.begin(Millis(3_000), GRACE);
    assert_eq!(shutdown.step(Millis(7_900), false), DrainStage::ListenerClosed);
    assert_eq!(shutdown.step(Millis(7_910), false), DrainStage::Stopped);
}
