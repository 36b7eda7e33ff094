//! One instance of a fleet that finds itself: membership, the record, and what entries tell each
//! other.
//!
//! The machine serves both roles. An entry pulls the configuration and spreads its load; a control
//! instance keeps a replica of the record besides and lists the fleet. Neither is told who the
//! others are: they join the control instances they know, and learn the rest.

mod io;
mod joining;
mod listing;
mod roster;
mod telling;
mod totals;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

pub use self::{
    io::{ConfigurationSource, FleetInput, FleetOutput, RecordStanding, Ticket},
    totals::{report_age, report_ttl, share_interval},
};
use self::{
    roster::{Joined, Roster, Told},
    totals::{Totals, TotalsOutput},
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

impl From<TotalsOutput> for FleetOutput {
    fn from(output: TotalsOutput) -> FleetOutput {
        match output {
            TotalsOutput::SendToAll(to, message) => FleetOutput::SendToAll(to, message),
            TotalsOutput::Heard(from, report) => FleetOutput::Heard(from, report),
        }
    }
}

/// The state of one instance.
#[derive(Debug)]
pub struct FleetNode {
    settings: Arc<FleetSettings>,
    instance: Instance,
    view: View,
    control: Option<ControlMachine>,
    client: RecordClient,
    roster: Roster,
    totals: Totals,
    awaited: BTreeMap<u64, Ticket>,
    /// Messages from this instance to itself.
    own: VecDeque<Message>,
    next_join: Millis,
    /// The wall clock when this process first said that it is there.
    started: Option<u64>,
    told_digest: u64,
    told_source: Option<ConfigurationSource>,
    told_standing: Option<RecordStanding>,
    draining: bool,
}

impl FleetNode {
    /// Makes the node of an instance; `control` is its replica of the record, if it has one.
    pub fn new(settings: Arc<FleetSettings>, control: Option<ControlMachine>) -> FleetNode {
        let instance = settings.instance();
        let seeds = settings.seed_instances();
        let client = RecordClient::new(&instance, seeds.clone(), Vec::new());
        FleetNode {
            view: View::default(),
            client,
            roster: Roster::new(seeds),
            totals: Totals::default(),
            awaited: BTreeMap::new(),
            own: VecDeque::new(),
            next_join: Millis::ZERO,
            started: None,
            told_digest: 0,
            told_source: None,
            told_standing: None,
            draining: false,
            control,
            instance,
            settings,
        }
    }

    /// Returns the configuration in force here.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the replica of the record, if there is one.
    pub fn control(&self) -> Option<&ControlMachine> {
        self.control.as_ref()
    }

    /// Returns the log as it stands, for writing it anew.
    pub fn log(&self) -> Option<&Log> {
        self.control.as_ref().map(|control| control.consensus().log())
    }

    /// Handles an input; `unix_ms` is the wall clock.
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
            FleetInput::Asked(ticket, command, patience) => {
                let id = self.client.propose(now, command, patience);
                self.awaited.insert(id, ticket);
            }
            FleetInput::Share(report) => self.share(now, report, out),
            FleetInput::ShareListing(news, duty) => self.share_listing(news, duty, out),
            FleetInput::WantListing(from) => self.want_listing(from, out),
            FleetInput::TellListing(to, news) => {
                out.push(FleetOutput::Send(to, Message::Fleet(FleetMessage::Listing(news))));
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
                self.join(now, unix_ms, out);
                self.run_control(out, |control, outputs| control.hand_over(outputs));
            }
            FleetInput::Tick => self.tick(now, unix_ms, out),
        }
        self.deliver_own(now, unix_ms, out);
    }

    /// Completes a batch of inputs: sends what was gathered over it.
    pub fn flush(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<FleetOutput>) {
        self.run_control(out, |control, outputs| control.flush(now, outputs));
        let mut messages = Vec::new();
        self.client.send_proposals(now, &mut messages);
        self.send_all(messages, out);
        self.deliver_own(now, unix_ms, out);
    }

    fn deliver_own(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<FleetOutput>) {
        let instance = self.instance.clone();
        while let Some(message) = self.own.pop_front() {
            self.on_message(now, unix_ms, &instance, message, out);
        }
    }

    fn send(&mut self, to: Instance, message: Message, out: &mut Vec<FleetOutput>) {
        if to == self.instance {
            self.own.push_back(message);
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
        });
        let mut messages = Vec::new();
        let is_confirmed = self.view.is_fresh(now);
        self.client.pull(now, self.view.index(), is_confirmed, &mut messages);
        self.send_all(messages, out);
        for (id, reply) in self.client.give_up_overdue(now) {
            self.on_answer(id, reply, out);
        }
        self.roster.expire(now, self.control.is_some());
        self.tell_entries(out);
        self.tell_source(now, out);
        self.tell_standing(now, out);
        if now >= self.next_join {
            self.join(now, unix_ms, out);
        }
    }

    fn share(&mut self, now: Millis, report: LoadReport, out: &mut Vec<FleetOutput>) {
        let domain = &self.settings.failure_domain;
        let mut outputs = Vec::new();
        self.totals.share(now, &self.instance, domain, report, &mut outputs);
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
            // Of the other kind of fleet, whose pools have dispatchers.
            Message::Lease(_) | Message::Dispatch(_) => {}
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
                self.on_join(now, from, &Joined { domain, leaving, started }, out);
                if self.control.is_some() {
                    self.answer_join(unix_ms, from, known, out);
                }
            }
            FleetMessage::Roster { number, entries, controls } => {
                // A control instance lists whom it hears itself; of the others' lists it takes the
                // control instances, to be able to reach a leader.
                let entries = if self.control.is_some() { Vec::new() } else { entries };
                self.roster.on_told(now, from, Told { number, entries, controls });
                self.tell_entries(out);
            }
            FleetMessage::RosterUnchanged(number) => self.roster.on_same(now, from, number),
            FleetMessage::Load(report) => {
                self.roster.on_heard(now, from);
                out.extend(self.totals.on_load(now, from, report).map(FleetOutput::from));
            }
            FleetMessage::DomainLoad(domain, sum) => self.totals.on_domain_sum(now, domain, sum),
            FleetMessage::Total(total) => {
                out.extend(self.totals.on_total(&self.instance, &total).map(FleetOutput::from));
            }
            FleetMessage::Listing(news) => out.push(FleetOutput::Listed(from.clone(), news)),
            FleetMessage::ListingRequest => out.push(FleetOutput::ListingWanted(from.clone())),
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
            RecordMessage::Pull { .. } | RecordMessage::Propose { .. } => {
                self.run_control(out, |control, outputs| {
                    control.on_record(now, unix_ms, from, &message, outputs);
                });
            }
            RecordMessage::State { asked, .. } => {
                if asked.is_some() && instance_role(from) == Some(Role::Control) {
                    self.client.on_state(now, from, message.confirmed());
                }
                if self.view.merge(&message) {
                    out.push(FleetOutput::ViewChanged);
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
