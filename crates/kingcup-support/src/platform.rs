//! A fake platform, which lists upstreams and reports their leaving late.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use kingcupgrade::{
    core::Version,
    transport::{
        http::{self, Request, ServerResponse},
        platform::{ListedLoad, ListedUpstream},
    },
};

use crate::{ANY_PORT, engine::Engine, plain_service::PlainService};

/// The fake behind a listed upstream.
#[derive(Clone)]
pub enum FakeUpstream {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Plain(PlainService),
}

impl FakeUpstream {
    fn load(&self) -> Option<ListedLoad> {
        match self {
            FakeUpstream::Engine(engine) => engine.report(),
            FakeUpstream::Plain(_) => Some(ListedLoad { running: 0, warm: true, age_ms: 0 }),
        }
    }

    fn incarnation(&self) -> u64 {
        match self {
            FakeUpstream::Engine(engine) => engine.incarnation(),
            FakeUpstream::Plain(_) => 1,
        }
    }
}

#[derive(Clone)]
struct ListItem {
    name: String,
    service: String,
    domain: String,
    address: SocketAddr,
    upstream: FakeUpstream,
    /// When it began to leave.
    leaving: Option<Instant>,
    version: Option<String>,
}

/// A running fake platform.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    items: Arc<Mutex<Vec<ListItem>>>,
    /// Entries of other writers, as they are sent.
    foreign: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Platform {
    /// Starts a platform whose list shows that an upstream is leaving only after `lag`.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be bound.
    pub fn start(lag: Duration) -> Platform {
        let items: Arc<Mutex<Vec<ListItem>>> = Arc::default();
        let foreign: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
        let (listed, others) = (items.clone(), foreign.clone());
        // This is short and does not block, so it runs on the server's thread.
        let serve = move |request: Request| {
            let foreign = others.lock().expect("platform list").clone();
            let own = list(&listed, lag, request.url()).into_iter().map(String::into_bytes);
            let entries: Vec<Vec<u8>> = foreign.into_iter().chain(own).collect();
            let list = [&b"["[..], &entries.join(&b','), b"]"].concat();
            request.respond(ServerResponse::new(200, "application/json", list));
        };
        let server = http::start("platform", ANY_PORT.into(), serve).expect("a free port");
        Platform { address: server.address(), items, foreign }
    }

    /// Lists an entry of another writer before all others, in each answer.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn add_foreign(&self, entry: impl Into<Vec<u8>>) {
        self.foreign.lock().expect("platform list").push(entry.into());
    }

    /// Returns the URL of the upstream list.
    pub fn url(&self) -> String {
        format!("http://{}/upstreams", self.address)
    }

    /// Lists an upstream at `address`, which can be the address of a proxy to `upstream`.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn add(
        &self,
        name: &str,
        service: &str,
        domain: &str,
        address: SocketAddr,
        upstream: FakeUpstream,
    ) {
        let item = ListItem {
            name: name.to_owned(),
            service: service.to_owned(),
            domain: domain.to_owned(),
            address,
            upstream,
            leaving: None,
            version: None,
        };
        self.items.lock().expect("platform list").push(item);
    }

    /// Sets the version of an upstream's software.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn set_version(&self, name: &str, version: &str) {
        let mut items = self.items.lock().expect("platform list");
        for item in items.iter_mut().filter(|item| item.name == name) {
            item.version = Some(version.to_owned());
        }
    }

    /// Removes an upstream from the list.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn remove(&self, name: &str) {
        self.items.lock().expect("platform list").retain(|item| item.name != name);
    }

    /// Marks an upstream as leaving.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn leave(&self, name: &str) {
        let mut items = self.items.lock().expect("platform list");
        for item in items.iter_mut().filter(|item| item.name == name) {
            item.leaving = Some(Instant::now());
        }
    }
}

/// Returns the upstreams that match the `service` and `failure_domain` of a URL's query, each as
/// JSON.
fn list(items: &Mutex<Vec<ListItem>>, lag: Duration, url: &str) -> Vec<String> {
    let query_value = |name: &str| {
        let query = url.split('?').nth(1).unwrap_or("");
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    };
    let (service, domain) = (query_value("service"), query_value("failure_domain"));
    let items = items.lock().expect("platform list").clone();
    let listed = items.iter().filter(|item| {
        service.as_ref().is_none_or(|s| *s == item.service)
            && domain.as_ref().is_none_or(|d| *d == item.domain)
    });
    let listed = listed
        .map(|item| ListedUpstream {
            name: item.name.as_str().into(),
            address: item.address,
            leaving: item.leaving.is_some_and(|since| since.elapsed() >= lag),
            incarnation: item.upstream.incarnation(),
            load: item.upstream.load(),
            version: item.version.as_deref().map(Version::from),
        })
        .map(|listed| serde_json::to_string(&listed).expect("an upstream can be serialized"));
    listed.collect()
}
