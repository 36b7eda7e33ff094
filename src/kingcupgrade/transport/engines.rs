//! Requests and orders to engines. Each has a thread of its own, as they are rare.

use std::{sync::mpsc, thread};

use super::{
    Event,
    upstream::{has_sound_head, notice_of},
};
use crate::{
    coordination::{
        node::Input,
        notices::UpstreamNotice,
        orders::{EngineRequest, EngineResponse, RESPONSE_TIMEOUT},
    },
    core::clock::Clock,
    protocol::order::{ORDER_PATH, OrderRequest, SETUP_PATH, UpstreamOrder},
};

/// The stack size of a thread, in bytes.
const STACK_LEN: usize = 256 << 10;
/// The HTTP status with which an engine rejects a fencing number that is lower than the highest one
/// it has seen.
const OUTDATED: u16 = 409;
/// Why an answer says nothing of an order or a set-up.
const BROKEN_HEAD: &str = "the head of the engine's answer is not valid";

/// Sends an order to an engine or reads its set-up, and reports the result to the node.
pub fn ask(clock: Clock, ask: EngineRequest, events: mpsc::Sender<Event>) {
    let run = move || {
        let (answer, notice) = match &ask.order {
            // If the thread started late, another instance may hold the lease by now.
            Some(_) if clock.now() >= ask.until => {
                failed("the order expired before it could be sent")
            }
            Some(order) => send_order(&ask, order),
            None => read_setup(&ask),
        };
        // The node outlives this thread; sending fails only while the process exits.
        if !notice.is_empty() {
            let _ = events.send(Event::Input(Input::EngineNoticed(ask.id.clone(), notice)));
        }
        let _ = events.send(Event::Input(Input::EngineResponded(ask.id, answer)));
    };
    // If the thread can't be started, no result is reported, and the node tries again later.
    let _ = thread::Builder::new().name("engines".to_owned()).stack_size(STACK_LEN).spawn(run);
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(RESPONSE_TIMEOUT.as_duration()))
        .max_idle_connections(0)
        .http_status_as_error(false)
        .build();
    ureq::Agent::new_with_config(config)
}

fn failed(reason: impl Into<String>) -> (EngineResponse, UpstreamNotice) {
    (EngineResponse::Failed(reason.into()), UpstreamNotice::default())
}

fn send_order(ask: &EngineRequest, order: &UpstreamOrder) -> (EngineResponse, UpstreamNotice) {
    let request = OrderRequest {
        number: order.index,
        model: order.setup.model.clone(),
        role: order.setup.role.clone(),
        drained: order.setup.drained,
    };
    let body = serde_json::to_string(&request).expect("an order has only serializable fields");
    let url = format!("http://{}{ORDER_PATH}", ask.address);
    let response = match agent().post(url).send(body) {
        Ok(response) => response,
        Err(err) => return failed(err.to_string()),
    };
    if !has_sound_head(&ask.id.upstream, &response) {
        return failed(BROKEN_HEAD);
    }
    let answer = match response.status().as_u16() {
        200..=299 => EngineResponse::Accepted,
        OUTDATED => EngineResponse::Outdated,
        404 | 405 => EngineResponse::Unsupported,
        status => EngineResponse::Failed(format!("the engine rejected the order: HTTP {status}")),
    };
    (answer, notice_of(&ask.id.upstream, &response))
}

fn read_setup(ask: &EngineRequest) -> (EngineResponse, UpstreamNotice) {
    let url = format!("http://{}{SETUP_PATH}", ask.address);
    let mut response = match agent().get(url).call() {
        Ok(response) => response,
        Err(err) => return failed(err.to_string()),
    };
    if !has_sound_head(&ask.id.upstream, &response) {
        return failed(BROKEN_HEAD);
    }
    let notice = notice_of(&ask.id.upstream, &response);
    if response.status() == 404 {
        return (EngineResponse::Unsupported, notice);
    }
    let text = response.body_mut().read_to_string().unwrap_or_default();
    let answer = match serde_json::from_str(&text) {
        Ok(setup) => EngineResponse::Setup(setup),
        Err(err) => EngineResponse::Failed(format!("could not decode the engine's set-up: {err}")),
    };
    (answer, notice)
}
