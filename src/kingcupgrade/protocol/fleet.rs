//! Messages for membership, and for the exchange of load and of the platform's listing among
//! entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::crash::{CrashNews, Reach};
use crate::core::{
    FailureDomain, Instance, MAX_CONCURRENCY, Millis, Organisation, Service, UpstreamName, Version,
};

/// An entry and its failure domain, as listed in a roster.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetEntry(
    /// The entry.
    pub Instance,
    /// The failure domain in which it runs.
    pub FailureDomain,
);

/// An upstream in the platform's listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// The name of the upstream, which changes with every start.
    #[serde(rename = "n")]
    pub name: UpstreamName,
    /// The service that it serves.
    #[serde(rename = "s")]
    pub service: Service,
    /// The address at which it listens.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    #[serde(rename = "d")]
    pub domain: FailureDomain,
    /// The maximum number of concurrent requests.
    #[serde(rename = "l")]
    pub slots: u32,
    /// Whether it accepts new requests.
    #[serde(rename = "r")]
    pub is_ready: bool,
    /// How much longer it stays cold.
    #[serde(rename = "c")]
    pub cold: Millis,
    /// The wall clock at its start, in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(rename = "b")]
    pub started_unix_ms: u64,
    /// The version of its software; `None` if unknown.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
}

impl ListedUpstream {
    /// Returns whether an upstream can be as it is listed; other writers may list what is none.
    pub fn is_plausible(&self) -> bool {
        self.slots <= MAX_CONCURRENCY && self.address.port() != 0
    }
}

/// The changes in the platform's listing since an earlier reading, or the complete listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListingUpdate {
    /// The entry that read the listing.
    #[serde(rename = "r")]
    pub reader: Instance,
    /// The time since it was read.
    #[serde(rename = "g")]
    pub age: Millis,
    /// The number of the reading to which the changes apply; 0 if this is the complete listing.
    #[serde(rename = "b")]
    pub base: u64,
    /// The number of this reading, unique for its reader.
    #[serde(rename = "n")]
    pub number: u64,
    /// The upstreams that were added or changed.
    #[serde(rename = "u")]
    pub changed: Vec<ListedUpstream>,
    /// The upstreams that are no longer listed.
    #[serde(rename = "x")]
    pub removed: Vec<UpstreamName>,
}

/// The load that one entry has put on one upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests in flight.
    #[serde(rename = "r")]
    pub running: u32,
    /// The number of prompt tokens that the upstream has not processed yet.
    #[serde(rename = "u")]
    pub unread: u64,
    /// The number of tokens that the requests will hold in memory when they end.
    #[serde(rename = "m")]
    pub memory: u64,
    /// What the entry has observed of the upstream's speed.
    #[serde(rename = "o", default, skip_serializing_if = "Observed::is_empty")]
    pub observed: Observed,
}

/// Observations of an upstream's speed, as decaying sums. Those of several entries add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// The weight of the answers whose duration was compared with what the mean speed of the
    /// service lets expect, in hundredths of an answer.
    #[serde(rename = "n", default)]
    pub answers: u32,
    /// The sum of the natural logarithms of duration over expectation, in thousandths.
    #[serde(rename = "t", default)]
    pub log_duration: i32,
    /// The weight of the upstream's own statements of its present slowdown, in hundredths.
    #[serde(rename = "w", default)]
    pub statements: u32,
    /// The sum of the natural logarithms of the stated slowdowns, in thousandths.
    #[serde(rename = "s", default)]
    pub log_slowdown: i32,
}

impl Observed {
    /// Returns whether nothing was observed.
    pub fn is_empty(&self) -> bool {
        self.answers == 0 && self.statements == 0
    }

    /// Adds the observations of another entry.
    pub fn add(&mut self, other: &Observed) {
        self.answers += other.answers;
        self.log_duration += other.log_duration;
        self.statements += other.statements;
        self.log_slowdown += other.log_slowdown;
    }

    /// Subtracts observations that were added before.
    pub fn subtract(&mut self, other: &Observed) {
        self.answers = self.answers.saturating_sub(other.answers);
        self.log_duration -= other.log_duration;
        self.statements = self.statements.saturating_sub(other.statements);
        self.log_slowdown -= other.log_slowdown;
    }
}

/// How many entries of a failure domain have room for more requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRoom {
    /// The failure domain.
    #[serde(rename = "d")]
    pub domain: FailureDomain,
    /// The entries that report.
    #[serde(rename = "e")]
    pub entries: u32,
    /// Those of them whose processors have room.
    #[serde(rename = "r")]
    pub with_room: u32,
}

/// The load of a service without engines, as decaying sums over a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlainLoad {
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The requests that callers made.
    #[serde(rename = "a")]
    pub requested: f32,
    /// The requests that upstreams completed.
    #[serde(rename = "c")]
    pub completed: f32,
    /// The requests that upstreams turned away because they were full.
    #[serde(rename = "x")]
    pub turned_away: f32,
}

/// The parts of prompts that an upstream has in its cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedParts(
    /// The upstream.
    pub UpstreamName,
    /// The ids of the parts.
    pub Vec<u64>,
);

/// Identifies a stream: a digest of the id of the caller's request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

/// Streams that began at one version of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BegunStreams {
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The version of the software of its upstreams; `None` if they state none.
    #[serde(rename = "v")]
    pub version: Option<Version>,
    /// The streams.
    #[serde(rename = "k")]
    pub streams: Vec<StreamKey>,
}

