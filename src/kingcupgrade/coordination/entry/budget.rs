//! A retry budget, which keeps retries from multiplying the load of a fleet with failures.

/// Credit earned per request, in thousandths of a retry.
const CREDIT_PER_REQUEST: u32 = 100;
/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;
/// Maximum credit, in thousandths of a retry.
const MAX_CREDIT: u32 = 20 * RETRY_COST;

/// The retry budget of one service at one entry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { credit: MAX_CREDIT }
    }
}

impl RetryBudget {
    /// Adds the credit of a new request.
    pub fn earn(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Spends the credit of one retry; returns false if there is too little.
    pub fn spend(&mut self) -> bool {
        let is_affordable = self.credit >= RETRY_COST;
        if is_affordable {
            self.credit -= RETRY_COST;
        }
        is_affordable
    }
}
