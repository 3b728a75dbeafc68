//! Towards model engines and plain services: calls, load, fenced orders.
//!
//! Only the agent uses this package, and only for its own endpoint. The HTTP
//! shape is recorded in `docs/endpoint.md`.

mod answer;
mod client;
mod error;
mod experts;
mod load;

pub use answer::EndpointAnswer;
pub use client::{CallContext, EndpointClient, EndpointRequest};
pub use error::EndpointError;
pub use experts::ExpertReport;
pub use load::EndpointLoad;
