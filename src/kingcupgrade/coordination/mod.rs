//! Decisions of the fleet as state machines without I/O.
//!
//! A machine is driven by inputs and the time they arrive at, and answers with outputs. It owns no
//! clock, thread, socket or random source, so a test, a fuzzer or an embedding program can drive
//! it message by message. This layer does not import `transport`.

pub mod client;
pub mod consensus;
pub mod control;
pub mod decision;
pub mod dispatcher;
pub mod entry;
pub mod fleet;
pub mod lease;
pub mod listing;
pub mod node;
pub mod orders;
pub mod overload;
pub mod shutdown;
pub mod traffic;
pub mod view;
