//! Reconciles the engines of one pool with the orders in the record.
//!
//! Only the holder of the pool's lease sends orders, and only while the rest of its lease is longer
//! than an attempt can take. That is not enough for an engine that ignores fencing numbers: an
//! order of an earlier holder may be delayed in the network and arrive after a later one. The
//! setups of the engines are therefore polled, and an engine whose setup differs from its order is
//! sent the order again. An engine that checks fencing numbers refuses the delayed order and is not
//! affected.
//!
//! An engine gets no new requests from the time its setup is due to change. The order is sent once
//! it runs no requests, and afterwards it is treated as cold. One engine per pool changes at a
//! time, so that a model that can't be loaded takes only one engine out of service.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{decision::Decision, lease::LEASE_DURATION};
use crate::{
    core::{Millis, Service, UpstreamName},
    protocol::order::{EngineSetup, Setup, UpstreamOrder},
};

/// The timeout of a request to an engine.
pub const RESPONSE_TIMEOUT: Millis = Millis(800);
/// The minimum time that must be left of the lease when an order is sent.
const MIN_LEASE_LEFT: Millis = Millis(1_000);
/// A new lease holder sends no orders for this long. Orders of the previous holder have arrived by
/// then; one that is delayed longer is found by polling.
const NEW_HOLDER_DELAY: Millis = LEASE_DURATION;
/// The polling interval of an engine that is changing.
const CHANGING_INTERVAL: Millis = Millis(250);
/// The polling interval of an engine whose setup matches its order.
const APPLIED_INTERVAL: Millis = Millis(5_000);
/// The delay before a retry after an engine refused or did not answer.
const RETRY_DELAY: Millis = Millis(1_000);
/// A request without a result for this long is abandoned: the thread that sent it has ended.
const ABANDON_AFTER: Millis = Millis(3_000);

/// Identifies a request to an engine. The term distinguishes requests of different lease holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequestId {
    /// The service of the pool.
    pub service: Service,
    /// The engine.
    pub upstream: UpstreamName,
    /// The term of the lease.
    pub term: u64,
    /// The number of the request within the term.
    pub number: u64,
}

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// The request's identifier.
    pub id: EngineRequestId,
    /// The engine's address.
    pub address: SocketAddr,
    /// The order to send; `None` to read the setup.
    pub order: Option<UpstreamOrder>,
    /// The time after which the order must not be sent any more.
    pub until: Millis,
}

/// The result of a request to an engine.
#[derive(Clone, Debug)]
pub enum EngineResponse {
    /// The engine's setup.
    Setup(EngineSetup),
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a higher fencing number.
    Outdated,
    /// The engine does not support orders.
    Unsupported,
    /// The engine refused or did not answer.
    Failed(String),
}

/// An action the caller must carry out.
#[derive(Clone, Debug)]
pub enum OrderOutput {
    /// Send a request to an engine.
    Request(EngineRequest),
    /// The set of engines that may get no new requests changed; see [`OrderReconciler::held`].
    HeldChanged,
    /// An engine's setup has changed, and it is cold.
    Changed(UpstreamName),
    /// Log a decision.
    Decided(Decision),
}

/// The progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The engine's setup has not been read.
    Unread,
    /// The engine's setup differs from the order; another engine may have to change first.
    Waiting,
    /// The engine gets no new requests and is finishing those it runs.
    Draining,
    /// The engine accepted the order and is not ready.
    Changing,
    /// The engine's setup matches the order.
    Applied,
    /// The engine does not support orders.
    Unsupported,
}

impl Stage {
    fn as_str(self) -> &'static str {
        match self {
            Stage::Unread => "not read yet",
            Stage::Waiting => "waiting for its turn",
            Stage::Draining => "finishing its requests",
            Stage::Changing => "changing",
            Stage::Applied => "as ordered",
            Stage::Unsupported => "does not take orders",
        }
    }

    /// Returns whether the engine's setup is about to change or changing.
    fn is_change(self) -> bool {
        matches!(self, Stage::Draining | Stage::Changing)
    }
}

