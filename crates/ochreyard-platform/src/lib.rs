//! Towards the platform: the append-only log, the box list, the weight store.
//!
//! Each is a small trait, with an HTTP client for the shape in
//! `docs/platform.md`. Tests put fakes behind the traits.

mod backoff;
mod error;
mod http;
mod traits;

pub use error::PlatformError;
pub use http::HttpPlatform;
pub use traits::{BoxList, BoxState, ListedBox, LogStream, WeightStore};
