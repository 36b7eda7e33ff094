//! The data folder of a control instance.
//!
//! - `identity` identifies the replica; it is written once.
//! - `snapshot` holds the latest snapshot; it is replaced by renaming a synced file over it.
//! - `log` holds the entries that follow the snapshot, one frame for each synced write.
//!
//! The log is rewritten after a snapshot is written. A crash between the two leaves entries that
//! the snapshot covers, which are skipped when the folder is read.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    frames::{self, Tail},
    log::{HardState, Log, Persist, Stored},
};
use crate::{
    core::{Code, Instance, code::CodedError},
    protocol::consensus::{INITIAL_REPLICA, LogEntry, Member, Position, ReplicaId, Snapshot},
};

/// An item in the payload of a log frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum LogRecord {
    /// Term and vote.
    #[serde(rename = "h")]
    HardState(HardState),
    /// Log entries, which replace all earlier ones from the index of the first one on.
    #[serde(rename = "e")]
    Entries(Vec<LogEntry>),
}

/// The open data folder of a replica.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    /// The latest hard state, for rewriting the log.
    hard_state: HardState,
}

/// The contents of a data folder.
#[derive(Clone, Debug)]
pub struct Contents {
    /// The identifier of the replica.
    pub id: ReplicaId,
    /// The stored state.
    pub stored: Stored,
    /// The length of a torn write at the end of the log, in bytes; it was never acknowledged.
    pub torn_bytes: usize,
}

/// Creates the data folder of an initial member of a new, empty record.
///
/// # Errors
///
/// Returns an error if the folder already holds a replica or can't be written.
pub fn init(folder: &Path, instance: &Instance, members: &[Instance]) -> Result<(), CodedError> {
    init_from(folder, instance, members, Position::default(), Vec::new())
}

/// Creates the data folder of an initial member of a record that starts from the given state.
///
/// # Errors
///
/// Returns an error if the folder already holds a replica or can't be written.
pub fn init_from(
    folder: &Path,
    instance: &Instance,
    members: &[Instance],
    position: Position,
    data: Vec<u8>,
) -> Result<(), CodedError> {
    if is_initialised(folder) {
        let detail = format!("{} already holds a replica", folder.display());
        return Err(CodedError::new(Code::DataForeign, detail));
    }
    fs::create_dir_all(folder).map_err(|err| storage_failed(folder, &err))?;
    let members = members
        .iter()
        .map(|member| Member { id: ReplicaId(member.clone(), INITIAL_REPLICA), voter: true });
    let snapshot = Snapshot { position, members: members.collect(), data };
    write_value(folder, "snapshot", &snapshot)?;
    write_value(folder, "identity", &ReplicaId(instance.clone(), INITIAL_REPLICA))
}

/// Returns whether a folder holds a replica.
pub fn is_initialised(folder: &Path) -> bool {
    folder.join("identity").exists()
}

/// Reads a data folder without changing it.
///
/// # Errors
///
/// Returns [`Code::DataCorrupt`] with file and offset if a frame does not match its checksum, and
/// [`Code::StorageFailed`] if a file can't be read.
pub fn read(folder: &Path) -> Result<Contents, CodedError> {
    let id: ReplicaId = read_value(folder, "identity")?;
    let snapshot: Snapshot = read_value(folder, "snapshot")?;
    let path = folder.join("log");
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(err) if err.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(err) => return Err(storage_failed(&path, &err)),
    };
    let (payloads, tail) = frames::decode(&bytes);
    let torn_bytes = match tail {
        Tail::Clean => 0,
        Tail::Torn(at) => bytes.len() - at,
        Tail::Corrupt(at) => return Err(corrupt(&path, at)),
    };
    let mut hard_state = HardState::default();
    let mut log = Log::new(snapshot, []);
    for payload in payloads {
        let records: Vec<LogRecord> =
            ciborium::from_reader(payload).map_err(|_| corrupt(&path, 0))?;
        for record in records {
            replay(record, &mut hard_state, &mut log).map_err(|()| corrupt(&path, 0))?;
        }
    }
    Ok(Contents { id, stored: Stored { hard_state, log }, torn_bytes })
}

/// Replays one log record. Fails if an entry does not follow the previous one, which means that a
/// write was lost.
fn replay(record: LogRecord, hard_state: &mut HardState, log: &mut Log) -> Result<(), ()> {
    let entries = match record {
        LogRecord::HardState(state) => {
            *hard_state = state;
            return Ok(());
        }
        LogRecord::Entries(entries) => entries,
    };
    let base = log.snapshot().position.index;
    for entry in entries.into_iter().filter(|entry| entry.index > base) {
        log.truncate(entry.index);
        if entry.index != log.last().index + 1 {
            return Err(());
        }
        log.push(entry);
    }
    Ok(())
}