#[derive(Clone, Debug)]
struct Progress {
    index: u64,
    setup: Setup,
    stage: Stage,
    next_request_at: Millis,
    /// The number of the outstanding request and when it was sent.
    outstanding: Option<(u64, Millis)>,
    failure: Option<String>,
}

/// The state of an engine that has an order.
#[derive(Clone, Debug)]
pub struct EngineState<'a> {
    /// The order in force.
    pub order: &'a UpstreamOrder,
    /// The engine's address.
    pub address: SocketAddr,
    /// Whether it is certain to run no requests.
    pub is_idle: bool,
    /// Whether it has asked for no requests for some time.
    pub backs_off: bool,
}

/// Reconciles the engines of one pool with their orders while the pool's lease is held.
#[derive(Clone, Debug)]
pub struct OrderReconciler {
    service: Service,
    term: u64,
    lease_began: Millis,
    engines: BTreeMap<UpstreamName, Progress>,
    /// The held engines at the last [`OrderOutput::HeldChanged`].
    notified: BTreeSet<UpstreamName>,
    next_request: u64,
}

impl OrderReconciler {
    /// Creates the reconciler of a holder whose lease began at `now`.
    pub fn new(now: Millis, service: Service, term: u64) -> OrderReconciler {
        OrderReconciler {
            service,
            term,
            lease_began: now,
            engines: BTreeMap::new(),
            notified: BTreeSet::new(),
            next_request: 1,
        }
    }

    /// Returns the engines that may get no new requests.
    pub fn held(&self) -> impl Iterator<Item = &UpstreamName> {
        let is_held = |progress: &Progress| {
            progress.stage.is_change() || progress.setup.drained == Some(true)
        };
        self.engines.iter().filter(move |(_, progress)| is_held(progress)).map(|(name, _)| name)
    }

    /// Returns the fencing number of each order and a readable description of its progress.
    pub fn stages(&self) -> impl Iterator<Item = (&UpstreamName, u64, String)> {
        self.engines.iter().map(|(name, progress)| {
            let stage = progress.stage.as_str();
            let failure = progress.failure.as_ref();
            let text = failure.map_or_else(|| stage.to_owned(), |err| format!("{stage}: {err}"));
            (name, progress.index, text)
        })
    }

