//! Polling of the platform's list of upstreams.
//!
//! The list is eventually consistent. While the platform can't be reached, the last list stays in
//! force: an upstream that has stopped is detected by its refused connections, and all others
//! continue to serve.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use anyhow::Context;
use serde::{Deserialize, Serialize};

use super::{Event, answer_head};
use crate::{
    coordination::{
        dispatcher::slots::{Listed, LoadReport},
        node::Input,
    },
    core::{FailureDomain, MAX_CONCURRENCY, Service, UpstreamName, Version},
    util::{json::read_list, log, process},
};

/// The pause between two polls of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// The timeout of a request to the platform.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An upstream, as listed by the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// The upstream's name.
    pub name: UpstreamName,
    /// The address on which the upstream listens.
    pub address: SocketAddr,
    /// Whether the upstream is about to shut down.
    #[serde(default)]
    pub leaving: bool,
    /// A number that changes with every start of the upstream's process.
    #[serde(default)]
    pub incarnation: u64,
    /// The upstream's latest load report.
    #[serde(default)]
    pub load: Option<ListedLoad>,
    /// The version of the upstream's software.
    #[serde(default)]
    pub version: Option<Version>,
}

/// An upstream's load report, as forwarded by the platform.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ListedLoad {
    /// The number of running requests.
    pub running: u32,
    /// Whether the upstream can take its full load.
    pub warm: bool,
    /// The age of the report in milliseconds.
    pub age_ms: u64,
}

/// The maximum length of the list, in bytes.
const MAX_LIST_LEN: u64 = 4 << 20;

/// The services whose upstreams are polled.
pub type WatchedServices = Arc<Mutex<BTreeSet<Service>>>;

/// Starts the thread that polls the list.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn start(
    url: String,
    domain: FailureDomain,
    watched: WatchedServices,
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
    let mut response = agent.get(url).call()?;
    answer_head::check(response.status(), response.version(), response.headers())?;
    let body = response.body_mut().with_config().limit(MAX_LIST_LEN).read_to_vec()?;
    let read = read_list::<ListedUpstream>(&body).context("the body is not a list")?;
    if read.unreadable > 0 {
        log::warning("listing-entries-unreadable", &read.unreadable);
    }
    anyhow::ensure!(read.rest.is_some(), "the list has no end");
    Ok(read.elements.into_iter().map(into_listed).collect())
}

fn into_listed(listed: ListedUpstream) -> Listed {
    let report = listed
        .load
        .filter(|load| load.running <= MAX_CONCURRENCY)
        .map(|load| LoadReport { running: load.running, warm: load.warm, age_ms: load.age_ms });
    Listed {
        upstream: listed.name,
        address: listed.address,
        leaving: listed.leaving,
        incarnation: listed.incarnation,
        report,
        version: listed.version,
    }
}
