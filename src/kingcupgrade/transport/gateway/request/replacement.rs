//! Replacement of an attempt whose upstream is silent.
//!
//! Silence alone doesn't show that an upstream hangs: an engine that runs out of memory pauses in
//! the middle of an answer and then goes on. Other upstreams may be full meanwhile, and the place
//! of an attempt that is given up goes to a request that waits. So the silent attempt goes on until
//! another upstream has taken the request.

use std::{
    cell::Cell,
    future::{Future, poll_fn},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::time::{Instant, Sleep, sleep_until};

use super::{ProxiedRequest, UpstreamResponse};
use crate::{
    coordination::traffic::SendEnd,
    core::{Code, Millis, UpstreamName},
    transport::gateway::{adapter::PlatformAdapter, decisions::ReplacementLine},
};

/// The time within which an upstream that takes no more requests turns one away. After it the silent
/// attempt is given up, so that two upstreams work on a request for no longer.
const REJECTION_TIME: Duration = Duration::from_millis(100);

/// The result of fetching a response: the code of the failure and the retry delay, if it failed.
pub(in crate::transport::gateway) type Fetched<E> =
    Result<Box<UpstreamResponse<E>>, (Code, Millis)>;

/// Fetches a response.
type Fetching<E> = Pin<Box<dyn Future<Output = Fetched<E>>>>;

/// A silent attempt that is to be replaced.
pub(super) struct Replaced {
    pub(super) upstream: Option<UpstreamName>,
    /// Whether it is still to be counted among the attempts, as no head has arrived.
    pub(super) is_uncounted: bool,
    /// When the request was sent to the upstream that is to take its place, if it is there.
    sent_at: Rc<Cell<Option<Instant>>>,
}

impl Replaced {
    /// Records that another upstream has the request from now on.
    pub(super) fn on_sent(&self) {
        self.sent_at.set(Some(Instant::now()));
    }

    /// Records that the other upstream has not kept the request.
    pub(super) fn on_attempt_ended(&self) {
        self.sent_at.set(None);
    }
}

/// How a replacement stands.
pub(in crate::transport::gateway) enum ReplacementProgress<E: PlatformAdapter> {
    /// Another upstream has answered.
    Answered(Box<UpstreamResponse<E>>),
    /// Another upstream has the request and has not turned it away.
    Taken,
    /// No upstream takes the request.
    Refused,
}

/// How waiting for a silent attempt and its replacement ended.
pub(super) enum Race<T, E: PlatformAdapter> {
    /// The silent attempt ended.
    Kept(T),
    /// The replacement made progress.
    Replacement(ReplacementProgress<E>),
}

/// An attempt at another upstream that is to take the place of a silent one; dropping it cancels it.
pub(in crate::transport::gateway) struct Replacement<E: PlatformAdapter> {
    fetching: Fetching<E>,
    sent_at: Rc<Cell<Option<Instant>>>,
    /// When the silent attempt is given up, if the request has been sent.
    timer: Option<(Instant, Pin<Box<Sleep>>)>,
    is_stream: bool,
}

impl<E: PlatformAdapter> Replacement<E> {
    /// Polls for progress; not to be polled again after it.
    pub(in crate::transport::gateway) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<ReplacementProgress<E>> {
        if let Poll::Ready(fetched) = self.fetching.as_mut().poll(cx) {
            return Poll::Ready(match fetched {
                Ok(response) if self.is_usable(&response) => {
                    ReplacementProgress::Answered(response)
                }
                Ok(response) => {
                    response.attempt.end(SendEnd::Failed);
                    ReplacementProgress::Refused
                }
                Err(_) => ReplacementProgress::Refused,
            });
        }
        ready!(self.poll_timer(cx));
        Poll::Ready(ReplacementProgress::Taken)
    }

    /// Waits until another upstream has had the request for long enough to turn it away.
    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(sent_at) = self.sent_at.get() else {
            self.timer = None;
            return Poll::Pending;
        };
        if self.timer.as_ref().is_none_or(|(of, _)| *of != sent_at) {
            self.timer = Some((sent_at, Box::pin(sleep_until(sent_at + REJECTION_TIME))));
        }
        self.timer.as_mut().map_or(Poll::Pending, |(_, timer)| timer.as_mut().poll(cx))
    }

    /// Returns whether a response is worth giving up the silent attempt for.
    fn is_usable(&self, response: &UpstreamResponse<E>) -> bool {
        let status = response.head.status;
        if self.is_stream { status.is_success() } else { !status.is_server_error() }
    }

    /// Returns whether an upstream has the request.
    pub(in crate::transport::gateway) fn is_sent(&self) -> bool {
        self.sent_at.get().is_some()
    }

    /// Waits for the response once the silent attempt has ended.
    pub(in crate::transport::gateway) fn into_response(self) -> impl Future<Output = Fetched<E>> {
        self.fetching
    }

    /// Waits until the silent attempt ends or the replacement makes progress.
    pub(super) async fn race<T>(
        &mut self,
        mut silent: Pin<&mut impl Future<Output = T>>,
    ) -> Race<T, E> {
        poll_fn(|cx| match silent.as_mut().poll(cx) {
            Poll::Ready(ended) => Poll::Ready(Race::Kept(ended)),
            Poll::Pending => self.poll(cx).map(Race::Replacement),
        })
        .await
    }
}

impl<E: PlatformAdapter> ProxiedRequest<E> {
    /// Returns whether a silent attempt may be replaced, as far as that is known before an upstream
    /// is found; `is_uncounted` if no head of it has arrived.
    pub(in crate::transport::gateway) fn may_replace(&self, is_uncounted: bool) -> bool {
        self.may_send_again(u32::from(is_uncounted))
            && self.gateway.traffic.borrow_mut().has_retry(self.gateway.now(), &self.service)
    }

    /// Looks for an upstream that takes the place of a silent one.
    pub(in crate::transport::gateway) fn replace(
        self: &Rc<ProxiedRequest<E>>,
        upstream: Option<UpstreamName>,
        is_uncounted: bool,
        last_event: Option<u64>,
    ) -> Replacement<E> {
        let sent_at: Rc<Cell<Option<Instant>>> = Rc::default();
        let replaced = Replaced { upstream, is_uncounted, sent_at: sent_at.clone() };
        let request = self.clone();
        Replacement {
            fetching: Box::pin(async move { request.fetch(last_event, Some(replaced)).await }),
            sent_at,
            timer: None,
            is_stream: self.is_stream(),
        }
    }

    /// Records that a silent attempt was given up for another one.
    pub(in crate::transport::gateway) fn on_replaced(
        &self,
        upstream: Option<UpstreamName>,
        is_uncounted: bool,
    ) {
        self.gateway.decisions.replaced(&ReplacementLine {
            request: self.request_id.as_deref(),
            upstream: upstream.as_ref(),
            had_head: !is_uncounted,
            after_ms: self.gateway.now().since(self.arrived),
        });
        let mut progress = self.progress.borrow_mut();
        progress.attempts += u32::from(is_uncounted);
        progress.avoid.extend(upstream);
    }
}
