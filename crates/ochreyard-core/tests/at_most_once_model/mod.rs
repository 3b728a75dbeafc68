//! Real admissions, real folds and real records; only time, the network and the
//! log are small fakes.

mod agent;
mod entry;
mod message;
mod op;
mod specs;
mod steps;
mod world;

pub use op::{Op, op};
pub use world::World;

/// How long agents remember a key, in milliseconds.
const WINDOW_MS: u64 = 20_000;
/// By how much clocks may differ, in milliseconds.
pub const MARGIN_MS: u64 = 2_000;
/// Endpoints, each with two addresses.
pub const ENDPOINTS: usize = 3;
/// Entries.
pub const ENTRIES: usize = 2;
/// Keys in use at a time.
pub const KEYS: usize = 6;
/// Agents: one at each address of each endpoint.
pub const AGENTS: usize = ENDPOINTS * 2;
