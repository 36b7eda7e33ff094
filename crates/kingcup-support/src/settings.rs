//! Settings for tests that drive state machines without I/O.

use kingcupgrade::core::{Millis, fleet::FleetSettings, settings::Role};

/// Returns the settings of an entry of a self-discovering fleet; nothing listens on its ports.
///
/// # Panics
///
/// Never: the address is a valid literal.
pub fn fleet_settings() -> FleetSettings {
    FleetSettings {
        ip: "127.0.0.1".parse().expect("a valid address"),
        role: Role::Entry,
        failure_domain: "north".into(),
        entry_port: 1,
        control_port: 2,
        seeds: Vec::new(),
        caller_address: None,
        ready_address: None,
        operator_address: None,
        listing_address: None,
        metrics_address: None,
        listing_rate: 1.0,
        data: None,
        is_first_start: false,
        tolerated_failures: 1,
        grace: Millis(8_000),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        retry_window: Millis(10_000),
        exposed_fraction: 0.1,
        exposed_slack: 50.0,
        max_sockets: 100,
        memory_limit: None,
        ends_beyond_memory: false,
    }
}
