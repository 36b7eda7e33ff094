//! Small parts without a layer of their own.

pub mod hex;
pub mod log;
pub mod process;
pub mod random;
pub mod rendezvous;
