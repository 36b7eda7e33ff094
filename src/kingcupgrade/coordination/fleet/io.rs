//! The inputs and outputs of an instance's state machine.

use serde::Serialize;

use crate::{
    coordination::{control::ControlMachine, listing::ListingDuty, rollout::watch::StageDecision},
    core::{Instance, Millis, code::CodedError},
    protocol::{
        Message,
        crash::CrashNews,
        fleet::{BegunStreams, FleetEntry, ListingUpdate, LoadReport, OriginRequest, StreamOrigin},
        record::{Command, Reply},
        rollout::RolloutReport,
    },
    state::log::Persist,
};

/// Identifies an operator's request that waits for an answer.
pub type Ticket = u64;

/// An event for the state machine to handle.
#[derive(Debug)]
pub enum FleetInput {
    /// A message arrived from another instance.
    Received(Instance, Message),
    /// An operator sends a command to change or query the record, and waits for the reply for at
    /// most the given time.
    Command(Ticket, Command, Millis),
    /// This entry's load report is to be sent to the other entries.
    ShareLoad(LoadReport),
    /// The other entries are to be told of crashes.
    ShareCrashes(CrashNews),
    /// What this entry has seen of the running rollouts is to be sent to the control instances.
    ReportRollouts(Vec<RolloutReport>),
    /// This entry read the platform's list of upstreams; the change is to be sent to the entries
    /// that its duty covers.
    ShareListing(ListingUpdate, ListingDuty),
    /// The platform's list of upstreams, or the one that a change builds on, is unknown and is
    /// to be requested: from the given instance, or from the entries that may know it.
    RequestListing(Option<Instance>),
    /// The platform's list of upstreams is to be sent to an entry that requested it.
    SendListing(Instance, ListingUpdate),
    /// Other entries are to be asked where a stream began.
    AskOrigin(OriginRequest),
    /// Another entry's question with this number is to be answered.
    SendOrigin(Instance, u64, StreamOrigin),
    /// Writing to the disk failed.
    StorageFailed(CodedError),
    /// The disk works again; the replica was opened anew from it.
    StorageBack(Box<ControlMachine>),
    /// The control instances named by the settings changed.
    SeedsChanged(Vec<Instance>),
    /// The instance is shutting down.
    Drain,
    /// Time has passed; sent at a regular interval.
    Tick,
}

/// An action for the caller of the state machine, to be carried out in order.
#[derive(Debug)]
pub enum FleetOutput {
    /// Write to disk, and sync before any later output is carried out.
    Persist(Persist),
    /// Send a message.
    Send(Instance, Message),
    /// Send the same message to several instances.
    SendToAll(Vec<Instance>, Message),
    /// Reply to an operator.
    Answer(Ticket, Reply),
    /// The configuration or the state of a failure domain changed.
    ViewChanged,
    /// The configuration was confirmed to be the newest as of this long ago.
    ViewConfirmed(Millis),
    /// This control instance proposed to change the stage of a rollout.
    RolloutDecided(StageDecision),
    /// The entries or control instances of the fleet changed; these are the entries.
    Entries(Vec<FleetEntry>),
    /// Another entry's load report arrived.
    LoadReceived(Instance, LoadReport),
    /// Other entries tell of crashes.
    CrashesReceived(CrashNews),
    /// A change of the platform's list of upstreams, or the whole list, arrived from another entry.
    ListingReceived(Instance, ListingUpdate),
    /// Another entry requested the platform's list of upstreams.
    ListingRequested(Instance),
    /// Another entry began these streams.
    StreamsBegun(Vec<BegunStreams>),
    /// Another entry asks where a stream began.
    OriginRequested(Instance, OriginRequest),
    /// The question with this number is decided.
    OriginFound(u64, StreamOrigin),
    /// The control instance that is asked for the configuration changed, or whether the
    /// configuration is confirmed.
    SourceChanged(ConfigurationSource),
    /// This control instance's state in the consensus on the record changed.
    RecordStatusChanged(RecordStatus),
    /// An instance was seen to run in a new process.
    Restarted {
        /// The instance that restarted.
        instance: Instance,
        /// The number of its restarts that this instance has observed.
        restarts: u32,
    },
}

/// Where an instance's configuration comes from, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigurationSource {
    /// The control instance that is asked for the configuration.
    pub asks: Option<Instance>,
    /// Whether the configuration was recently confirmed to be the newest.
    pub is_fresh: bool,
    /// The index in the record of the last known change.
    pub index: u64,
    /// The time since the configuration was last confirmed to be the newest; `None` if never.
    pub confirmed_ms: Option<Millis>,
}

/// A control instance's state in the consensus on the record, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RecordStatus {
    /// The current term.
    pub term: u64,
    /// The leader that it follows; itself if it leads; `None` if none is known.
    pub leader: Option<Instance>,
    /// Whether it can confirm that its configuration is the newest.
    pub confirms: bool,
    /// The index of the last entry that is known to be committed.
    pub commit: u64,
}
