//! What the platform's log holds that others should know at once: the configuration, evacuations, endpoints that leave.
//!
//! All of it is told again to whoever asks; these news spare boxes the wait until their next question.

use std::rc::Rc;

use bytes::Bytes;
use ochreyard_core::direct::{EvacuationNews, tells_all, tells_data_centre};
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::peers::{PeerEndpoint, PeerUpdate, broadcast, broadcast_to_data_centre};

/// News of what operators wrote.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorUpdate {
    /// The document of a configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<String>,
    /// Evacuations of data centres.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<EvacuationNews>,
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

/// News of endpoints that leave, or have.
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
    /// Tells the other boxes of this data centre what operators wrote, if that falls to this box: one copy of it has crossed
    /// to here.
    pub fn broadcast_operator_update(self: &Rc<Self>, version_before: Option<u64>) {
        let state = self.state.borrow();
        if !tells_data_centre(self.identity.own(), &state.boxes, self.clock.now_ms()) {
            return;
        }
        let version = state.table.as_ref().map(|table| table.version());
        let is_newer = version > version_before;
        let document = is_newer.then(|| String::from_utf8(state.config_document.to_vec()).ok()).flatten();
        let news = OperatorUpdate { config: document, evacuations: state.evacuations.news().collect() };
        drop(state);
        if news != OperatorUpdate::default() {
            broadcast_to_data_centre(self, &news);
        }
    }

    /// Tells all other boxes of endpoints that leave, if that falls to this box.
    pub fn broadcast_leaving(self: &Rc<Self>, endpoints: Vec<PeerEndpoint>) {
        let tells = {
            let state = self.state.borrow();
            tells_all(self.identity.own(), &state.boxes, self.clock.now_ms())
        };
        if tells && !endpoints.is_empty() {
            broadcast(self, &LeavingUpdate { endpoints });
        }
    }
}