/// Where a stream began, as far as an entry knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOrigin {
    /// The entry can't tell.
    #[serde(rename = "n")]
    Unknown,
    /// The stream began at this version of this service.
    #[serde(rename = "b")]
    Begun {
        /// The service.
        #[serde(rename = "s")]
        service: Service,
        /// The version; `None` if its upstreams state none.
        #[serde(rename = "v")]
        version: Option<Version>,
        /// Whether the stream itself is known. Otherwise, the service had only this version for as
        /// long as a stream can last.
        #[serde(rename = "r")]
        is_recorded: bool,
    },
}

impl StreamOrigin {
    /// Creates a known origin.
    pub fn begun(service: &Service, version: &Option<Version>, is_recorded: bool) -> StreamOrigin {
        StreamOrigin::Begun { service: service.clone(), version: version.clone(), is_recorded }
    }

    /// Returns whether the origin is known.
    pub fn is_known(&self) -> bool {
        *self != StreamOrigin::Unknown
    }

    /// Returns whether the stream itself is known.
    pub fn is_recorded(&self) -> bool {
        matches!(self, StreamOrigin::Begun { is_recorded: true, .. })
    }
}

/// Asks where a stream began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OriginRequest {
    /// The number of the question within the entry that asks.
    #[serde(rename = "n")]
    pub number: u64,
    /// The stream, if its caller names it.
    #[serde(rename = "k")]
    pub stream: Option<StreamKey>,
    /// The only service that may have begun it, if there is just one.
    #[serde(rename = "s")]
    pub service: Option<Service>,
}

/// The load of one entry, as reported to other entries, or a sum of such reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The sequence number of the report within its entry.
    #[serde(rename = "n")]
    pub number: u32,
    /// The loads of upstreams. Upstreams that are not listed have no load.
    #[serde(rename = "l")]
    pub loads: Vec<(UpstreamName, Load)>,
    /// Tokens recently served to each organisation, as a decaying count.
    #[serde(rename = "s")]
    pub served: Vec<(Organisation, f32)>,
    /// Tokens recently requested by each organisation, as a decaying count.
    #[serde(rename = "a")]
    pub requested: Vec<(Organisation, f32)>,
    /// Shared parts of prompts that upstreams have cached since the previous report.
    #[serde(rename = "k", default)]
    pub kept: Vec<CachedParts>,
    /// Tokens recently refused to each organisation, as a decaying count over a shorter time.
    #[serde(rename = "f", default)]
    pub refused: Vec<(Organisation, f32)>,
    /// Streams that the sender began since the previous report; empty in sums.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<BegunStreams>,
    /// Whether the entry has room for more requests, or how many entries of each failure domain
    /// have.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub room: Vec<DomainRoom>,
    /// The loads of the services without engines.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub plain: Vec<PlainLoad>,
}

/// The load of all entries of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetLoad {
    /// The sum of the reports of all entries.
    #[serde(rename = "r")]
    pub report: LoadReport,
    /// The numbers of the included reports of entries in the receiver's failure domain. With its
    /// own number, a receiver subtracts its own load from the sum.
    #[serde(rename = "p")]
    pub parts: Vec<(Instance, u32)>,
}

/// A message between instances of a fleet with dynamic membership.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Announces the sender to a control instance.
    #[serde(rename = "j")]
    Join {
        /// The failure domain of the sender.
        #[serde(rename = "d")]
        domain: FailureDomain,
        /// Whether the sender is shutting down.
        #[serde(rename = "x")]
        leaving: bool,
        /// The number of the last roster received from the control instance; 0 if none.
        #[serde(rename = "k", default)]
        known: u64,
        /// The wall clock at the start of the sender's process, in milliseconds since the Unix
        /// epoch.
        #[serde(rename = "b", default)]
        started: u64,
    },
    /// Lists the members of the fleet.
    #[serde(rename = "o")]
    Roster {
        /// The number of this roster, which increases with each change at the sender.
        #[serde(rename = "n", default)]
        number: u64,
        /// The entries from which the sender has received a message recently.
        #[serde(rename = "e")]
        entries: Vec<FleetEntry>,
        /// The known control instances.
        #[serde(rename = "c")]
        controls: Vec<Instance>,
    },
    /// Confirms that the roster with this number is still current.
    #[serde(rename = "q")]
    RosterUnchanged(u64),
    /// Reports the load of the sender to another entry.
    #[serde(rename = "l")]
    Load(LoadReport),
    /// Reports the load of a whole failure domain to the collectors of the others.
    #[serde(rename = "s")]
    DomainLoad(FailureDomain, LoadReport),
    /// Reports the load of the whole fleet to the entries of a failure domain.
    #[serde(rename = "t")]
    Total(FleetLoad),
    /// Sends the platform's listing, or its changes, to entries.
    #[serde(rename = "u")]
    Listing(ListingUpdate),
    /// Requests the complete listing.
    #[serde(rename = "w")]
    ListingRequest,
    /// Asks where a stream began.
    #[serde(rename = "a")]
    OriginRequest(OriginRequest),
    /// Answers the question with this number.
    #[serde(rename = "b")]
    Origin(u64, StreamOrigin),
    /// Tells of crashes, to be passed on so far.
    #[serde(rename = "k")]
    Crashes(Reach, CrashNews),
}
