//! The one type for time.
//!
//! State machines receive the time as an argument and never read a clock, so that a test
//! decides what time it is. Only the threads around them call [`Clock::now`].

use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// A point in time or a span of it, in milliseconds.
///
/// Points count from the start of the process and mean nothing to another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero point.
    pub const ZERO: Millis = Millis(0);

    /// Returns how long ago `earlier` was, zero if it lies ahead.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the span as a [`Duration`].
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
/// It keeps running while the process is stopped by a signal, which is what lets a thawed
/// lease holder notice that its lease has ended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the time since the clock started.
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
