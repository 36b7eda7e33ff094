//! A count that fades with time.

use crate::core::Millis;

/// A sum whose older parts count less and less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    value: f64,
    at: Millis,
}

impl Fading {
    /// Adds `amount` at `now`; what was counted `span` ago counts 1/e.
    pub fn add(&mut self, now: Millis, amount: f64, span: Millis) {
        self.value = self.get(now, span) + amount;
        self.at = now;
    }

    /// Returns the count at `now`.
    pub fn get(&self, now: Millis, span: Millis) -> f64 {
        let age = now.since(self.at).0 as f64 / span.0.max(1) as f64;
        self.value * (-age).exp()
    }
}
