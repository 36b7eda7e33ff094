//! kingcupgrade: a fleet of request routers that share upstream capacity fairly among
//! organisations.
//!
//! # Architecture
//!
//! A fleet is a set of instances. An **entry** accepts callers' requests and queues them. The
//! upstreams of one service in one failure domain form a pool; for each pool, one entry also runs
//! its **dispatcher**. A few **control** instances with disks replicate the durable record.
//!
//! ```text
//! callers -> entry --demand--> dispatcher of the pool (one lease holder per pool)
//!              |  <--grant---  picks the organisation furthest behind its share, and a slot
//!              +--request----> upstream; answer relayed; cost reported to the dispatcher
//! control instances: documents, failure domains, request keys
//! ```
//!
//! The crate has four layers:
//!
//! - [`transport`]: threads, sockets and HTTP. It executes the decisions of the state machines.
//! - [`coordination`]: the decisions, as state machines without I/O. [`coordination::node::Node`]
//!   is a complete instance; [`coordination::dispatcher::Dispatcher`] and
//!   [`coordination::consensus::Consensus`] can also be used separately.
//! - [`state`]: the state of the record, and its log and snapshots on disk.
//! - [`protocol`]: the typed messages between instances, and their encoding.
//!
//! A layer imports only layers listed after it.
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
//! Outside of the layers are [`core`] (names, time, result codes, settings and documents), [`ops`]
//! (the operations of the programs, one function each) and [`util`].

pub mod coordination;
pub mod core;
pub mod ops;
pub mod protocol;
pub mod state;
pub mod transport;
pub mod util;
