//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// The agent of ochreyard: one beside each endpoint.
    cmd ochreyard-agent {
        /// Runs the agent. SIGTERM is a planned stop.
        cmd serve {
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Runs the agent of one rank of a group, which calls no endpoint for callers.
        cmd rank {
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Checks a settings file and lists all its faults.
        cmd check {
            /// The file is one for `rank`.
            optional --rank
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Prints the reference of all settings: of `serve`, or of `rank`.
        cmd fields {
            /// Prints those of `rank`.
            optional --rank
        }
    }
}
