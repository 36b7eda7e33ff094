//! Exchange of news of crashes: at once, and without each entry sending to every other one.
//!
//! A cause that crashes upstreams comes again within fractions of a second, at any entry, so its
//! crashes can't wait for the next load report. In a small fleet an entry sends to all others; in a
//! larger one to the collectors of its failure domain, which pass on what has arrived since their
//! last tick as one message.

use super::{FleetNode, FleetOutput};
use crate::{
    core::{Instance, Millis},
    protocol::{
        Message,
        crash::{CrashNews, Reach},
        fleet::FleetMessage,
    },
};

/// The crashes that a collector passes on at a time: of many upstreams that end together, some tell as
/// much as all.
const MAX_PASSED_CRASHES: usize = 64;

/// News that a collector has not passed on yet.
#[derive(Debug, Default)]
pub(super) struct CrashExchange {
    /// From its own failure domain, with the time of arrival.
    local: Vec<(Millis, CrashNews)>,
    /// From other failure domains.
    remote: Vec<(Millis, CrashNews)>,
}

impl FleetNode {
    /// Sends what this entry tells of crashes.
    pub(super) fn share_crashes(
        &mut self,
        now: Millis,
        news: CrashNews,
        out: &mut Vec<FleetOutput>,
    ) {
        let receivers = self.load_exchange.receivers();
        let reach = if self.load_exchange.is_mesh() { Reach::Receiver } else { Reach::Fleet };
        if self.load_exchange.members().is_some() {
            self.crash_exchange.local.push((now, news.clone()));
        }
        send_news(receivers, reach, news, out);
    }

    /// Handles what another entry, or a collector, tells of crashes.
    pub(super) fn on_crash_news(
        &mut self,
        now: Millis,
        reach: Reach,
        news: CrashNews,
        out: &mut Vec<FleetOutput>,
    ) {
        let is_collector = self.load_exchange.members().is_some();
        match reach {
            Reach::Fleet if is_collector => self.crash_exchange.local.push((now, news.clone())),
            Reach::Domain if is_collector => self.crash_exchange.remote.push((now, news.clone())),
            Reach::Fleet | Reach::Domain | Reach::Receiver => {}
        }
        out.push(FleetOutput::CrashesReceived(news));
    }

    /// Passes on the news that has arrived, if this entry is a collector.
    pub(super) fn pass_crashes_on(&mut self, now: Millis, out: &mut Vec<FleetOutput>) {
        let CrashExchange { local, remote } = std::mem::take(&mut self.crash_exchange);
        let Some(members) = self.load_exchange.members().map(<[_]>::to_vec) else { return };
        let local = merged(now, local);
        let mut all = merged(now, remote);
        all.merge(local.clone(), MAX_PASSED_CRASHES);
        let remote_collectors = self.load_exchange.remote_collectors();
        send_news(remote_collectors, Reach::Domain, local, out);
        send_news(members, Reach::Receiver, all, out);
    }
}

fn send_news(to: Vec<Instance>, reach: Reach, news: CrashNews, out: &mut Vec<FleetOutput>) {
    if !to.is_empty() && !news.is_empty() {
        let message = Message::Fleet(FleetMessage::Crashes(reach, news));
        out.push(FleetOutput::SendToAll(to, message));
    }
}

/// Merges news, each grown older by the time that it has waited.
fn merged(now: Millis, waiting: Vec<(Millis, CrashNews)>) -> CrashNews {
    let mut merged = CrashNews::default();
    for (arrived, mut news) in waiting {
        news.grow_older(now.since(arrived));
        merged.merge(news, MAX_PASSED_CRASHES);
    }
    merged
}
