//! Distribution of the platform's list of upstreams among the entries.

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
    /// Sends a change of the list to the entries that this entry reads it for.
    pub(super) fn share_listing(
        &mut self,
        update: ListingUpdate,
        duty: ListingDuty,
        out: &mut Vec<FleetOutput>,
    ) {
        let receivers = match duty {
            ListingDuty::Reads => self.neighbours(),
            ListingDuty::StandsIn | ListingDuty::StandsInSecond => self.domain_neighbours(),
            ListingDuty::Hears => return,
        };
        out.push(FleetOutput::SendToAll(receivers, Message::Fleet(FleetMessage::Listing(update))));
    }

    /// Requests the whole list from one entry, or from all that may know it.
    pub(super) fn request_listing(&mut self, from: Option<Instance>, out: &mut Vec<FleetOutput>) {
        let asked = from.map_or_else(|| self.listing_readers(), |from| vec![from]);
        out.push(FleetOutput::SendToAll(asked, Message::Fleet(FleetMessage::ListingRequest)));
    }

    fn listing_readers(&self) -> Vec<Instance> {
        let (fleet, domain) = (self.neighbours(), self.domain_neighbours());
        Neighbours { fleet: &fleet, domain: &domain }.readers()
    }

    /// Returns the other entries of this failure domain.
    fn domain_neighbours(&self) -> Vec<Instance> {
        let own = &self.settings.failure_domain;
        let entries = self.roster.entries().into_iter();
        let here =
            entries.filter(|FleetEntry(entry, domain)| domain == own && *entry != self.instance);
        here.map(|FleetEntry(entry, _)| entry).collect()
    }
}
