//! A box's answer to another one.

use std::collections::BTreeMap;

use ochreyard_core::direct::{BoxRecord, EvacuationUpdate, LimitUpdate, QuarantineUpdate};
use serde::{Deserialize, Serialize};

use super::peer_endpoint::PeerEndpoint;
use super::peer_reading::PeerReading;
use crate::sync_cursor::SyncCursor;

/// What a box knows and another one may lack.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct PeerState {
    /// The configuration's document, unless the asker has this version or a newer one.
    pub config: Option<String>,
    /// What is known of evacuations of data centres.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<EvacuationUpdate>,
    /// Endpoints that changed since the position that the asker named.
    pub endpoints: Vec<PeerEndpoint>,
    /// How far the records of endpoints were read, and how long ago.
    pub reading: Option<PeerReading>,
    /// This box, and others that it learned of since it was asked last.
    pub boxes: BTreeMap<String, BoxRecord>,
    /// Boxes that left its questions unanswered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent_boxes: Vec<String>,
    /// Whether the box that tells has seen the whole list of boxes.
    #[serde(default)]
    pub knows_all_boxes: bool,
    /// What became known of limits of endpoints since it was asked last.
    #[serde(default, skip_serializing_if = "LimitUpdate::is_empty")]
    pub limits: LimitUpdate,
    /// What became known of requests that crash endpoints since it was asked last.
    #[serde(default, skip_serializing_if = "QuarantineUpdate::is_empty")]
    pub quarantine: QuarantineUpdate,
    /// Whether it has told as many boxes all as it can for now: the asker should ask one of `boxes`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_busy: bool,
    /// How far the asker knows what is told step by step, with this.
    #[serde(default)]
    pub told: SyncCursor,
}
