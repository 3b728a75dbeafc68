//! A message from an entry to an agent.

use ochreyard_core::admission::Offer;

/// An offer in transit from an entry to an agent.
#[derive(Clone)]
pub struct Message {
    pub agent: usize,
    pub offer: Offer,
    pub key: String,
}
