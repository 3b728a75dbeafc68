//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Simulates a fleet of boxes in virtual time, with the decisions of the real code, and prints the calls to the log,
    /// the polls, the bytes, and the time until all boxes know of a record.
    cmd fleet-model {
        /// Sizes of the fleet, separated by commas; default: 30,100,300,1000,2000.
        optional --boxes list: String
        /// Troubles to inject, separated by commas: none, outage, turns_away, cut_off, half_restart, all_restart, first_gone, false_reader,
        /// log_return; default: all of them.
        optional --troubles list: String
        /// Number of seeds with which each combination is simulated; default: 1.
        optional --seeds count: u64
        /// Writes all figures to this file as JSON.
        optional --json file: PathBuf
        /// Draws the calls by the number of boxes into this file as SVG.
        optional --plot file: PathBuf
    }
}
