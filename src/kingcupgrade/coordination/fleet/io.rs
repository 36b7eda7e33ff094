//! What goes into and comes out of one instance.

use serde::Serialize;

use crate::{
    coordination::{control::ControlMachine, listing::ListingDuty},
    core::{Instance, Millis, code::CodedError},
    protocol::{
        Message,
        fleet::{FleetEntry, ListingUpdate, LoadReport},
        record::{Command, Reply},
    },
    state::log::Persist,
};

/// Names an operator's request that waits for an answer.
pub type Ticket = u64;

/// Something that happened.
#[derive(Debug)]
pub enum FleetInput {
    /// A message arrived.
    Received(Instance, Message),
    /// An operator asks for a change or an answer of the record, for as long as given.
    Asked(Ticket, Command, Millis),
    /// This entry's load is to be told to the others.
    Share(LoadReport),
    /// The platform's list was read here for others.
    ShareListing(ListingUpdate, ListingDuty),
    /// The platform's list is not known here; asked is who told of a change in it, or who may know.
    WantListing(Option<Instance>),
    /// An entry that wants the platform's list is told.
    TellListing(Instance, ListingUpdate),
    /// The disk failed.
    StorageFailed(CodedError),
    /// The disk works again and holds this replica.
    StorageBack(Box<ControlMachine>),
    /// The settings name other control instances.
    SeedsChanged(Vec<Instance>),
    /// The instance is to stop.
    Drain,
    /// Time has passed.
    Tick,
}

/// Something to do, in this order.
#[derive(Debug)]
pub enum FleetOutput {
    /// Write to disk, synced before any later output is carried out.
    Persist(Persist),
    /// Send a message.
    Send(Instance, Message),
    /// Send the same message to several instances.
    SendToAll(Vec<Instance>, Message),
    /// Answer an operator.
    Answer(Ticket, Reply),
    /// The configuration or the standing of a failure domain changed.
    ViewChanged,
    /// The entries of the fleet are these.
    Entries(Vec<FleetEntry>),
    /// Another entry told of its load.
    Heard(Instance, LoadReport),
    /// Another entry tells what it knows of the platform's list.
    Listed(Instance, ListingUpdate),
    /// Another entry wants the platform's list.
    ListingWanted(Instance),
    /// Whom this instance asks for the configuration, or whether it is confirmed, changed.
    SourceChanged(ConfigurationSource),
    /// The part of this control instance in the record changed.
    StandingChanged(RecordStanding),
    /// Another process runs in place of the one that was heard as this instance.
    Restarted {
        /// The instance.
        instance: Instance,
        /// How often that was seen here.
        restarts: u32,
    },
}

/// On whose word an instance goes by its configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigurationSource {
    /// The control instance that is asked.
    pub asks: Option<Instance>,
    /// Whether the configuration was confirmed to be the newest of late.
    pub is_fresh: bool,
    /// The place in the record of the last change known.
    pub index: u64,
    /// How long ago it was last confirmed to be the newest; `None` if never.
    pub confirmed_ms: Option<Millis>,
}

/// The part of a control instance in the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RecordStanding {
    /// The term.
    pub term: u64,
    /// Whom it follows; itself if it leads.
    pub leader: Option<Instance>,
    /// Whether it tells others that what it has is the newest.
    pub confirms: bool,
    /// The last entry that is final here.
    pub commit: u64,
}
