//! Types every other layer shares: time, names, result codes, settings and documents.
//!
//! They live apart from the state machines because a daemon, the operator's tool and an
//! embedding program all need them, while only the daemon needs the machines.

pub mod clock;
pub mod code;
pub mod configuration;
pub mod document;
pub mod fleet;
pub mod names;
pub mod settings;

pub use clock::Millis;
pub use code::{Code, Outcome};
pub use document::{Document, Kind};
pub use names::{FailureDomain, Instance, Organisation, OrganisationTag, Service, UpstreamName};
pub use settings::Settings;
