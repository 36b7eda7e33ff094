//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs one instance of a kingcupgrade fleet.
    cmd kingcupd {
        /// Runs the instance until it receives SIGTERM, then completes open requests and exits.
        default cmd run {
            /// The settings file (YAML).
            required --settings path: PathBuf
        }
        /// Validates a settings file and prints the first error found.
        cmd check {
            /// The settings file.
            required path: PathBuf
        }
        /// Creates the data folder of an initial control instance. Run it only once for each.
        cmd init {
            /// The settings file.
            required --settings path: PathBuf
            /// Starts from this backup instead of an empty record.
            optional --from path: PathBuf
        }
    }
}
