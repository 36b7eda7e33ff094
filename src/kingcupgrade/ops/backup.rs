use std::{fs, path::Path};

use anyhow::{Context, bail};

use super::OperatorClient;
use crate::{
    core::{Code, code::CodedError},
    protocol::operator::{Backup, OperatorReply, OperatorRequest},
    state::{
        frames::{self, Tail},
        record::Record,
    },
    util::hex::from_hex,
};

/// A summary of a backup that was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackupInfo {
    /// The index of the last included entry.
    pub index: u64,
    /// Whether a majority confirmed that no newer change had been accepted.
    pub confirmed: bool,
}

/// Writes the state of a running record to a file.
///
/// All instances are asked and the newest state is written, preferably a confirmed one. The first
/// instance to answer may be partitioned and far behind; restoring its state would lose accepted
/// changes.
///
/// # Errors
///
/// Returns an error if no control instance answers or the file cannot be written.
pub fn backup(client: &OperatorClient, path: &Path) -> anyhow::Result<BackupInfo> {
    let mut newest: Option<Backup> = None;
    for instance in client.instances() {
        let reply = client.ask_one(instance, &OperatorRequest::Backup);
        let Ok(OperatorReply::Backup(backup)) = reply else { continue };
        let rank = |backup: &Backup| (backup.confirmed, backup.index);
        if newest.as_ref().is_none_or(|known| rank(known) < rank(&backup)) {
            newest = Some(backup);
        }
    }
    let Some(backup) = newest else { bail!("no control instance returned a backup") };
    let data = from_hex(&backup.data).context("the backup data is not valid hexadecimal")?;
    Record::decode(&data)?;
    let mut payload = backup.index.to_le_bytes().to_vec();
    payload.extend(data);
    let mut file = Vec::new();
    frames::encode(&payload, &mut file);
    fs::write(path, file).with_context(|| path.display().to_string())?;
    Ok(BackupInfo { index: backup.index, confirmed: backup.confirmed })
}

/// Reads a backup file. Returns the index of the last included entry and the encoded state.
pub(super) fn read_backup(path: &Path) -> anyhow::Result<(u64, Vec<u8>)> {
    let file = fs::read(path).with_context(|| path.display().to_string())?;
    let damaged = || CodedError::new(Code::DataCorrupt, path.display().to_string());
    let (payloads, tail) = frames::decode(&file);
    let [payload] = payloads.as_slice() else { return Err(damaged().into()) };
    let Some((index, data)) = payload.split_first_chunk::<8>() else {
        return Err(damaged().into());
    };
    if tail != Tail::Clean {
        return Err(damaged().into());
    }
    Ok((u64::from_le_bytes(*index), data.to_vec()))
}
