//! Classification of answered requests: on time, or by what made them late.

use kingcupgrade::{
    core::Millis,
    transport::gateway::latency::{Judgement, Times},
};

fn times(queued: u64, expected: u64, took: u64) -> Times {
    Times {
        target: Millis(500),
        queued: Millis(queued),
        expected: Millis(expected),
        took: Millis(took),
        first_byte: Millis(queued + took),
        longest_pause: Millis(100),
        max_pause: Millis(250),
        attempts: 1,
    }
}

/// Guards against late answers that are attributed to the wrong cause: an operator who investigates
/// the latency would tune the queue when an upstream is slow, or the reverse.
#[test]
fn a_late_answer_is_counted_under_what_made_it_late() {
    assert_eq!(times(200, 200, 250).classify(), Judgement::OnTime);
    assert_eq!(times(300, 200, 250).classify(), Judgement::LateQueued);
    assert_eq!(times(100, 200, 900).classify(), Judgement::LateUpstream);
    let repeated = Times { first_byte: Millis(1_500), attempts: 2, ..times(0, 200, 300) };
    assert_eq!(repeated.classify(), Judgement::LateRepeated);
    let paused = Times { longest_pause: Millis(400), ..times(0, 200, 300) };
    assert_eq!(paused.classify(), Judgement::Paused);
    // A route without a limit on pauses never counts an answer as paused.
    assert_eq!(Times { max_pause: Millis::ZERO, ..paused }.classify(), Judgement::OnTime);
}
