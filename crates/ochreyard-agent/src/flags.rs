//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// The agent of ochreyard, which runs next to each endpoint.
    cmd ochreyard-agent {
        /// Runs the agent. SIGTERM shuts it down gracefully.
        cmd serve {
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Runs the agent of one rank of a group, which forwards no requests.
        cmd rank {
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Checks a settings file and lists all its errors.
        cmd check {
            /// Checks a file for `rank`.
            optional --rank
            /// The settings file, in YAML.
            required settings: PathBuf
        }
        /// Prints the reference of all settings of `serve`, or of `rank`.
        cmd fields {
            /// Prints the settings of `rank`.
            optional --rank
        }
    }
}
