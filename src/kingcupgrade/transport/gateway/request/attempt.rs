//! Registration of an attempt to serve a request with the scheduler.

use std::{cell::Cell, rc::Rc};

use hyper::body::Incoming;
use metrics::counter;

use crate::{
    coordination::traffic::{RequestNo, SendEnd},
    core::{UpstreamName, Version},
    transport::gateway::{
        Gateway, adapter::PlatformAdapter, decisions::DisconnectLine, end_check::end_of_closed,
        pool::Connection, race::Contender,
    },
};

/// Keeps an attempt registered with the scheduler while it is queued or running; dropping the guard
/// cancels the attempt.
pub(in crate::transport::gateway) struct AttemptGuard<E: PlatformAdapter> {
    gateway: Rc<Gateway<E>>,
    request_id: Option<String>,
    pub(super) no: RequestNo,
    is_open: bool,
    /// How the attempt ends if the guard is dropped.
    end_on_drop: Rc<Cell<SendEnd>>,
}

impl<E: PlatformAdapter> AttemptGuard<E> {
    pub(super) fn new(gateway: Rc<Gateway<E>>, request_id: Option<String>) -> AttemptGuard<E> {
        let no = gateway.next_request.get();
        gateway.next_request.set(no + 1);
        let end_on_drop = Rc::new(Cell::new(SendEnd::Cancelled));
        AttemptGuard { gateway, request_id, no, is_open: true, end_on_drop }
    }

    /// Returns where to set how the attempt ends if the guard is dropped.
    pub(super) fn end_on_drop(&self) -> Rc<Cell<SendEnd>> {
        self.end_on_drop.clone()
    }

    /// Returns the upstream that the request was sent to.
    pub(in crate::transport::gateway) fn upstream(&self) -> Option<UpstreamName> {
        self.gateway.traffic.borrow().upstream_of_sent(self.no).cloned()
    }

    /// Reports how the attempt ended.
    pub(in crate::transport::gateway) fn end(mut self, end: SendEnd) {
        self.close(end);
    }

    /// Reports that the upstream closed the connection, once it is known whether it has ended.
    pub(in crate::transport::gateway) async fn end_closed(self) {
        // The upstream closed it first, also if the caller leaves meanwhile.
        self.end_on_drop.set(SendEnd::Disconnected);
        let address = self.gateway.traffic.borrow().address_of_sent(self.no);
        let end = match address {
            Some(address) => end_of_closed(address).await,
            None => SendEnd::Disconnected,
        };
        self.end(end);
    }

    fn close(&mut self, end: SendEnd) {
        if std::mem::take(&mut self.is_open) {
            counter!("kingcup_attempts", "end" => end.as_str()).increment(1);
            let now = self.gateway.now();
            let disconnect = self.gateway.traffic.borrow_mut().on_end(now, self.no, end);
            if let Some(disconnect) = disconnect {
                let request = self.request_id.as_deref();
                self.gateway.decisions.disconnected(&DisconnectLine {
                    request,
                    end: end.as_str(),
                    disconnect,
                });
            }
            self.gateway.poll_waiting();
        }
    }

    /// Reports that the head of the answer has arrived.
    pub(super) fn on_head(&self) {
        self.gateway.traffic.borrow_mut().on_head(self.no);
    }

    /// Reports events that have arrived, and the number of tokens in them.
    pub(in crate::transport::gateway) fn on_events(&self, tokens: u32) {
        let now = self.gateway.now();
        let mut traffic = self.gateway.traffic.borrow_mut();
        traffic.on_first_event(now, self.no);
        traffic.on_tokens(now, self.no, tokens);
    }
}

impl<E: PlatformAdapter> Drop for AttemptGuard<E> {
    fn drop(&mut self) {
        if self.is_open {
            self.gateway.traffic.borrow_mut().cancel_waiting(self.no);
            self.gateway.waiting.borrow_mut().remove(&self.no);
            self.close(self.end_on_drop.get());
        }
    }
}

/// An upstream's response of which the head has arrived.
pub(in crate::transport::gateway) struct UpstreamResponse<E: PlatformAdapter> {
    pub(in crate::transport::gateway) head: http::response::Parts,
    pub(in crate::transport::gateway) body: Incoming,
    pub(in crate::transport::gateway) connection: Connection,
    pub(in crate::transport::gateway) attempt: AttemptGuard<E>,
    /// The version of the upstream's software, if known.
    pub(in crate::transport::gateway) version: Option<Version>,
    /// Other attempts at the request that are under way, as one of the upstreams was silent.
    pub(in crate::transport::gateway) rivals: Vec<Contender<E>>,
}
