//! A cause that is kept from upstreams, and when it is tried again.

use crate::{
    core::{Instance, Millis},
    protocol::crash::CrashCause,
    util::rendezvous,
};

/// The first time after which a blamed cause is tried again; each further one is twice as long, so
/// that a cause that goes on crashing upstreams ends ever fewer.
const FIRST_TRIAL: Millis = Millis(60_000);
/// The longest time between two trials.
const MAX_TRIAL_INTERVAL: Millis = Millis(600_000);

/// Since when a cause is kept from upstreams, and its trials.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bar {
    since: Millis,
    /// The last trial that this entry has made.
    tried: u32,
}

impl Bar {
    pub(super) fn new(since: Millis) -> Bar {
        Bar { since, tried: 0 }
    }

    pub(super) fn since(&self) -> Millis {
        self.since
    }

    /// Records that this entry tries the cause.
    pub(super) fn on_trial(&mut self, now: Millis) {
        self.tried = self.trials(now).0;
    }

    /// Returns the time until the cause is tried again; `None` if it is now, by this entry.
    pub(super) fn time_to_trial(
        &self,
        now: Millis,
        cause: CrashCause,
        own: &Instance,
        entries: &[Instance],
    ) -> Option<Millis> {
        let (due, left) = self.trials(now);
        let may_try = due > self.tried && is_turn_of(own, entries, cause, due);
        (!may_try).then_some(left)
    }

    /// Returns the number of trials that are due by now, and the time until the next.
    fn trials(&self, now: Millis) -> (u32, Millis) {
        let mut due = self.since;
        let mut interval = FIRST_TRIAL;
        let mut count = 0;
        loop {
            due = due + interval;
            if due > now {
                return (count, due.since(now));
            }
            count += 1;
            interval = Millis(interval.0 * 2).min(MAX_TRIAL_INTERVAL);
        }
    }
}

/// Returns whether a trial of a cause is up to this entry. Each trial is up to another one, since
/// requests with the cause may not come at all entries.
fn is_turn_of(own: &Instance, entries: &[Instance], cause: CrashCause, trial: u32) -> bool {
    if entries.len() <= 1 {
        return true;
    }
    let key = match cause {
        CrashCause::Part(part) => part.to_string(),
        CrashCause::Request(digest) => digest.0.to_string(),
    };
    let ranked = rendezvous::ranking(&key, entries.iter().cloned());
    ranked.get((trial as usize - 1) % ranked.len()) == Some(own)
}
