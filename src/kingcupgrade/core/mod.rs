//! Types shared by all other layers: time, names, result codes, settings and documents.
//!
//! They are kept apart from the state machines because the daemon, the operator's command line and
//! embedding programs all need them, while only the daemon needs the state machines.

pub mod clock;
pub mod code;
pub mod configuration;
pub mod digest;
pub mod document;
pub mod fleet;
pub mod names;
pub mod settings;

pub use clock::Millis;
pub use code::{Code, Outcome};
pub use digest::RequestDigest;
pub use document::{Document, ServiceKind};
pub use names::{
    FailureDomain, Instance, Organisation, OrganisationTag, Service, UpstreamName, Version,
};
pub use settings::Settings;

/// The maximum number of requests that an upstream can be said to serve or hold at once. A list or a
/// report that states more is wrong; sums over all upstreams of a fleet stay far from overflow.
pub const MAX_CONCURRENCY: u32 = 1 << 16;
