//! The interface to the engine of a rank.

use std::future::Future;
use std::net::SocketAddr;

use ochreyard_core::group_map::{OrderOutcome, RankView, SentOrder, selections_between};
use serde::{Deserialize, Serialize};

/// Why a reading from an engine failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The engine gave no complete answer.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer of the engine cannot be decoded.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
    /// The engine belongs to no group.
    #[error("the engine belongs to no group")]
    NoGroup,
}

/// How often a rank's requests have selected each expert since the engine started.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SelectionTotals {
    /// The epoch of the group at the time of the reading.
    pub epoch: u64,
    /// Start time of this incarnation of the engine, in milliseconds; 0 if the engine does not report it.
    pub started_ms: u64,
    /// Cumulative selection counts by set and expert.
    pub counts: Vec<u64>,
}

impl SelectionTotals {
    /// Returns the selections since the reading `before`. After a restart the engine counts from zero, so all
    /// selections are new, even if the counts exceed those of `before` by now.
    #[must_use]
    pub fn since(&self, before: &Self) -> Vec<u64> {
        let is_same_incarnation = self.started_ms == before.started_ms;
        selections_between(if is_same_incarnation { &before.counts } else { &[] }, &self.counts)
    }
}

/// The experts that a rank holds under the map in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct HeldExperts {
    /// The epoch of the group at the time of the reading.
    pub epoch: u64,
    /// The version of the map in use.
    pub version: u64,
    /// The held experts by set.
    pub experts: Vec<Vec<u16>>,
}

/// A client for the engine of one rank.
pub trait RankEngine: 'static {
    /// Reads the current view of the rank.
    fn view(&self) -> impl Future<Output = Result<RankView, EngineError>>;

    /// Reads the cumulative selection counts.
    fn selection_totals(&self) -> impl Future<Output = Result<SelectionTotals, EngineError>>;

    /// Reads the experts that the rank holds.
    fn held_experts(&self) -> impl Future<Output = Result<HeldExperts, EngineError>>;

    /// Sends an order to the engine and returns its outcome.
    fn order(&self, order: &SentOrder) -> impl Future<Output = OrderOutcome>;
}

/// Creates clients for engines.
pub trait EngineFactory: Clone + 'static {
    /// The type of the clients.
    type Engine: RankEngine;

    /// Creates a client for the engine at `addr`.
    fn client_at(&self, addr: SocketAddr) -> Self::Engine;
}
