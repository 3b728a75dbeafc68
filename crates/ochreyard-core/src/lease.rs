//! Leases that live in the platform's log: who may lead a change, under which token.
//!
//! A lease is one record. Its offset is the fencing token. A record counts only if
//! it replaces the very record that was current, so of two contenders the first
//! in the log wins at every reader alike.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// One record of the lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// What is leased.
    pub lease: String,
    /// Who wants it.
    pub holder: Incarnation,
    /// The offset of the record that it replaces.
    pub replaces: Option<u64>,
    /// How long it lasts, in milliseconds.
    pub ttl_ms: u64,
}

/// A lease as a reader knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentLease {
    /// Its fencing token: the offset of its record.
    pub token: u64,
    /// Who holds it.
    pub holder: Incarnation,
    /// How long it lasts, in milliseconds.
    pub ttl_ms: u64,
    /// When this reader saw it, in milliseconds: never before it was written.
    pub seen_ms: u64,
}

/// The current lease of each name.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    leases: BTreeMap<String, CurrentLease>,
}

impl LeaseTable {
    /// Takes the record at `offset`, seen at `now_ms`. Says whether it counts.
    pub fn apply(&mut self, offset: u64, record: &LeaseRecord, now_ms: u64) -> bool {
        let current = self.leases.get(&record.lease).map(|lease| lease.token);
        // Where nothing is known, older records may have expired: ranks compare
        // fences, so a contender that is wrongly taken for the holder does no harm.
        if current.is_some() && current != record.replaces {
            return false;
        }
        let lease = CurrentLease { token: offset, holder: record.holder, ttl_ms: record.ttl_ms, seen_ms: now_ms };
        self.leases.insert(record.lease.clone(), lease);
        true
    }

    /// The current lease of a name.
    #[must_use]
    pub fn current(&self, lease: &str) -> Option<&CurrentLease> {
        self.leases.get(lease)
    }

    /// When `holder` may ask for the lease: at once if nobody else has it, else
    /// once the other's has surely lapsed and its last order has arrived.
    #[must_use]
    pub fn earliest_request_ms(&self, lease: &str, holder: Incarnation, margin: LeaseMargin) -> u64 {
        match self.leases.get(lease) {
            Some(current) if current.holder != holder => {
                current.seen_ms + current.ttl_ms + margin.max_order_delay_ms + margin.max_clock_drift_ms
            }
            _ => 0,
        }
    }
}

/// Distances that a holder and its successor keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseMargin {
    /// How long an order may be on its way, in milliseconds.
    pub max_order_delay_ms: u64,
    /// By how much two clocks may run apart during one lease, in milliseconds.
    pub max_clock_drift_ms: u64,
}

impl Default for LeaseMargin {
    fn default() -> Self {
        Self { max_order_delay_ms: 1_000, max_clock_drift_ms: 200 }
    }
}

/// A lease in the hands of its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token.
    pub token: u64,
    /// When it was asked for, in milliseconds: before it was written.
    pub requested_ms: u64,
    /// How long it lasts, in milliseconds.
    pub ttl_ms: u64,
}

impl HeldLease {
    /// Whether an order that is sent now arrives while the lease lasts. To be
    /// asked right before each send.
    #[must_use]
    pub const fn may_send(&self, now_ms: u64, margin: LeaseMargin) -> bool {
        now_ms + margin.max_order_delay_ms + margin.max_clock_drift_ms < self.requested_ms + self.ttl_ms
    }
}
