//! What operators ask of this instance.

use std::collections::BTreeMap;

use super::{Awaited, CHANGE_PATIENCE, Node, Output, Ticket, nothing_there};
use crate::{
    coordination::{dispatcher::Dispatcher, orders::OrderBook},
    core::{Millis, Service, UpstreamName},
    protocol::{
        dispatch::STATIC_TERM,
        operator::{Backup, ControlStatus, OperatorReply, OperatorRequest, PoolStatus, Status},
        record::Command,
    },
    util::hex::to_hex,
};

impl Node {
    pub(super) fn on_asked(
        &mut self,
        now: Millis,
        ticket: Ticket,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) {
        let reply = match request {
            OperatorRequest::Change { command: Command::SetDomain { domain, .. } }
                if !self.settings.peers.iter().any(|peer| peer.failure_domain == domain) =>
            {
                nothing_there(&format!("no instance is in a failure domain {domain}"))
            }
            OperatorRequest::Change { command } => {
                let proposal = self.client.propose(now, command, CHANGE_PATIENCE);
                self.awaited.insert(proposal, Awaited::Operator(ticket));
                return;
            }
            OperatorRequest::Status => OperatorReply::Status(Box::new(self.status(now))),
            OperatorRequest::Document { service } => match self.view.documents().get(&service) {
                Some(in_force) => OperatorReply::Document(in_force.stored.clone()),
                None => nothing_there(&format!("no document of {service} is in force here")),
            },
            OperatorRequest::History { service } => match &self.control {
                Some(control) => {
                    let revisions = control.record().revisions(&service).cloned().collect();
                    OperatorReply::History { revisions }
                }
                None => nothing_there("ask a control instance for the history"),
            },
            OperatorRequest::Backup => match &mut self.control {
                Some(control) if !control.is_member() => not_a_member(),
                Some(control) => {
                    let confirmed = control.age(now).is_some();
                    let (index, data) = control.backup();
                    OperatorReply::Backup(Backup { index, confirmed, data: to_hex(&data) })
                }
                None => nothing_there("ask a control instance for a backup"),
            },
            OperatorRequest::Members => match &self.control {
                Some(control) if !control.is_member() => not_a_member(),
                Some(control) => OperatorReply::Members {
                    members: control.consensus().members().to_vec(),
                    leader: control.consensus().leader().map(|leader| leader.0.clone()),
                },
                None => nothing_there("ask a control instance for the members"),
            },
        };
        out.push(Output::Answer(ticket, reply));
    }

    /// Describes what the instance knows and does.
    pub fn status(&self, now: Millis) -> Status {
        let revisions = self.view.documents().iter();
        let control = self.control.as_ref().map(|control| ControlStatus {
            term: control.consensus().term(),
            leader: control.consensus().leader().map(|leader| leader.0.clone()),
            commit: control.consensus().commit(),
            keys: control.record().keys().len(),
            failure: control.failure().cloned(),
        });
        Status {
            instance: self.settings.instance.clone(),
            failure_domain: self.domain.clone(),
            index: self.view.index(),
            fresh: self.view.is_fresh(now),
            draining: self.draining,
            revisions: revisions
                .map(|(s, in_force)| (s.clone(), in_force.stored.revision))
                .collect(),
            domains: self.view.domains().cloned().collect(),
            open_requests: self.open_requests(),
            orders: self.view.orders().cloned().collect(),
            pools: self.pool_statuses(),
            control,
        }
    }

    fn order_stages(&self, service: &Service) -> BTreeMap<UpstreamName, (u64, String)> {
        let stages = self.orders.get(service).into_iter().flat_map(OrderBook::stages);
        stages.map(|(name, number, stage)| (name.clone(), (number, stage))).collect()
    }

    fn pool_statuses(&self) -> Vec<PoolStatus> {
        let all = self.dispatchers.iter().chain(self.shares.iter());
        let describe = |(service, dispatcher): (&Service, &Dispatcher)| {
            let loads = dispatcher.loads();
            PoolStatus {
                service: service.clone(),
                term: (dispatcher.term() & STATIC_TERM == 0).then(|| dispatcher.term()),
                backlogged: dispatcher.counters().backlogged(),
                orders: self.order_stages(service),
                upstreams: loads.map(|(name, used, limit)| (name.clone(), (used, limit))).collect(),
            }
        };
        all.map(describe).collect()
    }
}

/// Answers for a replica that holds no record: what it has is nothing, not the record's nothing.
fn not_a_member() -> OperatorReply {
    nothing_there("this replica is no member of a record; ask another control instance")
}
