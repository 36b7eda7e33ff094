//! One instance of a fleet with automatic discovery: membership, the record of the configuration,
//! and the exchange of load reports between entries.
//!
//! The state machine serves both roles. An entry pulls the configuration and shares its load; a
//! control instance also keeps a replica of the record and the roster of the fleet. No instance is
//! configured with the whole fleet: each announces itself to the control instances that it knows,
//! and learns of the others from them.

mod crash_exchange;
mod discovery;
mod io;
mod listing;
mod load_exchange;
mod origins;
mod roster;
mod status;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use self::{
    crash_exchange::CrashExchange,
    load_exchange::{LoadExchange, LoadExchangeOutput},
    origins::OriginQuestions,
    roster::{Announcement, Roster, RosterUpdate},
};
pub use self::{
    io::{ConfigurationSource, FleetInput, FleetOutput, RecordStatus, Ticket},
    load_exchange::{has_collectors, report_age, report_ttl, share_interval},
};
use super::{
    client::RecordClient,
    control::{ControlMachine, ControlOutput},
    view::View,
};
use crate::{
    core::{
        Instance, Millis,
        fleet::{FleetSettings, instance_role},
        settings::Role,
    },
    protocol::{
        Message,
        fleet::{FleetMessage, LoadReport},
        record::{RecordMessage, Reply},
    },
    state::log::Log,
};

impl From<LoadExchangeOutput> for FleetOutput {
    fn from(output: LoadExchangeOutput) -> FleetOutput {
        match output {
            LoadExchangeOutput::SendToAll(to, message) => FleetOutput::SendToAll(to, message),
            LoadExchangeOutput::LoadReceived(from, report) => {
                FleetOutput::LoadReceived(from, report)
            }
            LoadExchangeOutput::StreamsBegun(begun) => FleetOutput::StreamsBegun(begun),
        }
    }
}

/// The state machine of one instance.
#[derive(Debug)]
pub struct FleetNode {
    settings: Arc<FleetSettings>,
    instance: Instance,
    view: View,
    control: Option<ControlMachine>,
    client: RecordClient,
    roster: Roster,
    load_exchange: LoadExchange,
    crash_exchange: CrashExchange,
    origin_questions: OriginQuestions,
    awaited: BTreeMap<u64, Ticket>,
    /// Messages from this instance to itself.
    own_messages: VecDeque<Message>,
    next_announcement: Millis,
    /// The wall clock when this process first announced itself, in milliseconds since 1970.
    started: Option<u64>,
    published_digest: u64,
    reported_source: Option<ConfigurationSource>,
    reported_status: Option<RecordStatus>,
    draining: bool,
}

impl FleetNode {
    /// Creates the node of an instance.
    ///
    /// `process` is a random number that identifies the process; `control` is its replica of the
    /// record, if it has one.
    pub fn new(
        settings: Arc<FleetSettings>,
        process: u64,
        control: Option<ControlMachine>,
    ) -> FleetNode {
        let instance = settings.instance();
        let seeds = settings.seed_instances();
        let client = RecordClient::new(&instance, seeds.clone(), Vec::new(), process);
        FleetNode {
            view: View::default(),
            client,
            roster: Roster::new(seeds),
            load_exchange: LoadExchange::default(),
            crash_exchange: CrashExchange::default(),
            origin_questions: OriginQuestions::default(),
            awaited: BTreeMap::new(),
            own_messages: VecDeque::new(),
            next_announcement: Millis::ZERO,
            started: None,
            published_digest: 0,
            reported_source: None,
            reported_status: None,
            draining: false,
            control,
            instance,
            settings,
        }
    }

    /// Returns the configuration in force on this instance.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the replica of the record, if this instance has one.
    pub fn control(&self) -> Option<&ControlMachine> {
        self.control.as_ref()
    }

    /// Returns the current log of the replica, for rewriting it on disk.
    pub fn log(&self) -> Option<&Log> {
        self.control.as_ref().map(|control| control.consensus().log())
    }

