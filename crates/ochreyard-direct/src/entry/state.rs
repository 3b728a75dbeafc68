//! State that changes while a process runs.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use ochreyard_core::direct::{
    BoxList, Catalog, EndpointPool, Evacuations, LogProgress, Quarantine, RetryBudgetLimits, RouteTable, ServiceQueue,
    SharedRetryBudget, SharingBoxes,
};

use crate::connection_pool::ConnectionPool;

/// State that changes while the process runs.
pub struct State {
    /// The configuration in force, if one is known.
    pub table: Option<Arc<RouteTable>>,
    /// The document of that configuration, which is sent to other boxes.
    pub config_document: Bytes,
    /// Endpoint records from the log.
    pub catalog: Catalog,
    /// The data centres that operators have evacuated.
    pub evacuations: Evacuations,
    /// How far and how recently the endpoint records were read, by this box or by another one.
    pub log_progress: LogProgress,
    /// The endpoints with their load, as seen from this box.
    pub pool: EndpointPool,
    /// Kept connections to endpoints.
    pub connections: ConnectionPool,
    /// Budget of retries.
    pub budget: SharedRetryBudget,
    /// Wait queues by service.
    pub queues: HashMap<String, ServiceQueue>,
    /// Findings on requests that crash endpoints.
    pub quarantine: Quarantine,
    /// Other boxes.
    pub boxes: BoxList,
    /// Whether the complete list of boxes has been seen, by this box or by one that sent its list.
    pub knows_all_boxes: bool,
    /// Whether the platform's log answered the last call.
    pub log_answers: bool,
    /// When the platform's log last answered a call; 0 if it never did.
    pub last_log_answer_ms: u64,
    /// Latest known era of the log.
    pub era: Option<u64>,
}

impl State {
    /// Creates the empty state of a process that started at `started_ms`. An endpoint that leaves must get no more
    /// requests after `leaving_known_ms`.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits, leaving_known_ms: u64, started_ms: u64) -> Self {
        let mut pool = EndpointPool::new();
        pool.set_process_start(started_ms);
        Self {
            table: None,
            config_document: Bytes::new(),
            catalog: Catalog::new(),
            evacuations: Evacuations::default(),
            log_progress: LogProgress::new(leaving_known_ms),
            pool,
            connections: ConnectionPool::default(),
            budget: SharedRetryBudget::new(limits, SharingBoxes::default().count(), started_ms),
            queues: HashMap::new(),
            quarantine: Quarantine::default(),
            boxes: BoxList::default(),
            knows_all_boxes: false,
            log_answers: false,
            last_log_answer_ms: 0,
            era: None,
        }
    }

    /// Returns the wait queue of a service.
    pub fn queue(&mut self, service: &str) -> &mut ServiceQueue {
        queue_of(&mut self.queues, service)
    }
}

/// Returns the wait queue of a service from all queues by service.
pub fn queue_of<'a>(queues: &'a mut HashMap<String, ServiceQueue>, service: &str) -> &'a mut ServiceQueue {
    if !queues.contains_key(service) {
        queues.insert(service.to_owned(), ServiceQueue::default());
    }
    queues.get_mut(service).expect("inserted above")
}
