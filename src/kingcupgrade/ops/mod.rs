//! What the programs do, one function for each operation.
//!
//! The binaries read their command line and call one of these, so that an embedding program or a
//! test can do the same without a command line.

mod backup;
mod explain;
mod fleet;
mod found;
mod operator;
mod serve;
mod verify;

pub use backup::{BackupInfo, backup};
pub use explain::{Explanation, LogLine, explain};
pub use fleet::serve_fleet;
pub use found::found;
pub use operator::{OperatorClient, coded, fresh_change_id};
pub use serve::serve;
pub use verify::{Verified, verify};
