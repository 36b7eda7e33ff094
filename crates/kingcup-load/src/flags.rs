//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Load-tests a local fleet and reports the results.
    cmd kingcup-load {
        /// Runs a demo: a mixed load while a failure domain is taken out of service and back in.
        cmd demo {
            /// The duration of the measurement in seconds (default: 15).
            optional --seconds seconds: u64
        }
        /// Runs one experiment; exits with 0 only if all checks pass.
        cmd run {
            /// The scenario.
            required --scenario name: String
            /// The policy: pooled (default) or static (the baseline).
            optional --policy name: String
            /// The duration of the measurement in seconds (default: 12).
            optional --seconds seconds: u64
            /// Prints the result as one JSON object.
            optional --json
        }
        /// Draws charts that compare results.
        cmd report {
            /// Result files with one JSON object per line.
            repeated results: PathBuf
            /// The image (.svg) or page (.html) to write.
            required --out path: PathBuf
        }
        /// Measures the commit rate of the durable record; prints one JSON object.
        cmd record {}
        /// Measures the cost of one instance of each role at growing sizes; prints one JSON object.
        cmd slopes {}
        /// Measures one part (entry, dispatcher, control, instance) at one size.
        cmd slope {
            /// The part.
            required part: String
            /// The size, as a multiple of the smallest.
            required factor: usize
        }
        /// Simulates one entry of 410 instances and counts what it sends; exits with 0 only if that
        /// is within the limit.
        cmd drive {}
        /// Measures the time of a decision and a load report at one of 200 entries; prints one JSON
        /// object.
        cmd decisions {}
        /// Plays drawn rollouts without processes and prints what became of them.
        cmd rollouts {
            /// The number of rollouts (default: 10000).
            optional --count count: u64
            /// A mechanism to turn off: routes or steps.
            optional --without mechanism: String
            /// All processes of a fleet stand still together now and then, fewer than this many
            /// times in a rollout.
            optional --stalls most: usize
            /// All versions are bad, once they get a large part of the traffic.
            optional --traffic-faults
            /// Prints each good version that was rolled back for its answers, and each bad one that
            /// was promoted.
            optional --verbose
        }
        /// Runs one instance; used by this tool to start its fleets.
        cmd instance {
            /// The settings file.
            required --settings path: PathBuf
        }
        /// Initialises a control instance's data folder; used by this tool to start its fleets.
        cmd init {
            /// The settings file.
            required --settings path: PathBuf
        }
    }
}
