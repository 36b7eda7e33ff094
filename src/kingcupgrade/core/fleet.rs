//! Settings of a process in a fleet with dynamic membership.
//!
//! The settings do not list the instances of the fleet. A process starts with the addresses of a
//! few control instances and discovers the other instances through them.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use super::{FailureDomain, Instance, Millis, settings::Role};

/// The settings of one process.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The address at which other instances reach it.
    pub ip: IpAddr,
    /// The role of this instance.
    pub role: Role,
    /// The failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// The port on which entries listen for other instances.
    pub entry_port: u16,
    /// The port on which control instances listen for other instances.
    pub control_port: u16,
    /// The addresses of the control instances that are contacted first.
    pub seeds: Vec<IpAddr>,
    /// The address for callers; required for entries.
    pub caller_address: Option<SocketAddr>,
    /// The address at which the load balancer checks whether this entry accepts callers; required
    /// for entries.
    pub ready_address: Option<SocketAddr>,
    /// The address for operators; required for control instances.
    pub operator_address: Option<SocketAddr>,
    /// The address of the platform's list of upstreams; required for entries.
    pub listing_address: Option<SocketAddr>,
    /// The address at which metrics are served; `None` disables them.
    pub metrics_address: Option<SocketAddr>,
    /// The rate of calls to the list that the whole fleet may make, per second.
    pub listing_rate: f64,
    /// The data folder; required for control instances.
    pub data: Option<PathBuf>,
    /// Whether the whole fleet starts for the first time, with empty disks.
    pub is_first_start: bool,
    /// The number of simultaneous failures of control instances that the record must tolerate.
    pub tolerated_failures: usize,
    /// How long a process may take to shut down.
    pub grace: Millis,
    /// The retry budget: retries allowed per request of callers.
    pub retry_ratio: f64,
    /// Retries that the whole fleet may make in one window in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// The window of the retry budget.
    pub retry_window: Millis,
    /// The fraction of a service's requests that a new version may get until it is judged good.
    pub exposed_fraction: f64,
    /// Requests that it may get in addition, from the whole fleet.
    pub exposed_slack: f64,
    /// The number of file descriptors available for sockets.
    pub max_sockets: usize,
    /// The memory that the process may use, in bytes; `None` if the settings state no limit.
    pub memory_limit: Option<u64>,
    /// Whether an upstream ends if the requests that it holds exceed its memory.
    pub ends_beyond_memory: bool,
}

impl FleetSettings {
    /// Returns the name of this instance.
    pub fn instance(&self) -> Instance {
        instance_name(self.role, self.ip)
    }

    /// Returns the address at which an instance listens for other instances, or `None` if its name
    /// does not contain a role and an address.
    pub fn instance_address(&self, instance: &Instance) -> Option<SocketAddr> {
        let (role, ip) = parse_name(instance)?;
        let port = match role {
            Role::Entry => self.entry_port,
            Role::Control => self.control_port,
        };
        Some(SocketAddr::new(ip, port))
    }

    /// Returns the number of voting replicas of the record: enough that a majority remains after
    /// the failures that must be tolerated.
    pub fn voters(&self) -> usize {
        2 * self.tolerated_failures + 1
    }

    /// Returns the control instances at the seed addresses.
    pub fn seed_instances(&self) -> Vec<Instance> {
        self.seeds.iter().map(|ip| instance_name(Role::Control, *ip)).collect()
    }
}

/// Returns the name of the instance with the given role and address.
///
/// Settings contain addresses only, so names are derived from them. Two processes that know the
/// same address therefore use the same name without communicating.
pub fn instance_name(role: Role, ip: IpAddr) -> Instance {
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

/// Returns the role contained in the name of an instance.
pub fn instance_role(instance: &Instance) -> Option<Role> {
    parse_name(instance).map(|(role, _)| role)
}
