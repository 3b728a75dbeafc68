//! Stand-ins for what ochreyard talks to: the platform, a rank group, a plain
//! service. They run as examples of this package, and are not shipped.
//!
//! Each takes its address as first argument and its faults by
//! `POST /fault` with JSON, so that a test can set them while it runs.

pub mod args;
pub mod cluster;
pub mod load;
pub mod log_store;
pub mod plain;
pub mod platform;
pub mod rank_group;
pub mod relay;
pub mod site;
