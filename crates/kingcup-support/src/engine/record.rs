//! What a fake engine did.

use std::time::Instant;

/// Tokens that an engine sent.
#[derive(Clone, Debug)]
pub struct ServedTokens {
    /// The organisation that they were generated for.
    pub organisation: String,
    /// When they were sent.
    pub at: Instant,
    /// The number of tokens.
    pub tokens: u64,
}

/// What an engine did, recorded independently of the fleet.
#[derive(Clone, Debug, Default)]
pub struct EngineRecord {
    /// Tokens sent, one entry each.
    pub served: Vec<ServedTokens>,
    /// Crashes from running more than `cold_slots` requests.
    pub crashes: u32,
    /// Requests refused because `warm_slots` were already running.
    pub refused_over_limit: u32,
    /// Requests started: prompt ID and time.
    pub started: Vec<(String, Instant)>,
    /// Requests that ended before the whole response was sent.
    pub cancelled: u32,
    /// The number of running requests after each change.
    pub running: Vec<(Instant, u32)>,
    /// The highest number of requests run at once while cold.
    pub max_running_while_cold: u32,
    /// Orders applied: fencing number and time.
    pub applied_orders: Vec<(u64, Instant)>,
    /// Fencing numbers of the orders refused because a higher number had been applied.
    pub outdated_orders: Vec<u64>,
    /// Orders applied while requests were running.
    pub orders_while_busy: u32,
}
