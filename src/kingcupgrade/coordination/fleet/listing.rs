//! Telling other entries what the platform lists.

use super::{FleetNode, FleetOutput};
use crate::{
    coordination::listing::{ListingDuty, Neighbours},
    core::Instance,
    protocol::{
        Message,
        fleet::{FleetEntry, FleetMessage, ListingUpdate},
    },
};

impl FleetNode {
    /// Tells those for whom this entry reads.
    pub(super) fn share_listing(
        &mut self,
        news: ListingUpdate,
        duty: ListingDuty,
        out: &mut Vec<FleetOutput>,
    ) {
        let hearers = match duty {
            ListingDuty::Reads => self.neighbours(),
            ListingDuty::StandsIn | ListingDuty::StandsInSecond => self.domain_neighbours(),
            ListingDuty::Hears => return,
        };
        out.push(FleetOutput::SendToAll(hearers, Message::Fleet(FleetMessage::Listing(news))));
    }

    /// Asks one entry for the whole list, or those that may know it.
    pub(super) fn want_listing(&mut self, from: Option<Instance>, out: &mut Vec<FleetOutput>) {
        let asked = from.map_or_else(|| self.listing_readers(), |from| vec![from]);
        out.push(FleetOutput::SendToAll(asked, Message::Fleet(FleetMessage::ListingRequest)));
    }

    fn listing_readers(&self) -> Vec<Instance> {
        let (fleet, domain) = (self.neighbours(), self.domain_neighbours());
        Neighbours { fleet: &fleet, domain: &domain }.readers()
    }

    /// Lists the other entries of this failure domain.
    fn domain_neighbours(&self) -> Vec<Instance> {
        let own = &self.settings.failure_domain;
        let entries = self.roster.entries().into_iter();
        let here =
            entries.filter(|FleetEntry(entry, domain)| domain == own && *entry != self.instance);
        here.map(|FleetEntry(entry, _)| entry).collect()
    }
}
