//! What state machines are fed that run without a fleet: settings and documents of a given size.

use std::net::SocketAddr;

use kingcup_support::fleet::document;
use kingcupgrade::{
    core::{
        Settings,
        settings::{Peer, Role},
    },
    protocol::record::StoredDocument,
};

/// The key of fleets that are not run.
pub(crate) const FLEET_KEY: &str = "a fleet key of some length";
/// Failure domains at the size to design for.
pub(crate) const DOMAINS: usize = 13;
/// Services at that size.
pub(crate) const SERVICES: usize = 38;

/// Returns the names of so many organisations.
pub(crate) fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("organisation-{n:05}")).collect()
}

/// Returns so many instances of a role, spread over the failure domains.
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

/// Returns the settings of the first of `peers`.
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
        static_shares: false,
    }
}

/// Returns the documents of all services, each with so many organisations.
pub(crate) fn documents(members: usize, rest: &str) -> Vec<StoredDocument> {
    let names = names(members);
    let members: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let documents = (0..SERVICES).map(|n| {
        let service = format!("service-{n:02}");
        let text = document(&service, "model-engine", &members, rest);
        StoredDocument { service: service.as_str().into(), revision: 1, index: n as u64 + 1, text }
    });
    documents.collect()
}