impl Disk {
    /// Opens a data folder, or creates one for a new replica without a record if there is none.
    ///
    /// `new_replica` is the number of the new replica.
    ///
    /// # Errors
    ///
    /// Returns what [`read`] returns, and [`Code::DataForeign`] if the folder belongs to another
    /// instance.
    pub fn open(
        folder: &Path,
        instance: &Instance,
        new_replica: u64,
    ) -> Result<(Disk, Contents), CodedError> {
        if !is_initialised(folder) {
            fs::create_dir_all(folder).map_err(|err| storage_failed(folder, &err))?;
            write_value(folder, "snapshot", Stored::initial(Vec::new()).log.snapshot())?;
            write_value(folder, "identity", &ReplicaId(instance.clone(), new_replica))?;
        }
        let contents = read(folder)?;
        if contents.id.0 != *instance {
            let detail = format!("{} belongs to {}", folder.display(), contents.id.0);
            return Err(CodedError::new(Code::DataForeign, detail));
        }
        let path = folder.join("log");
        let log =
            open_log(&path, contents.torn_bytes).map_err(|err| storage_failed(&path, &err))?;
        sync_folder(folder).map_err(|err| storage_failed(folder, &err))?;
        let hard_state = contents.stored.hard_state.clone();
        Ok((Disk { folder: folder.to_owned(), log, hard_state }, contents))
    }

    /// Writes and syncs; `log` is the log after these writes.
    ///
    /// # Errors
    ///
    /// Returns [`Code::StorageFailed`]. After a failed sync the kernel may have dropped the dirty
    /// pages and marked them clean, so the disk must not be used again.
    pub fn write(&mut self, writes: Vec<Persist>, log: &Log) -> Result<(), CodedError> {
        let mut records = Vec::new();
        let mut has_snapshot = false;
        for write in writes {
            match write {
                Persist::HardState(state) => {
                    self.hard_state = state.clone();
                    records.push(LogRecord::HardState(state));
                }
                Persist::Entries(entries) => push_entries(&mut records, entries),
                Persist::Snapshot(_) => has_snapshot = true,
            }
        }
        if has_snapshot {
            return self.rewrite(log);
        }
        let path = self.folder.join("log");
        append(&mut self.log, &records).map_err(|err| storage_failed(&path, &err))
    }

    /// Writes the snapshot, then a new log with the entries that follow it.
    ///
    /// # Errors
    ///
    /// Returns [`Code::StorageFailed`].
    pub fn rewrite(&mut self, log: &Log) -> Result<(), CodedError> {
        write_value(&self.folder, "snapshot", log.snapshot())?;
        let entries = log.entries_from(0, usize::MAX);
        let records = [LogRecord::HardState(self.hard_state.clone()), LogRecord::Entries(entries)];
        let mut buf = Vec::new();
        frames::encode(&encode(&records), &mut buf);
        replace(&self.folder, "log", &buf)?;
        let path = self.folder.join("log");
        self.log = open_log(&path, 0).map_err(|err| storage_failed(&path, &err))?;
        Ok(())
    }
}

/// Merges consecutive entries, so that many entries appended in one batch share a log record.
fn push_entries(records: &mut Vec<LogRecord>, entries: Vec<LogEntry>) {
    let next = entries.first().map(|entry| entry.index);
    if let Some(LogRecord::Entries(known)) = records.last_mut()
        && known.last().map(|entry| entry.index + 1) == next
    {
        known.extend(entries);
        return;
    }
    records.push(LogRecord::Entries(entries));
}

fn append(log: &mut File, records: &[LogRecord]) -> io::Result<()> {
    let mut buf = Vec::new();
    frames::encode(&encode(&records), &mut buf);
    log.write_all(&buf)?;
    log.sync_data()
}

fn open_log(path: &Path, torn_bytes: usize) -> io::Result<File> {
    let log = OpenOptions::new().create(true).append(true).open(path)?;
    if torn_bytes > 0 {
        let len = log.metadata()?.len();
        log.set_len(len.saturating_sub(torn_bytes as u64))?;
    }
    log.sync_all()?;
    Ok(log)
}

fn write_value(folder: &Path, name: &str, value: &impl Serialize) -> Result<(), CodedError> {
    let mut buf = Vec::new();
    frames::encode(&encode(value), &mut buf);
    replace(folder, name, &buf)
}

/// Replaces a file atomically: a crash leaves either the old or the new one intact.
fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), CodedError> {
    let target = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let write = || -> io::Result<()> {
        let mut f = File::create(&temporary)?;
        f.write_all(bytes)?;
        f.sync_all()?;
        fs::rename(&temporary, &target)?;
        sync_folder(folder)
    };
    write().map_err(|err| storage_failed(&target, &err))
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn read_value<T: DeserializeOwned>(folder: &Path, name: &str) -> Result<T, CodedError> {
    let path = folder.join(name);
    let bytes = fs::read(&path).map_err(|err| storage_failed(&path, &err))?;
    match frames::decode(&bytes) {
        (payloads, Tail::Clean) if payloads.len() == 1 => {
            ciborium::from_reader(payloads[0]).map_err(|_| corrupt(&path, 0))
        }
        _ => Err(corrupt(&path, 0)),
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("writing to a vector can't fail");
    buf
}

fn storage_failed(path: &Path, err: &io::Error) -> CodedError {
    CodedError::new(Code::StorageFailed, format!("{}: {err}", path.display()))
}

fn corrupt(path: &Path, at: usize) -> CodedError {
    CodedError::new(Code::DataCorrupt, format!("{} at byte {at}", path.display()))
}
