//! What boxes tell each other: the configuration, the endpoints, and who is there.
//!
//! A box asks one other for a newer configuration now and then, since a reading
//! of the platform's log may hang or miss a record; and several others for all
//! they know while the log gives it no answer, and when it starts. All of it is
//! compared by version or position, so that a box that is behind cannot bring back
//! what is old.

mod ask;
mod newcomers;
mod news;
mod peer_endpoint;
mod peer_reading;
mod peer_state;
mod state_query;
mod tell;

pub use ask::keep_asking;
pub use newcomers::Newcomers;
pub use news::{PassedOver, PeerUpdate, broadcast, broadcast_to_data_centre, take_news};
pub use peer_endpoint::PeerEndpoint;
pub use state_query::{STATE_PATH, StateQuery};
pub use tell::state_for;
