//! Replacement of an attempt whose upstream is silent.

use std::{
    cell::Cell,
    future::{Future, poll_fn},
    pin::Pin,
    rc::Rc,
    task::Poll,
};

use super::{ProxiedRequest, UpstreamResponse};
use crate::{
    core::{Code, Millis, UpstreamName},
    transport::gateway::{
        adapter::PlatformAdapter,
        decisions::{FailedReplacementLine, ReplacementLine},
        race::Fetching,
    },
};

/// The result of fetching a response: the code of the failure and the retry delay, if it failed.
pub(in crate::transport::gateway) type Fetched<E> =
    Result<Box<UpstreamResponse<E>>, (Code, Millis)>;

/// The silent attempts that another one is to take the place of.
pub(super) struct Replaced {
    pub(super) upstreams: Vec<UpstreamName>,
    /// Set once another upstream has the request.
    pub(super) is_sent: Rc<Cell<bool>>,
}

/// Which of two attempts was the first to end or to get a head.
pub(super) enum First<T, E: PlatformAdapter> {
    Silent(T),
    Replacement(Fetched<E>),
}

/// Waits for a silent attempt and for its replacement.
pub(super) async fn first_of<T, E: PlatformAdapter>(
    mut silent: Pin<&mut impl Future<Output = T>>,
    replacement: &mut Fetching<E>,
) -> First<T, E> {
    poll_fn(|cx| match silent.as_mut().poll(cx) {
        Poll::Ready(ended) => Poll::Ready(First::Silent(ended)),
        Poll::Pending => replacement.as_mut().poll(cx).map(First::Replacement),
    })
    .await
}

impl<E: PlatformAdapter> ProxiedRequest<E> {
    /// Returns whether silent attempts may be replaced, as far as that is known before an upstream is
    /// found.
    pub(in crate::transport::gateway) fn may_replace(&self) -> bool {
        self.may_send_again()
            && self.gateway.traffic.borrow_mut().has_retry(self.gateway.now(), &self.service)
    }

    /// Looks for an upstream that takes the place of silent ones; sets `is_sent` once one has the
    /// request.
    pub(in crate::transport::gateway) fn fetch_replacement(
        self: &Rc<ProxiedRequest<E>>,
        upstreams: Vec<UpstreamName>,
        last_event: Option<u64>,
        is_sent: Rc<Cell<bool>>,
    ) -> Fetching<E> {
        let replaced = Replaced { upstreams, is_sent };
        let request = self.clone();
        Box::pin(async move { request.fetch(last_event, Some(replaced)).await })
    }

    /// Returns whether a replacement's response is worth more than a silent attempt.
    pub(super) fn is_usable(&self, response: &UpstreamResponse<E>) -> bool {
        let status = response.head.status;
        if self.is_stream() { status.is_success() } else { !status.is_server_error() }
    }

    /// Records that a silent attempt was given up since another one has delivered.
    pub(in crate::transport::gateway) fn on_replaced(
        &self,
        upstream: Option<UpstreamName>,
        had_head: bool,
    ) {
        self.gateway.decisions.replaced(&ReplacementLine {
            request: self.request_id.as_deref(),
            upstream: upstream.as_ref(),
            had_head,
            after_ms: self.gateway.now().since(self.arrived),
        });
        self.progress.borrow_mut().avoid.extend(upstream);
    }

    /// Logs that an attempt which was to take the place of a silent one has failed.
    pub(in crate::transport::gateway) fn log_failed_replacement(&self, code: Code) {
        let progress = self.progress.borrow();
        self.gateway.decisions.replacement_failed(&FailedReplacementLine {
            request: self.request_id.as_deref(),
            code: code.number(),
            attempts: progress.attempts,
            tried: &progress.avoid,
            after_ms: self.gateway.now().since(self.arrived),
        });
    }
}
