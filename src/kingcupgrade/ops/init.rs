use std::path::Path;

use anyhow::Context;

use super::backup::read_backup;
use crate::{
    core::{Settings, settings::Role},
    protocol::consensus::Position,
    state::{disk, record::Record},
};

/// The offset added to the last index of a backup when it is restored. It exceeds the number of
/// changes that instances can have received after the backup was written, so that every index of
/// the restored record is higher than any index they know.
const RESTORE_INDEX_OFFSET: u64 = 1_000_000_000;

/// Creates the data folder of an initial member of a new record, either empty or from a backup.
///
/// This must be done once for each control instance of a new fleet and never again: an instance
/// that lost its data folder starts without one and is added as a new member. To restore a backup,
/// first move the data folders of all control instances away, then run this at each of them with
/// the same backup file.
///
/// # Errors
///
/// Returns an error if the settings specify no data folder, the folder already contains a replica,
/// or the backup is corrupt.
pub fn init(path: &Path, backup: Option<&Path>) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let folder = settings.data.as_ref().context("the settings specify no data folder")?;
    let controls = settings.with_role(Role::Control);
    let members: Vec<_> = controls.map(|peer| peer.instance.clone()).collect();
    let Some(backup) = backup else {
        disk::init(folder, &settings.instance, &members)?;
        return Ok(());
    };
    let (index, data) = read_backup(backup)?;
    let mut record = Record::decode(&data)?;
    let position = Position { term: 1, index: index + RESTORE_INDEX_OFFSET };
    record.restamp(position.index);
    disk::init_from(folder, &settings.instance, &members, position, record.encode())?;
    Ok(())
}
