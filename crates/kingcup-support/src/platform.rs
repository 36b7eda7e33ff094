//! A stand-in for the platform's lagging list of upstreams.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use kingcupgrade::transport::{
    http::{self, Request, ServerResponse},
    platform::{ListedLoad, ListedUpstream},
};

use crate::{ANY_PORT, engine::Engine, plain::Plain};

/// What runs behind a listed upstream.
#[derive(Clone)]
pub enum Backend {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Plain(Plain),
}

impl Backend {
    fn load(&self) -> Option<ListedLoad> {
        match self {
            Backend::Engine(engine) => engine.report(),
            Backend::Plain(_) => Some(ListedLoad { running: 0, warm: true, age_ms: 0 }),
        }
    }

    fn incarnation(&self) -> u64 {
        match self {
            Backend::Engine(engine) => engine.incarnation(),
            Backend::Plain(_) => 1,
        }
    }
}

#[derive(Clone)]
struct Item {
    name: String,
    service: String,
    domain: String,
    address: SocketAddr,
    backend: Backend,
    /// Since when it is leaving.
    leaving: Option<Instant>,
}

/// A running platform.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    items: Arc<Mutex<Vec<Item>>>,
}

impl Platform {
    /// Starts a platform whose list tells of an upstream's leaving after `lag`.
    ///
    /// # Panics
    ///
    /// Panics if it can't listen.
    pub fn start(lag: Duration) -> Platform {
        let items: Arc<Mutex<Vec<Item>>> = Arc::default();
        let listed = items.clone();
        // Short and without waiting, so that it needs no thread.
        let serve = move |request: Request| {
            let list = list(&listed, lag, request.url());
            request.respond(ServerResponse::new(200, "application/json", list));
        };
        let server = http::start("platform", ANY_PORT.into(), serve).expect("a free port");
        Platform { address: server.address(), items }
    }

    /// Returns the list's URL.
    pub fn url(&self) -> String {
        format!("http://{}/upstreams", self.address)
    }

    /// Lists an upstream at `address`, which may be a proxy's before its backend.
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
        backend: Backend,
    ) {
        let item = Item {
            name: name.to_owned(),
            service: service.to_owned(),
            domain: domain.to_owned(),
            address,
            backend,
            leaving: None,
        };
        self.items.lock().expect("platform list").push(item);
    }

    /// Lets an upstream begin to leave.
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

/// Returns the list a URL asks for, as JSON.
fn list(items: &Mutex<Vec<Item>>, lag: Duration, url: &str) -> String {
    let wanted = |name: &str| {
        let query = url.split('?').nth(1).unwrap_or("");
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    };
    let (service, domain) = (wanted("service"), wanted("failure_domain"));
    let items = items.lock().expect("platform list").clone();
    let listed = items.iter().filter(|item| {
        service.as_ref().is_none_or(|s| *s == item.service)
            && domain.as_ref().is_none_or(|d| *d == item.domain)
    });
    let listed: Vec<ListedUpstream> = listed
        .map(|item| ListedUpstream {
            name: item.name.as_str().into(),
            address: item.address,
            leaving: item.leaving.is_some_and(|since| since.elapsed() >= lag),
            incarnation: item.backend.incarnation(),
            load: item.backend.load(),
        })
        .collect();
    serde_json::to_string(&listed).expect("a list is plain data")
}
