//! A budget for retries, so that they can't multiply the load of a fleet in trouble.

/// Retries earned by one request, in thousandths.
const EARNED_PER_REQUEST: u32 = 100;
/// The price of one retry, in thousandths.
const PRICE: u32 = 1_000;
/// Retries that can be saved up, in thousandths.
const MOST: u32 = 20 * PRICE;

/// The retry budget of one service at one entry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: MOST }
    }
}

impl RetryBudget {
    /// Earns for a new request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MOST);
    }

    /// Spends one retry; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let affordable = self.saved >= PRICE;
        if affordable {
            self.saved -= PRICE;
        }
        affordable
    }
}
