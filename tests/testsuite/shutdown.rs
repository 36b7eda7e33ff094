//! An entry that is told to stop.

use kingcupgrade::{
    coordination::shutdown::{DrainStage, Shutdown},
    core::Millis,
};

const GRACE: Millis = Millis(8_000);

fn closing_at(now: Millis) -> Shutdown {
    let mut shutdown = Shutdown::default();
    shutdown.begin(Millis::ZERO, GRACE);
    assert_eq!(shutdown.step(now, false), DrainStage::Closing);
    shutdown
}

/// An entry found nothing open and ended a moment later; a caller who connected in that moment had
/// its request sent on and cut. The upstream had run it, and the caller saw a closed connection.
/// So the process may end only at a look after its listener closed.
#[test]
fn nothing_ends_while_the_listener_is_open() {
    let mut shutdown = closing_at(Millis(3_000));
    assert_eq!(shutdown.step(Millis(3_010), true), DrainStage::ListenerClosed);
    // A connection that was accepted just before the listener closed is finished first.
    assert_eq!(shutdown.step(Millis(3_020), false), DrainStage::ListenerClosed);
    assert_eq!(shutdown.step(Millis(3_030), true), DrainStage::Stopped);
}

/// A caller that keeps its connection open for good must not keep the process: the platform kills
/// it at the end of the grace time, and what it held then is lost without a word.
#[test]
fn it_stops_by_itself_before_the_grace_time_is_over() {
    let mut shutdown = closing_at(Millis(3_000));
    let mut now = Millis(3_000);
    while shutdown.step(now, false) != DrainStage::Stopped {
        now = now + Millis(10);
        assert!(now < GRACE, "it is killed at {now}");
    }
    assert!(now > Millis(7_000), "it gave up at {now}, long before it had to");
}

/// The balancer sends callers until it has noticed; one who is refused meanwhile is refused for
/// nothing. After that, a request that might outlast the process is refused before it is sent.
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

/// The platform may send its signal twice. The second must not begin the grace time anew.
#[test]
fn a_second_signal_changes_nothing() {
    let mut shutdown = closing_at(Millis(3_000));
    shutdown.begin(Millis(3_000), GRACE);
    assert_eq!(shutdown.step(Millis(7_900), false), DrainStage::ListenerClosed);
    assert_eq!(shutdown.step(Millis(7_910), false), DrainStage::Stopped);
}
