//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Operates a kingcupgrade fleet.
    ///
    /// Exit codes: 0 success, 1 refused or failed, 2 invalid usage, 3 conflict with another change,
    /// 4 outcome unknown (run the command again with the same --change-id).
    cmd kingcup {
        /// The fleet file, a YAML map from instances to operator addresses (default: fleet.yaml).
        optional --fleet path: PathBuf

        /// Validates a service document without sending it.
        cmd check {
            /// The document (YAML).
            required path: PathBuf
        }
        /// Puts a service document in force.
        cmd apply {
            /// The document (YAML).
            required path: PathBuf
            /// The revision on which the change is based (default: the newest).
            optional --base revision: u64
            /// The id of the change; a repeated change with the same id gets the first reply.
            optional --change-id id: String
            /// Waits until the change is in force at all reachable instances.
            optional --wait
        }
        /// Prints the document of a service that is in force.
        cmd get {
            /// The service.
            required service: String
        }
        /// Lists the stored revisions of a service's document.
        cmd history {
            /// The service.
            required service: String
        }
        /// Takes a failure domain out of service or back in.
        cmd domain {
            /// The action: out or in.
            required action: String
            /// The failure domain.
            required name: String
            /// The id of the change; a repeated change with the same id gets the first reply.
            optional --change-id id: String
            /// Waits until the change is in force at all reachable instances.
            optional --wait
        }
        /// Marks an upstream as leaving, or clears the mark.
        cmd upstream {
            /// The action: leave or stay.
            required action: String
            /// The upstream.
            required name: String
            /// The id of the change; a repeated change with the same id gets the first reply.
            optional --change-id id: String
            /// Waits until the change is in force at all reachable instances.
            optional --wait
        }
        /// Orders an engine to change its setup, or lists the orders.
        cmd order {
            /// The action: load, role, drain, undrain, withdraw or list.
            required action: String
            /// The upstream.
            optional name: String
            /// The model to load, or the role.
            optional value: String
            /// The id of the change; a repeated change with the same id gets the first reply.
            optional --change-id id: String
            /// Waits until the change is in force at all reachable instances.
            optional --wait
        }
        /// Moves the traffic of a service to upstreams of another version, or shows how far that is.
        cmd rollout {
            /// The action: start or status.
            required action: String
            /// The service.
            optional service: String
            /// The version to move to.
            optional version: String
            /// The time that the rollout may take, in seconds.
            optional --seconds seconds: u64
            /// The id of the change; a repeated change with the same id gets the first reply.
            optional --change-id id: String
            /// Waits until the change is in force at all reachable instances.
            optional --wait
        }
        /// Shows the status of each instance.
        cmd status {
            /// Prints JSON.
            optional --json
        }
        /// Lists, adds or removes members of the durable record.
        cmd member {
            /// The action: list, add or remove.
            required action: String
            /// The instance, or INSTANCE#NUMBER if the instance has two replicas.
            optional name: String
        }
        /// Writes the state of the running record to a file.
        cmd backup {
            /// The file.
            required path: PathBuf
        }
        /// Collects the lines about one request from the logs of all processes.
        cmd explain {
            /// The request's id.
            required request: String
            /// The log files.
            repeated logs: PathBuf
        }
        /// Verifies a data folder offline and prints a summary of it.
        cmd verify {
            /// The data folder.
            required folder: PathBuf
        }
    }
}
