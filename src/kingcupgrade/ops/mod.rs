//! The operations of the programs, one function each.
//!
//! The binaries parse their command line and call one of these functions. Embedding programs and
//! tests can call them without a command line.

mod backup;
mod explain;
mod fleet;
mod init;
mod operator;
mod serve;
mod verify;

pub use backup::{BackupInfo, backup};
pub use explain::{Explanation, LogLine, explain};
pub use fleet::serve_fleet;
pub use init::init;
pub use operator::{OperatorClient, coded_error, fresh_change_id};
pub use serve::serve;
pub use verify::{DataFolderSummary, verify};
