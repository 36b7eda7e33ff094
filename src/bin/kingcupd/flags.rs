//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs one instance of a kingcupgrade fleet.
    cmd kingcupd {
        /// Runs the instance until it gets SIGTERM and has finished what it began.
        default cmd run {
            /// The settings file (YAML).
            required --settings path: PathBuf
        }
        /// Checks a settings file and says what is wrong with it.
        cmd check {
            /// The settings file.
            required path: PathBuf
        }
        /// Makes the data folder of a founding control instance; once for each, ever.
        cmd init {
            /// The settings file.
            required --settings path: PathBuf
            /// Begins from this backup instead of an empty record.
            optional --from path: PathBuf
        }
    }
}
