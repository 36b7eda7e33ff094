use std::sync::Arc;

use crate::{
    core::settings::Role,
    transport::{
        control_server, gateway, gateway::adapter::PlatformAdapter, signals::EarlySignals,
    },
    util::process,
};

/// Runs one process of a fleet that finds itself, until it is told to stop.
///
/// # Errors
///
/// Returns an error if the process can't start, or ends otherwise than when told to.
pub fn serve_fleet<E: PlatformAdapter>(edge: E) -> anyhow::Result<()> {
    process::run_logged(|| {
        let signals = EarlySignals::catch()?;
        let edge = Arc::new(edge);
        let settings = Arc::new(edge.read_settings()?);
        match settings.role {
            Role::Entry => gateway::run(edge, settings, signals),
            Role::Control => control_server::run(edge, settings, signals),
        }
    })
}
