//! Carrying out orders to the engines of one pool.
//!
//! Only the holder of the pool's lease orders, and only while its lease surely outlasts the
//! attempt. That alone is not enough for an engine that ignores fencing numbers: an order of an
//! earlier holder may be held up in the network and arrive after a later one. Engines are
//! therefore read back again and again, and one that is not as the record wants it is ordered
//! anew. An engine that checks numbers refuses the late order by itself.
//!
//! An engine gets no new requests from the moment its setup is about to change; it is ordered when
//! it runs nothing any more; and it comes back as a cold one. In each pool one engine at a time
//! changes, so that a model that can't be loaded costs one engine and not all.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{decision::Decision, lease::LEASE_DURATION};
use crate::{
    core::{Millis, Service, UpstreamName},
    protocol::order::{EngineSetup, Setup, UpstreamOrder},
};

/// How long an engine may take to answer.
pub const ANSWER_TIME: Millis = Millis(800);
/// An order is sent only while the lease has this much left.
const LEASE_LEFT: Millis = Millis(1_000);
/// A new holder orders nothing for this long; orders of the one before have arrived by then, or
/// are found by reading back.
const QUIET: Millis = LEASE_DURATION;
/// How often an engine that changes is read back.
const CHANGING_INTERVAL: Millis = Millis(250);
/// How often an engine that is as wanted is read back.
const SETTLED_INTERVAL: Millis = Millis(5_000);
/// The pause after an engine did not answer or refused.
const RETRY_PAUSE: Millis = Millis(1_000);
/// An answer that has not come by now never will: its thread is gone.
const LOST_AFTER: Millis = Millis(3_000);

/// Names a question to an engine. The term tells questions of another holder's time apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskId {
    /// The service of the pool.
    pub service: Service,
    /// The engine.
    pub upstream: UpstreamName,
    /// The term of the lease.
    pub term: u64,
    /// The number of the question within the term.
    pub number: u64,
}

/// A question to an engine.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its name.
    pub id: AskId,
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The order to give; `None` to read the setup.
    pub order: Option<UpstreamOrder>,
    /// An order not sent by then is not sent at all.
    pub until: Millis,
}

/// What an engine answered.
#[derive(Clone, Debug)]
pub enum EngineAnswer {
    /// Its setup.
    Setup(EngineSetup),
    /// It took the order.
    Accepted,
    /// It has seen a higher fencing number.
    Outdated,
    /// It does not know of orders.
    Unsupported,
    /// It did not answer, or refused.
    Failed(String),
}

/// What the book wants done.
#[derive(Clone, Debug)]
pub enum OrderOutput {
    /// Ask an engine.
    Ask(Ask),
    /// Other engines than before may get no new requests; see [`OrderBook::held`].
    HeldChanged,
    /// An engine has changed and is cold.
    Changed(UpstreamName),
    /// Log a decision.
    Decided(Decision),
}

/// How far an order is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The engine has not been read.
    Unread,
    /// The engine is not as wanted and waits for its turn.
    Waiting,
    /// The engine gets nothing new and is waited for.
    Emptying,
    /// The engine took the order and is not ready.
    Changing,
    /// The engine is as wanted.
    Settled,
    /// The engine does not know of orders.
    Unsupported,
}

impl Stage {
    fn as_str(self) -> &'static str {
        match self {
            Stage::Unread => "not read yet",
            Stage::Waiting => "waiting for its turn",
            Stage::Emptying => "finishing its requests",
            Stage::Changing => "changing",
            Stage::Settled => "as ordered",
            Stage::Unsupported => "does not take orders",
        }
    }

    /// Tells whether an engine's setup is under way to another.
    fn is_change(self) -> bool {
        matches!(self, Stage::Emptying | Stage::Changing)
    }
}

#[derive(Clone, Debug)]
struct Progress {
    index: u64,
    setup: Setup,
    stage: Stage,
    next: Millis,
    /// The open question and when it was asked.
    asked: Option<(u64, Millis)>,
    failure: Option<String>,
}

/// What the book needs to know of an engine to order it.
#[derive(Clone, Debug)]
pub struct EngineState<'a> {
    /// The order that stands.
    pub order: &'a UpstreamOrder,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it surely runs nothing.
    pub is_idle: bool,
}

/// The orders of one pool, while its lease is held.
#[derive(Clone, Debug)]
pub struct OrderBook {
    service: Service,
    term: u64,
    born: Millis,
    engines: BTreeMap<UpstreamName, Progress>,
    /// The held engines as last told of.
    told: BTreeSet<UpstreamName>,
    next_ask: u64,
}

impl OrderBook {
    /// Makes the book of a holder whose lease began at `now`.
    pub fn new(now: Millis, service: Service, term: u64) -> OrderBook {
        OrderBook {
            service,
            term,
            born: now,
            engines: BTreeMap::new(),
            told: BTreeSet::new(),
            next_ask: 1,
        }
    }

    /// Lists the engines that may get no new requests.
    pub fn held(&self) -> impl Iterator<Item = &UpstreamName> {
        let is_held = |progress: &Progress| {
            progress.stage.is_change() || progress.setup.drained == Some(true)
        };
        self.engines.iter().filter(move |(_, progress)| is_held(progress)).map(|(name, _)| name)
    }

