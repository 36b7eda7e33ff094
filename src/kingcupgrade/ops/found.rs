use std::path::Path;

use anyhow::Context;

use super::backup::read_backup;
use crate::{
    core::{Settings, settings::Role},
    protocol::consensus::Position,
    state::{disk, record::Record},
};

/// How far the places of a restored record lie beyond its backup's: further than any change that
/// instances may have seen after the backup was taken.
const RESTORE_JUMP: u64 = 1_000_000_000;

/// Makes the data folder of a founding member of a new record, empty or from a backup.
///
/// It is to be done once for each control instance of a new fleet, and never again: an instance
/// that lost its folder starts without one and is added as a new member. From a backup it is done
/// at all control instances, each with the same file, after all of their folders were put aside.
///
/// # Errors
///
/// Returns an error if the settings name no data folder, it holds a replica already, or the
/// backup is damaged.
pub fn found(path: &Path, backup: Option<&Path>) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let folder = settings.data.as_ref().context("the settings name no data folder")?;
    let controls = settings.with_role(Role::Control);
    let members: Vec<_> = controls.map(|peer| peer.instance.clone()).collect();
    let Some(backup) = backup else {
        disk::init(folder, &settings.instance, &members)?;
        return Ok(());
    };
    let (index, data) = read_backup(backup)?;
    let mut record = Record::decode(&data)?;
    let position = Position { term: 1, index: index + RESTORE_JUMP };
    record.restamp(position.index);
    disk::init_from(folder, &settings.instance, &members, position, record.encode())?;
    Ok(())
}
