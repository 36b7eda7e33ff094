//! Requests that are refused, or have finally failed, and when their callers should come back.

use super::{EntryMachine, EntryOutput, Request, RequestId, Stage};
use crate::{
    coordination::decision::Decision,
    core::{Code, Millis, Service},
};

/// Lower bound of the retry delay reported to a refused caller.
const MIN_RETRY_AFTER: Millis = Millis(1_000);
/// Upper bound of that delay.
const MAX_RETRY_AFTER: Millis = Millis(30_000);

impl EntryMachine {
    pub(super) fn refuse(
        &self,
        id: RequestId,
        request: &Request,
        code: Code,
        out: &mut Vec<EntryOutput>,
    ) {
        let retry_after = self.retry_after(&request.service);
        self.refuse_until(id, request, code, retry_after, out);
    }

    pub(super) fn refuse_until(
        &self,
        id: RequestId,
        request: &Request,
        code: Code,
        retry_after: Millis,
        out: &mut Vec<EntryOutput>,
    ) {
        out.push(EntryOutput::Decided(Decision::Refuse {
            request: id,
            digest: request.digest,
            service: request.service.clone(),
            organisation: request.organisation.clone(),
            code,
        }));
        out.push(EntryOutput::GiveUp { id, code, retry_after });
    }

    /// Refuses the requests that wait for a slot and for which `is_meant` returns true.
    pub(super) fn refuse_waiting(
        &mut self,
        is_meant: impl Fn(&Request) -> bool,
        code: Code,
        retry_after: Millis,
        out: &mut Vec<EntryOutput>,
    ) {
        let waiting = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(request.stage, Stage::Queued) && is_meant(request));
        let waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            if let Some(request) = self.remove(id) {
                self.refuse_until(id, &request, code, retry_after, out);
            }
        }
    }

    /// Returns how long a refused caller should wait: the moving average of the time that requests
    /// of the service wait on this entry, within limits.
    fn retry_after(&self, service: &Service) -> Millis {
        let wait = self.services.get(service).map_or(Millis::ZERO, |state| state.average_wait);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    pub(super) fn give_up(&mut self, id: RequestId, code: Code, out: &mut Vec<EntryOutput>) {
        if let Some(request) = self.remove(id) {
            self.refuse(id, &request, code, out);
        }
    }
}
