//! Interfaces to the platform: the append-only log, the box list and the weight store.
//!
//! Each is a small trait, which an HTTP client implements as `docs/platform.md` specifies. Tests implement the traits
//! with fakes.

mod backoff;
mod error;
mod http;
mod traits;

pub use error::PlatformError;
pub use http::{HttpPlatform, read_document};
pub use traits::{BoxList, BoxState, ListedBox, LogStream, WeightStore};
