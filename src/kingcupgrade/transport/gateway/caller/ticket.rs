//! A request's place in the decisions.

use std::rc::Rc;

use hyper::body::Incoming;
use metrics::counter;

use crate::{
    coordination::traffic::{RequestNo, SendEnd},
    transport::gateway::{Gateway, edge::Edge, pool::Connection},
};

/// Names the request's place in the decisions for as long as it waits or runs.
pub(in crate::transport::gateway) struct Ticket<E: Edge> {
    gateway: Rc<Gateway<E>>,
    pub(super) no: RequestNo,
    is_open: bool,
}

impl<E: Edge> Ticket<E> {
    pub(super) fn new(gateway: Rc<Gateway<E>>) -> Ticket<E> {
        let no = gateway.next_request.get();
        gateway.next_request.set(no + 1);
        Ticket { gateway, no, is_open: true }
    }

    /// Tells how the request ended.
    pub(in crate::transport::gateway) fn end(mut self, end: SendEnd) {
        self.close(end);
    }

    fn close(&mut self, end: SendEnd) {
        if std::mem::take(&mut self.is_open) {
            counter!("kingcup_attempts", "end" => end.as_str()).increment(1);
            let now = self.gateway.now();
            self.gateway.traffic.borrow_mut().on_end(now, self.no, end);
            self.gateway.poll_waiting();
        }
    }

    pub(in crate::transport::gateway) fn on_events(&self, tokens: u32) {
        let now = self.gateway.now();
        let mut traffic = self.gateway.traffic.borrow_mut();
        traffic.on_first_event(now, self.no);
        traffic.on_tokens(self.no, tokens);
    }
}

impl<E: Edge> Drop for Ticket<E> {
    fn drop(&mut self) {
        if self.is_open {
            self.gateway.traffic.borrow_mut().cancel_waiting(self.no);
            self.gateway.waiting.borrow_mut().remove(&self.no);
            self.close(SendEnd::Cancelled);
        }
    }
}

/// An answer that has begun.
pub(in crate::transport::gateway) struct Begun<E: Edge> {
    pub(in crate::transport::gateway) head: http::response::Parts,
    pub(in crate::transport::gateway) body: Incoming,
    pub(in crate::transport::gateway) connection: Connection,
    pub(in crate::transport::gateway) ticket: Ticket<E>,
}
