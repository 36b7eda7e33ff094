use std::path::Path;

use crate::{
    core::code::CodedError,
    protocol::consensus::Member,
    state::{disk, record::Record},
};

/// A summary of a data folder that was verified.
#[derive(Clone, Debug)]
pub struct DataFolderSummary {
    /// The id of the replica, as `INSTANCE#NUMBER`.
    pub replica: String,
    /// The highest term that the replica has seen.
    pub term: u64,
    /// The index of the last entry included in the snapshot.
    pub snapshot_index: u64,
    /// The index of the last entry in the log.
    pub last_index: u64,
    /// The size of an incomplete write at the end of the log, left by a crash, in bytes.
    pub torn_bytes: usize,
    /// The members as of the end of the log.
    pub members: Vec<Member>,
    /// The number of request keys in the snapshot.
    pub keys: usize,
}

/// Reads and verifies a data folder without changing it.
///
/// # Errors
///
/// Returns an error with the file and offset of the first corruption found.
pub fn verify(folder: &Path) -> Result<DataFolderSummary, CodedError> {
    let contents = disk::read(folder)?;
    let log = &contents.stored.log;
    let record = Record::decode(&log.snapshot().data)?;
    Ok(DataFolderSummary {
        replica: contents.id.to_string(),
        term: contents.stored.hard_state.term,
        snapshot_index: log.snapshot().position.index,
        last_index: log.last().index,
        torn_bytes: contents.torn_bytes,
        members: log.members().0.to_vec(),
        keys: record.keys().len(),
    })
}
