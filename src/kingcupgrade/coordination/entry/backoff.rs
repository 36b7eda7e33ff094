//! What upstreams have asked this entry for on their answers.
//!
//! Dispatchers are told, and grant no such slots. An entry still goes by what it was asked itself:
//! a grant may be on its way, and a new dispatcher or a static share doesn't know.

use super::{EntryMachine, EntryOutput, Request, RequestId, Stage};
use crate::{
    coordination::{decision::Decision, notices::UpstreamNotice},
    core::{Code, Millis, Service, UpstreamName},
    protocol::{Pool, dispatch::ReportedNotice},
};

impl EntryMachine {
    /// Records what an upstream asks for on the answer to a request.
    pub fn on_notice(
        &mut self,
        now: Millis,
        id: RequestId,
        notice: UpstreamNotice,
        out: &mut Vec<EntryOutput>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let Stage::Sent { pool, grant } = request.stage.clone() else { return };
        let Some(held) = self.held.get(&(pool.clone(), grant)) else { return };
        let (upstream, incarnation) = (held.upstream.clone(), held.incarnation);
        let before = self.notices.state(&upstream, incarnation);
        let state = self.notices.on_notice(now, &upstream, incarnation, notice);
        if before.takes_requests(now) {
            out.push(EntryOutput::Decided(Decision::Notice {
                service: pool.0.clone(),
                upstream: upstream.clone(),
                incarnation,
                backoff_ms: state.backoff_left(now),
                is_leaving: state.is_leaving,
            }));
        }
        self.report_notice(now, &pool, &upstream, incarnation);
    }

    /// Returns whether an incarnation of an upstream takes requests; if not, the dispatcher that
    /// granted one of its slots is told.
    pub(super) fn may_use(
        &mut self,
        now: Millis,
        pool: &Pool,
        upstream: &UpstreamName,
        incarnation: u64,
    ) -> bool {
        let takes_requests = self.notices.state(upstream, incarnation).takes_requests(now);
        if !takes_requests {
            self.report_notice(now, pool, upstream, incarnation);
        }
        takes_requests
    }

    fn report_notice(
        &mut self,
        now: Millis,
        pool: &Pool,
        upstream: &UpstreamName,
        incarnation: u64,
    ) {
        let state = self.notices.state(upstream, incarnation);
        if let Some(session) = self.sessions.get_mut(pool) {
            session.note_notice(ReportedNotice {
                upstream: upstream.clone(),
                incarnation,
                backoff_left: state.backoff_left(now),
                is_leaving: state.is_leaving,
            });
        }
    }

    /// Returns the time for which every upstream of a service has asked for no requests.
    pub(super) fn backoff_left(&self, now: Millis, service: &Service) -> Millis {
        self.services.get(service).map_or(Millis::ZERO, |state| state.backoff_until.since(now))
    }

    /// Sets the time for which every upstream of a service has asked for no requests, if they all
    /// have, and refuses the requests that wait for one.
    pub(super) fn set_backoff(
        &mut self,
        now: Millis,
        service: &Service,
        left: Option<Millis>,
        out: &mut Vec<EntryOutput>,
    ) {
        let state = self.services.entry(service.clone()).or_default();
        state.backoff_until = left.map_or(Millis::ZERO, |left| now + left);
        let Some(left) = left else { return };
        let is_meant = |request: &Request| request.service == *service;
        self.refuse_waiting(is_meant, Code::UpstreamsBackingOff, left, out);
    }
}
