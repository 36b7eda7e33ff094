//! The fleet's decision logic, as state machines without I/O.
//!
//! A state machine takes inputs with their time of arrival and returns outputs. It owns no clock,
//! thread, socket or random source, so a test, a fuzzer or an embedding program can drive it
//! message by message. This layer does not import `transport`.

pub mod bodies;
pub mod client;
pub mod consensus;
pub mod control;
pub mod crashes;
pub mod decision;
pub mod dispatcher;
pub mod entry;
pub mod fleet;
pub mod lease;
pub mod link;
pub mod listing;
pub mod memory;
pub mod node;
pub mod notices;
pub mod orders;
pub mod overload;
pub mod required_version;
pub mod rollout;
pub mod shutdown;
pub mod traffic;
pub mod view;
