//! Messages by which instances find each other, and entries tell each other of their load.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::{FailureDomain, Instance, Millis, Organisation, Service, UpstreamName};

/// An entry as a control instance knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resident(
    /// The entry.
    pub Instance,
    /// Where it runs.
    pub FailureDomain,
);

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Its name, new with each start.
    #[serde(rename = "n")]
    pub name: UpstreamName,
    /// Its service.
    #[serde(rename = "s")]
    pub service: Service,
    /// Where it listens.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its failure domain.
    #[serde(rename = "d")]
    pub domain: FailureDomain,
    /// Requests it runs at once.
    #[serde(rename = "l")]
    pub slots: u32,
    /// Whether it takes new requests.
    #[serde(rename = "r")]
    pub is_ready: bool,
    /// How long it stays cold.
    #[serde(rename = "c")]
    pub cold: Millis,
    /// The wall clock at its start, in milliseconds since 1970; 0 if not told.
    #[serde(rename = "b")]
    pub born: u64,
}

/// What has changed in the platform's list of upstreams since it was told before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListingNews {
    /// Who read the list.
    #[serde(rename = "r")]
    pub reader: Instance,
    /// How long ago.
    #[serde(rename = "g")]
    pub age: Millis,
    /// The number of the reading that this builds on; 0 if it is the whole list.
    #[serde(rename = "b")]
    pub base: u64,
    /// Its number among those of its reader.
    #[serde(rename = "n")]
    pub number: u64,
    /// Upstreams that are new or listed otherwise.
    #[serde(rename = "u")]
    pub changed: Vec<ListedUpstream>,
    /// Upstreams that are listed no more.
    #[serde(rename = "x")]
    pub gone: Vec<UpstreamName>,
}

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

/// Parts of prompts that an upstream keeps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptParts(
    /// The upstream.
    pub UpstreamName,
    /// The ids of the parts.
    pub Vec<u64>,
);

/// What one entry tells the others of its load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Its place among the reports of its entry.
    #[serde(rename = "n")]
    pub number: u32,
    /// Upstreams with something under way; all others have nothing.
    #[serde(rename = "l")]
    pub loads: Vec<(UpstreamName, Load)>,
    /// Tokens served to each organisation of late, fading with time.
    #[serde(rename = "s")]
    pub served: Vec<(Organisation, f32)>,
    /// Tokens asked for by each organisation of late, fading with time.
    #[serde(rename = "a")]
    pub asked: Vec<(Organisation, f32)>,
    /// Shared parts of prompts that upstreams keep since they were last told of.
    #[serde(rename = "k", default)]
    pub kept: Vec<KeptParts>,
    /// Tokens refused to each organisation a moment ago, fading with time.
    #[serde(rename = "f", default)]
    pub refused: Vec<(Organisation, f32)>,
}

/// What all entries of the fleet have under way together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Total {
    /// The sum of their reports.
    #[serde(rename = "r")]
    pub report: LoadReport,
    /// The numbers of the reports in it, of the entries of the receiver's failure domain.
    #[serde(rename = "p")]
    pub parts: Vec<(Instance, u32)>,
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
        /// The number of the roster that the receiver told it last; 0 if none.
        #[serde(rename = "k", default)]
        known: u64,
        /// The wall clock at the start of the sender's process, in milliseconds since 1970.
        #[serde(rename = "b", default)]
        started: u64,
    },
    /// Tells who is there.
    #[serde(rename = "o")]
    Roster {
        /// Its place among the rosters of the sender.
        #[serde(rename = "n", default)]
        number: u64,
        /// Entries heard of late.
        #[serde(rename = "e")]
        entries: Vec<Resident>,
        /// Control instances.
        #[serde(rename = "c")]
        controls: Vec<Instance>,
    },
    /// Tells that the same are there as in the roster of this number.
    #[serde(rename = "q")]
    SameRoster(u64),
    /// Tells an entry of another one's load.
    #[serde(rename = "l")]
    Load(LoadReport),
    /// Tells the collectors of a failure domain of another one's load.
    #[serde(rename = "s")]
    DomainSum(FailureDomain, LoadReport),
    /// Tells the entries of a failure domain of the whole fleet's load.
    #[serde(rename = "t")]
    Total(Total),
    /// Tells entries what the platform lists.
    #[serde(rename = "u")]
    Listing(ListingNews),
    /// Asks for the whole of what the platform lists.
    #[serde(rename = "w")]
    ListingWanted,
}
