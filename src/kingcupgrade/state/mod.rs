//! Durable state: the record, and its log and snapshots on disk.

pub mod disk;
pub mod frames;
pub mod keys;
pub mod log;
pub mod record;
pub mod rollouts;
