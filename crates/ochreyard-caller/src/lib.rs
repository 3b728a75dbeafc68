//! Towards callers: HTTP in, one whole answer or one final refusal out.
//!
//! This package reads requests within limits and writes answers; what happens
//! in between is behind [`CallHandler`].

mod answer;
mod call;
mod limits;
mod router;

pub use answer::{BodyChunk, CallerAnswer, CallerReply};
pub use call::{CallHandler, CallerRequest};
pub use limits::CallerLimits;
pub use router::router;
