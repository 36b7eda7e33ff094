//! Upstreams of the pool that have asked for no requests for some time, or for no new ones.

use super::{Dispatcher, DispatcherOutput};
use crate::{
    coordination::{
        decision::Decision,
        notices::{NoticeState, UpstreamNotice},
        rollout::Use,
    },
    core::{Millis, UpstreamName},
    protocol::dispatch::ReportedNotice,
};

impl Dispatcher {
    /// Records what an upstream has asked an entry for.
    pub(super) fn on_notice(
        &mut self,
        now: Millis,
        reported: &ReportedNotice,
        out: &mut Vec<DispatcherOutput>,
    ) {
        let ReportedNotice { upstream, incarnation, backoff_left, is_leaving } = reported;
        let before = self.notices.state(upstream, *incarnation);
        let notice = UpstreamNotice { backoff: Some(*backoff_left), is_leaving: *is_leaving };
        self.notices.on_notice(now, upstream, *incarnation, notice);
        let slots = self.slots.get_mut(upstream).filter(|s| s.incarnation() == *incarnation);
        if let Some(slots) = slots
            && *backoff_left > Millis::ZERO
        {
            slots.on_backoff(now);
        }
        if before.takes_requests(now) {
            out.push(DispatcherOutput::Decided(Decision::Notice {
                service: self.pool.0.clone(),
                upstream: upstream.clone(),
                incarnation: *incarnation,
                backoff_ms: *backoff_left,
                is_leaving: *is_leaving,
            }));
        }
    }

    /// Records what the listed incarnation of an upstream has asked this instance for.
    pub fn on_own_notice(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
        notice: UpstreamNotice,
        out: &mut Vec<DispatcherOutput>,
    ) {
        let Some(slots) = self.slots.get(upstream) else { return };
        let reported = ReportedNotice {
            upstream: upstream.clone(),
            incarnation: slots.incarnation(),
            backoff_left: notice.backoff.unwrap_or_default(),
            is_leaving: notice.is_leaving,
        };
        self.on_notice(now, &reported, out);
    }

    /// Returns whether an upstream has asked for no requests for some time.
    pub fn backs_off(&self, now: Millis, upstream: &UpstreamName) -> bool {
        self.notices_of(upstream).backoff_left(now) > Millis::ZERO
    }

    /// Returns what the listed incarnation of an upstream has asked for.
    pub(super) fn notices_of(&self, name: &UpstreamName) -> NoticeState {
        let incarnation = self.slots.get(name).map(|slots| slots.incarnation());
        incarnation.map_or(NoticeState::default(), |i| self.notices.state(name, i))
    }

    /// Returns the time until an upstream of the pool takes requests again, if all that could serve
    /// have asked for none.
    pub(super) fn pool_backoff_left(&self, now: Millis) -> Option<Millis> {
        let in_service = self.slots.keys().filter(|name| {
            self.use_of(name) == Use::Serving
                && !self.leaving.contains(*name)
                && !self.notices_of(name).is_leaving
        });
        let left = in_service.map(|name| self.notices_of(name).backoff_left(now)).min();
        left.filter(|left| *left > Millis::ZERO)
    }

    /// Returns the same over all pools of the service, as far as this dispatcher knows them.
    pub(super) fn service_backoff_left(&self, now: Millis) -> Option<Millis> {
        let own = self.pool_backoff_left(now)?;
        let mut left = own;
        for (_, remote) in self.fresh_remotes(now) {
            left = left.min(remote.backoff_left(now)?);
        }
        Some(left)
    }
}
