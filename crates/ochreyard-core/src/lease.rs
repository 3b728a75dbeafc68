//! Leases that are stored in the platform's log: they decide which holder may lead a change, with which token.
//!
//! A lease is one record, and the record's offset is the fencing token. A record takes effect
//! only if it replaces the record that is current at its position in the log, so of two
//! contenders the first in the log wins for every reader.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// One record of the lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the lease.
    pub lease: String,
    /// The incarnation that requests the lease.
    pub holder: Incarnation,
    /// The offset of the record that this one replaces.
    pub replaces: Option<u64>,
    /// Duration of the lease, in milliseconds.
    pub ttl_ms: u64,
}

/// The current lease of a name, as a reader of the log knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentLease {
    /// The fencing token: the offset of the lease's record.
    pub token: u64,
    /// The incarnation that holds the lease.
    pub holder: Incarnation,
    /// Duration of the lease, in milliseconds.
    pub ttl_ms: u64,
    /// Time at which this reader saw the record, in milliseconds; never earlier than it was written.
    pub seen_ms: u64,
}

/// The current lease of each name.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    leases: BTreeMap<String, CurrentLease>,
}

impl LeaseTable {
    /// Applies the record at `offset`, seen at `now_ms`. Returns whether it takes effect.
    pub fn apply(&mut self, offset: u64, record: &LeaseRecord, now_ms: u64) -> bool {
        let current = self.leases.get(&record.lease).map(|lease| lease.token);
        // If no lease is known, older records may have expired from the log. Accepting a contender
        // as the holder by mistake does no harm, since ranks compare fences.
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

    /// The earliest time at which `holder` may request the lease, in milliseconds: 0 if no other
    /// incarnation holds it, else the time by which that lease has certainly expired and the last
    /// order under it has arrived.
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

/// Safety margins between the orders of a holder and those of its successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseMargin {
    /// Longest time that an order may take to arrive, in milliseconds.
    pub max_order_delay_ms: u64,
    /// Largest drift between two clocks during one lease, in milliseconds.
    pub max_clock_drift_ms: u64,
}

impl Default for LeaseMargin {
    fn default() -> Self {
        Self { max_order_delay_ms: 1_000, max_clock_drift_ms: 200 }
    }
}

/// A lease as its holder knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token.
    pub token: u64,
    /// Time at which the lease was requested, in milliseconds; earlier than it was written.
    pub requested_ms: u64,
    /// Duration of the lease, in milliseconds.
    pub ttl_ms: u64,
}

impl HeldLease {
    /// Whether an order that is sent now arrives before the lease expires. Must be called
    /// immediately before each send.
    #[must_use]
    pub const fn may_send(&self, now_ms: u64, margin: LeaseMargin) -> bool {
        now_ms + margin.max_order_delay_ms + margin.max_clock_drift_ms < self.requested_ms + self.ttl_ms
    }
}
