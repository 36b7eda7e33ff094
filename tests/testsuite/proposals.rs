//! Proposals of processes that restart while answers to them are on their way.

use std::sync::Arc;

use kingcupgrade::{
    coordination::fleet::{FleetInput, FleetNode, FleetOutput, Ticket},
    core::{Millis, fleet::FleetSettings},
    protocol::{
        Message,
        record::{Command, RecordMessage, Reply, StoredConfiguration},
    },
};

use crate::support::fleet_settings;

const LEADER: [u8; 4] = [127, 0, 0, 9];
const TICKET: Ticket = 1;

/// Starts a process and lets it propose a version of the configuration; returns it with the number
/// of the proposal.
fn propose(process: u64, version: u64) -> (FleetNode, u64) {
    let settings = FleetSettings { seeds: vec![LEADER.into()], ..fleet_settings() };
    let mut node = FleetNode::new(Arc::new(settings), process, None);
    let command = Command::Replace(StoredConfiguration {
        version,
        text: "".into(),
        index: 0,
        services: Vec::new(),
    });
    let mut out = Vec::new();
    node.handle(Millis(0), 0, FleetInput::Command(TICKET, command, Millis(900)), &mut out);
    node.flush(Millis(0), 0, &mut out);
    let number = out.iter().find_map(|output| match output {
        FleetOutput::Send(_, Message::Record(RecordMessage::Propose { id, .. })) => Some(*id),
        _ => None,
    });
    (node, number.expect("a proposal"))
}

/// Passes an answer to a process, and returns whether it answers its operator.
fn is_answered(node: &mut FleetNode, id: u64) -> bool {
    let reply = Reply::Accepted { revision: 8, index: 5 };
    let answer = Message::Record(RecordMessage::Answer { id, reply });
    let leader = FleetSettings { seeds: vec![LEADER.into()], ..fleet_settings() };
    let from = leader.seed_instances().remove(0);
    let mut out = Vec::new();
    node.handle(Millis(10), 0, FleetInput::Received(from, answer), &mut out);
    out.iter().any(|output| matches!(output, FleetOutput::Answer(TICKET, _)))
}

/// Guards against an answer to the previous process of an instance that acknowledges a change of
/// this one: the change would be dropped, and lost although it was acknowledged.
#[test]
fn an_answer_to_the_process_before_acknowledges_nothing() {
    let (_, before) = propose(3_000_017, 8);
    let (mut restarted, number) = propose(41, 9);
    assert!(!is_answered(&mut restarted, before), "version 9 is acknowledged for version 8");
    assert!(is_answered(&mut restarted, number));
}
