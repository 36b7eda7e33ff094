//! What the control thread tells an entry: configuration, members, and the messages of other entries.

use std::{collections::BTreeSet, sync::Arc};

use super::{Gateway, adapter::PlatformAdapter};
use crate::{
    coordination::{fleet::FleetInput, listing::Neighbours, view::View},
    core::Instance,
    protocol::fleet::FleetEntry,
    transport::fleet::FleetUpdate,
    util::log,
};

impl<E: PlatformAdapter> Gateway<E> {
    /// Applies what the control thread tells.
    pub(super) fn on_fleet_update(&self, update: FleetUpdate) {
        match update {
            FleetUpdate::View(view) => self.on_view(&view),
            FleetUpdate::RoundTrip(peer, time) => {
                self.link.borrow_mut().on_round_trip(self.now(), &peer, time);
            }
            FleetUpdate::Confirmed(age) => {
                let at = self.now().since(age);
                self.traffic.borrow_mut().on_rollouts_confirmed(at);
            }
            FleetUpdate::Entries(entries) => self.on_entries(entries),
            FleetUpdate::ListingReceived(from, update) => self.on_listing_update(from, update),
            FleetUpdate::ListingRequested(from) => self.send_listing(from),
            FleetUpdate::StreamsBegun(begun) => {
                self.traffic.borrow_mut().on_streams_begun(self.now(), begun);
            }
            FleetUpdate::OriginRequested(from, request) => {
                self.answer_origin_request(from, &request);
            }
            FleetUpdate::OriginFound(number, origin) => self.on_origin_found(number, origin),
            FleetUpdate::CrashesReceived(news) => {
                self.traffic.borrow_mut().on_crash_news(self.now(), news);
            }
            FleetUpdate::LoadReceived(from, report) => {
                self.traffic.borrow_mut().on_report(self.now(), from, report);
            }
        }
    }

    fn on_view(&self, view: &View) {
        let out = view.domains().filter(|s| s.out).map(|s| s.name.clone());
        let out: BTreeSet<_> = out.collect();
        let mut traffic = self.traffic.borrow_mut();
        traffic.set_domains_out(out);
        traffic.set_rollouts(self.now(), view.rollouts());
        let Some(newest) = view.configuration() else { return };
        let known = traffic.configuration().map_or(0, |known| known.version);
        if newest.version <= known {
            return;
        }
        match self.adapter.decode_configuration(newest.text.as_bytes()) {
            Ok(configuration) => {
                log::event("configuration-in-force", &newest.version);
                traffic.set_configuration(Arc::new(configuration));
            }
            Err(err) => log::warning("configuration-unreadable", &err),
        }
    }

    fn on_entries(&self, entries: Vec<FleetEntry>) {
        let own = &self.settings.failure_domain;
        let local = entries.iter().filter(|FleetEntry(_, domain)| domain == own);
        let local: Vec<Instance> = local.map(|FleetEntry(entry, _)| entry.clone()).collect();
        let all: Vec<Instance> = entries.into_iter().map(|FleetEntry(entry, _)| entry).collect();
        let neighbours = Neighbours { fleet: &all, domain: &local };
        let duty = neighbours.duty(&self.settings.instance());
        if self.listing_duty.replace(duty) != duty {
            log::event("listing-duty", &duty);
        }
        let mut traffic = self.traffic.borrow_mut();
        traffic.set_domain_entries(local.len());
        traffic.set_entries(all);
        drop(traffic);
        if !self.listing_plan.borrow().is_known() {
            self.fleet.send(FleetInput::RequestListing(None));
        }
    }
}
