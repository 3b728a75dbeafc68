//! Settings of the admission control of one agent.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use crate::config::Configuration;
use crate::ids::{DataCentreId, EndpointId, ServiceId};

/// Identity and limits of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// The endpoint that the agent runs next to.
    pub endpoint: EndpointId,
    /// The data centre of the agent and its endpoint.
    pub data_centre: DataCentreId,
    /// The address at which entries reach the agent.
    pub agent_addr: SocketAddr,
    /// Number of requests that may run at the same time, unless the configuration sets it.
    pub slots: u32,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
    /// Maximum number of queued requests of one workspace.
    pub queue_limit_per_workspace: usize,
    /// How long the outcome of an idempotency key is stored, in milliseconds.
    pub key_window_ms: u64,
    /// Maximum number of stored keys.
    pub max_keys: usize,
    /// Maximum clock skew between processes, in milliseconds.
    pub clock_margin_ms: u64,
    /// Smallest retry delay that a refusal advises, in milliseconds.
    pub min_retry_after_ms: u64,
}

impl AdmissionSettings {
    /// Creates the default settings for `endpoint` in `data_centre`.
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

    /// Sets how many requests may run at the same time.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how many requests may be queued, in all and for each workspace.
    #[must_use]
    pub const fn with_queue_limits(mut self, total: usize, per_workspace: usize) -> Self {
        self.queue_limit = total;
        self.queue_limit_per_workspace = per_workspace;
        self
    }

    /// Sets how long outcomes of keys are stored, and how many.
    #[must_use]
    pub const fn with_keys(mut self, key_window_ms: u64, max_keys: usize) -> Self {
        self.key_window_ms = key_window_ms;
        self.max_keys = max_keys;
        self
    }

    /// The service that this endpoint runs according to `config`.
    #[must_use]
    pub fn service_of(&self, config: &Configuration) -> Option<ServiceId> {
        config.endpoint(&self.endpoint).map(|spec| spec.service.clone())
    }
}
