//! The commands of operators on their way to the control thread and back.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::oneshot;

use crate::{
    coordination::fleet::{FleetInput, Ticket},
    core::Millis,
    protocol::record::{Command, Reply},
    util::log,
};

/// A command of an operator, who waits for the reply.
pub(super) struct OperatorCommand {
    pub(super) command: Command,
    /// The end of the operator's wait.
    pub(super) deadline: Millis,
    pub(super) tx: oneshot::Sender<Reply>,
}

/// The highest index of the record that this instance knows of; it never decreases.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownIndex(Arc<AtomicU64>);

impl KnownIndex {
    pub(super) fn get(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }

    pub(super) fn raise(&self, index: u64) {
        self.0.fetch_max(index, Ordering::SeqCst);
    }
}

struct WaitingOperator {
    tx: oneshot::Sender<Reply>,
    /// Whether the command depends on the order in which operators send theirs.
    is_ordered: bool,
}

/// The operators that wait for replies.
#[derive(Default)]
pub(super) struct WaitingOperators {
    waiting: BTreeMap<Ticket, WaitingOperator>,
    last_ticket: Ticket,
}

impl WaitingOperators {
    /// Returns the input for an operator's command, unless the operator no longer waits for it.
    pub(super) fn admit(&mut self, now: Millis, requested: OperatorCommand) -> Option<FleetInput> {
        let OperatorCommand { command, deadline, tx } = requested;
        let left = deadline.since(now);
        if left == Millis::ZERO || tx.is_closed() {
            log::event("operator-left", &command.change_id());
            return None;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let is_ordered = match &command {
            Command::IfUnchanged { since, command } => {
                log::event("order-proposed", &(ticket, since, format!("{command:?}")));
                true
            }
            _ => false,
        };
        self.waiting.insert(ticket, WaitingOperator { tx, is_ordered });
        Some(FleetInput::Command(ticket, command, left))
    }

    /// Passes a reply to the operator who waits for it.
    pub(super) fn answer(&mut self, ticket: Ticket, reply: Reply) {
        let Some(WaitingOperator { tx, is_ordered }) = self.waiting.remove(&ticket) else { return };
        if is_ordered {
            let is_awaited = !tx.is_closed();
            log::event("order-answered", &(ticket, format!("{reply:?}"), is_awaited));
        }
        // Sending fails if the operator has disconnected.
        let _ = tx.send(reply);
    }
}
