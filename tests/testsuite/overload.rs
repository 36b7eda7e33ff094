//! An entry whose processor can't carry what the balancer sends it.

use std::collections::VecDeque;

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
            if overload.should_refuse() {
                behind_ms += 0.2;
            } else {
                behind_ms += 5.0;
                taken += u32::from(turn >= 1_000);
            }
        }
        behind_ms = (behind_ms - 10.0).max(0.0);
        overload.on_probe_delay(Millis(behind_ms as u64));
        assert!(turn < 200 || behind_ms < 250.0, "{behind_ms} ms behind at turn {turn}");
    }
    assert!((1_200..2_400).contains(&taken), "{taken} requests taken in ten seconds");
}

/// The rush is over. An entry that went on refusing would send its callers away for nothing.
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

/// In a process that stood still for seconds one task has waited that long. Nothing is too much for
/// it, and most callers must be served as before.
#[test]
fn one_long_pause_is_no_overload() {
    let mut overload = Overload::default();
    overload.on_probe_delay(Millis(5_000));
    let refused = (0..100).filter(|_| overload.should_refuse()).count();
    assert!(refused <= 20, "{refused} of 100 refused");
}

/// What waits for its turn at an entry's processor.
enum Task {
    Request,
    Probe,
}

/// An entry's processor, which carries out tasks in their order.
#[derive(Default)]
struct Processor {
    overload: Overload,
    now_ms: f64,
    /// Until when it is busy with a task.
    busy_ms: f64,
    tasks: VecDeque<(f64, Task)>,
    is_probing: bool,
}

impl Processor {
    /// What serving a request takes, and refusing one.
    const SERVED_MS: f64 = 5.0;
    const REFUSED_MS: f64 = 0.8;

    /// Plays a millisecond with so many requests in it, and returns how long the next task waits.
    fn step(&mut self, requests: u32) -> f64 {
        self.now_ms += 1.0;
        self.tasks.extend((0..requests).map(|_| (self.now_ms, Task::Request)));
        if !self.is_probing && (self.now_ms as u64).is_multiple_of(10) {
            self.is_probing = true;
            self.tasks.push_back((self.now_ms, Task::Probe));
        }
        while self.busy_ms <= self.now_ms {
            let Some((queued, task)) = self.tasks.pop_front() else { break };
            match task {
                Task::Request => {
                    self.overload.on_delay(Millis((self.now_ms - queued) as u64));
                    let refuses = self.overload.should_refuse();
                    self.busy_ms += if refuses { Self::REFUSED_MS } else { Self::SERVED_MS };
                }
                Task::Probe => {
                    self.is_probing = false;
                    self.overload.on_probe_delay(Millis((self.now_ms - queued) as u64));
                }
            }
        }
        self.busy_ms = self.busy_ms.max(self.now_ms);
        self.tasks.front().map_or(0.0, |(queued, _)| self.now_ms - queued)
    }
}

/// Guards against an entry that notices too late how far behind it is: the further, the more seldom
/// it looks, and requests of callers that have left by then are still sent on.
#[test]
fn an_entry_that_a_rush_meets_is_not_far_behind_for_long() {
    let mut processor = Processor::default();
    let mut far = 0;
    for now in 0..10_000_u32 {
        // Half of what it carries for a second, then four times that.
        let is_due = if now < 1_000 { now.is_multiple_of(10) } else { now % 5 < 4 };
        far += u32::from(processor.step(u32::from(is_due)) > 500.0);
    }
    assert!(far < 500, "{far} ms of ten seconds over half a second behind");
}
