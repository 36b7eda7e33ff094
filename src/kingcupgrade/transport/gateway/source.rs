//! An upstream's streamed response, read event by event.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Incoming, SizeHint};

use super::{
    adapter::PlatformAdapter,
    events::{EventSplitter, Events},
    pool::Connection,
    race::Contender,
    request::{AttemptGuard, UpstreamResponse},
};
use crate::core::{UpstreamName, Version};

/// An upstream's response whose events are read.
pub(super) struct Source<E: PlatformAdapter> {
    body: Incoming,
    connection: Connection,
    attempt: AttemptGuard<E>,
    /// The version of the upstream's software, if known.
    version: Option<Version>,
    splitter: EventSplitter,
}

/// What a response brings that its caller is waiting for.
pub(super) enum Delivery {
    Events(Events),
    /// The end of the whole stream.
    End,
}

/// How a response ends early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Interruption {
    /// The upstream has closed the connection.
    Closed,
    /// The upstream has sent this many bytes of an event without its end.
    EventTooLong(usize),
}

impl<E: PlatformAdapter> UpstreamResponse<E> {
    /// Returns the head, the rest to be read, and the attempts that go on beside it.
    pub(super) fn into_source(self) -> (http::response::Parts, Source<E>, Vec<Contender<E>>) {
        let UpstreamResponse { head, body, connection, attempt, version, rivals } = self;
        let splitter = EventSplitter::default();
        (head, Source { body, connection, attempt, version, splitter }, rivals)
    }
}

impl<E: PlatformAdapter> Source<E> {
    /// Reads the next events, or the end of the stream; not to be polled again after an error.
    ///
    /// # Errors
    ///
    /// Returns how the response ends if it ends early.
    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Delivery, Interruption>> {
        loop {
            let Some(data) = ready!(self.poll_data(cx))? else {
                return Poll::Ready(Ok(Delivery::End));
            };
            if let Some(events) = self.splitter.push(&data) {
                return Poll::Ready(Ok(Delivery::Events(events)));
            }
            if self.splitter.is_too_long() {
                let len = self.splitter.pending();
                return Poll::Ready(Err(Interruption::EventTooLong(len)));
            }
        }
    }

    /// Reads bytes; `None` at the end of the stream.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Interruption>> {
        let Source { body, connection, splitter, .. } = self;
        loop {
            let frame = ready!(connection.poll_for(cx, |cx| Pin::new(&mut *body).poll_frame(cx)));
            return Poll::Ready(match frame.transpose() {
                Ok(Some(frame)) => match frame.into_data() {
                    Ok(data) => Ok(Some(data)),
                    Err(_) => continue,
                },
                Ok(None) if splitter.pending() == 0 => Ok(None),
                Ok(None) | Err(_) => Err(Interruption::Closed),
            });
        }
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// Returns the version of the upstream's software, if known.
    pub(super) fn version(&self) -> Option<&Version> {
        self.version.as_ref()
    }

    /// Returns the upstream, if it is known.
    pub(super) fn upstream(&self) -> Option<UpstreamName> {
        self.attempt.upstream()
    }

    pub(super) fn attempt(&self) -> &AttemptGuard<E> {
        &self.attempt
    }

    /// Closes the connection, and returns the attempt, which remains to be ended.
    pub(super) fn into_attempt(self) -> AttemptGuard<E> {
        self.attempt
    }

    /// Returns the attempt and the connection of a response that has been read to its end.
    pub(super) fn into_parts(self) -> (AttemptGuard<E>, Connection) {
        (self.attempt, self.connection)
    }
}
