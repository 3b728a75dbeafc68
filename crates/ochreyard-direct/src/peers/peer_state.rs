//! A box's answer to another one.

use std::collections::BTreeMap;

use ochreyard_core::direct::BoxRecord;
use serde::{Deserialize, Serialize};

use super::peer_endpoint::PeerEndpoint;
use super::peer_reading::PeerReading;
use crate::boxes_heard::BoxesHeard;

/// What a box knows and another one may lack.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct PeerState {
    /// The configuration's document, unless the asker has this version or a newer one.
    pub config: Option<String>,
    /// Endpoints that changed since the offset that the asker named.
    pub endpoints: Vec<PeerEndpoint>,
    /// How far the records of endpoints were read, and how long ago.
    pub reading: Option<PeerReading>,
    /// This box, and others that it learned of since it was asked last.
    pub boxes: BTreeMap<String, BoxRecord>,
    /// How much of its list of boxes that completes.
    #[serde(default)]
    pub boxes_told: BoxesHeard,
}
