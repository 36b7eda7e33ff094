//! Refusing what an entry's own processor can't carry.
//!
//! The balancer sends a caller's connections to one entry, by a hash, so an entry may get many times
//! its even part. Its processor then falls behind: every event of every stream it relays is late,
//! new callers wait unread until they give up, and nobody is told. A caller that is refused comes
//! back by another entry at once, so refusing a part early serves all of them better.
//!
//! How far behind the processor is shows in how long a task waits for its turn. The part that is
//! refused is learned from that slowly, so that it comes near what is too much. The further behind,
//! the more seldom a task gets its turn, and the later a rush would be noticed, while requests are
//! sent on whose callers have long left. So far behind all are refused until it has caught up.

use crate::core::Millis;

/// A task may wait this long: a pause that callers of streams still take for none. Below it a short
/// rush is carried a little late, which serves more of them than refusing a part.
const LATE_LIMIT: Millis = Millis(100);
/// If two tasks in turn wait longer than this, the processor is far behind: a request waits for two
/// turns until it is sent on, and its caller leaves after half a second or little more.
const FAR_LIMIT: Millis = Millis(200);
/// What one task that waits twice as long adds to the refused part.
const GAIN: f64 = 0.06;
/// The most that one task adds: a process that stood still for seconds is not overloaded.
const MAX_STEP: f64 = 0.2;
/// What a task that gets its turn in time takes off the refused part; measured each 10 ms, the
/// part falls by a half in a second, slower than callers come back.
const RECOVERY: f64 = 0.005;
/// The most that is refused: the rest shows whether it is still too much.
const MAX_PART: f64 = 0.95;

/// An entry that refuses this part asks the balancer for no new callers, until it refuses nothing:
/// callers that are refused come back to the entry that the balancer's hash gives them, so only
/// another entry in its place helps them.
const FULL_PART: f64 = 0.25;

/// How much an entry refuses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    is_full: bool,
    part: f64,
    /// The parts of requests not refused so far.
    owed: f64,
    /// How long the last task waited.
    last: Millis,
    /// Whether it and the one before waited for too long. One alone may have met a process that stood
    /// still.
    is_far_behind: bool,
}

impl Overload {
    /// Notes how long a task waited for its turn; such a task is begun each 10 ms if the one before
    /// has had its turn.
    pub fn on_turn(&mut self, late: Millis) {
        let excess = late.0 as f64 / LATE_LIMIT.0 as f64 - 1.0;
        let step = if excess > 0.0 { (GAIN * excess).min(MAX_STEP) } else { -RECOVERY };
        self.part = (self.part + step).clamp(0.0, MAX_PART);
        if self.part == 0.0 {
            self.owed = 0.0;
            self.is_full = false;
        }
        self.is_full |= self.part >= FULL_PART;
        self.on_wait(late);
    }

    /// Notes how long a new connection waited for its turn; there are many of them when it matters.
    pub fn on_wait(&mut self, late: Millis) {
        self.is_far_behind = late.min(self.last) > FAR_LIMIT;
        self.last = late;
    }

    /// Returns the part of requests that is refused.
    pub fn part(&self) -> f64 {
        self.part
    }

    /// Returns how long the last task waited for its turn.
    pub fn turn_wait(&self) -> Millis {
        self.last
    }

    /// Tells whether everything is refused until the processor has caught up.
    pub fn is_far_behind(&self) -> bool {
        self.is_far_behind
    }

    /// Tells whether new callers are better sent elsewhere.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Tells whether the request that came now is refused; spread evenly over requests.
    pub fn refuses(&mut self) -> bool {
        if self.is_far_behind {
            return true;
        }
        self.owed += self.part;
        let refuses = self.owed >= 1.0;
        if refuses {
            self.owed -= 1.0;
        }
        refuses
    }
}
