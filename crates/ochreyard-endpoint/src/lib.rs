//! The interface to model engines and plain services: calls, load reports and fenced orders.
//!
//! Only the agent uses this package, and only for its own endpoint. The HTTP API is specified in `docs/endpoint.md`.

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
