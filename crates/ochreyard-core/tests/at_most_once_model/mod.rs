//! A model with the real admission control, configuration fold and records. Only time, the network and the log are
//! simulated.

mod agent;
mod entry;
mod message;
mod op;
mod specs;
mod steps;
mod world;

pub use op::{Op, op};
pub use world::World;

/// How long agents store the outcome of a key, in milliseconds.
const RETENTION_MS: u64 = 20_000;
/// Maximum clock skew between processes, in milliseconds.
pub const CLOCK_MARGIN_MS: u64 = 2_000;
/// Number of endpoints, each with two addresses.
pub const ENDPOINTS: usize = 3;
/// Number of entries.
pub const ENTRIES: usize = 2;
/// Number of idempotency keys in use at a time.
pub const KEYS: usize = 6;
/// Number of agents: one at each address of each endpoint.
pub const AGENTS: usize = ENDPOINTS * 2;
