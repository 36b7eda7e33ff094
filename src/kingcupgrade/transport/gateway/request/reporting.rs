//! Logging and metrics of a caller's request: its placement, its latency, or its failure.

use http::Response;

use super::{LastSend, Progress, ProxiedRequest};
use crate::{
    coordination::traffic::{Grant, SendEnd},
    core::{Code, Millis},
    transport::gateway::{
        adapter::PlatformAdapter,
        decisions::{FailureLine, PlacementLine},
        latency::{LateResponseLine, Times},
        response::{ResponseBody, error_response},
    },
    util::log,
};

impl<E: PlatformAdapter> ProxiedRequest<E> {
    /// Logs that a response was truncated after it had begun, and how its last attempt ended.
    pub(in crate::transport::gateway) fn report_truncated(&self, code: Code, end: SendEnd) {
        let progress = self.progress.borrow();
        let end = Some(end.as_str());
        let line = FailureLine { end, ..self.failure_line(code, Millis::ZERO, &progress) };
        self.gateway.decisions.truncated(code, &line);
    }

    /// Logs that an upstream sent this many bytes of an event without its end.
    pub(in crate::transport::gateway) fn log_long_event(&self, len: usize) {
        let progress = self.progress.borrow();
        let upstream = progress.sent.as_ref().map(|sent| &sent.upstream);
        log::warning("event-too-long", &(self.request_id.as_deref(), upstream, len));
    }

    /// Records the arrival of the first byte of the response.
    pub(in crate::transport::gateway) fn on_first_byte(&self) {
        let now = self.gateway.now();
        self.progress.borrow_mut().first_byte.get_or_insert(now);
    }

    /// Records the latency of a complete response, and logs it if it was late.
    pub(in crate::transport::gateway) fn report_answered(&self, longest_pause: Millis) {
        let progress = self.progress.borrow();
        let (Some(sent), Some(first_byte)) = (&progress.sent, progress.first_byte) else { return };
        let times = Times {
            target: self.target.since(self.arrived),
            queued: progress.queued,
            expected: sent.expected,
            took: first_byte.since(sent.at),
            first_byte: first_byte.since(self.arrived),
            longest_pause,
            max_pause: self.route.max_event_gap,
            attempts: progress.attempts,
        };
        self.gateway.decisions.answered(
            &times,
            &LateResponseLine {
                request: self.request_id.as_deref(),
                judgement: times.classify(),
                route: &self.route.name,
                organisation: self.organisation.as_ref(),
                upstream: &sent.upstream,
                target_ms: times.target,
                queued_ms: times.queued,
                expected_ms: times.expected,
                took_ms: times.took,
                first_byte_ms: times.first_byte,
                longest_pause_ms: longest_pause,
                attempts: progress.attempts,
            },
        );
    }

    fn failure_line<'a>(
        &'a self,
        code: Code,
        retry_after_ms: Millis,
        progress: &'a Progress,
    ) -> FailureLine<'a> {
        FailureLine {
            request: self.request_id.as_deref(),
            digest: Some(self.digest),
            code: code.number(),
            route: Some(&self.route.name),
            organisation: self.organisation.as_ref(),
            retry_after_ms,
            after_ms: self.gateway.now().since(self.arrived),
            attempts: progress.attempts,
            tried: &progress.avoid,
            end: None,
        }
    }

    /// Logs the upstream chosen for an attempt, and after which event a stream goes on there.
    pub(super) fn report_placed(&self, grant: &Grant, last_event: Option<u64>) {
        let now = self.gateway.now();
        let expected = Millis(grant.basis.expected_ms);
        let mut progress = self.progress.borrow_mut();
        if progress.first_byte.is_none() {
            progress.sent = Some(LastSend { upstream: grant.upstream.clone(), at: now, expected });
        }
        drop(progress);
        let version = self.gateway.traffic.borrow().configuration().map_or(0, |c| c.version);
        self.gateway.decisions.placed(&PlacementLine {
            request: self.request_id.as_deref(),
            digest: self.digest,
            route: &self.route.name,
            organisation: self.organisation.as_ref(),
            upstream: &grant.upstream,
            upstream_version: grant.version.as_ref(),
            begun_by: self.taken_up.as_ref().and_then(|stream| stream.begun_by.as_deref()),
            last_event,
            attempts: self.progress.borrow().attempts,
            after_ms: now.since(self.arrived),
            basis: &grant.basis,
            version,
            listing_age_ms: self.gateway.listing_plan.borrow().age(now),
        });
    }

    /// Logs the refusal of the request, and builds the response.
    pub(in crate::transport::gateway) fn refuse(
        &self,
        code: Code,
        retry_after: Millis,
    ) -> Response<ResponseBody<E>> {
        let progress = self.progress.borrow();
        self.gateway.decisions.refused(code, &self.failure_line(code, retry_after, &progress));
        drop(progress);
        error_response(&*self.gateway.adapter, code, retry_after, self.request_id.as_deref())
    }
}
