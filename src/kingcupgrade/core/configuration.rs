//! A complete configuration under a single version: routes, services, organisations and limits.
//!
//! A fleet is configured either by one document per service or by a complete configuration that
//! is replaced as a whole under an increasing version. This module holds the second form, decoded
//! and validated, with the indexes by which entries route requests.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use super::{
    Millis, Organisation, Service,
    code::{Code, CodedError},
};

/// Whether the requests of a route may be retried, and the form of their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The answer is a stream of events.
    Stream {
        /// Whether an answer that breaks off may be resumed on another upstream after its last
        /// complete event.
        resumable: bool,
    },
    /// Idempotent: a request may run more than once.
    Safe,
    /// Not idempotent: a request must run at most once.
    Unsafe,
}

impl RouteKind {
    /// Returns whether a request that may already have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::Stream { resumable: true })
    }
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, unique within the configuration.
    pub name: String,
    /// The host that it matches.
    pub host: String,
    /// The path prefix that it matches. It starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried, and the form of their answers.
    pub kind: RouteKind,
    /// The maximum time from the arrival of a request to the end of its answer. The deadline of the
    /// caller may be shorter.
    pub timeout: Millis,
    /// The target time to the first byte of an answer.
    pub target_latency: Millis,
    /// The longest pause between two events of an answer that still counts as on time.
    pub max_event_gap: Millis,
    /// The priority of its requests; 0 is the highest.
    pub priority: u32,
    /// The services that its requests are distributed over, with their weights. At least one
    /// weight is not 0.
    pub services: Vec<(Service, u32)>,
    /// The maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// The capacity of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLimits {
    /// The number of requests in one batch.
    pub slots: u32,
    /// The capacity of its key-value cache, in tokens.
    pub kv_capacity: u64,
    /// The number of tokens in one event.
    pub tokens_per_event: u32,
}

/// The configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Its name.
    pub name: Service,
    /// The number of connections that one upstream accepts from all clients together.
    pub max_connections: u32,
    /// How long an upstream is cold after its start.
    pub cold_duration: Millis,
    /// The rate of requests that a cold upstream can serve, per second.
    pub cold_per_s: f64,
    /// The capacity of its engines, if its upstreams are model engines.
    pub engine: Option<EngineLimits>,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum size of a request head, in bytes.
    pub max_head_len: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_len: usize,
    /// How long a request head may take to arrive.
    pub head_timeout: Millis,
    /// How long a connection may stay idle.
    pub idle_timeout: Millis,
    /// The throughput of all engines together, in tokens per second. A prompt token counts once
    /// and a generated token twice.
    pub tokens_per_s: f64,
}

/// The API keys of one organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationKeys {
    /// The organisation.
    pub organisation: Organisation,
    /// Its keys.
    pub keys: Vec<String>,
}

/// A complete configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: BTreeMap<Service, ServiceConfig>,
    /// Whether callers need a key for routes that are not public.
    pub needs_keys: bool,
    /// The limits.
    pub limits: Limits,
    /// Indexes into `routes` by host, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, Organisation>,
}

impl Configuration {
    /// Validates the parts and builds the configuration from them.
    ///
    /// # Errors
    ///
    /// Returns [`Code::DocumentInvalid`] with the location and the cause: an unknown service, two
    /// routes with the same host and prefix, weights that add up to 0, a timeout of 0, or a key
    /// that belongs to two organisations.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceConfig>,
        organisations: Option<Vec<OrganisationKeys>>,
        limits: Limits,
    ) -> Result<Configuration, CodedError> {
        let services: BTreeMap<Service, ServiceConfig> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut prefixes = BTreeSet::new();
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            check_route(route, &services)?;
            if !prefixes.insert((&route.host, &route.path_prefix)) {
                return Err(invalid(format!(
                    "route {}: another route has host {} and prefix {}",
                    route.name, route.host, route.path_prefix
                )));
            }
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| usize::MAX - routes[*index].path_prefix.len());
        }
        let routes = routes.into_iter().map(Arc::new).collect();
        let needs_keys = organisations.is_some();
        let by_key = index_keys(organisations.unwrap_or_default())?;
        Ok(Configuration { version, routes, services, needs_keys, limits, by_host, by_key })
    }

    /// Returns the route that matches a host and path. The longest matching prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indexes = self.by_host.get(host)?;
        let mut routes = indexes.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        self.by_key.get(key)
    }
}

fn check_route(
    route: &Route,
    services: &BTreeMap<Service, ServiceConfig>,
) -> Result<(), CodedError> {
    let name = &route.name;
    if let Some((service, _)) = route.services.iter().find(|(name, _)| !services.contains_key(name))
    {
        return Err(invalid(format!("route {name}: unknown service {service}")));
    }
    if route.services.iter().all(|(_, weight)| *weight == 0) {
        return Err(invalid(format!("route {name}: expected at least one weight above 0")));
    }
    if route.timeout == Millis::ZERO {
        return Err(invalid(format!("route {name}: expected a timeout above 0")));
    }
    Ok(())
}

fn index_keys(
    organisations: Vec<OrganisationKeys>,
) -> Result<HashMap<String, Organisation>, CodedError> {
    let mut by_key: HashMap<String, Organisation> = HashMap::new();
    for credentials in organisations {
        for key in credentials.keys {
            let owner = by_key.insert(key, credentials.organisation.clone());
            if let Some(owner) = owner.filter(|owner| *owner != credentials.organisation) {
                let names = format!("{owner} and {}", credentials.organisation);
                return Err(invalid(format!("organisations {names} have a key in common")));
            }
        }
    }
    Ok(by_key)
}

fn invalid(detail: String) -> CodedError {
    CodedError::new(Code::DocumentInvalid, detail)
}
