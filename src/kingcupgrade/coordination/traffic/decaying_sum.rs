//! An exponentially decaying sum.

use crate::core::Millis;

/// A sum whose addends decay exponentially with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    value: f64,
    at: Millis,
}

impl DecayingSum {
    /// Adds `amount` at `now`. An addend counts 1/e of its amount once it is `time_constant` old.
    pub fn add(&mut self, now: Millis, amount: f64, time_constant: Millis) {
        self.value = self.get(now, time_constant) + amount;
        self.at = now;
    }

    /// Returns the sum at `now`; `time_constant` is that of the decay.
    pub fn get(&self, now: Millis, time_constant: Millis) -> f64 {
        let age = now.since(self.at).0 as f64 / time_constant.0.max(1) as f64;
        self.value * (-age).exp()
    }
}
