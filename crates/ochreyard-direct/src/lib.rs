//! An entry process that calls endpoints directly, over plain HTTP.
//!
//! No agent is needed in between if an endpoint reports whether it ran a request, and checks that a request is meant
//! for it: one process then handles a request from the caller to the final answer. This package does the input and
//! output; the decisions are in [`ochreyard_core::direct`].
//!
//! Header names and document formats of the platform come from a [`Dialect`], and its log is accessed through
//! [`KeyedLog`]; both are given to [`serve::run`].

mod answer;
mod answer_body;
mod answer_limits;
mod attempt;
mod buffered_bytes;
mod call_error;
mod caller_request;
mod caller_stream;
mod catch_panic;
mod connection;
mod connection_pool;
mod containment;
mod crash_check;
mod dialect;
mod draining_connection;
mod entry;
mod error_chain;
mod evacuations;
mod exchange;
mod fields;
mod follow;
mod forward;
mod give_up_reason;
mod head_limit;
mod http_client;
mod in_flight;
mod job;
mod keyed_log;
mod limits;
mod liveness_check;
mod log_restore;
mod log_updates;
mod meters;
mod operator_api;
mod part_trial;
mod pass_on;
mod peers;
mod queue_slot;
mod reachability;
mod read_role;
mod recent_lag;
mod refusal;
mod relay;
mod send_failure;
pub mod serve;
mod server;
mod signals;
mod stall_outcome;
mod supervise;
mod sync_cursor;
mod tcp_info;
mod timeout;
mod watched_stream;
mod witness;

pub use call_error::CallError;
pub use caller_stream::{CallerStream, UnreadProbe};
pub use catch_panic::catch_panic;
pub use dialect::{Dialect, DocumentError, HeaderNames, OperatorKey};
pub use draining_connection::{DrainPhase, serve_until_closing};
pub use entry::{Entry, Identity, State};
pub use fields::FIELDS;
pub use follow::{follow_boxes, follow_config};
pub use http_client::HttpClient;
pub use keyed_log::{KeyedLog, KeyedLogError, KeyedPage, KeyedRecord, Topic};
pub use operator_api::{QUARANTINE_PATH, RELEASE_PATH};
pub use peers::{HANDOVER_PATH, HandoverHandler, HandoverRole, PeerUpdate, STANDBY_PATH, StateQuery, broadcast};
pub use supervise::supervise;
pub use sync_cursor::SyncCursor;
