//! Requests from operators.

use std::collections::BTreeMap;

use super::{Awaited, CHANGE_TIMEOUT, Node, Output, RecordStanding, Ticket, not_found};
use crate::{
    coordination::{dispatcher::Dispatcher, orders::OrderReconciler},
    core::{Millis, Service, UpstreamName},
    protocol::{
        dispatch::STATIC_TERM,
        operator::{Backup, ControlStatus, OperatorReply, OperatorRequest, PoolStatus, Status},
        record::Command,
    },
    util::hex::to_hex,
};

impl Node {
    pub(super) fn on_operator(
        &mut self,
        now: Millis,
        ticket: Ticket,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) {
        let reply = match request {
            OperatorRequest::Change { command } => {
                if let Command::SetDomain { domain, .. } = command.unconditional()
                    && !self.settings.peers.iter().any(|peer| peer.failure_domain == *domain)
                {
                    let unknown =
                        not_found(&format!("no instance is in a failure domain {domain}"));
                    out.push(Output::OperatorReply(ticket, unknown));
                    return;
                }
                let proposal = self.client.propose(now, command, CHANGE_TIMEOUT);
                self.awaited.insert(proposal, Awaited::Operator(ticket));
                return;
            }
            OperatorRequest::Status => OperatorReply::Status(Box::new(self.status(now))),
            OperatorRequest::Document { service } => match self.view.documents().get(&service) {
                Some(in_force) => OperatorReply::Document(in_force.stored.clone()),
                None => not_found(&format!("no document of {service} is in force here")),
            },
            OperatorRequest::History { service } => match &self.control {
                Some(control) => {
                    let revisions = control.record().revisions(&service).cloned().collect();
                    OperatorReply::History { revisions }
                }
                None => not_found("no replica of the record here; ask a control instance"),
            },
            OperatorRequest::Backup => match &mut self.control {
                Some(control) if !control.is_member() => not_a_member(),
                Some(control) => {
                    let confirmed = control.age(now).is_some();
                    let (index, data) = control.backup();
                    OperatorReply::Backup(Backup { index, confirmed, data: to_hex(&data) })
                }
                None => not_found("no replica of the record here; ask a control instance"),
            },
            OperatorRequest::Members => match &self.control {
                Some(control) if !control.is_member() => not_a_member(),
                Some(control) => OperatorReply::Members {
                    members: control.consensus().members().to_vec(),
                    leader: control.consensus().leader().map(|leader| leader.0.clone()),
                },
                None => not_found("no replica of the record here; ask a control instance"),
            },
        };
        out.push(Output::OperatorReply(ticket, reply));
    }

    /// Returns the status of the instance.
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
            rollouts: self.view.rollouts().values().flat_map(BTreeMap::values).cloned().collect(),
            pools: self.pool_statuses(),
            control,
        }
    }

    /// Returns the term of the record and the leader that this control instance follows, itself if it
    /// leads; `None` without a replica of the record.
    pub fn record_standing(&self) -> Option<RecordStanding> {
        let consensus = self.control.as_ref()?.consensus();
        let leader = consensus.leader().map(|leader| leader.0.clone());
        Some(RecordStanding { term: consensus.term(), leader })
    }

    fn order_stages(&self, service: &Service) -> BTreeMap<UpstreamName, (u64, String)> {
        let stages = self.orders.get(service).into_iter().flat_map(OrderReconciler::stages);
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

/// Returns the reply of a replica that is not a member of a record. Its state is empty because it
/// has no record, which must not be taken for an empty record.
fn not_a_member() -> OperatorReply {
    not_found("this replica is not a member of a record; ask another control instance")
}
