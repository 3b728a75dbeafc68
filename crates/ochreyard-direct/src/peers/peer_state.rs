//! The state that a box returns to another one.

use std::collections::BTreeMap;

use ochreyard_core::direct::{BoxRecord, EvacuationUpdate, LimitUpdate, QuarantineUpdate};
use serde::{Deserialize, Serialize};

use super::peer_endpoint::PeerEndpoint;
use super::peer_log_progress::PeerLogProgress;
use crate::sync_cursor::SyncCursor;

/// State that a box has and the requesting box may lack.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct PeerState {
    /// The configuration document, unless the requester has this version or a newer one.
    pub config: Option<String>,
    /// Known evacuations of data centres.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<EvacuationUpdate>,
    /// Endpoints that changed since the position named by the requester.
    pub endpoints: Vec<PeerEndpoint>,
    /// How far the endpoint records were read, and how long ago.
    #[serde(rename = "reading")]
    pub log_progress: Option<PeerLogProgress>,
    /// This box, and others that it learned of since the last query.
    pub boxes: BTreeMap<String, BoxRecord>,
    /// Boxes that did not answer its queries.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent_boxes: Vec<String>,
    /// Whether the answering box has seen the complete list of boxes.
    #[serde(default)]
    pub knows_all_boxes: bool,
    /// Endpoint limits that became known since the last query.
    #[serde(default, skip_serializing_if = "LimitUpdate::is_empty")]
    pub limits: LimitUpdate,
    /// Findings on requests that crash endpoints since the last query.
    #[serde(default, skip_serializing_if = "QuarantineUpdate::is_empty")]
    pub quarantine: QuarantineUpdate,
    /// Whether the box has sent the full state to as many boxes as it can for now: the requester should ask one of
    /// `boxes`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_busy: bool,
    /// How much of the incrementally sent state the requester has with this answer.
    #[serde(default, rename = "told")]
    pub cursor: SyncCursor,
}
