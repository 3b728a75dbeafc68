//! The engine of a rank, as an agent uses it.

use std::future::Future;
use std::net::SocketAddr;

use ochreyard_core::group_map::{OrderOutcome, RankView, SentOrder, selections_between};
use serde::{Deserialize, Serialize};

/// Why an engine told nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// It gave no whole answer.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Its answer cannot be read.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
    /// It belongs to no group.
    #[error("the engine belongs to no group")]
    NoGroup,
}

/// How often a rank's requests have chosen each expert since its start, set by set.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SelectionTotals {
    /// The epoch of the group.
    pub epoch: u64,
    /// When this life of the engine started; 0 where it does not tell.
    pub started_ms: u64,
    /// The counts.
    pub counts: Vec<u64>,
}

impl SelectionTotals {
    /// What was chosen since `before`. An engine that started again counts from zero, even where it
    /// has passed the former counts by now.
    #[must_use]
    pub fn since(&self, before: &Self) -> Vec<u64> {
        let is_same_life = self.started_ms == before.started_ms;
        selections_between(if is_same_life { &before.counts } else { &[] }, &self.counts)
    }
}

/// The experts that a rank holds, by set, under the map in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct HeldExperts {
    /// The epoch of the group.
    pub epoch: u64,
    /// The number of the map.
    pub version: u64,
    /// The experts by set.
    pub experts: Vec<Vec<u16>>,
}

/// One engine.
pub trait RankEngine: 'static {
    /// Its fresh report.
    fn view(&self) -> impl Future<Output = Result<RankView, EngineError>>;

    /// Its running counts.
    fn selection_totals(&self) -> impl Future<Output = Result<SelectionTotals, EngineError>>;

    /// What it holds.
    fn held_experts(&self) -> impl Future<Output = Result<HeldExperts, EngineError>>;

    /// Gives it an order.
    fn order(&self, order: &SentOrder) -> impl Future<Output = OrderOutcome>;
}

/// Makes clients for engines.
pub trait EngineFactory: Clone + 'static {
    /// The client.
    type Engine: RankEngine;

    /// A client for the engine at `addr`.
    fn client_at(&self, addr: SocketAddr) -> Self::Engine;
}
