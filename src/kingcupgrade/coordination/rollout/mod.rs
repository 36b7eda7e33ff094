//! Rollouts of versions, decided by evidence.
//!
//! A new version may fail or answer late, at once or later, under load or on one route only. It is
//! therefore shown to a small fraction of the requests, and compared with the old version on the
//! same routes at the same time, before it gets the rest.
//!
//! Entries keep to the exposure limit by themselves ([`Exposure`]), so it holds across network
//! partitions. They report what both versions answered to all control instances, of which the
//! leader judges ([`Judge`]) and stores each change of the stage in the record ([`RolloutWatch`]).

pub mod exposure;
pub mod judge;
pub mod participant;
pub mod schedule;
pub mod sequential;
pub mod versions;
pub mod watch;

pub use self::{
    exposure::{Exposure, ExposureLimit},
    judge::{Assessment, Judge},
    participant::{Participant, Senders, VersionedUpstream},
    schedule::{Situation, next_stage},
    versions::{ServiceVersions, Use},
    watch::RolloutWatch,
};

/// The number of exposure steps.
pub const STEPS: u8 = 3;
/// The index of the last step.
pub const LAST_STEP: u8 = STEPS - 1;
