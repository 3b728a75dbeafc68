//! Makes an entry the leader of groups of ranks. Every entry may lead, and the agents of a group
//! grant the leadership to one of them.
//!
//! Entries lead since they have the processor time and the bandwidth that the boxes of the
//! engines lack. The leader of a group polls the agent of each rank for its view and
//! selection counts, plans maps, sends orders through the agents, and reports the state of
//! the group to all entries. The decisions are made in [`ochreyard_core::group_map`]; this
//! crate does the input and output.

mod engine_location;
mod fields;
mod group_reporter;
mod leader;
mod leader_spawner;
mod members;
mod pace_log;
mod rank_discovery;
mod rank_requests;
mod sent_map;
mod service_watch;
mod settings;
mod standby;
mod step_progress;

use std::rc::Rc;

use ochreyard_direct::{Dialect, Entry, supervise};
use ochreyard_process::Settings;
use ochreyard_rank::EngineFactory;

pub use self::fields::FIELDS;
use self::leader_spawner::LeaderSpawners;
use self::settings::LeaderSettings;

/// Spawns the task that makes an entry lead groups, on the current thread's `LocalSet`.
pub fn start<D: Dialect, F: EngineFactory>(entry: &Rc<Entry<D>>, engine_factory: F, settings: &Settings) {
    let settings = LeaderSettings::read(settings);
    let spawners = LeaderSpawners::new(Rc::clone(entry), engine_factory, settings);
    spawners.accept_handovers();
    let entry = Rc::clone(entry);
    let watch = move || service_watch::watch_services(Rc::clone(&entry), Rc::clone(&spawners));
    tokio::task::spawn_local(supervise("watch_services", watch));
}
