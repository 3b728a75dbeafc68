//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Ochreyard, a load balancer for expert-parallel model groups.
    cmd ochreyard {
        /// Runs an entry. SIGTERM shuts it down gracefully.
        cmd serve {
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Runs an entry that calls endpoints directly, without agents.
        cmd direct {
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Checks a settings file and lists all its errors.
        cmd check {
            /// Checks a file for `direct`.
            optional --direct
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Prints the reference of all settings of `serve`, or of `direct`.
        cmd fields {
            /// Prints the settings of `direct`.
            optional --direct
        }
        /// Sends an intent and prints the resulting plan. Nothing changes until `confirm`.
        cmd plan {
            /// The intent, in YAML.
            required intent: PathBuf
            /// URL of an entry's `operators_addr`, for example http://127.0.0.1:8081.
            required --entry url: String
            /// File with the operators' token.
            required --token-file file: PathBuf
            /// Prints the plan as JSON.
            optional --json
        }
        /// Confirms a plan and waits until it is in force at the entry.
        cmd confirm {
            /// Identifier of the plan, as `plan` prints it.
            required plan_id: String
            /// URL of an entry's `operators_addr`.
            required --entry url: String
            /// File with the operators' token.
            required --token-file file: PathBuf
        }
        /// Shows the state of the system as one entry sees it.
        cmd status {
            /// URL of an entry's `operators_addr`.
            required --entry url: String
            /// File with the operators' token.
            required --token-file file: PathBuf
            /// Prints the status as JSON.
            optional --json
        }
        /// Manages requests that are refused because they crashed endpoints.
        cmd quarantine {
            /// Lists the quarantined requests that one entry knows.
            cmd list {
                /// The entry's `peer_addr`, for example 10.1.0.40:7340.
                required --peer addr: SocketAddr
                /// Prints the list as JSON.
                optional --json
            }
            /// Releases a request at all entries: it is served again, and its earlier crashes are forgotten.
            cmd release {
                /// Fingerprint of the request, as `list` and the log lines show it.
                required fingerprint: String
                /// The `peer_addr` of any entry.
                required --peer addr: SocketAddr
            }
        }
        /// Prints what happened to one request, in order of time, from the logs of all processes.
        cmd explain {
            /// Identifier of the request.
            required request: String
            /// Log files of entries and agents, one for each process.
            repeated logs: PathBuf
        }
        /// Prints reports.
        cmd report {
            /// Prints the burn of the service-level error budgets, summed over the given entries.
            cmd burn {
                /// URL of an entry's `operators_addr`; may be given several times.
                repeated --entry url: String
                /// File with the operators' token.
                required --token-file file: PathBuf
                /// Prints the report as JSON.
                optional --json
            }
        }
    }
}
