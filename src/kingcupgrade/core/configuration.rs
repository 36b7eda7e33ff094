//! A whole configuration under one version: routes, services, organisations, limits.
//!
//! Some users keep a document for each service; others replace everything at once under a growing
//! version. This is the second form, decoded and checked, as entries route by it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use super::{
    Millis, Organisation, Service,
    code::{Code, CodedError},
};

/// What may be repeated of a route's requests, and what their answers are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The answer is a series of events.
    Stream {
        /// Whether a broken answer may be resumed elsewhere after its last whole event.
        resumable: bool,
    },
    /// Idempotent: may run more than once.
    Safe,
    /// Must run at most once.
    Unsafe,
}

impl RouteKind {
    /// Tells whether a request may be sent again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::Stream { resumable: true })
    }
}

/// A route from a host and path to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, unique in the configuration.
    pub name: String,
    /// The host it serves.
    pub host: String,
    /// The beginning of the paths it serves; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time a request is kept.
    pub timeout: Millis,
    /// Until when the first byte of an answer should be there.
    pub target: Millis,
    /// The longest pause between the events of an answer that counts as on time.
    pub max_gap: Millis,
    /// Its rank, 0 the most urgent.
    pub rank: u32,
    /// The services it leads to, with weights of which one at least is not 0.
    pub targets: Vec<(Service, u32)>,
    /// How many upstreams one request may be sent to.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub is_public: bool,
}

/// What a model engine is made for.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLimits {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for tokens.
    pub kv_capacity: u64,
    /// Tokens in one event.
    pub stride: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// Its name.
    pub name: Service,
    /// Connections an upstream accepts from all callers together.
    pub max_connections: u32,
    /// How long an upstream is cold after its start.
    pub cold_span: Millis,
    /// Requests a second that a cold upstream bears.
    pub cold_per_s: f64,
    /// The engine, if its upstreams are model engines.
    pub engine: Option<EngineLimits>,
}

/// What callers may send.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request head.
    pub max_head_len: usize,
    /// Bytes of a request body.
    pub max_body_len: usize,
    /// How long a request head may take.
    pub head_timeout: Millis,
    /// How long a connection may stay idle.
    pub idle_timeout: Millis,
    /// Tokens a second that all engines make together: each one read once, each generated twice.
    pub tokens_per_s: f64,
}

/// An organisation with its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenancy {
    /// The organisation.
    pub organisation: Organisation,
    /// Its keys.
    pub keys: Vec<String>,
}

/// A whole configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: BTreeMap<Service, ServicePlan>,
    /// Whether callers need a key on routes that are not public.
    pub needs_keys: bool,
    /// The limits.
    pub limits: Limits,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, Organisation>,
}

impl Configuration {
    /// Checks the parts and puts them together.
    ///
    /// # Errors
    ///
    /// Returns [`Code::DocumentInvalid`] with the place and what is wrong: an unknown service, two
    /// routes for one host and prefix, weights that add up to 0, a timeout of 0, or a key that two
    /// organisations share.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServicePlan>,
        tenancies: Option<Vec<Tenancy>>,
        limits: Limits,
    ) -> Result<Configuration, CodedError> {
        let services: BTreeMap<Service, ServicePlan> =
            services.into_iter().map(|plan| (plan.name.clone(), plan)).collect();
        let mut places = BTreeSet::new();
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            check_route(route, &services)?;
            if !places.insert((&route.host, &route.path_prefix)) {
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
        let needs_keys = tenancies.is_some();
        let by_key = file_keys(tenancies.unwrap_or_default())?;
        Ok(Configuration { version, routes, services, needs_keys, limits, by_host, by_key })
    }

    /// Returns the route of a host and path, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indexes = self.by_host.get(host)?;
        let mut routes = indexes.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the organisation that holds a key.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        self.by_key.get(key)
    }
}

fn check_route(route: &Route, services: &BTreeMap<Service, ServicePlan>) -> Result<(), CodedError> {
    let place = &route.name;
    if let Some((service, _)) = route.targets.iter().find(|(name, _)| !services.contains_key(name))
    {
        return Err(invalid(format!("route {place}: no service is named {service}")));
    }
    if route.targets.iter().all(|(_, weight)| *weight == 0) {
        return Err(invalid(format!("route {place}: the weights add up to 0")));
    }
    if route.timeout == Millis::ZERO {
        return Err(invalid(format!("route {place}: the timeout is 0")));
    }
    Ok(())
}

fn file_keys(tenancies: Vec<Tenancy>) -> Result<HashMap<String, Organisation>, CodedError> {
    let mut by_key: HashMap<String, Organisation> = HashMap::new();
    for tenancy in tenancies {
        for key in tenancy.keys {
            let holder = by_key.insert(key, tenancy.organisation.clone());
            if let Some(holder) = holder.filter(|holder| *holder != tenancy.organisation) {
                let names = format!("{holder} and {}", tenancy.organisation);
                return Err(invalid(format!("{names} share a key")));
            }
        }
    }
    Ok(by_key)
}

fn invalid(detail: String) -> CodedError {
    CodedError::new(Code::DocumentInvalid, detail)
}
