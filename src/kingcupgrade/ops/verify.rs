use std::path::Path;

use crate::{
    core::code::CodedError,
    protocol::consensus::Member,
    state::{disk, record::Record},
};

/// What a data folder holds.
#[derive(Clone, Debug)]
pub struct Verified {
    /// The replica, as `INSTANCE#NUMBER`.
    pub replica: String,
    /// The newest term it saw.
    pub term: u64,
    /// The last entry its snapshot covers.
    pub snapshot_index: u64,
    /// The last entry of its log.
    pub last_index: u64,
    /// Bytes of a write that a crash cut short.
    pub torn_bytes: usize,
    /// The members as of the end of the log.
    pub members: Vec<Member>,
    /// Request keys in the snapshot.
    pub keys: usize,
}

/// Reads and checks a data folder without changing it.
///
/// # Errors
///
/// Returns a numbered error with file and offset for the first thing that is damaged.
pub fn verify(folder: &Path) -> Result<Verified, CodedError> {
    let contents = disk::read(folder)?;
    let log = &contents.stored.log;
    let record = Record::decode(&log.snapshot().data)?;
    Ok(Verified {
        replica: contents.id.to_string(),
        term: contents.stored.hard_state.term,
        snapshot_index: log.snapshot().position.index,
        last_index: log.last().index,
        torn_bytes: contents.torn_bytes,
        members: log.members().0.to_vec(),
        keys: record.keys().len(),
    })
}
