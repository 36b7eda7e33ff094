//! What must survive: the record's state, and its log and snapshots on disk.

pub mod disk;
pub mod frames;
pub mod keys;
pub mod log;
pub mod record;
