//! What is told of one caller's request: where it was sent, how it went, why it was given up.

use http::Response;

use super::{Caller, LastSend, Progress};
use crate::{
    coordination::traffic::Grant,
    core::{Code, Millis},
    transport::gateway::{
        answer::{AnswerBody, refusal},
        course::{Answered, Times},
        decisions::{GivenUp, Placed},
        edge::Edge,
    },
};

impl<E: Edge> Caller<E> {
    /// Tells that an answer is cut after it had begun.
    pub(in crate::transport::gateway) fn tell_broken_off(&self, code: Code) {
        let progress = self.progress.borrow();
        self.gateway.decisions.broken_off(code, &self.given_up(code, Millis::ZERO, &progress));
    }

    /// Notes that the first byte of the answer came.
    pub(in crate::transport::gateway) fn on_first_byte(&self) {
        let now = self.gateway.now();
        self.progress.borrow_mut().first_byte.get_or_insert(now);
    }

    /// Tells of a whole answer how it went.
    pub(in crate::transport::gateway) fn tell_answered(&self, longest_pause: Millis) {
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
            &Answered {
                request: self.request_id.as_deref(),
                judgement: times.judge(),
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

    fn given_up<'a>(
        &'a self,
        code: Code,
        retry_after_ms: Millis,
        progress: &'a Progress,
    ) -> GivenUp<'a> {
        GivenUp {
            request: self.request_id.as_deref(),
            code: code.number(),
            route: Some(&self.route.name),
            organisation: self.organisation.as_ref(),
            retry_after_ms,
            after_ms: self.gateway.now().since(self.arrived),
            attempts: progress.attempts,
            tried: &progress.avoid,
        }
    }

    pub(super) fn tell_placed(&self, grant: &Grant) {
        let now = self.gateway.now();
        let expected = Millis(grant.basis.expected_ms);
        let mut progress = self.progress.borrow_mut();
        if progress.first_byte.is_none() {
            progress.sent = Some(LastSend { upstream: grant.upstream.clone(), at: now, expected });
        }
        drop(progress);
        let version = self.gateway.traffic.borrow().configuration().map_or(0, |c| c.version);
        self.gateway.decisions.placed(&Placed {
            request: self.request_id.as_deref(),
            route: &self.route.name,
            organisation: self.organisation.as_ref(),
            upstream: &grant.upstream,
            attempts: self.progress.borrow().attempts,
            after_ms: now.since(self.arrived),
            basis: &grant.basis,
            version,
            listing_age_ms: self.gateway.listing_plan.borrow().age(now),
        });
    }

    pub(super) fn refuse(&self, code: Code, retry_after: Millis) -> Response<AnswerBody<E>> {
        let progress = self.progress.borrow();
        self.gateway.decisions.refused(code, &self.given_up(code, retry_after, &progress));
        drop(progress);
        refusal(&*self.gateway.edge, code, retry_after, self.request_id.as_deref())
    }
}
