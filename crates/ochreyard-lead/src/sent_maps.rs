//! The maps that ranks were sent last: one that knows the map before is sent the change only.

use ochreyard_core::group_map::{MapDelta, Order, SentOrder};

use ochreyard_rank::{LeaderRequest, VersionedMap};

/// The newest map that was sent, and how it differs from the one before.
#[derive(Debug, Clone, Default)]
pub struct SentMaps {
    newest: Option<VersionedMap>,
    change: Option<MapDelta>,
}

impl SentMaps {
    /// Notes the map of these orders, if it is a new one.
    pub fn note(&mut self, orders: &[(usize, SentOrder)]) {
        let maps = orders.iter().filter_map(|(_, sent)| match &sent.order {
            Order::Prepare { version, map } => Some((*version, map)),
            _ => None,
        });
        for (version, map) in maps {
            if self.newest.as_ref().is_some_and(|newest| newest.version == version) {
                continue;
            }
            let before = self.newest.replace(VersionedMap { version, experts: map.clone() });
            self.change = before.and_then(|before| MapDelta::between(before.version, &before.experts, map));
        }
    }

    /// The same question with the change in place of the whole map, for an agent that
    /// knows map `known`.
    pub fn shortened(&self, ask: &LeaderRequest, known: Option<u64>) -> LeaderRequest {
        let mut ask = ask.clone();
        let Some(change) = self.change.as_ref().filter(|change| Some(change.base) == known) else { return ask };
        for sent in &mut ask.orders {
            if let Order::Prepare { version, map } = &mut sent.order
                && self.newest.as_ref().is_some_and(|newest| newest.version == *version)
            {
                map.clear();
                ask.map_delta = Some(change.clone());
            }
        }
        ask
    }
}
