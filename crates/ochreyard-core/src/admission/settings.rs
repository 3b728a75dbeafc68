//! Limits of one agent's admission.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use crate::config::Configuration;
use crate::ids::{DataCentreId, EndpointId, ServiceId};

/// Who the agent is, and its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// The endpoint beside which the agent runs.
    pub endpoint: EndpointId,
    /// The data centre of both.
    pub data_centre: DataCentreId,
    /// The address at which entries reach the agent.
    pub agent_addr: SocketAddr,
    /// Requests at the same time, until the configuration says otherwise.
    pub slots: u32,
    /// Requests that may wait in all.
    pub queue_limit: usize,
    /// Requests of one workspace that may wait.
    pub queue_limit_per_workspace: usize,
    /// How long the outcome of a key is kept, in milliseconds.
    pub key_window_ms: u64,
    /// How many keys are kept at the most.
    pub max_keys: usize,
    /// By how much clocks may differ, in milliseconds.
    pub clock_margin_ms: u64,
    /// Smallest advice on when to come back, in milliseconds.
    pub min_retry_after_ms: u64,
}

impl AdmissionSettings {
    /// The usual limits for `endpoint` in `data_centre`.
    #[must_use]
    pub fn new(endpoint: impl Into<EndpointId>, data_centre: impl Into<DataCentreId>) -> Self {
        Self {
            endpoint: endpoint.into(),
            data_centre: data_centre.into(),
            agent_addr: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)),
            slots: 16,
            queue_limit: 1024,
            queue_limit_per_workspace: 64,
            key_window_ms: 600_000,
            max_keys: 20_000,
            clock_margin_ms: 2_000,
            min_retry_after_ms: 100,
        }
    }

    /// Sets the address at which entries reach the agent.
    #[must_use]
    pub const fn with_agent_addr(mut self, agent_addr: SocketAddr) -> Self {
        self.agent_addr = agent_addr;
        self
    }

    /// Sets how many requests run at the same time.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how many requests may wait, in all and for each workspace.
    #[must_use]
    pub const fn with_queue_limits(mut self, all: usize, per_workspace: usize) -> Self {
        self.queue_limit = all;
        self.queue_limit_per_workspace = per_workspace;
        self
    }

    /// Sets how long, and how many, outcomes of keys are kept.
    #[must_use]
    pub const fn with_keys(mut self, window_ms: u64, max_keys: usize) -> Self {
        self.key_window_ms = window_ms;
        self.max_keys = max_keys;
        self
    }

    /// The service that `config` gives to this endpoint.
    #[must_use]
    pub fn service_of(&self, config: &Configuration) -> Option<ServiceId> {
        config.endpoint(&self.endpoint).map(|spec| spec.service.clone())
    }
}
