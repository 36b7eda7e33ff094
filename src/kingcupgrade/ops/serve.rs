use std::path::Path;

use anyhow::Context;

use crate::{
    core::Settings,
    transport::{daemon, signals::EarlySignals},
    util::process,
};

/// Runs the instance described by a settings file until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the instance cannot be started.
pub fn serve(path: &Path) -> anyhow::Result<()> {
    let signals = EarlySignals::catch()?;
    let settings = Settings::load(path)?;
    let instance = settings.instance.clone();
    process::run_logged(|| {
        daemon::run(settings, signals).with_context(|| format!("instance {instance} stopped"))
    })
}
