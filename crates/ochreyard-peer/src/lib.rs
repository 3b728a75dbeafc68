//! The link between an entry and an agent, over `capnp-rpc`.
//!
//! Objects of `capnp-rpc` stay on one thread. [`LocalThread`] is such a thread;
//! [`AgentLink`] (the entry's side) and [`serve`] (the agent's side) are handles
//! that other threads can use.
//!
//! A frame of an answer is sent only after the one before has been taken, so a
//! slow caller holds back the endpoint and no memory fills up. What arrives from
//! the endpoint in the meantime travels together in the next frame.

#[allow(clippy::all, clippy::pedantic, missing_docs, clippy::unimplemented, unused_qualifications, unsafe_code)]
#[rustfmt::skip]
mod agent_capnp;
mod convert;
mod entry_door;
mod handler;
mod link;
mod local_thread;
mod message;
mod server;
mod wire;

pub use entry_door::{ConfigurationSource, fetch_configuration, serve_configuration};
pub use handler::AgentHandler;
pub use link::{AgentLink, LinkError};
pub use local_thread::LocalThread;
pub use message::{CallOutcome, CallRequest, Heartbeat, ServiceRequest};
pub use server::serve;
