//! Traits for the platform's services.

use std::future::Future;

use ochreyard_core::config::LogPage;
use ochreyard_core::ids::{BoxId, DataCentreId, EndpointId};
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;

/// A stream of the append-only log.
pub trait LogStream: Send + Sync + 'static {
    /// Reads up to `limit` records from offset `from` on, or from the oldest readable offset if that is later.
    fn read(&self, from: u64, limit: u32) -> impl Future<Output = Result<LogPage, PlatformError>> + Send;

    /// Appends a record and returns its offset. After an error the record may have been appended nevertheless.
    fn append(&self, text: &str) -> impl Future<Output = Result<u64, PlatformError>> + Send;
}

/// Whether a box stays in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// The box stays in service.
    Live,
    /// The box is about to be removed.
    Leaving,
}

/// One row of the platform's box list, which lags behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// The identifier of the box.
    #[serde(rename = "box")]
    pub box_id: BoxId,
    /// The data centre of the box.
    pub data_centre: DataCentreId,
    /// The endpoint on the box, if it is an endpoint box.
    #[serde(default)]
    pub endpoint: Option<EndpointId>,
    /// Whether the box stays in service.
    pub state: BoxState,
}

/// The platform's list of boxes, which lags behind.
pub trait BoxList: Send + Sync + 'static {
    /// Fetches the list as the platform has it.
    fn boxes(&self) -> impl Future<Output = Result<Vec<ListedBox>, PlatformError>> + Send;
}

/// The rate-limited store of weights.
pub trait WeightStore: Send + Sync + 'static {
    /// Requests permission to copy `bytes` now.
    fn reserve(&self, bytes: u64) -> impl Future<Output = Result<(), PlatformError>> + Send;
}