    /// Handles an input; `unix_ms` is the wall clock in milliseconds since 1970.
    pub fn handle(
        &mut self,
        now: Millis,
        unix_ms: u64,
        input: FleetInput,
        out: &mut Vec<FleetOutput>,
    ) {
        match input {
            FleetInput::Received(from, message) => {
                self.on_message(now, unix_ms, &from, message, out);
            }
            FleetInput::Command(ticket, command, timeout) => {
                let id = self.client.propose(now, command, timeout);
                self.awaited.insert(id, ticket);
            }
            FleetInput::ShareLoad(report) => self.share(now, report, out),
            FleetInput::ShareCrashes(news) => self.share_crashes(now, news, out),
            FleetInput::ReportRollouts(reports) => {
                let controls = self.roster.controls();
                for report in reports {
                    let message = Message::Record(RecordMessage::RolloutReport(report));
                    out.push(FleetOutput::SendToAll(controls.clone(), message));
                }
            }
            FleetInput::ShareListing(update, duty) => self.share_listing(update, duty, out),
            FleetInput::RequestListing(from) => self.request_listing(from, out),
            FleetInput::SendListing(to, update) => {
                out.push(FleetOutput::Send(to, Message::Fleet(FleetMessage::Listing(update))));
            }
            FleetInput::AskOrigin(request) => self.ask_origin(now, request, out),
            FleetInput::SendOrigin(to, number, origin) => {
                let message = Message::Fleet(FleetMessage::Origin(number, origin));
                out.push(FleetOutput::Send(to, message));
            }
            FleetInput::StorageFailed(err) => {
                if let Some(control) = &mut self.control {
                    control.on_storage_failed(err);
                }
            }
            FleetInput::StorageBack(control) => self.control = Some(*control),
            FleetInput::SeedsChanged(seeds) => self.roster.set_seeds(seeds),
            FleetInput::Drain => {
                self.draining = true;
                self.announce(now, unix_ms, out);
                self.run_control(out, |control, outputs| control.transfer_leadership(outputs));
            }
            FleetInput::Tick => self.tick(now, unix_ms, out),
        }
        self.deliver_own_messages(now, unix_ms, out);
    }

    /// Completes a batch of inputs: sends the messages that were collected during it.
    pub fn flush(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<FleetOutput>) {
        self.run_control(out, |control, outputs| control.flush(now, outputs));
        let mut messages = Vec::new();
        self.client.send_proposals(now, &mut messages);
        self.send_all(messages, out);
        self.deliver_own_messages(now, unix_ms, out);
    }

    fn deliver_own_messages(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<FleetOutput>) {
        let instance = self.instance.clone();
        while let Some(message) = self.own_messages.pop_front() {
            self.on_message(now, unix_ms, &instance, message, out);
        }
    }

    fn send(&mut self, to: Instance, message: Message, out: &mut Vec<FleetOutput>) {
        if to == self.instance {
            self.own_messages.push_back(message);
        } else {
            out.push(FleetOutput::Send(to, message));
        }
    }

    fn send_all(&mut self, messages: Vec<(Instance, RecordMessage)>, out: &mut Vec<FleetOutput>) {
        for (to, message) in messages {
            self.send(to, Message::Record(message), out);
        }
    }

    fn tick(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<FleetOutput>) {
        self.run_control(out, |control, outputs| {
            control.tick(now, outputs);
            control.repair_members(now, unix_ms, outputs);
            control.tick_rollouts(now, unix_ms, outputs);
        });
        let mut messages = Vec::new();
        let is_confirmed = self.view.is_fresh(now);
        self.client.pull(now, self.view.index(), is_confirmed, &mut messages);
        self.send_all(messages, out);
        for (id, reply) in self.client.expire_proposals(now) {
            self.on_answer(id, reply, out);
        }
        self.pass_crashes_on(now, out);
        self.roster.expire(now, self.control.is_some());
        self.publish_entries(out);
        self.report_source(now, out);
        self.report_status(now, out);
        if now >= self.next_announcement {
            self.announce(now, unix_ms, out);
        }
    }

    fn share(&mut self, now: Millis, report: LoadReport, out: &mut Vec<FleetOutput>) {
        let domain = &self.settings.failure_domain;
        let mut outputs = Vec::new();
        self.load_exchange.share(now, &self.instance, domain, report, &mut outputs);
        out.extend(outputs.into_iter().map(FleetOutput::from));
    }

    fn on_message(
        &mut self,
        now: Millis,
        unix_ms: u64,
        from: &Instance,
        message: Message,
        out: &mut Vec<FleetOutput>,
    ) {
        match message {
            Message::Consensus(message) => {
                self.run_control(out, |control, outputs| {
                    control.on_consensus(now, &message, outputs);
                });
            }
            Message::Record(message) => self.on_record(now, unix_ms, from, message, out),
            Message::Fleet(message) => self.on_fleet(now, unix_ms, from, message, out),
            // These belong to fleets without discovery, whose instances are in their settings.
            Message::Lease(_) | Message::Dispatch(_) | Message::Crashes(_) => {}
        }
    }

