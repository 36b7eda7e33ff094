//! Reloading of the settings while a process runs.
//!
//! The settings file may change with or without a SIGHUP. If the file can't be read, the previous
//! settings stay in force, and a warning is logged.

use std::{net::IpAddr, sync::Arc, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};

use super::{fleet::FleetHandle, gateway::adapter::PlatformAdapter};
use crate::{coordination::fleet::FleetInput, core::fleet::FleetSettings, util::log};

/// How often the file is read without a signal. A few seconds are soon enough for joining new
/// control instances, as the known ones also announce them.
const INTERVAL: Duration = Duration::from_secs(3);

/// Reloads the settings for as long as the process runs.
pub(super) async fn follow<E: PlatformAdapter>(
    adapter: Arc<E>,
    fleet: FleetHandle,
    settings: Arc<FleetSettings>,
) -> anyhow::Result<()> {
    let mut signals = signal(SignalKind::hangup())?;
    let mut seeds: Vec<IpAddr> = settings.seeds.clone();
    let mut was_readable = true;
    loop {
        let is_signalled = tokio::select! {
            _ = signals.recv() => true,
            () = time::sleep(INTERVAL) => false,
        };
        match adapter.read_settings() {
            Ok(read) => {
                if is_signalled || read.seeds != seeds {
                    log::event("settings-reloaded", &read.seeds);
                }
                if read.seeds != seeds {
                    seeds.clone_from(&read.seeds);
                    fleet.send(FleetInput::SeedsChanged(read.seed_instances()));
                }
                was_readable = true;
            }
            Err(err) => {
                if was_readable || is_signalled {
                    log::warning("settings-kept", &format!("{err:#}"));
                }
                was_readable = false;
            }
        }
    }
}
