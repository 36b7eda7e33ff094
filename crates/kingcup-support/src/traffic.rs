//! Fixtures for tests and measurements of traffic decisions: a service of model engines and a
//! plain service.

use kingcupgrade::{
    coordination::{
        required_version::RequiredVersion,
        traffic::{Demand, PromptPart, RequestNo},
    },
    core::{
        Millis, Organisation, RequestDigest, Service,
        configuration::{Configuration, EngineLimits, Limits, Route, RouteKind, ServiceConfig},
    },
    protocol::fleet::ListedUpstream,
};

/// Requests that an engine can run at once.
pub const ENGINE_SLOTS: u32 = 64;
/// The target time from arrival to the first event of the response.
pub const TARGET: Millis = Millis(500);

/// Creates a configuration with a route to the engines.
///
/// # Panics
///
/// Never: its parts are valid constants.
pub fn configuration(tokens_per_s: f64) -> Configuration {
    let route = Route {
        name: "review".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/review/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Millis(10_000),
        target_latency: TARGET,
        max_event_gap: Millis(250),
        priority: 1,
        services: vec![("engine".into(), 1)],
        max_attempts: 2,
        is_public: false,
    };
    let engine = ServiceConfig {
        name: "engine".into(),
        max_connections: 100,
        cold_duration: Millis(3_000),
        cold_per_s: 20.0,
        engine: Some(EngineLimits {
            slots: ENGINE_SLOTS,
            kv_capacity: 800_000,
            tokens_per_event: 6,
        }),
    };
    let plain = ServiceConfig { name: "plain".into(), engine: None, ..engine.clone() };
    let limits = Limits {
        max_head_len: 16_384,
        max_body_len: 1 << 20,
        head_timeout: Millis(3_000),
        idle_timeout: Millis(15_000),
        tokens_per_s,
    };
    Configuration::new(1, vec![route], vec![engine, plain], None, limits)
        .expect("a valid configuration")
}

/// Creates an upstream of a service, `engine` or `plain`, as the platform lists it.
///
/// # Panics
///
/// Never: the address is a valid literal.
pub fn listed(service: &str, name: &str, cold: Millis) -> ListedUpstream {
    ListedUpstream {
        name: name.into(),
        service: service.into(),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        domain: "north".into(),
        slots: if service == "engine" { ENGINE_SLOTS } else { 6 },
        is_ready: true,
        cold,
        started_unix_ms: 1,
        version: None,
    }
}

/// Creates a request to the engines.
///
/// Its prompt has a part that all requests share, one that its session shares, and `own` tokens
/// that no other request has.
pub fn demand(no: RequestNo, now: Millis, organisation: &str, session: u64, own: u32) -> Demand {
    let parts = [
        PromptPart { id: 1, tokens: 500 },
        PromptPart { id: session, tokens: 4_800 },
        PromptPart { id: 1_000_000 + no, tokens: own },
    ];
    Demand {
        no,
        digest: RequestDigest(no),
        service: Service::from("engine"),
        route: "review".into(),
        organisation: Organisation::from(organisation),
        arrived: now,
        target: now + TARGET,
        deadline: now + Millis(10_000),
        prompt: parts.into(),
        expected_output: 200,
        avoid: Vec::new(),
        is_repeat: false,
        may_repeat: true,
        is_resumption: false,
        version: RequiredVersion::Any,
    }
}
