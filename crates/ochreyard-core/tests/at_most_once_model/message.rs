//! An offer on its way.

use ochreyard_core::admission::Offer;

/// An offer on its way from an entry to an agent.
#[derive(Clone)]
pub struct Message {
    pub agent: usize,
    pub offer: Offer,
    pub key: String,
}