    /// Tells how far each order is carried out: its number, and words for people.
    pub fn stages(&self) -> impl Iterator<Item = (&UpstreamName, u64, String)> {
        self.engines.iter().map(|(name, progress)| {
            let stage = progress.stage.as_str();
            let failure = progress.failure.as_ref();
            let text = failure.map_or_else(|| stage.to_owned(), |err| format!("{stage}: {err}"));
            (name, progress.index, text)
        })
    }

    /// Takes the next steps; `engines` are the listed ones with an order standing, and the lease
    /// is held until `lease_until`.
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
            self.take_in(now, engine.order);
        }
        let may_order = now >= self.born + QUIET && lease_until >= now + LEASE_LEFT;
        for engine in engines {
            self.step(now, may_order, &engine, out);
        }
        self.tell_held(out);
    }

    /// Tells of it if other engines are held than were told of last.
    fn tell_held(&mut self, out: &mut Vec<OrderOutput>) {
        if self.held().eq(&self.told) {
            return;
        }
        self.told = self.held().cloned().collect();
        out.push(OrderOutput::HeldChanged);
    }

    fn take_in(&mut self, now: Millis, order: &UpstreamOrder) {
        let known = self.engines.get_mut(&order.upstream);
        if known.as_ref().is_some_and(|progress| progress.index >= order.index) {
            return;
        }
        let mut progress = Progress {
            index: order.index,
            setup: order.setup.clone(),
            stage: Stage::Unread,
            next: now,
            asked: None,
            failure: None,
        };
        // An engine that may be changing under the order before stays without requests.
        if known.is_some_and(|before| before.stage.is_change()) {
            progress.stage = Stage::Emptying;
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
        if progress.asked.is_some_and(|(_, at)| now.since(at) > LOST_AFTER) {
            progress.asked = None;
        }
        if progress.asked.is_some() || now < progress.next {
            return;
        }
        match progress.stage {
            Stage::Unsupported => {}
            Stage::Waiting if another_changes || !may_order => {}
            Stage::Waiting => {
                progress.stage = Stage::Emptying;
                self.decide(name, out);
            }
            Stage::Emptying if !may_order || !engine.is_idle => {}
            Stage::Emptying => self.ask(now, engine, true, out),
            Stage::Unread | Stage::Changing | Stage::Settled => self.ask(now, engine, false, out),
        }
    }

    fn ask(
        &mut self,
        now: Millis,
        engine: &EngineState<'_>,
        is_order: bool,
        out: &mut Vec<OrderOutput>,
    ) {
        let number = self.next_ask;
        self.next_ask += 1;
        let upstream = engine.order.upstream.clone();
        if let Some(progress) = self.engines.get_mut(&upstream) {
            progress.asked = Some((number, now));
        }
        let id = AskId { service: self.service.clone(), upstream, term: self.term, number };
        let order = is_order.then(|| engine.order.clone());
        let until = now + LEASE_LEFT.since(ANSWER_TIME);
        out.push(OrderOutput::Ask(Ask { id, address: engine.address, order, until }));
    }

    /// Handles an engine's answer.
    pub fn on_answer(
        &mut self,
        now: Millis,
        id: &AskId,
        answer: EngineAnswer,
        out: &mut Vec<OrderOutput>,
    ) {
        let Some(progress) = self.engines.get_mut(&id.upstream) else { return };
        if id.term != self.term || progress.asked.is_none_or(|(number, _)| number != id.number) {
            // Asked under another order or by another holder; it says nothing about this one.
            return;
        }
        progress.asked = None;
        progress.failure = None;
        let before = progress.stage;
        match answer {
            EngineAnswer::Setup(setup) => {
                let (stage, pause) = match (setup.matches(&progress.setup), setup.ready) {
                    (true, true) => (Stage::Settled, SETTLED_INTERVAL),
                    (true, false) => (Stage::Changing, CHANGING_INTERVAL),
                    // It was as ordered, or about to be, and strayed: what it answers now may be
                    // of another model, so it gets nothing new and is no longer waited for in turn.
                    (false, _) if before == Stage::Changing || before == Stage::Settled => {
                        (Stage::Emptying, Millis::ZERO)
                    }
                    (false, _) => (Stage::Waiting, Millis::ZERO),
                };
                progress.stage = stage;
                progress.next = now + pause;
                if before.is_change() && stage == Stage::Settled {
                    out.push(OrderOutput::Changed(id.upstream.clone()));
                }
            }
            EngineAnswer::Accepted => {
                progress.stage = Stage::Changing;
                progress.next = now;
            }
            EngineAnswer::Outdated => {
                // A newer order is in force and has not come here yet.
                progress.stage = Stage::Unread;
                progress.next = now + RETRY_PAUSE;
                progress.failure = Some("it has seen a newer order".to_owned());
            }
            EngineAnswer::Unsupported => progress.stage = Stage::Unsupported,
            EngineAnswer::Failed(err) => {
                progress.next = now + RETRY_PAUSE;
                progress.failure = Some(err);
            }
        }
        if progress.stage != before || progress.failure.is_some() {
            self.decide(&id.upstream, out);
        }
        self.tell_held(out);
    }

    fn decide(&self, upstream: &UpstreamName, out: &mut Vec<OrderOutput>) {
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
