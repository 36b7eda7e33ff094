//! Messages by which instances find each other, and entries tell each other of their load.

use serde::{Deserialize, Serialize};

use crate::core::{FailureDomain, Instance, Organisation, UpstreamName};

/// An entry as a control instance knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resident(
    /// The entry.
    pub Instance,
    /// Where it runs.
    pub FailureDomain,
);

/// What one entry has under way at one upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent and not ended.
    #[serde(rename = "r")]
    pub running: u32,
    /// Prompt tokens not read yet.
    #[serde(rename = "u")]
    pub unread: u64,
    /// Tokens that the requests will hold in memory at their end.
    #[serde(rename = "m")]
    pub memory: u64,
}

/// What one entry tells the others of its load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Upstreams with something under way; all others have nothing.
    #[serde(rename = "l")]
    pub loads: Vec<(UpstreamName, Load)>,
    /// Tokens served to each organisation of late, fading with time.
    #[serde(rename = "s")]
    pub served: Vec<(Organisation, f32)>,
    /// Tokens asked for by each organisation of late, fading with time.
    #[serde(rename = "a")]
    pub asked: Vec<(Organisation, f32)>,
}

/// A message among the instances of a fleet that finds itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Tells a control instance that the sender is there.
    #[serde(rename = "j")]
    Join {
        /// The sender's failure domain.
        #[serde(rename = "d")]
        domain: FailureDomain,
        /// Whether it is about to stop.
        #[serde(rename = "x")]
        leaving: bool,
    },
    /// Tells who is there.
    #[serde(rename = "o")]
    Roster {
        /// Entries heard of late.
        #[serde(rename = "e")]
        entries: Vec<Resident>,
        /// Control instances.
        #[serde(rename = "c")]
        controls: Vec<Instance>,
    },
    /// Tells an entry of another one's load.
    #[serde(rename = "l")]
    Load(LoadReport),
}
