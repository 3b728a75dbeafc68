//! Test doubles of the services that ochreyard calls: the platform, a rank group and a plain service. They run as
//! examples of this package and are not shipped.
//!
//! Each takes its listen address as the first argument. `POST /fault` with a JSON body sets the faults that it injects, so
//! that a test can change them while the stand-in runs.

pub mod args;
pub mod built_program;
pub mod cluster;
pub mod load;
pub mod log_store;
pub mod plain;
pub mod platform;
pub mod rank_group;
pub mod relay;
pub mod site;
pub mod unanswered_requests;
