use std::{fs, path::Path};

use anyhow::{Context, bail};

use super::OperatorClient;
use crate::{
    core::{Code, code::CodedError},
    protocol::operator::{OperatorReply, OperatorRequest},
    state::{
        frames::{self, Tail},
        record::Record,
    },
    util::hex::from_hex,
};

/// Writes the state of a running record to a file; returns the last entry it includes.
///
/// # Errors
///
/// Returns an error if no control instance answers or the file can't be written.
pub fn backup(client: &OperatorClient, path: &Path) -> anyhow::Result<u64> {
    let OperatorReply::Backup(backup) = client.ask(&OperatorRequest::Backup)? else {
        bail!("the instance gave an answer that does not fit the question");
    };
    let data = from_hex(&backup.data).context("the backup is not in hex")?;
    Record::decode(&data)?;
    let mut payload = backup.index.to_le_bytes().to_vec();
    payload.extend(data);
    let mut file = Vec::new();
    frames::encode(&payload, &mut file);
    fs::write(path, file).with_context(|| path.display().to_string())?;
    Ok(backup.index)
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
