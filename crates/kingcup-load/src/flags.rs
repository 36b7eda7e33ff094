//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Drives a local fleet and reports.
    cmd kingcup-load {
        /// Shows a fleet at work: a mixed load, and a failure domain out and back.
        cmd demo {
            /// How long to measure (default: 15).
            optional --seconds seconds: u64
        }
        /// Runs one experiment; exits with 0 only if every promise it checked held.
        cmd run {
            /// The scenario.
            required --scenario name: String
            /// The policy: pooled (default) or static, the baseline.
            optional --policy name: String
            /// How long to measure (default: 12).
            optional --seconds seconds: u64
            /// Prints one JSON object.
            optional --json
        }
        /// Draws results side by side.
        cmd report {
            /// Files of results, one JSON object a line.
            repeated results: PathBuf
            /// The picture (.svg) or page (.html) to write.
            required --out path: PathBuf
        }
        /// Measures how fast the durable record commits; prints one JSON object.
        cmd record {}
        /// Measures what one instance of each role costs at growing sizes; prints JSON.
        cmd slopes {}
        /// Measures one part (entry, dispatcher, control, instance) at one size.
        cmd slope {
            /// The part.
            required part: String
            /// The size, as a multiple of the smallest.
            required factor: usize
        }
        /// Drives one entry among 410 without processes and counts what it sends; exits with 0 only
        /// if that is within the limit.
        cmd drive {}
        /// Measures what a decision and a report take at one entry of 200; prints one JSON object.
        cmd decisions {}
        /// Runs one instance; what this tool starts its fleets with.
        cmd instance {
            /// The settings file.
            required --settings path: PathBuf
        }
        /// Makes a control instance's data folder; what this tool starts its fleets with.
        cmd init {
            /// The settings file.
            required --settings path: PathBuf
        }
    }
}