    fn on_fleet(
        &mut self,
        now: Millis,
        unix_ms: u64,
        from: &Instance,
        message: FleetMessage,
        out: &mut Vec<FleetOutput>,
    ) {
        match message {
            FleetMessage::Join { domain, leaving, known, started } => {
                self.on_announcement(now, from, &Announcement { domain, leaving, started }, out);
                if self.control.is_some() {
                    self.answer_announcement(unix_ms, from, known, out);
                }
            }
            FleetMessage::Roster { number, entries, controls } => {
                // A control instance lists only the entries that announce themselves to it. From
                // the rosters of others it takes the control instances, so that it can reach a
                // leader.
                let entries = if self.control.is_some() { Vec::new() } else { entries };
                self.roster.on_update(now, from, RosterUpdate { number, entries, controls });
                self.publish_entries(out);
            }
            FleetMessage::RosterUnchanged(number) => self.roster.on_unchanged(now, from, number),
            FleetMessage::Load(report) => {
                self.roster.on_message_from(now, from);
                out.extend(self.load_exchange.on_load(now, from, report).map(FleetOutput::from));
            }
            FleetMessage::DomainLoad(domain, sum) => {
                self.load_exchange.on_domain_sum(now, domain, sum)
            }
            FleetMessage::Total(total) => {
                out.extend(
                    self.load_exchange.on_total(&self.instance, &total).map(FleetOutput::from),
                );
            }
            FleetMessage::Listing(update) => {
                out.push(FleetOutput::ListingReceived(from.clone(), update))
            }
            FleetMessage::ListingRequest => out.push(FleetOutput::ListingRequested(from.clone())),
            FleetMessage::OriginRequest(request) => {
                out.push(FleetOutput::OriginRequested(from.clone(), request));
            }
            FleetMessage::Origin(number, origin) => self.on_origin(from, number, origin, out),
            FleetMessage::Crashes(reach, news) => self.on_crash_news(now, reach, news, out),
        }
    }

    fn on_record(
        &mut self,
        now: Millis,
        unix_ms: u64,
        from: &Instance,
        message: RecordMessage,
        out: &mut Vec<FleetOutput>,
    ) {
        match message {
            RecordMessage::Pull { have, .. } if self.control.is_none() => {
                let state = Message::Record(self.view.state_since(have));
                self.send(from.clone(), state, out);
            }
            RecordMessage::Pull { .. }
            | RecordMessage::Propose { .. }
            | RecordMessage::RolloutReport(_) => {
                self.run_control(out, |control, outputs| {
                    control.on_record(now, unix_ms, from, &message, outputs);
                });
            }
            RecordMessage::State { asked, .. } => {
                if asked.is_some() && instance_role(from) == Some(Role::Control) {
                    self.client.on_state(now, from, message.confirmed());
                }
                let confirmed = message.confirmed();
                if self.view.merge(&message) {
                    out.push(FleetOutput::ViewChanged);
                }
                if let Some(age) = confirmed.and_then(|_| self.view.confirmed_age(now)) {
                    out.push(FleetOutput::ViewConfirmed(age));
                }
            }
            RecordMessage::Answer { id, reply } => {
                if let Some(reply) = self.client.on_answer(now, id, reply) {
                    self.on_answer(id, reply, out);
                }
            }
            RecordMessage::Redirect { id, leader } => {
                self.client.on_redirect(now, id, leader.as_ref());
            }
        }
    }

    fn on_answer(&mut self, id: u64, reply: Reply, out: &mut Vec<FleetOutput>) {
        if let Some(ticket) = self.awaited.remove(&id) {
            out.push(FleetOutput::Answer(ticket, reply));
        }
    }

    fn run_control(
        &mut self,
        out: &mut Vec<FleetOutput>,
        run: impl FnOnce(&mut ControlMachine, &mut Vec<ControlOutput>),
    ) {
        let Some(control) = &mut self.control else { return };
        let mut outputs = Vec::new();
        run(control, &mut outputs);
        for output in outputs {
            match output {
                ControlOutput::Persist(persist) => out.push(FleetOutput::Persist(persist)),
                ControlOutput::Send(to, message) => self.send(to, message, out),
                ControlOutput::RolloutDecided(decision) => {
                    out.push(FleetOutput::RolloutDecided(decision));
                }
                ControlOutput::SendToControls(message) => {
                    for control in self.roster.controls() {
                        if control != self.instance {
                            let message = Message::Consensus(message.clone());
                            out.push(FleetOutput::Send(control, message));
                        }
                    }
                }
            }
        }
    }
}
