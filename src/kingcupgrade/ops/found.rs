use std::path::Path;

use anyhow::Context;

use crate::{
    core::{Settings, settings::Role},
    state::disk,
};

/// Makes the data folder of a founding member of a new record.
///
/// It is to be done once for each control instance of a new fleet, and never again: an instance
/// that lost its folder starts without one and is added as a new member.
///
/// # Errors
///
/// Returns an error if the settings name no data folder, or it holds a replica already.
pub fn found(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let folder = settings.data.as_ref().context("the settings name no data folder")?;
    let controls = settings.with_role(Role::Control);
    let members: Vec<_> = controls.map(|peer| peer.instance.clone()).collect();
    disk::found(folder, &settings.instance, &members)?;
    Ok(())
}
