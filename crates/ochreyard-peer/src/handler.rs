//! What the server side of the link needs from an agent.

use std::future::Future;
use std::sync::Arc;

use ochreyard_core::admission::RevokeAnswer;
use ochreyard_core::config::{Configuration, Delta};
use ochreyard_core::frame::Frame;
use ochreyard_core::ids::{AttemptId, Incarnation};
use ochreyard_core::membership::AgentReport;
use tokio::sync::mpsc;

use crate::message::{CallOutcome, CallRequest, Heartbeat};

/// An agent that answers entries.
pub trait AgentHandler: Send + Sync + 'static {
    /// Takes a heartbeat and reports.
    fn heartbeat(&self, beat: Heartbeat) -> impl Future<Output = AgentReport> + Send;

    /// Puts a configuration in force, unless it is older, and returns the version in force.
    fn configure(&self, config: Arc<Configuration>) -> impl Future<Output = u64> + Send;

    /// Puts what changed in force, if it starts from the version in force, and returns that afterwards.
    fn extend(&self, delta: Delta) -> impl Future<Output = u64> + Send;

    /// Runs a call; frames of the answer go to `frames`, which is closed when the caller has gone.
    fn call(&self, call: CallRequest, frames: mpsc::Sender<Frame>) -> impl Future<Output = CallOutcome> + Send;

    /// The caller of an attempt has gone.
    fn cancel(&self, attempt: AttemptId) -> impl Future<Output = ()> + Send;

    /// Says whether an attempt has started, and keeps it from starting if not.
    fn revoke(&self, attempt: AttemptId, to: Incarnation) -> impl Future<Output = RevokeAnswer> + Send;
}
