//! The platform's list of upstreams, asked for again and again.
//!
//! The list lags. When the platform can't be reached the last list stays in force: an upstream
//! that is gone is found by its refused connections, and all others go on serving.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::Event;
use crate::{
    coordination::{
        dispatcher::slots::{Listed, LoadReport},
        node::Input,
    },
    core::{FailureDomain, Service, UpstreamName},
    util::{log, process},
};

/// How often the list is asked for.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// How long the platform may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// One upstream, as the platform lists it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Its name.
    pub name: UpstreamName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is about to leave.
    #[serde(default)]
    pub leaving: bool,
    /// A number that changes with every start of its process.
    #[serde(default)]
    pub incarnation: u64,
    /// Its latest load report.
    #[serde(default)]
    pub load: Option<ListedLoad>,
}

/// An upstream's load report, as the platform passes it on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ListedLoad {
    /// Requests running.
    pub running: u32,
    /// Whether it can bear its full load.
    pub warm: bool,
    /// How long ago it was made, in milliseconds.
    pub age_ms: u64,
}

/// The services whose upstreams are wanted.
pub type Watched = Arc<Mutex<BTreeSet<Service>>>;

/// Starts the thread that asks.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn start(
    url: String,
    domain: FailureDomain,
    watched: Watched,
    events: mpsc::Sender<Event>,
) -> anyhow::Result<()> {
    let config = ureq::Agent::config_builder().timeout_global(Some(POLL_TIMEOUT)).build();
    let agent = ureq::Agent::new_with_config(config);
    let poll = move || {
        loop {
            let services = watched.lock().expect("no thread panics holding the set").clone();
            for service in services {
                let listing = match fetch(&agent, &url, &service, &domain) {
                    Ok(listing) => listing,
                    Err(err) => {
                        log::warning("platform-unreachable", &err.to_string());
                        continue;
                    }
                };
                if events.send(Event::Input(Input::Listed(service, listing))).is_err() {
                    return;
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    };
    process::spawn_essential("platform", poll)?;
    Ok(())
}

fn fetch(
    agent: &ureq::Agent,
    url: &str,
    service: &Service,
    domain: &FailureDomain,
) -> anyhow::Result<Vec<Listed>> {
    let url = format!("{url}?service={service}&failure_domain={domain}");
    let text = agent.get(url).call()?.body_mut().read_to_string()?;
    let listed: Vec<ListedUpstream> = serde_json::from_str(&text)?;
    Ok(listed.into_iter().map(into_listed).collect())
}

fn into_listed(listed: ListedUpstream) -> Listed {
    let report = listed.load.map(|load| LoadReport {
        running: load.running,
        warm: load.warm,
        age_ms: load.age_ms,
    });
    Listed {
        upstream: listed.name,
        address: listed.address,
        leaving: listed.leaving,
        incarnation: listed.incarnation,
        report,
    }
}
