//! Entries lead the groups of ranks: each may, and the agents of a group grant one.
//!
//! An entry has the processor time and the link that a box beside an engine lacks.
//! The leader of a group asks the agent of each rank for its view and counts, plans
//! maps, gives orders through the agents, and tells all entries of the group. What
//! is decided is in [`ochreyard_core::group_map`]; this package is the input and output.

mod engine_at;
mod fields;
mod found_rank;
mod leader;
mod members;
mod pace_note;
mod questions;
mod sent_maps;
mod service_watch;
mod settings;
mod step_progress;
mod teller;

use std::rc::Rc;

use ochreyard_direct::{Dialect, Entry};
use ochreyard_process::Settings;
use ochreyard_rank::EngineFactory;

pub use self::fields::FIELDS;
use self::settings::LeaderSettings;

/// Starts what makes an entry lead groups, on the present thread.
pub fn start<D: Dialect, S: EngineFactory>(entry: &Rc<Entry<D>>, engines: S, settings: &Settings) {
    let settings = LeaderSettings::read(settings);
    tokio::task::spawn_local(service_watch::watch_services(Rc::clone(entry), engines, settings));
}
