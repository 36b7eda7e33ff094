//! Requests that crash upstreams, which this entry keeps from all of them.

use super::{EntryMachine, EntryOutput, HeldGrant, Request, RequestId};
use crate::{
    coordination::{crashes::Barred, decision::Decision},
    core::{Millis, RequestDigest},
    protocol::crash::{Crash, CrashCause, CrashNews},
};

/// How often the requests that are kept from upstreams are told again, for entries that have started
/// since.
const REPEAT_INTERVAL: Millis = Millis(1_000);

impl EntryMachine {
    /// Returns what keeps a request from all upstreams, if anything does.
    pub(super) fn barred(&self, now: Millis, request: RequestDigest) -> Option<Barred> {
        let cause = CrashCause::Request(request);
        self.crash_causes.barred(now, std::iter::once(cause), &self.instance, &self.entries)
    }

    /// Refuses a request that is kept from all upstreams.
    pub(super) fn refuse_barred(
        &mut self,
        id: RequestId,
        barred: Barred,
        out: &mut Vec<EntryOutput>,
    ) {
        if let Some(request) = self.remove(id) {
            self.refuse_until(id, &request, barred.code(), barred.left, out);
        }
    }

    /// Records that a request is sent to an upstream.
    pub(super) fn on_crash_cause_sent(&mut self, now: Millis, request: RequestDigest) {
        self.crash_causes.on_sent(now, std::iter::once(CrashCause::Request(request)));
    }

    /// Records that an upstream has answered a request whole.
    pub(super) fn on_answered(
        &mut self,
        now: Millis,
        request: RequestDigest,
        out: &mut Vec<EntryOutput>,
    ) {
        let cause = CrashCause::Request(request);
        if self.crash_causes.on_sound(now, cause) {
            out.push(EntryOutput::Decided(Decision::CrashCause { cause, barred: false }));
        }
    }

    /// Records an upstream that closed the connection of a request, whether or not its answer had
    /// begun.
    pub(super) fn on_disconnect(
        &mut self,
        now: Millis,
        id: RequestId,
        held: &HeldGrant,
        has_begun: bool,
        out: &mut Vec<EntryOutput>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        out.push(EntryOutput::Decided(Decision::Disconnected {
            request: id,
            digest: request.digest,
            service: request.service.clone(),
            upstream: held.upstream.clone(),
            incarnation: held.incarnation,
            has_begun,
        }));
        let crash = Crash {
            upstream: held.upstream.clone(),
            incarnation: held.incarnation,
            age: Millis::ZERO,
            after: now.since(request.sent_at),
            had_head: has_begun,
            request: request.digest,
            shared_parts: Vec::new(),
        };
        // Only parts of prompts are judged by how many upstreams end together.
        let blamed = self.crash_causes.on_crash(now, crash, 0);
        self.refuse_blamed(now, blamed, out);
    }

    /// Applies what another entry tells of crashes.
    pub fn on_crash_news(&mut self, now: Millis, news: CrashNews, out: &mut Vec<EntryOutput>) {
        let blamed = self.crash_causes.on_news(now, news, |_| 0);
        self.refuse_blamed(now, blamed, out);
    }

    /// Returns what the other entries are to be told of crashes.
    pub fn take_crash_news(&mut self, now: Millis, out: &mut Vec<EntryOutput>) -> CrashNews {
        for cause in self.crash_causes.expire(now) {
            out.push(EntryOutput::Decided(Decision::CrashCause { cause, barred: false }));
        }
        if now >= self.next_bars {
            self.next_bars = now + REPEAT_INTERVAL;
            self.crash_causes.repeat_bars();
        }
        self.crash_causes.take_news(now)
    }

    /// Refuses the requests that wait and are kept from all upstreams from now on.
    fn refuse_blamed(
        &mut self,
        now: Millis,
        blamed: impl IntoIterator<Item = CrashCause>,
        out: &mut Vec<EntryOutput>,
    ) {
        for cause in blamed {
            out.push(EntryOutput::Decided(Decision::CrashCause { cause, barred: true }));
            let CrashCause::Request(digest) = cause else { continue };
            let Some(barred) = self.barred(now, digest) else { continue };
            let is_meant = |request: &Request| request.digest == digest;
            self.refuse_waiting(is_meant, barred.code(), barred.left, out);
        }
    }
}
