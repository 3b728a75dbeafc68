//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Plays a fleet of boxes by the product's own decisions on virtual time, and prints calls to the log, questions, bytes
    /// and the time until all boxes know of a record.
    cmd fleet-model {
        /// Sizes of the fleet, with commas; 30,100,300,1000,2000 where none is named.
        optional --boxes list: String
        /// Troubles, with commas: none, outage, turns_away, cut_off, half_restart, all_restart, first_gone, false_reader,
        /// log_return; all of them where none is named.
        optional --troubles list: String
        /// How many seeds each is played with; 1 where no number is named.
        optional --seeds count: u64
        /// Writes all figures to this file, as JSON.
        optional --json file: PathBuf
        /// Draws the calls by the number of boxes into this file, as SVG.
        optional --plot file: PathBuf
    }
}
