//! Settings that change while a process runs.
//!
//! The file may change with a signal or without. What can't be read changes nothing: the settings
//! of before hold on, and a line in the log says so.

use std::{net::IpAddr, sync::Arc, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};

use super::{fleet::FleetHandle, gateway::edge::Edge};
use crate::{coordination::fleet::FleetInput, core::fleet::FleetSettings, util::log};

/// How often the file is read without a signal: joining other control instances a few seconds
/// late is soon enough, as the known ones tell of them.
const INTERVAL: Duration = Duration::from_secs(3);

/// Follows the settings for good.
pub(super) async fn follow<E: Edge>(
    edge: Arc<E>,
    fleet: FleetHandle,
    settings: Arc<FleetSettings>,
) -> anyhow::Result<()> {
    let mut signals = signal(SignalKind::hangup())?;
    let mut seeds: Vec<IpAddr> = settings.seeds.clone();
    let mut was_readable = true;
    loop {
        let is_asked = tokio::select! {
            _ = signals.recv() => true,
            () = time::sleep(INTERVAL) => false,
        };
        match edge.read_settings() {
            Ok(read) => {
                if is_asked || read.seeds != seeds {
                    log::event("settings-reloaded", &read.seeds);
                }
                if read.seeds != seeds {
                    seeds.clone_from(&read.seeds);
                    fleet.tell(FleetInput::SeedsChanged(read.seed_instances()));
                }
                was_readable = true;
            }
            Err(err) => {
                if was_readable || is_asked {
                    log::warning("settings-kept", &format!("{err:#}"));
                }
                was_readable = false;
            }
        }
    }
}
