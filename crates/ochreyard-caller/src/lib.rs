//! The HTTP interface for callers: each request gets one complete answer or one final refusal.
//!
//! This package reads requests within limits and writes answers. A [`CallHandler`] processes the requests.

mod answer;
mod call;
mod limits;
mod router;

pub use answer::{BodyChunk, CallerAnswer, CallerReply};
pub use call::{CallHandler, CallerRequest};
pub use limits::CallerLimits;
pub use router::router;
