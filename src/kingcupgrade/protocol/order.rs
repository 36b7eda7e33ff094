//! Orders to engines: the desired setup of each engine under a fencing number, and the answers.
//!
//! An order is declarative: it contains the complete desired setup instead of a single step.
//! Executing it again has no effect, and the same order corrects an engine whose setup has
//! deviated from it.

use serde::{Deserialize, Serialize};

use crate::core::{Code, UpstreamName, code::CodedError};

/// The maximum length of the name of a model or role, in bytes.
const MAX_VALUE_LEN: usize = 200;
/// The HTTP path at which engines accept orders.
pub const ORDER_PATH: &str = "/orders";
/// The HTTP path at which engines report their setup.
pub const SETUP_PATH: &str = "/setup";

/// The desired setup of an engine. Parts that are `None` are left unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// The model, adapter or version to load.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The role to take.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Whether to be drained, which means to run no requests.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub drained: Option<bool>,
}

/// A change of the desired setup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SetupChange {
    /// Load this model.
    #[serde(rename = "m")]
    Load(String),
    /// Take this role.
    #[serde(rename = "r")]
    Role(String),
    /// Drain the engine, or let it run requests again.
    #[serde(rename = "d")]
    Drained(bool),
    /// Withdraw the order. The engine keeps its current setup.
    #[serde(rename = "w")]
    Withdraw,
}

impl SetupChange {
    /// Validates the change.
    ///
    /// # Errors
    ///
    /// Returns [`Code::OrderInvalid`] if a name is empty, too long or contains other bytes than
    /// printable ASCII without spaces.
    pub fn check(&self) -> Result<(), CodedError> {
        let (SetupChange::Load(value) | SetupChange::Role(value)) = self else { return Ok(()) };
        let is_plain = value.bytes().all(|b| b.is_ascii_graphic());
        if !value.is_empty() && value.len() <= MAX_VALUE_LEN && is_plain {
            return Ok(());
        }
        let detail = format!("expected a name of 1 to {MAX_VALUE_LEN} printable characters");
        Err(CodedError::new(Code::OrderInvalid, detail))
    }
}

impl Setup {
    /// Returns whether no setup is desired, because the order was withdrawn.
    pub fn is_empty(&self) -> bool {
        *self == Setup::default()
    }

    /// Returns the desired setup with a change applied.
    #[must_use]
    pub fn changed(&self, change: &SetupChange) -> Setup {
        let mut setup = self.clone();
        match change {
            SetupChange::Load(model) => setup.model = Some(model.clone()),
            SetupChange::Role(role) => setup.role = Some(role.clone()),
            SetupChange::Drained(drained) => setup.drained = Some(*drained),
            SetupChange::Withdraw => setup = Setup::default(),
        }
        setup
    }
}

/// The order in force for one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamOrder {
    /// The upstream.
    #[serde(rename = "n")]
    pub upstream: UpstreamName,
    /// The desired setup.
    #[serde(rename = "s")]
    pub setup: Setup,
    /// The index in the record of the last change of the order. It serves as the fencing number,
    /// because it increases with every change and is unique among orders.
    #[serde(rename = "i")]
    pub index: u64,
}

/// The body of an order as it is sent to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The fencing number. An engine that checks it refuses orders with a number lower than the
    /// highest one it has seen.
    pub number: u64,
    /// The model to load, if the order specifies one.
    pub model: Option<String>,
    /// The role to take, if the order specifies one.
    pub role: Option<String>,
    /// Whether to be drained, if the order specifies it.
    pub drained: Option<bool>,
}

/// The setup reported by an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineSetup {
    /// The model that is loaded or being loaded.
    pub model: String,
    /// The current role.
    pub role: String,
    /// Whether the engine is drained by an order.
    pub drained: bool,
    /// Whether the setup is complete, so that the engine can run requests.
    pub ready: bool,
}

impl EngineSetup {
    /// Returns whether the reported setup matches the desired one.
    pub fn matches(&self, desired: &Setup) -> bool {
        desired.model.as_ref().is_none_or(|model| *model == self.model)
            && desired.role.as_ref().is_none_or(|role| *role == self.role)
            && desired.drained.is_none_or(|drained| drained == self.drained)
    }
}
