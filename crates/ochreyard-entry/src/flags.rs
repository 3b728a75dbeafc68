//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Ochreyard: load balancer for expert-parallel model groups.
    cmd ochreyard {
        /// Runs an entry. SIGTERM is a planned stop.
        cmd serve {
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Runs an entry that calls endpoints itself, without agents between.
        cmd direct {
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Checks a settings file and lists all its faults.
        cmd check {
            /// The file is one for `direct`.
            optional --direct
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Prints the reference of all settings: of `serve`, or of `direct`.
        cmd fields {
            /// Prints those of `direct`.
            optional --direct
        }
        /// Sends an intent and prints the plan. Nothing changes before `confirm`.
        cmd plan {
            /// The intent, in YAML.
            required intent: PathBuf
            /// Operators' address of an entry, for example http://127.0.0.1:8081.
            required --entry url: String
            /// File with the operators' token.
            required --token-file file: PathBuf
            /// Prints the plan as JSON.
            optional --json
        }
        /// Confirms a plan and waits until it is in force at the entry.
        cmd confirm {
            /// Identifier of the plan.
            required plan_id: String
            /// Operators' address of an entry.
            required --entry url: String
            /// File with the operators' token.
            required --token-file file: PathBuf
        }
        /// Shows the system as one entry sees it.
        cmd status {
            /// Operators' address of an entry.
            required --entry url: String
            /// File with the operators' token.
            required --token-file file: PathBuf
            /// Prints the status as JSON.
            optional --json
        }
        /// Requests that are refused because they crashed the endpoints which ran them.
        cmd quarantine {
            /// Lists them, as one entry knows them.
            cmd list {
                /// Where other boxes reach the entry (`peer_addr`), for example 10.1.0.40:7340.
                required --peer addr: SocketAddr
                /// Prints them as JSON.
                optional --json
            }
            /// Releases one at all entries: it is served again, and what it did before is forgotten.
            cmd release {
                /// Its fingerprint, as `list` and the log lines show it.
                required fingerprint: String
                /// Where other boxes reach an entry (`peer_addr`).
                required --peer addr: SocketAddr
            }
        }
        /// Prints one request's story, in order over the logs of all processes.
        cmd explain {
            /// The request's identifier.
            required request: String
            /// Logs of entries and agents, one file a process.
            repeated logs: PathBuf
        }
        /// Prints reports.
        cmd report {
            /// Service-level burn, joined across the entries that are named.
            cmd burn {
                /// Operators' address of an entry; may be given several times.
                repeated --entry url: String
                /// File with the operators' token.
                required --token-file file: PathBuf
                /// Prints the report as JSON.
                optional --json
            }
        }
    }
}
