//! Orders to engines: what is wanted of each, under a fencing number, and what engines answer.
//!
//! An order states the whole setup wanted, not a step, so that carrying it out twice does nothing
//! and an engine that strayed is put right by the same order.

use serde::{Deserialize, Serialize};

use crate::core::{Code, UpstreamName, code::CodedError};

/// The longest name of a model or role, in bytes.
const MAX_VALUE_LEN: usize = 200;
/// The path at which engines take orders.
pub const ORDER_PATH: &str = "/orders";
/// The path at which engines tell their setup.
pub const SETUP_PATH: &str = "/setup";

/// The setup wanted of an engine; parts that are `None` are left as they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// The model, adapter or version to hold.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The role to have.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Whether to run nothing.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub drained: Option<bool>,
}

/// A change of the setup wanted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SetupChange {
    /// Hold this model.
    #[serde(rename = "m")]
    Load(String),
    /// Have this role.
    #[serde(rename = "r")]
    Role(String),
    /// Run nothing, or run again.
    #[serde(rename = "d")]
    Drained(bool),
    /// Leave the engine as it is from now on.
    #[serde(rename = "w")]
    Withdraw,
}

impl SetupChange {
    /// Checks the change.
    ///
    /// # Errors
    ///
    /// Returns [`Code::OrderInvalid`] if a name is empty, too long or not plain text.
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
    /// Tells whether nothing is wanted: the order was withdrawn.
    pub fn is_empty(&self) -> bool {
        *self == Setup::default()
    }

    /// Returns the setup after a change.
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

/// The order that stands for one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamOrder {
    /// The upstream.
    #[serde(rename = "n")]
    pub upstream: UpstreamName,
    /// What is wanted.
    #[serde(rename = "s")]
    pub setup: Setup,
    /// The place of its last change in the record, which is its fencing number: it only grows, and
    /// no two orders have the same.
    #[serde(rename = "i")]
    pub index: u64,
}

/// What is sent to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The fencing number. An engine that checks it refuses one below the highest it has seen.
    pub number: u64,
    /// The model to hold, if any is wanted.
    pub model: Option<String>,
    /// The role to have, if any is wanted.
    pub role: Option<String>,
    /// Whether to run nothing, if that is ordered.
    pub drained: Option<bool>,
}

/// What an engine tells of its setup.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineSetup {
    /// The model it holds or is loading.
    pub model: String,
    /// Its role.
    pub role: String,
    /// Whether it runs nothing by order.
    pub drained: bool,
    /// Whether it can run requests as far as its setup goes.
    pub ready: bool,
}

impl EngineSetup {
    /// Tells whether it is what is wanted.
    pub fn is(&self, wanted: &Setup) -> bool {
        wanted.model.as_ref().is_none_or(|model| *model == self.model)
            && wanted.role.as_ref().is_none_or(|role| *role == self.role)
            && wanted.drained.is_none_or(|drained| drained == self.drained)
    }
}
