//! The behaviour of a fake engine, and the requests that it takes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The body of a request to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Prompt {
    /// Repeated in every event of the response, so that mixed-up responses can be detected.
    pub id: String,
    /// The organisation, to which the engine's record attributes the tokens.
    pub organisation: String,
    /// The number of tokens of the response.
    pub tokens: u64,
}

/// The behaviour of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Requests it can run at once while cold; one more crashes it.
    pub cold_slots: u32,
    /// Requests it can run at once while warm; more are refused.
    pub warm_slots: u32,
    /// Requests to complete before it is warm.
    pub requests_until_warm: u32,
    /// The time to the first token.
    pub prefill_time: Duration,
    /// The time between tokens.
    pub token_time: Duration,
    /// The minimum age of its load reports.
    pub report_lag: Duration,
    /// The time to load a model or to change the role.
    pub load_time: Duration,
    /// Whether it refuses orders whose fencing number is below the highest it has applied.
    pub checks_fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            cold_slots: 2,
            warm_slots: 8,
            requests_until_warm: 4,
            prefill_time: Duration::from_millis(20),
            token_time: Duration::from_millis(10),
            report_lag: Duration::from_millis(300),
            load_time: Duration::from_millis(300),
            checks_fencing: false,
        }
    }
}
