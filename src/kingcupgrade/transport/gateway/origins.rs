//! Finding out which version began a stream that its caller takes up again.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    time::Duration,
};

use metrics::counter;
use serde::Serialize;
use tokio::{sync::oneshot, time::timeout};

use super::{
    Gateway,
    adapter::{PlatformAdapter, TakenUpStream},
};
use crate::{
    coordination::{fleet::FleetInput, traffic::stream_key},
    core::{Instance, Service, Version},
    protocol::fleet::{OriginRequest, StreamOrigin},
};

/// How long other entries have to answer: a few round trips, and turns on a busy processor.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The questions that other entries have not answered.
pub(super) struct OriginAnswers {
    next: Cell<u64>,
    awaited: RefCell<HashMap<u64, oneshot::Sender<StreamOrigin>>>,
}

impl OriginAnswers {
    /// Creates the answers of a process, whose questions count from a random number: an answer to
    /// the previous process may still arrive, and is about another stream.
    pub(super) fn new(first: u64) -> OriginAnswers {
        OriginAnswers { next: Cell::new(first), awaited: RefCell::default() }
    }

    /// Returns what receives the answer to a question.
    fn expect(&self, number: u64) -> oneshot::Receiver<StreamOrigin> {
        let (tx, rx) = oneshot::channel();
        let mut awaited = self.awaited.borrow_mut();
        // Callers that have left await nothing any more.
        awaited.retain(|_, tx| !tx.is_closed());
        awaited.insert(number, tx);
        rx
    }
}

/// The fields of the log line for a stream that its caller takes up again.
#[derive(Serialize)]
struct TakenUpLine<'a> {
    request: Option<&'a str>,
    begun_by: Option<&'a str>,
    last_event: Option<u64>,
    /// The service and the version that began the stream; `None` if unknown.
    origin: Option<(&'a Service, Option<&'a Version>)>,
    /// Whether the stream itself is known. Otherwise its service had only this version.
    is_recorded: bool,
    /// Whether other entries had to be asked.
    has_asked: bool,
}

impl<E: PlatformAdapter> Gateway<E> {
    /// Returns where a stream began that the request with this id takes up. `service` is the only
    /// service that may have begun it, if there is just one.
    pub(super) async fn find_origin(
        &self,
        request_id: Option<&str>,
        stream: &TakenUpStream,
        service: Option<&Service>,
    ) -> StreamOrigin {
        let number = self.origin_answers.next.get();
        self.origin_answers.next.set(number.wrapping_add(1));
        let question = OriginRequest {
            number,
            stream: stream.begun_by.as_deref().map(stream_key),
            service: service.cloned(),
        };
        let own = self.traffic.borrow().origin(self.now(), &question);
        let is_alone = self.traffic.borrow().entry_count() == 1;
        let is_decided =
            own.is_recorded() || is_alone || question.stream.is_none() && own.is_known();
        let origin = if is_decided { own } else { self.ask_origin(question).await };
        let outcome = if origin.is_known() { "found" } else { "unknown" };
        counter!("kingcup_streams_taken_up", "origin" => outcome).increment(1);
        self.decisions.taken_up(&TakenUpLine {
            request: request_id,
            begun_by: stream.begun_by.as_deref(),
            last_event: stream.last_event,
            origin: match &origin {
                StreamOrigin::Begun { service, version, .. } => Some((service, version.as_ref())),
                StreamOrigin::Unknown => None,
            },
            is_recorded: origin.is_recorded(),
            has_asked: !is_decided,
        });
        origin
    }

    async fn ask_origin(&self, question: OriginRequest) -> StreamOrigin {
        let number = question.number;
        let rx = self.origin_answers.expect(number);
        self.fleet.send(FleetInput::AskOrigin(question.clone()));
        let answer = timeout(ANSWER_TIMEOUT, rx).await;
        self.origin_answers.awaited.borrow_mut().remove(&number);
        match answer {
            Ok(Ok(origin)) if origin.is_known() => origin,
            // A report that names the stream may have arrived meanwhile.
            Ok(Ok(_)) => self.traffic.borrow().origin(self.now(), &question),
            // Others may know the stream, and have seen versions that this entry has not seen yet.
            _ => self.traffic.borrow().recorded_origin(&question),
        }
    }

    pub(super) fn on_origin_found(&self, number: u64, origin: StreamOrigin) {
        if let Some(tx) = self.origin_answers.awaited.borrow_mut().remove(&number) {
            // Sending fails if the caller has disconnected.
            let _ = tx.send(origin);
        }
    }

    pub(super) fn answer_origin_request(&self, from: Instance, request: &OriginRequest) {
        let origin = self.traffic.borrow().origin(self.now(), request);
        self.fleet.send(FleetInput::SendOrigin(from, request.number, origin));
    }
}
