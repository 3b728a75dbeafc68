//! The trait that an agent implements to serve the link.

use std::future::Future;
use std::sync::Arc;

use ochreyard_core::admission::RevokeAnswer;
use ochreyard_core::config::{Configuration, Delta};
use ochreyard_core::frame::Frame;
use ochreyard_core::ids::{AttemptId, Incarnation};
use ochreyard_core::membership::AgentReport;
use tokio::sync::mpsc;

use crate::message::{CallOutcome, CallRequest, Heartbeat};

/// An agent that handles calls of entries.
pub trait AgentHandler: Send + Sync + 'static {
    /// Handles a heartbeat and returns the agent's report.
    fn heartbeat(&self, beat: Heartbeat) -> impl Future<Output = AgentReport> + Send;

    /// Puts a configuration in force unless it is older, and returns the version then in force.
    fn configure(&self, config: Arc<Configuration>) -> impl Future<Output = u64> + Send;

    /// Applies a delta if it starts from the version in force, and returns the version then in force.
    fn extend(&self, delta: Delta) -> impl Future<Output = u64> + Send;

    /// Runs a call and sends the frames of the answer to `frames`, which closes when the caller disconnects.
    fn call(&self, call: CallRequest, frames: mpsc::Sender<Frame>) -> impl Future<Output = CallOutcome> + Send;

    /// Cancels an attempt whose caller has disconnected.
    fn cancel(&self, attempt: AttemptId) -> impl Future<Output = ()> + Send;

    /// Returns whether an attempt has started, and prevents it from starting if not.
    fn revoke(&self, attempt: AttemptId, agent_incarnation: Incarnation) -> impl Future<Output = RevokeAnswer> + Send;
}
