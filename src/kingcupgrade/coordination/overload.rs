//! Load shedding when an entry's own processor is overloaded.
//!
//! The balancer assigns a caller's connections to one entry by a hash, so an entry may get many
//! times its even share. Its processor then falls behind: all events of the streams it relays are
//! late, and new callers wait unserved until they give up. A caller that is refused reaches another
//! entry at once, so refusing a fraction of the requests early serves all of them better.
//!
//! How far the processor is behind shows in how long a task waits to be scheduled. The refused
//! fraction is adjusted slowly, so that it converges to the excess load. The further the processor
//! is behind, the more rarely a task is scheduled and the later a surge would be noticed, while
//! requests are sent on whose callers have long left. So above a second limit all requests are
//! refused until the processor has caught up.

use crate::core::Millis;

/// The scheduling delay above which the refused fraction grows: a pause that callers of streams
/// don't notice yet. Below it a short surge is served a little late, which serves more callers than
/// refusing a fraction.
const DELAY_LIMIT: Millis = Millis(100);
/// If two tasks in a row wait longer than this, all requests are refused: a request waits for two
/// tasks to be scheduled before it is sent on, and its caller leaves after half a second or little
/// more.
const SATURATION_LIMIT: Millis = Millis(200);
/// The increase of the refused fraction for one task that waits twice the limit.
const GAIN: f64 = 0.06;
/// The maximum increase for one task: a process that was suspended for seconds is not overloaded.
const MAX_STEP: f64 = 0.2;
/// The decrease of the refused fraction for each task that is scheduled in time. With one each 10
/// ms the fraction falls by 0.5 in a second, which is slower than callers come back.
const RECOVERY: f64 = 0.005;
/// The maximum refused fraction: the requests still served show whether the load is still too high.
const MAX_REFUSED_FRACTION: f64 = 0.95;

/// From this refused fraction on an entry asks the balancer for no new callers, until it refuses
/// nothing. Refused callers come back to the entry that the balancer's hash selects, so only
/// another entry in its place helps them.
const FULL_FRACTION: f64 = 0.25;

/// The load shedding state of an entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    is_full: bool,
    refused_fraction: f64,
    /// The refused fraction summed up over requests; a request is refused once the sum reaches 1,
    /// which is then subtracted.
    accumulated: f64,
    /// How long the last task waited to be scheduled.
    last_delay: Millis,
    /// Whether the last two tasks both waited too long. A single one may have been caused by a
    /// suspended process.
    is_saturated: bool,
}

impl Overload {
    /// Records how long a measuring task waited to be scheduled. One is started each 10 ms if the
    /// one before has run.
    pub fn on_probe_delay(&mut self, delay: Millis) {
        let excess = delay.0 as f64 / DELAY_LIMIT.0 as f64 - 1.0;
        let step = if excess > 0.0 { (GAIN * excess).min(MAX_STEP) } else { -RECOVERY };
        self.refused_fraction = (self.refused_fraction + step).clamp(0.0, MAX_REFUSED_FRACTION);
        if self.refused_fraction == 0.0 {
            self.accumulated = 0.0;
            self.is_full = false;
        }
        self.is_full |= self.refused_fraction >= FULL_FRACTION;
        self.on_delay(delay);
    }

    /// Records how long a new connection waited to be scheduled; under overload there are many of
    /// them.
    pub fn on_delay(&mut self, delay: Millis) {
        self.is_saturated = delay.min(self.last_delay) > SATURATION_LIMIT;
        self.last_delay = delay;
    }

    /// Returns the fraction of requests that is refused.
    pub fn refused_fraction(&self) -> f64 {
        self.refused_fraction
    }

    /// Returns how long the last task waited to be scheduled.
    pub fn scheduling_delay(&self) -> Millis {
        self.last_delay
    }

    /// Returns whether all requests are refused until the processor has caught up.
    pub fn is_saturated(&self) -> bool {
        self.is_saturated
    }

    /// Returns whether new callers should be sent to other entries.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Returns whether to refuse the request that has just arrived. Refusals are spread evenly over
    /// the requests.
    pub fn should_refuse(&mut self) -> bool {
        if self.is_saturated {
            return true;
        }
        self.accumulated += self.refused_fraction;
        let is_refused = self.accumulated >= 1.0;
        if is_refused {
            self.accumulated -= 1.0;
        }
        is_refused
    }
}
