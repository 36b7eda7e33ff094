use std::sync::Arc;

use crate::{
    core::settings::Role,
    transport::{
        control_server, gateway, gateway::adapter::PlatformAdapter, signals::EarlySignals,
    },
    util::process,
};

/// Runs one process of a fleet with dynamic membership until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if the process cannot start, or stops for another reason than the signal.
pub fn serve_fleet<E: PlatformAdapter>(adapter: E) -> anyhow::Result<()> {
    process::run_logged(|| {
        let signals = EarlySignals::catch()?;
        let adapter = Arc::new(adapter);
        let settings = Arc::new(adapter.read_settings()?);
        match settings.role {
            Role::Entry => gateway::run(adapter, settings, signals),
            Role::Control => control_server::run(adapter, settings, signals),
        }
    })
}
