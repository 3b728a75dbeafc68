//! The map that was last sent to the ranks: an agent that knows the preceding map receives only the delta.

use ochreyard_core::group_map::{MapDelta, Order, SentOrder};

use ochreyard_rank::{LeaderRequest, VersionedMap};

/// The newest map that was sent, and the delta from the preceding one.
#[derive(Debug, Clone, Default)]
pub struct SentMap {
    newest: Option<VersionedMap>,
    delta: Option<MapDelta>,
}

impl SentMap {
    /// Records the map of these orders, if it is new.
    pub fn record(&mut self, orders: &[(usize, SentOrder)]) {
        let maps = orders.iter().filter_map(|(_, sent)| match &sent.order {
            Order::Prepare { version, map } => Some((*version, map)),
            _ => None,
        });
        for (version, map) in maps {
            if self.newest.as_ref().is_some_and(|newest| newest.version == version) {
                continue;
            }
            let before = self.newest.replace(VersionedMap { version, experts: map.clone() });
            self.delta = before.and_then(|before| MapDelta::between(before.version, &before.experts, map));
        }
    }

    /// Returns the request with the delta in place of the complete map, if the delta applies to map
    /// `known_version`, which the agent knows.
    pub fn with_delta(&self, request: &LeaderRequest, known_version: Option<u64>) -> LeaderRequest {
        let mut request = request.clone();
        let Some(delta) = self.delta.as_ref().filter(|delta| Some(delta.base) == known_version) else { return request };
        for sent in &mut request.orders {
            if let Order::Prepare { version, map } = &mut sent.order
                && self.newest.as_ref().is_some_and(|newest| newest.version == *version)
            {
                map.clear();
                request.map_delta = Some(delta.clone());
            }
        }
        request
    }
}
