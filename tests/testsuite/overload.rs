//! Tests load shedding at an entry whose processor can't handle the load that the balancer sends
//! it.

use std::collections::VecDeque;

use kingcupgrade::{coordination::overload::Overload, core::Millis};

/// Guards against an overloaded entry that accepts all requests. When one organisation sent most of
/// the traffic through one entry, its processor fell behind by seconds and all its callers waited
/// until they gave up, although other entries were idle. Here a processor handles 200 requests per
/// second and gets 800; the number accepted must be close to its capacity, and the delay must stay
/// small.
#[test]
fn an_entry_with_too_much_refuses_the_rest_at_once() {
    let mut overload = Overload::default();
    let mut behind_ms = 0.0_f64;
    let mut accepted = 0;
    for turn in 0..2_000 {
        for _ in 0..8 {
            if overload.should_refuse() {
                behind_ms += 0.2;
            } else {
                behind_ms += 5.0;
                accepted += u32::from(turn >= 1_000);
            }
        }
        behind_ms = (behind_ms - 10.0).max(0.0);
        overload.on_probe_delay(Millis(behind_ms as u64));
        assert!(turn < 200 || behind_ms < 250.0, "{behind_ms} ms behind at turn {turn}");
    }
    assert!((1_200..2_400).contains(&accepted), "{accepted} requests accepted in ten seconds");
}

/// Guards against an entry that goes on refusing callers after the overload has ended.
#[test]
fn refusing_ends_with_the_rush() {
    let mut overload = Overload::default();
    for _ in 0..100 {
        overload.on_probe_delay(Millis(300));
    }
    assert!(overload.refused_fraction() > 0.5 && overload.is_full());
    for _ in 0..200 {
        overload.on_probe_delay(Millis(1));
    }
    assert!(!(0..100).any(|_| overload.should_refuse()) && !overload.is_full());
}

/// Guards against taking a process that was suspended for seconds, so that one task waited that
/// long, for an overloaded one. Most callers must be served as before.
#[test]
fn one_long_pause_is_no_overload() {
    let mut overload = Overload::default();
    overload.on_probe_delay(Millis(5_000));
    let refused = (0..100).filter(|_| overload.should_refuse()).count();
    assert!(refused <= 20, "{refused} of 100 refused");
}

/// A task in the queue of an entry's processor.
enum Task {
    Request,
    Probe,
}

/// A simulated processor that runs an entry's tasks in order of arrival.
#[derive(Default)]
struct Processor {
    overload: Overload,
    now_ms: f64,
    /// The time until which it is busy with a task.
    busy_until_ms: f64,
    tasks: VecDeque<(f64, Task)>,
    is_probing: bool,
}

impl Processor {
    /// The processor time that serving or refusing a request takes.
    const SERVE_COST_MS: f64 = 5.0;
    const REFUSE_COST_MS: f64 = 0.8;

    /// Simulates a millisecond in which `requests` requests arrive, and returns how long the next
    /// task has waited.
    fn step(&mut self, requests: u32) -> f64 {
        self.now_ms += 1.0;
        self.tasks.extend((0..requests).map(|_| (self.now_ms, Task::Request)));
        if !self.is_probing && (self.now_ms as u64).is_multiple_of(10) {
            self.is_probing = true;
            self.tasks.push_back((self.now_ms, Task::Probe));
        }
        while self.busy_until_ms <= self.now_ms {
            let Some((queued, task)) = self.tasks.pop_front() else { break };
            match task {
                Task::Request => {
                    self.overload.on_delay(Millis((self.now_ms - queued) as u64));
                    let refuses = self.overload.should_refuse();
                    self.busy_until_ms +=
                        if refuses { Self::REFUSE_COST_MS } else { Self::SERVE_COST_MS };
                }
                Task::Probe => {
                    self.is_probing = false;
                    self.overload.on_probe_delay(Millis((self.now_ms - queued) as u64));
                }
            }
        }
        self.busy_until_ms = self.busy_until_ms.max(self.now_ms);
        self.tasks.front().map_or(0.0, |(queued, _)| self.now_ms - queued)
    }
}

/// Guards against an entry that detects overload too late, because it measures the less often the
/// further its processor is behind, and that still sends on requests of callers that have left.
#[test]
fn an_entry_that_a_rush_meets_is_not_far_behind_for_long() {
    let mut processor = Processor::default();
    let mut late_ms = 0;
    for now in 0..10_000_u32 {
        // For a second half of the load that the processor can handle, then four times what it can
        // handle.
        let is_due = if now < 1_000 { now.is_multiple_of(10) } else { now % 5 < 4 };
        late_ms += u32::from(processor.step(u32::from(is_due)) > 500.0);
    }
    assert!(late_ms < 500, "{late_ms} ms of ten seconds over half a second behind");
}
