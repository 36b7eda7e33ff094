//! An exponentially decaying sum.

use crate::core::Millis;

/// A sum whose addends decay exponentially with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    value: f64,
    at: Millis,
}

impl Fading {
    /// Adds `amount` at `now`. An addend counts 1/e of its amount once it is `span` old.
    pub fn add(&mut self, now: Millis, amount: f64, span: Millis) {
        self.value = self.get(now, span) + amount;
        self.at = now;
    }

    /// Returns the sum at `now`, decayed with the time constant `span`.
    pub fn get(&self, now: Millis, span: Millis) -> f64 {
        let age = now.since(self.at).0 as f64 / span.0.max(1) as f64;
        self.value * (-age).exp()
    }
}
