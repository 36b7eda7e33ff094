//! Generates settings and documents of a given size for state machines that run without a fleet.

use std::net::SocketAddr;

use kingcup_support::fleet::document;
use kingcupgrade::{
    core::{
        Settings,
        settings::{Peer, Role},
    },
    protocol::record::StoredDocument,
};

/// The fleet key in generated settings.
pub(crate) const FLEET_KEY: &str = "a fleet key of some length";
/// Failure domains of the target fleet.
pub(crate) const DOMAINS: usize = 13;
/// Services of the target fleet.
pub(crate) const SERVICES: usize = 38;

/// Returns the names of `count` organisations.
pub(crate) fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("organisation-{n:05}")).collect()
}

/// Returns `count` instances of a role, spread over the failure domains.
pub(crate) fn peers(
    prefix: &str,
    count: usize,
    role: Role,
    address: SocketAddr,
) -> impl Iterator<Item = Peer> {
    (0..count).map(move |n| Peer {
        instance: format!("{prefix}-{n:03}").as_str().into(),
        address,
        failure_domain: format!("domain-{:02}", n % DOMAINS).as_str().into(),
        roles: vec![role],
    })
}

/// Returns the settings of instance `entry-000`, the first of `peers`.
pub(crate) fn settings(peers: impl Iterator<Item = Peer>, address: SocketAddr) -> Settings {
    Settings {
        instance: "entry-000".into(),
        peers: peers.collect(),
        caller_address: Some(address),
        operator_address: address,
        data: None,
        fleet_key: FLEET_KEY.to_owned(),
        platform_list: "http://127.0.0.1:1/".to_owned(),
        max_requests: 2_000,
        max_connections: 4_000,
        body_memory_mb: 64,
        static_shares: false,
    }
}

/// Returns the documents of all services, each with `organisations` organisations.
pub(crate) fn documents(organisations: usize, rest: &str) -> Vec<StoredDocument> {
    let names = names(organisations);
    let organisations: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let documents = (0..SERVICES).map(|n| {
        let service = format!("service-{n:02}");
        let text = document(&service, "model-engine", &organisations, rest);
        StoredDocument { service: service.as_str().into(), revision: 1, index: n as u64 + 1, text }
    });
    documents.collect()
}
