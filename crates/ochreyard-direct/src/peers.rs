//! What boxes tell each other: the configuration, the endpoints, and who is there.
//!
//! A box asks one other for a newer configuration now and then, since a reading
//! of the platform's log may hang or miss a record; and several others for all
//! they know while the log gives it no answer, and when it starts. All of it is
//! compared by version or position, so that a box that is behind cannot bring back
//! what is old.

mod broadcast;
mod full_sync_limiter;
mod peer_endpoint;
mod peer_reading;
mod peer_state;
mod poll;
mod state_answer;
mod state_query;

pub use broadcast::{PeerUpdate, UnreachablePeers, broadcast, broadcast_to_data_centre, receive_update};
pub use full_sync_limiter::FullSyncLimiter;
pub use peer_endpoint::PeerEndpoint;
pub use poll::poll_peers;
pub use state_answer::answer_state_query;
pub use state_query::{STATE_PATH, StateQuery};
