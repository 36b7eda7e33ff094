//! What a process of a fleet that finds itself is told at its start.
//!
//! Nothing here lists the fleet: a process knows a few control instances by address and learns the
//! others from them.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use super::{FailureDomain, Instance, Millis, settings::Role};

/// The settings of one process.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Its address; other instances reach it there.
    pub ip: IpAddr,
    /// What it does.
    pub role: Role,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The port on which entries listen for other instances.
    pub entry_port: u16,
    /// The port on which control instances listen for other instances.
    pub control_port: u16,
    /// Control instances known from the start.
    pub seeds: Vec<IpAddr>,
    /// Where callers connect; needed by entries.
    pub caller_address: Option<SocketAddr>,
    /// Where the balancer asks whether this entry takes callers; needed by entries.
    pub ready_address: Option<SocketAddr>,
    /// Where operators connect; needed by control instances.
    pub operator_address: Option<SocketAddr>,
    /// Where the platform's list of upstreams is served; needed by entries.
    pub listing_address: Option<SocketAddr>,
    /// Where metrics are served, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// Calls a second that the list bears from the whole fleet.
    pub listing_rate: f64,
    /// The data folder; needed by control instances.
    pub data: Option<PathBuf>,
    /// Whether the whole fleet starts for the first time, with empty disks.
    pub is_first_start: bool,
    /// Losses of control instances that the record must bear at once.
    pub tolerated_losses: usize,
    /// How long a process may take to stop.
    pub grace: Millis,
    /// Repeats allowed for each request of callers.
    pub retry_ratio: f64,
    /// Repeats allowed beyond that in one window, by the whole fleet.
    pub retry_slack: f64,
    /// The window of the retry budget.
    pub retry_window: Millis,
    /// File descriptors for sockets.
    pub max_sockets: usize,
}

impl FleetSettings {
    /// Returns the name of this instance.
    pub fn instance(&self) -> Instance {
        name_of(self.role, self.ip)
    }

    /// Returns where an instance listens for others, if its name tells.
    pub fn address_of(&self, instance: &Instance) -> Option<SocketAddr> {
        let (role, ip) = parse_name(instance)?;
        let port = match role {
            Role::Entry => self.entry_port,
            Role::Control => self.control_port,
        };
        Some(SocketAddr::new(ip, port))
    }

    /// Returns how many replicas of the record vote, so that a majority is left after the losses
    /// that must be borne.
    pub fn voters(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Returns the control instances known from the start.
    pub fn seed_instances(&self) -> Vec<Instance> {
        self.seeds.iter().map(|ip| name_of(Role::Control, *ip)).collect()
    }
}

/// Returns the name of the instance with this role at an address.
///
/// A process is told addresses only, so names are made of them: two processes that know the same
/// address know the same instance without asking.
pub fn name_of(role: Role, ip: IpAddr) -> Instance {
    let prefix = match role {
        Role::Entry => 'e',
        Role::Control => 'c',
    };
    Instance::from(format!("{prefix}-{ip}").as_str())
}

fn parse_name(instance: &Instance) -> Option<(Role, IpAddr)> {
    let (prefix, ip) = instance.as_str().split_once('-')?;
    let role = match prefix {
        "e" => Role::Entry,
        "c" => Role::Control,
        _ => return None,
    };
    Some((role, ip.parse().ok()?))
}

/// Returns the role that an instance's name tells.
pub fn role_of(instance: &Instance) -> Option<Role> {
    parse_name(instance).map(|(role, _)| role)
}
