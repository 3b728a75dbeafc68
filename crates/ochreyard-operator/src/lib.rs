//! The operators' interface: intents, plans, confirmation, status and reports.
//!
//! [`intent`] parses intents, [`api`] serves the operators' HTTP API of an entry, and [`OperatorClient`] calls it from
//! the command line. [`RequestTimeline`] collects the log lines about one request.

pub mod api;
mod client;
pub mod intent;
mod report;
mod timeline;

pub use client::{ClientError, OperatorClient};
pub use report::{BurnRow, EndpointRow, Status, render_burn, render_plan, render_status};
pub use timeline::{RequestTimeline, UnreadableLines};
