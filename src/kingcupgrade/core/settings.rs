//! The settings of one instance, read from YAML and validated as a whole before anything starts.

use std::{collections::BTreeSet, fs, net::SocketAddr, path::Path, path::PathBuf};

use serde::{Deserialize, Serialize};

use super::{
    code::{Code, CodedError},
    names::{FailureDomain, Instance, is_valid_name},
};

/// The minimum length of a fleet key, in bytes.
const MIN_FLEET_KEY_LEN: usize = 16;

/// The least memory for the bodies of requests, in MiB.
const MIN_BODY_MEMORY_MB: u64 = 2;

/// The role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts callers' requests and may hold dispatcher leases.
    Entry,
    /// Stores a replica of the durable record.
    Control,
}

/// An instance of the fleet, as listed in the settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub instance: Instance,
    /// The address at which it listens for other instances.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// Its roles.
    pub roles: Vec<Role>,
}

impl Peer {
    /// Returns whether the peer has `role`.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}

/// The settings of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance, which must also be listed in `peers`.
    pub instance: Instance,
    /// All instances of the fleet, including this one.
    pub peers: Vec<Peer>,
    /// The address for callers; required for entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_address: Option<SocketAddr>,
    /// The address for operators, metrics and health checks.
    pub operator_address: SocketAddr,
    /// The data folder; required for control instances.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<PathBuf>,
    /// The secret shared by all instances of the fleet.
    pub fleet_key: String,
    /// The URL of the platform's list of upstreams.
    pub platform_list: String,
    /// The maximum number of concurrent requests of callers.
    #[serde(default = "default_max_requests")]
    pub max_requests: usize,
    /// The maximum number of connections of callers. Beyond it, a new one takes the place of the one that
    /// has waited longest for its caller.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// The memory for the bodies of callers' requests, in MiB; at least 2.
    #[serde(default = "default_body_memory_mb")]
    pub body_memory_mb: u64,
    /// Whether slots are assigned to entries statically instead of by dispatchers. Static
    /// assignment is the baseline that measurements compare with.
    #[serde(default)]
    pub static_shares: bool,
}

fn default_max_requests() -> usize {
    2_000
}

fn default_max_connections() -> usize {
    4_000
}

fn default_body_memory_mb() -> u64 {
    64
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Code::SettingsInvalid`] with the file, the location of the error and what is
    /// expected there.
    pub fn load(path: &Path) -> Result<Settings, CodedError> {
        let text = fs::read_to_string(path).map_err(|err| {
            CodedError::new(Code::SettingsInvalid, format!("{}: {err}", path.display()))
        })?;
        Settings::parse(&text)
            .map_err(|err| CodedError::new(err.code, format!("{}: {}", path.display(), err.detail)))
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns [`Code::SettingsInvalid`] with the location of the error and what is expected there.
    pub fn parse(text: &str) -> Result<Settings, CodedError> {
        let settings: Settings = serde_norway::from_str(text)
            .map_err(|err| CodedError::new(Code::SettingsInvalid, err.to_string()))?;
        match settings.check() {
            Ok(()) => Ok(settings),
            Err(detail) => Err(CodedError::new(Code::SettingsInvalid, detail)),
        }
    }

    /// Returns the entry of this instance in `peers`.
    ///
    /// # Panics
    ///
    /// Panics if the settings were not validated and do not list the instance.
    pub fn own_peer(&self) -> &Peer {
        self.peer(&self.instance).expect("validated settings list the instance in `peers`")
    }

    /// Returns the peer with the given name.
    pub fn peer(&self, instance: &Instance) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.instance == *instance)
    }

    /// Returns the peers that have `role`.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(move |peer| peer.has_role(role))
    }

    fn check(&self) -> Result<(), String> {
        self.check_peers()?;
        let own = self.own_peer();
        if own.has_role(Role::Entry) && self.caller_address.is_none() {
            return Err("caller_address: required for an entry".to_owned());
        }
        if own.has_role(Role::Control) && self.data.is_none() {
            return Err("data: a control instance needs a data folder".to_owned());
        }
        if self.fleet_key.len() < MIN_FLEET_KEY_LEN {
            return Err(format!("fleet_key: expected at least {MIN_FLEET_KEY_LEN} bytes"));
        }
        if !self.platform_list.starts_with("http://") {
            return Err("platform_list: expected a URL that starts with http://".to_owned());
        }
        if self.max_requests == 0 {
            return Err("max_requests: expected at least 1".to_owned());
        }
        if self.max_connections == 0 {
            return Err("max_connections: expected at least 1".to_owned());
        }
        if self.body_memory_mb < MIN_BODY_MEMORY_MB {
            return Err(format!("body_memory_mb: expected at least {MIN_BODY_MEMORY_MB}"));
        }
        Ok(())
    }

    fn check_peers(&self) -> Result<(), String> {
        let mut seen = BTreeSet::new();
        for (i, peer) in self.peers.iter().enumerate() {
            for name in [peer.instance.as_str(), peer.failure_domain.as_str()] {
                if !is_valid_name(name) {
                    return Err(format!("peers[{i}]: {name:?} is not a valid name"));
                }
            }
            if !seen.insert(&peer.instance) {
                return Err(format!("peers[{i}].instance: {} is listed twice", peer.instance));
            }
            if peer.roles.is_empty() {
                return Err(format!("peers[{i}].roles: expected entry, control or both"));
            }
        }
        if !seen.contains(&self.instance) {
            return Err(format!("instance: {} is not among the peers", self.instance));
        }
        Ok(())
    }
}
