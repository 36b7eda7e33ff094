//! Orders to the engines of the pools this instance dispatches.

use super::{Node, Output};
use crate::{
    coordination::{
        notices::UpstreamNotice,
        orders::{EngineRequestId, EngineResponse, EngineState, OrderOutput, OrderReconciler},
    },
    core::{Millis, Service},
};

impl Node {
    pub(super) fn tick_orders(&mut self, now: Millis, out: &mut Vec<Output>) {
        let services: Vec<Service> = self.orders.keys().cloned().collect();
        for service in services {
            self.tick_reconciler(now, &service, out);
        }
    }

    fn tick_reconciler(&mut self, now: Millis, service: &Service, out: &mut Vec<Output>) {
        let until = self.leases.as_ref().and_then(|leases| leases.held_until(now, service));
        let (Some(until), Some(dispatcher), Some(reconciler)) =
            (until, self.dispatchers.get(service), self.orders.get_mut(service))
        else {
            return;
        };
        let standing = self.view.orders().filter(|order| !order.setup.is_empty());
        let engines = standing.filter_map(|order| {
            let (address, is_idle) = dispatcher.upstream_state(now, &order.upstream)?;
            let backs_off = dispatcher.backs_off(now, &order.upstream);
            Some(EngineState { order, address, is_idle, backs_off })
        });
        let mut outputs = Vec::new();
        reconciler.tick(now, until, engines, &mut outputs);
        self.handle_order_outputs(now, service, outputs, out);
    }

    pub(super) fn on_engine_response(
        &mut self,
        now: Millis,
        id: &EngineRequestId,
        response: EngineResponse,
        out: &mut Vec<Output>,
    ) {
        let Some(reconciler) = self.orders.get_mut(&id.service) else { return };
        let mut outputs = Vec::new();
        reconciler.on_response(now, id, response, &mut outputs);
        self.handle_order_outputs(now, &id.service, outputs, out);
    }

    /// Records what an engine asks for on its answer to an order or a question about its set-up.
    pub(super) fn on_engine_notice(
        &mut self,
        now: Millis,
        id: &EngineRequestId,
        notice: UpstreamNotice,
        out: &mut Vec<Output>,
    ) {
        let Some(dispatcher) = self.dispatchers.get_mut(&id.service) else { return };
        let mut outputs = Vec::new();
        dispatcher.on_own_notice(now, &id.upstream, notice, &mut outputs);
        self.handle_dispatcher_outputs(now, &id.service, outputs, out);
    }

    fn handle_order_outputs(
        &mut self,
        now: Millis,
        service: &Service,
        outputs: Vec<OrderOutput>,
        out: &mut Vec<Output>,
    ) {
        let mut dispatched = Vec::new();
        for output in outputs {
            match output {
                OrderOutput::Request(request) => out.push(Output::EngineRequest(request)),
                OrderOutput::HeldChanged => self.update_availability(service),
                OrderOutput::Decided(decision) => out.push(Output::Decided(decision)),
                OrderOutput::Changed(upstream) => {
                    if let Some(dispatcher) = self.dispatchers.get_mut(service) {
                        dispatcher.on_reconfigured(now, &upstream, &mut dispatched);
                    }
                }
            }
        }
        self.handle_dispatcher_outputs(now, service, dispatched, out);
    }

    /// Updates which upstreams may get no new requests in a pool's dispatcher and static share.
    pub(super) fn update_availability(&mut self, service: &Service) {
        let serving = !self.view.is_out(&self.domain);
        let mut withheld = self.view.leaving();
        if let Some(share) = self.shares.get_mut(service) {
            share.set_availability(serving, &withheld);
        }
        let held = self.orders.get(service).map(OrderReconciler::held);
        withheld.extend(held.into_iter().flatten().cloned());
        if let Some(dispatcher) = self.dispatchers.get_mut(service) {
            dispatcher.set_availability(serving, &withheld);
        }
    }
}
