//! Selection of the host and the service of a request.

use http::{header, request};

use crate::core::{Service, configuration::Route};

/// Returns the host that a request is meant for, without the port.
pub(super) fn host_of(head: &request::Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = named.or(head.uri.host())?;
    Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
}

/// Selects one of a route's services at random by weight, always the same one for the same request
/// id.
pub(super) fn choose_service<'a>(route: &'a Route, request_id: &str) -> &'a Service {
    let sum: u32 = route.services.iter().map(|(_, weight)| *weight).sum();
    let mut point = crc32fast::hash(request_id.as_bytes()) % sum.max(1);
    for (service, weight) in &route.services {
        if point < *weight {
            return service;
        }
        point -= weight;
    }
    &route.services[0].0
}
