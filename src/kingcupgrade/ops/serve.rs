use std::path::Path;

use anyhow::Context;

use crate::{core::Settings, transport::daemon, util::process};

/// Runs the instance that a settings file describes until it is told to stop.
///
/// # Errors
///
/// Returns an error if the settings are not valid or the instance can't be started.
pub fn serve(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let instance = settings.instance.clone();
    process::run_logged(|| {
        daemon::run(settings).with_context(|| format!("instance {instance} stopped"))
    })
}
