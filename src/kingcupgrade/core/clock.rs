//! Time in milliseconds, and the monotonic clock.
//!
//! State machines receive the current time as an argument and never read a clock, so that tests
//! control the time. Only the threads that drive them call [`Clock::now`].

use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds.
///
/// Points in time count from the start of the process, so they have no meaning in another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the process, or a duration of zero.
    pub const ZERO: Millis = Millis(0);

    /// Returns the time that has passed since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Converts the duration to a [`Duration`].
    pub fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// The monotonic clock of this process.
///
/// It keeps running while the process is stopped by a signal. A lease holder that is resumed can
/// therefore detect that its lease has expired.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the time since the clock started.
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
