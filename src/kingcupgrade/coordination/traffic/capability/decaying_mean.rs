//! A weighted mean whose values decay exponentially with their age.

use crate::{coordination::traffic::DecayingSum, core::Millis};

/// The sum of weighted values and the sum of their weights.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingMean {
    values: DecayingSum,
    weights: DecayingSum,
}

impl DecayingMean {
    /// Adds a value.
    pub(super) fn add(&mut self, now: Millis, value: f64, weight: f64, time_constant: Millis) {
        self.values.add(now, value * weight, time_constant);
        self.weights.add(now, weight, time_constant);
    }

    /// Returns the sum of the weighted values.
    pub(super) fn sum(&self, now: Millis, time_constant: Millis) -> f64 {
        self.values.get(now, time_constant)
    }

    /// Returns the sum of the weights.
    pub(super) fn weight(&self, now: Millis, time_constant: Millis) -> f64 {
        self.weights.get(now, time_constant)
    }

    /// Returns the weight in hundredths and the sum in thousandths, or zeros if less than a
    /// hundredth is left.
    pub(super) fn to_wire(self, now: Millis, time_constant: Millis) -> (u32, i32) {
        let weight = (self.weight(now, time_constant) * 100.0).round() as u32;
        match weight {
            0 => (0, 0),
            _ => (weight, (self.sum(now, time_constant) * 1000.0).round() as i32),
        }
    }
}
