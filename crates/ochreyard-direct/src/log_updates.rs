//! Updates from the platform's log that other boxes need at once: the configuration, evacuations, endpoints that leave.
//!
//! Every box that polls gets the same state again; these updates spare boxes the wait until their next poll.

use std::rc::Rc;

use bytes::Bytes;
use ochreyard_core::direct::{EvacuationUpdate, broadcasts_to_data_centre, broadcasts_to_fleet};
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::peers::{PeerEndpoint, PeerUpdate, broadcast, broadcast_to_data_centre};

/// What operators wrote.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorUpdate {
    /// A configuration document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<String>,
    /// Evacuations of data centres.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<EvacuationUpdate>,
}

impl PeerUpdate for OperatorUpdate {
    const PATH: &'static str = "/operators";

    fn apply<D: Dialect>(&self, entry: &Rc<Entry<D>>) {
        if let Some(document) = &self.config {
            entry.apply_config(&Bytes::from(document.clone()), "news");
        }
        entry.apply_evacuation_updates(&self.evacuations);
    }
}

/// Endpoints that are leaving or have left.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LeavingUpdate {
    /// The endpoints.
    pub endpoints: Vec<PeerEndpoint>,
}

impl PeerUpdate for LeavingUpdate {
    const PATH: &'static str = "/leaving";

    fn apply<D: Dialect>(&self, entry: &Rc<Entry<D>>) {
        entry.apply_peer_endpoints(self.endpoints.clone());
    }
}

impl<D: Dialect> Entry<D> {
    /// Sends what operators wrote to the other boxes of this data centre, if this box is the one that does so. Only one
    /// copy then has to cross between data centres.
    pub fn broadcast_operator_update(self: &Rc<Self>, version_before: Option<u64>) {
        let state = self.state.borrow();
        if !broadcasts_to_data_centre(self.identity.local_box(), &state.boxes, self.clock.now_ms()) {
            return;
        }
        let version = state.table.as_ref().map(|table| table.version());
        let is_newer = version > version_before;
        let document = is_newer.then(|| String::from_utf8(state.config_document.to_vec()).ok()).flatten();
        let update = OperatorUpdate { config: document, evacuations: state.evacuations.updates().collect() };
        drop(state);
        if update != OperatorUpdate::default() {
            broadcast_to_data_centre(self, &update);
        }
    }

    /// Sends leaving endpoints to all other boxes, if this box is the one that does so.
    pub fn broadcast_leaving(self: &Rc<Self>, endpoints: Vec<PeerEndpoint>) {
        let is_broadcaster = {
            let state = self.state.borrow();
            broadcasts_to_fleet(self.identity.local_box(), &state.boxes, self.clock.now_ms())
        };
        if is_broadcaster && !endpoints.is_empty() {
            broadcast(self, &LeavingUpdate { endpoints });
        }
    }
}
