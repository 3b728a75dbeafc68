//! State exchange between boxes: the configuration, the endpoints, and the list of boxes.
//!
//! A box regularly polls one other box for a newer configuration, since a read of the platform's log may hang or miss a
//! record. It polls several boxes for everything they know while the log does not answer, and when it starts. Every
//! item is compared by version or log position, so that a box that is behind cannot bring back an old state.

mod broadcast;
mod full_sync_limiter;
mod handover;
mod peer_endpoint;
mod peer_log_progress;
mod peer_state;
mod poll;
mod state_answer;
mod state_query;

pub use broadcast::{PeerUpdate, UnreachablePeers, broadcast, broadcast_to_data_centre, receive_update};
pub use full_sync_limiter::FullSyncLimiter;
pub use handover::{HANDOVER_PATH, HandoverHandler, HandoverRole, STANDBY_PATH, receive_handover};
pub use peer_endpoint::PeerEndpoint;
pub use poll::poll_peers;
pub use state_answer::answer_state_query;
pub use state_query::{STATE_PATH, StateQuery};
