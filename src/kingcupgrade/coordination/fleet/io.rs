//! What goes into and comes out of one instance.

use crate::{
    coordination::control::ControlMachine,
    core::{Instance, Millis, code::CodedError},
    protocol::{
        Message,
        fleet::{ListedUpstream, LoadReport, Resident},
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
    /// The platform's list was read here, for the entries of this failure domain.
    ShareListing(Vec<ListedUpstream>),
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
    Entries(Vec<Resident>),
    /// Another entry told of its load.
    Heard(Instance, LoadReport),
    /// Another entry read the platform's list.
    Listed(Vec<ListedUpstream>),
}
