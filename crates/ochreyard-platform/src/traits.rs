//! What the platform offers, as abilities.

use std::future::Future;

use ochreyard_core::config::LogPage;
use ochreyard_core::ids::{BoxId, DataCentreId, EndpointId};
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;

/// A stream of the append-only log.
pub trait LogStream: Send + Sync + 'static {
    /// Reads up to `limit` records from `from` on, or from the oldest readable one if that is later.
    fn read(&self, from: u64, limit: u32) -> impl Future<Output = Result<LogPage, PlatformError>> + Send;

    /// Appends a record and returns its offset. After an error it may have been appended all the same.
    fn append(&self, text: &str) -> impl Future<Output = Result<u64, PlatformError>> + Send;
}

/// Whether a box stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// It stays.
    Live,
    /// It will go.
    Leaving,
}

/// One row of the platform's lagging list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// The box.
    #[serde(rename = "box")]
    pub box_id: BoxId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The endpoint on it, if it is an endpoint box.
    #[serde(default)]
    pub endpoint: Option<EndpointId>,
    /// Whether it stays.
    pub state: BoxState,
}

/// The platform's lagging list of boxes.
pub trait BoxList: Send + Sync + 'static {
    /// The list as the platform has it.
    fn boxes(&self) -> impl Future<Output = Result<Vec<ListedBox>, PlatformError>> + Send;
}

/// The rate-limited store of weights.
pub trait WeightStore: Send + Sync + 'static {
    /// Asks for leave to copy `bytes` now.
    fn reserve(&self, bytes: u64) -> impl Future<Output = Result<(), PlatformError>> + Send;
}
