//! Towards operators: intent, plan, confirm, status, reports.
//!
//! [`intent`] reads what an operator wants, [`api`] is the HTTP side of the
//! entry, [`OperatorClient`] is what the command line uses.

pub mod api;
mod client;
pub mod intent;
mod report;
mod timeline;

pub use client::{ClientError, OperatorClient};
pub use report::{BurnRow, EndpointRow, Status, render_burn, render_plan, render_status};
pub use timeline::{RequestTimeline, UnreadableLines};
