//! The data folder: a torn write at the end of the log is truncated, other corruption is refused,
//! and failed writes are reported.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use kingcupgrade::{
    core::{Code, Instance},
    protocol::consensus::{LogEntry, Payload, Position, Snapshot},
    state::{
        disk::{self, Disk},
        frames::{self, Tail},
        log::{Log, Persist},
    },
};

/// A temporary folder, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("kingcup-disk-{}-{number}", std::process::id());
        Folder(std::env::temp_dir().join(name))
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn instance() -> Instance {
    "control-0".into()
}

fn entry(index: u64) -> LogEntry {
    LogEntry { index, term: 1, unix_ms: index, payload: Payload::Noop }
}

/// Initialises the folder of a replica and writes entries 1 to `count`, each in its own write.
fn write_entries(folder: &Path, count: u64) -> Log {
    disk::init(folder, &instance(), &[instance()]).expect("an initialised replica");
    let (mut disk, contents) = Disk::open(folder, &instance(), 2).expect("an open folder");
    let mut log = contents.stored.log;
    for index in 1..=count {
        log.push(entry(index));
        disk.write(vec![Persist::Entries(vec![entry(index)])], &log).expect("a write");
    }
    log
}

// Guards against an instance that does not start, or loses entries, after a power failure during
// its last write. That write was never acknowledged: it is truncated, the entries before it are
// kept, and the instance continues writing.
#[test]
fn a_torn_last_write_is_cut_and_the_rest_kept() {
    let folder = Folder::new();
    write_entries(folder.path(), 5);
    let path = folder.path().join("log");
    let bytes = fs::read(&path).expect("a log");
    for cut in [1, 10, 30] {
        fs::write(&path, &bytes[..bytes.len() - cut]).expect("a shortened log");
        let contents = disk::read(folder.path()).expect("a readable folder");
        assert_eq!(contents.stored.log.last().index, 4);
        assert!(contents.torn_bytes > 0);
    }
    let (mut disk, contents) = Disk::open(folder.path(), &instance(), 2).expect("an open folder");
    let mut log = contents.stored.log;
    log.push(entry(5));
    disk.write(vec![Persist::Entries(vec![entry(5)])], &log).expect("a write");
    let contents = disk::read(folder.path()).expect("a readable folder");
    assert_eq!((contents.stored.log.last().index, contents.torn_bytes), (5, 0));
}

// Guards against the silent loss of acknowledged entries when a sector in the middle of the log is
// corrupted and the log is truncated there. The folder is refused, with the file and the offset.
#[test]
fn a_damaged_middle_is_refused_wherever_it_is() {
    let folder = Folder::new();
    write_entries(folder.path(), 5);
    let path = folder.path().join("log");
    let bytes = fs::read(&path).expect("a log");
    let frame = bytes.len() / 5;
    for at in 0..frame {
        let mut damaged = bytes.clone();
        damaged[frame + at] ^= 0x40;
        fs::write(&path, &damaged).expect("a damaged log");
        let err = disk::read(folder.path()).expect_err("a refused folder");
        assert_eq!(err.code, Code::DataCorrupt, "byte {at}: {err}");
        assert!(err.detail.contains("log at byte"), "{err}");
    }
}

// Guards against a corrupted length that makes a frame extend beyond the end of the file, as after
// a torn write: truncating there would drop the intact frames that follow it.
#[test]
fn a_damaged_length_is_not_taken_for_a_torn_write() {
    let mut bytes = Vec::new();
    for payload in [b"first", b"secnd", b"third"] {
        frames::encode(payload, &mut bytes);
    }
    let frame = bytes.len() / 3;
    bytes[frame + 6] = 0xff;
    let (payloads, tail) = frames::decode(&bytes);
    assert_eq!(payloads, [b"first"]);
    assert_eq!(tail, Tail::Corrupt(frame));
}

// Guards against entries applied twice, or a folder that can't be read, after a crash between
// writing a snapshot and truncating the log: both then hold the entries that the snapshot covers.
#[test]
fn a_crash_between_snapshot_and_log_loses_nothing() {
    let folder = Folder::new();
    let mut log = write_entries(folder.path(), 6);
    let old = fs::read(folder.path().join("log")).expect("a log");
    let (mut disk, contents) = Disk::open(folder.path(), &instance(), 2).expect("an open folder");
    let members = contents.stored.log.snapshot().members.clone();
    let position = Position { term: 1, index: 4 };
    let snapshot = Snapshot { position, members, data: Vec::new() };
    log.compact(snapshot.clone());
    disk.write(vec![Persist::Snapshot(snapshot)], &log).expect("a snapshot");
    for bytes in [None, Some(old)] {
        if let Some(bytes) = bytes {
            fs::write(folder.path().join("log"), bytes).expect("the log before the snapshot");
        }
        let contents = disk::read(folder.path()).expect("a readable folder");
        let log = contents.stored.log;
        assert_eq!((log.snapshot().position.index, log.last().index, log.len()), (4, 6, 2));
    }
}

// Guards against a failed write that is not reported or damages stored data: when the new snapshot
// file can't be created, the write returns an error and the current snapshot and log are kept.
#[test]
fn a_failed_write_is_reported_and_harms_nothing() {
    let folder = Folder::new();
    let mut log = write_entries(folder.path(), 3);
    let (mut disk, contents) = Disk::open(folder.path(), &instance(), 2).expect("an open folder");
    fs::create_dir(folder.path().join("snapshot.new")).expect("a folder in place of the file");
    let members = contents.stored.log.snapshot().members.clone();
    let position = Position { term: 1, index: 2 };
    let snapshot = Snapshot { position, members, data: Vec::new() };
    log.compact(snapshot.clone());
    let err = disk.write(vec![Persist::Snapshot(snapshot)], &log).expect_err("a failed write");
    assert_eq!(err.code, Code::StorageFailed);
    let contents = disk::read(folder.path()).expect("a readable folder");
    assert_eq!(contents.stored.log.last().index, 3);
}

// Guards against an instance that uses the folder of another one, as after a wrong mount, and
// against initialising a folder twice.
#[test]
fn a_foreign_folder_is_refused() {
    let folder = Folder::new();
    write_entries(folder.path(), 1);
    let err = Disk::open(folder.path(), &"control-1".into(), 2).expect_err("a refused folder");
    assert_eq!(err.code, Code::DataForeign);
    let err =
        disk::init(folder.path(), &instance(), &[instance()]).expect_err("a second initialisation");
    assert_eq!(err.code, Code::DataForeign);
}
