//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Operates a kingcupgrade fleet.
    ///
    /// Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 conflict with another change,
    /// 4 unknown (send it again with the same --change-id).
    cmd kingcup {
        /// The fleet file: instances and their operator addresses (default: fleet.yaml).
        optional --fleet path: PathBuf

        /// Checks a service document without sending it.
        cmd check {
            /// The document (YAML).
            required path: PathBuf
        }
        /// Puts a service document in force.
        cmd apply {
            /// The document (YAML).
            required path: PathBuf
            /// The revision the change was made from (default: the newest).
            optional --base revision: u64
            /// Names the change; a resend under the same name gets the first answer.
            optional --change-id id: String
            /// Returns when every instance that can be reached has it in force.
            optional --wait
        }
        /// Prints the document of a service in force.
        cmd get {
            /// The service.
            required service: String
        }
        /// Lists the kept revisions of a service's document.
        cmd history {
            /// The service.
            required service: String
        }
        /// Takes a failure domain out of service or back in.
        cmd domain {
            /// What to do: out or in.
            required action: String
            /// The failure domain.
            required name: String
            /// Names the change.
            optional --change-id id: String
            /// Returns when every instance that can be reached knows.
            optional --wait
        }
        /// Lets an upstream leave or stay.
        cmd upstream {
            /// What to do: leave or stay.
            required action: String
            /// The upstream.
            required name: String
            /// Names the change.
            optional --change-id id: String
            /// Returns when every instance that can be reached knows.
            optional --wait
        }
        /// Orders an engine to change its setup, or lists the orders.
        cmd order {
            /// What to do: load, role, drain, undrain, withdraw or list.
            required action: String
            /// The upstream.
            optional name: String
            /// The model to load, or the role.
            optional value: String
            /// Names the change.
            optional --change-id id: String
            /// Returns when every instance that can be reached knows.
            optional --wait
        }
        /// Shows what each instance knows and does.
        cmd status {
            /// Prints JSON.
            optional --json
        }
        /// Lists, adds or removes members of the durable record.
        cmd member {
            /// What to do: list, add or remove.
            required action: String
            /// The instance, or INSTANCE#NUMBER for one of two replicas.
            optional name: String
        }
        /// Writes the state of the running record to a file.
        cmd backup {
            /// The file.
            required path: PathBuf
        }
        /// Joins what the logs of all processes say of one request.
        cmd explain {
            /// The request's id.
            required request: String
            /// The logs.
            repeated logs: PathBuf
        }
        /// Checks a data folder offline and says what it holds.
        cmd verify {
            /// The data folder.
            required folder: PathBuf
        }
    }
}
