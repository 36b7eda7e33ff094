//! A small generator of random numbers that gives the same sequence for the same seed.

/// The generator.
#[derive(Clone, Debug)]
pub(super) struct Random(u64);

impl Random {
    pub(super) fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from 0 to below 1.
    pub(super) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub(super) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    pub(super) fn below(&mut self, limit: usize) -> usize {
        (self.unit() * limit as f64) as usize
    }

    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    pub(super) fn pick<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len())]
    }

    /// Returns a factor with the median 1, by the standard deviation of its logarithm.
    pub(super) fn factor(&mut self, deviation: f64) -> f64 {
        let (first, second) = (self.unit().max(1e-12), self.unit());
        let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        (normal * deviation).exp()
    }
}
