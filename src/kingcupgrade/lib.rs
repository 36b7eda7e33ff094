//! kingcupgrade: a router fleet for organisations who share capacity fairly.
//!
//! # Architecture
//!
//! A fleet is a set of instances. An **entry** takes callers' requests and queues them; for every
//! service and failure domain one entry also runs the **dispatcher** of that pool of upstreams; a
//! few **control** instances with disks keep the durable record.
//!
//! ```text
//! callers -> entry --demand--> dispatcher of the pool (one lease holder per pool)
//!              |  <--grant---  picks the organisation furthest behind, names the upstream
//!              +--request----> upstream; answer relayed; cost reported to the dispatcher
//! control instances: documents, failure domains, request keys
//! ```
//!
//! The crate has four layers, and each imports only what stands below it:
//!
//! - [`transport`]: threads, sockets, HTTP. It carries out what the machines decide.
//! - [`protocol`]: the typed messages between instances, and their bytes.
//! - [`coordination`]: the decisions, as state machines without I/O. [`coordination::node::Node`]
//!   is one whole instance; [`coordination::dispatcher::Dispatcher`] and
//!   [`coordination::consensus::Consensus`] are of use on their own.
//! - [`state`]: the record's state, and its log and snapshots on disk.
//!
//! # Example
//!
//! ```
//! use kingcupgrade::core::{Document, document::sha256_hex};
//!
//! let digest = sha256_hex(b"a bearer token");
//! let document = Document::parse(&format!(
//!     "service: tutor
//! kind: model-engine
//! organisations:
//!   forestry: {{share: 2, token_digests: [{digest}]}}
//! slots: {{cold: 2, warm: 8}}"
//! ))?;
//! let caller = document.organisation_of("a bearer token").map(|o| o.as_str());
//! assert_eq!(caller, Some("forestry"));
//! # Ok::<(), kingcupgrade::core::code::CodedError>(())
//! ```
//!
//! Beside the layers stand [`core`] (names, time, result codes, settings, documents), [`ops`] (what the
//! programs do, one function each) and [`util`].

pub mod coordination;
pub mod core;
pub mod ops;
pub mod protocol;
pub mod state;
pub mod transport;
pub mod util;
