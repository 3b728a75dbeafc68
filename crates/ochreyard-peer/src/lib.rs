//! The link between an entry and an agent, over `capnp-rpc`.
//!
//! Objects of `capnp-rpc` must stay on one thread. [`LocalThread`] is such a thread; [`AgentLink`] (the entry's side)
//! and [`serve`] (the agent's side) can be used from other threads.
//!
//! A frame of an answer is sent only after the one before has been accepted. This is the flow control: a slow caller
//! slows down the endpoint, and memory stays bounded. Data that arrives from the endpoint meanwhile is sent together in
//! the next frame.

#[allow(clippy::all, clippy::pedantic, missing_docs, clippy::unimplemented, unused_qualifications, unsafe_code)]
#[rustfmt::skip]
mod agent_capnp;
mod configuration_exchange;
mod convert;
mod handler;
mod link;
mod local_thread;
mod message;
mod server;
mod wire;

pub use configuration_exchange::{ConfigurationSource, fetch_configuration, serve_configuration};
pub use handler::AgentHandler;
pub use link::{AgentLink, LinkError};
pub use local_thread::LocalThread;
pub use message::{CallOutcome, CallRequest, Heartbeat, ServiceRequest};
pub use server::serve;