    /// Advances the orders; `engines` are the listed engines that have an order, and the lease is
    /// held until `lease_until`.
    pub fn tick<'a>(
        &mut self,
        now: Millis,
        lease_until: Millis,
        engines: impl IntoIterator<Item = EngineState<'a>>,
        out: &mut Vec<OrderOutput>,
    ) {
        let engines: Vec<EngineState<'_>> = engines.into_iter().collect();
        self.engines.retain(|name, _| engines.iter().any(|e| e.order.upstream == *name));
        for engine in &engines {
            self.accept_order(now, engine.order);
        }
        let may_order =
            now >= self.lease_began + NEW_HOLDER_DELAY && lease_until >= now + MIN_LEASE_LEFT;
        for engine in engines {
            self.step(now, may_order, &engine, out);
        }
        self.notify_held(out);
    }

    /// Emits [`OrderOutput::HeldChanged`] if the set of held engines has changed.
    fn notify_held(&mut self, out: &mut Vec<OrderOutput>) {
        if self.held().eq(&self.notified) {
            return;
        }
        self.notified = self.held().cloned().collect();
        out.push(OrderOutput::HeldChanged);
    }

    fn accept_order(&mut self, now: Millis, order: &UpstreamOrder) {
        let known = self.engines.get_mut(&order.upstream);
        if known.as_ref().is_some_and(|progress| progress.index >= order.index) {
            return;
        }
        let mut progress = Progress {
            index: order.index,
            setup: order.setup.clone(),
            stage: Stage::Unread,
            next_request_at: now,
            outstanding: None,
            failure: None,
        };
        // An engine that may be changing under the previous order still gets no new requests.
        if known.is_some_and(|before| before.stage.is_change()) {
            progress.stage = Stage::Draining;
        }
        self.engines.insert(order.upstream.clone(), progress);
    }

    fn step(
        &mut self,
        now: Millis,
        may_order: bool,
        engine: &EngineState<'_>,
        out: &mut Vec<OrderOutput>,
    ) {
        let name = &engine.order.upstream;
        let another_changes =
            self.engines.iter().any(|(other, p)| other != name && p.stage.is_change());
        let Some(progress) = self.engines.get_mut(name) else { return };
        if progress.outstanding.is_some_and(|(_, at)| now.since(at) > ABANDON_AFTER) {
            progress.outstanding = None;
        }
        if progress.outstanding.is_some() || now < progress.next_request_at || engine.backs_off {
            return;
        }
        match progress.stage {
            Stage::Unsupported => {}
            Stage::Waiting if another_changes || !may_order => {}
            Stage::Waiting => {
                progress.stage = Stage::Draining;
                self.log_stage(name, out);
            }
            Stage::Draining if !may_order || !engine.is_idle => {}
            Stage::Draining => self.send(now, engine, true, out),
            Stage::Unread | Stage::Changing | Stage::Applied => self.send(now, engine, false, out),
        }
    }

    fn send(
        &mut self,
        now: Millis,
        engine: &EngineState<'_>,
        is_order: bool,
        out: &mut Vec<OrderOutput>,
    ) {
        let number = self.next_request;
        self.next_request += 1;
        let upstream = engine.order.upstream.clone();
        if let Some(progress) = self.engines.get_mut(&upstream) {
            progress.outstanding = Some((number, now));
        }
        let id =
            EngineRequestId { service: self.service.clone(), upstream, term: self.term, number };
        let order = is_order.then(|| engine.order.clone());
        let until = now + MIN_LEASE_LEFT.since(RESPONSE_TIMEOUT);
        out.push(OrderOutput::Request(EngineRequest { id, address: engine.address, order, until }));
    }

    /// Handles the result of a request to an engine.
    pub fn on_response(
        &mut self,
        now: Millis,
        id: &EngineRequestId,
        response: EngineResponse,
        out: &mut Vec<OrderOutput>,
    ) {
        let Some(progress) = self.engines.get_mut(&id.upstream) else { return };
        if id.term != self.term
            || progress.outstanding.is_none_or(|(number, _)| number != id.number)
        {
            // The request belongs to another order or another lease holder.
            return;
        }
        progress.outstanding = None;
        progress.failure = None;
        let before = progress.stage;
        match response {
            EngineResponse::Setup(setup) => {
                let (stage, delay) = match (setup.matches(&progress.setup), setup.ready) {
                    (true, true) => (Stage::Applied, APPLIED_INTERVAL),
                    (true, false) => (Stage::Changing, CHANGING_INTERVAL),
                    // The engine left its ordered setup. Its answers may come from another model,
                    // so it gets no new requests and does not wait for other engines to change.
                    (false, _) if before == Stage::Changing || before == Stage::Applied => {
                        (Stage::Draining, Millis::ZERO)
                    }
                    (false, _) => (Stage::Waiting, Millis::ZERO),
                };
                progress.stage = stage;
                progress.next_request_at = now + delay;
                if before.is_change() && stage == Stage::Applied {
                    out.push(OrderOutput::Changed(id.upstream.clone()));
                }
            }
            EngineResponse::Accepted => {
                progress.stage = Stage::Changing;
                progress.next_request_at = now;
            }
            EngineResponse::Outdated => {
                // A newer order is in force that has not reached this instance yet.
                progress.stage = Stage::Unread;
                progress.next_request_at = now + RETRY_DELAY;
                progress.failure = Some("the engine has seen a newer order".to_owned());
            }
            EngineResponse::Unsupported => progress.stage = Stage::Unsupported,
            EngineResponse::Failed(err) => {
                progress.next_request_at = now + RETRY_DELAY;
                progress.failure = Some(err);
            }
        }
        if progress.stage != before || progress.failure.is_some() {
            self.log_stage(&id.upstream, out);
        }
        self.notify_held(out);
    }

    fn log_stage(&self, upstream: &UpstreamName, out: &mut Vec<OrderOutput>) {
        let Some(progress) = self.engines.get(upstream) else { return };
        out.push(OrderOutput::Decided(Decision::Order {
            service: self.service.clone(),
            upstream: upstream.clone(),
            number: progress.index,
            stage: progress.stage.as_str(),
            failure: progress.failure.clone(),
        }));
    }
}
