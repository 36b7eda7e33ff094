use std::sync::Arc;

use crate::{
    core::settings::Role,
    transport::{controls, gateway, gateway::edge::Edge},
    util::log,
};

/// Runs one process of a fleet that finds itself, until it is told to stop.
///
/// # Errors
///
/// Returns an error if the process can't start.
pub fn serve_fleet<E: Edge>(edge: E) -> anyhow::Result<()> {
    log::init()?;
    let edge = Arc::new(edge);
    let settings = Arc::new(edge.read_settings()?);
    let ended = match settings.role {
        Role::Entry => gateway::run(edge, settings),
        Role::Control => controls::run(edge, settings),
    };
    log::finish();
    ended
}
