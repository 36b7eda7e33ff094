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

/// What a backup holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackupInfo {
    /// The last entry it includes.
    pub index: u64,
    /// Whether a majority confirmed that nothing newer was accepted.
    pub confirmed: bool,
}

/// Writes the state of a running record to a file.
///
/// All instances are asked, and the newest state is taken: the first to answer may be cut off and
/// far behind, and its state would lose accepted changes when it is restored.
///
/// # Errors
///
/// Returns an error if no control instance answers or the file can't be written.
pub fn backup(client: &OperatorClient, path: &Path) -> anyhow::Result<BackupInfo> {
    let mut newest: Option<Backup> = None;
    for instance in client.instances() {
        let reply = client.ask_one(instance, &OperatorRequest::Backup);
        let Ok(OperatorReply::Backup(backup)) = reply else { continue };
        let place = |backup: &Backup| (backup.confirmed, backup.index);
        if newest.as_ref().is_none_or(|known| place(known) < place(&backup)) {
            newest = Some(backup);
        }
    }
    let Some(backup) = newest else { bail!("no control instance with a record answers") };
    let data = from_hex(&backup.data).context("the backup is not in hex")?;
    Record::decode(&data)?;
    let mut payload = backup.index.to_le_bytes().to_vec();
    payload.extend(data);
    let mut file = Vec::new();
    frames::encode(&payload, &mut file);
    fs::write(path, file).with_context(|| path.display().to_string())?;
    Ok(BackupInfo { index: backup.index, confirmed: backup.confirmed })
}

/// Reads a backup: the last entry it includes, and the state.
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
