//! The durable record: this instance's replica, and its client of the control instances.

use super::{Awaited, Node, Output};
use crate::{
    coordination::{
        control::{ControlMachine, ControlOutput},
        decision::Decision,
    },
    core::{Instance, Millis, Service, settings::Role},
    protocol::{
        Message,
        operator::OperatorReply,
        record::{RecordMessage, Reply},
    },
};

impl Node {
    pub(super) fn run_control(
        &mut self,
        out: &mut Vec<Output>,
        run: impl FnOnce(&mut ControlMachine, &mut Vec<ControlOutput>),
    ) {
        let Some(control) = &mut self.control else { return };
        let mut outputs = Vec::new();
        run(control, &mut outputs);
        for output in outputs {
            match output {
                ControlOutput::Persist(persist) => out.push(Output::Persist(persist)),
                ControlOutput::Send(to, message) => self.send(to, message, out),
                ControlOutput::RolloutDecided(decision) => {
                    out.push(Output::Decided(Decision::Rollout(decision)));
                }
                ControlOutput::SendToControls(message) => {
                    let own = &self.settings.instance;
                    let controls = self.settings.with_role(Role::Control);
                    for peer in controls.filter(|peer| peer.instance != *own) {
                        let message = Message::Consensus(message.clone());
                        out.push(Output::Send(peer.instance.clone(), message));
                    }
                }
            }
        }
    }

    pub(super) fn on_record(
        &mut self,
        now: Millis,
        unix_ms: u64,
        from: &Instance,
        message: &RecordMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            RecordMessage::Pull { have, .. } if self.control.is_none() => {
                let state = Message::Record(self.view.state_since(*have));
                self.send(from.clone(), state, out);
            }
            RecordMessage::Pull { .. }
            | RecordMessage::Propose { .. }
            | RecordMessage::RolloutReport(_) => {
                self.run_control(out, |control, outputs| {
                    control.on_record(now, unix_ms, from, message, outputs);
                });
            }
            RecordMessage::State { asked, .. } => {
                if asked.is_some() {
                    self.client.on_state(now, from, message.confirmed());
                }
                if self.view.merge(message) {
                    self.on_view_changed(now, out);
                }
            }
            RecordMessage::Answer { id, reply } => {
                if let Some(reply) = self.client.on_answer(now, *id, reply.clone()) {
                    self.on_answer(now, *id, reply, out);
                }
            }
            RecordMessage::Redirect { id, leader } => {
                self.client.on_redirect(now, *id, leader.as_ref());
            }
        }
    }

    fn on_answer(&mut self, now: Millis, id: u64, reply: Reply, out: &mut Vec<Output>) {
        match self.awaited.remove(&id) {
            Some(Awaited::Claim(request)) => self.on_claim_answer(now, request, reply, out),
            Some(Awaited::Operator(ticket)) => {
                out.push(Output::OperatorReply(ticket, OperatorReply::Changed { reply }));
            }
            Some(Awaited::Settle) | None => {}
        }
    }

    fn on_view_changed(&mut self, now: Millis, out: &mut Vec<Output>) {
        let services: Vec<Service> = self.view.documents().keys().cloned().collect();
        for (service, dispatcher) in &mut self.dispatchers {
            if let Some(in_force) = self.view.documents().get(service) {
                dispatcher.set_document(&in_force.document);
            }
        }
        self.reload_share_documents(now);
        for service in &services {
            self.update_availability(service);
        }
        if let Some(leases) = &mut self.leases {
            leases.set_services(services);
        }
        self.update_shares(now, out);
        out.push(Output::ViewChanged);
    }

    pub(super) fn send_proposals(&mut self, now: Millis, out: &mut Vec<Output>) {
        let mut messages = Vec::new();
        self.client.send_proposals(now, &mut messages);
        for (to, message) in messages {
            self.send(to, Message::Record(message), out);
        }
    }

    pub(super) fn tick_client(&mut self, now: Millis, out: &mut Vec<Output>) {
        let mut messages = Vec::new();
        let is_confirmed = self.view.is_fresh(now);
        self.client.pull(now, self.view.index(), is_confirmed, &mut messages);
        for (to, message) in messages {
            self.send(to, Message::Record(message), out);
        }
        for (id, reply) in self.client.expire_proposals(now) {
            self.on_answer(now, id, reply, out);
        }
    }
}
