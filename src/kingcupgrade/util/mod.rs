//! Utilities used by several layers.

pub mod hex;
pub mod json;
pub mod log;
pub mod process;
pub mod random;
pub mod rendezvous;
