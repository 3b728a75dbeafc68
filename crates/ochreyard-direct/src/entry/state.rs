//! Everything that changes while a process runs.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use ochreyard_core::direct::{
    BoxList, Catalog, EndpointPool, Evacuations, LogProgress, Quarantine, RetryBudgetLimits, RouteTable, ServiceQueue,
    SharedRetryBudget, SharingBoxes,
};

use crate::connection_pool::ConnectionPool;

/// Everything that changes while the process runs.
pub struct State {
    /// The configuration in force, if one is known.
    pub table: Option<Arc<RouteTable>>,
    /// The document that it was read from, for other boxes.
    pub config_document: Bytes,
    /// What the log says of endpoints.
    pub catalog: Catalog,
    /// The data centres that operators have evacuated.
    pub evacuations: Evacuations,
    /// How far and how recently the records of endpoints were read, here or by another box.
    pub reading: LogProgress,
    /// The endpoints as seen from here.
    pub pool: EndpointPool,
    /// Kept connections to endpoints.
    pub connections: ConnectionPool,
    /// How often a request may be sent again.
    pub budget: SharedRetryBudget,
    /// Requests that wait, by service.
    pub queues: HashMap<String, ServiceQueue>,
    /// What is known of requests that crash endpoints.
    pub quarantine: Quarantine,
    /// Other boxes.
    pub boxes: BoxList,
    /// Whether the whole list of boxes has been seen, here or by a box that told of it.
    pub knows_all_boxes: bool,
    /// Whether the platform's log answered the last call.
    pub log_answers: bool,
    /// The latest era of the log that is known, once one is.
    pub era: Option<u64>,
}

impl State {
    /// A state in which nothing is known. An endpoint that leaves must get no more work after `leaving_known_ms`.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits, leaving_known_ms: u64) -> Self {
        Self {
            table: None,
            config_document: Bytes::new(),
            catalog: Catalog::new(),
            evacuations: Evacuations::default(),
            reading: LogProgress::new(leaving_known_ms),
            pool: EndpointPool::new(),
            connections: ConnectionPool::default(),
            budget: SharedRetryBudget::new(limits, SharingBoxes::default().count()),
            queues: HashMap::new(),
            quarantine: Quarantine::default(),
            boxes: BoxList::default(),
            knows_all_boxes: false,
            log_answers: false,
            era: None,
        }
    }

    /// The requests of a service.
    pub fn queue(&mut self, service: &str) -> &mut ServiceQueue {
        queue_of(&mut self.queues, service)
    }
}

/// The requests of a service, of all by service.
pub fn queue_of<'a>(queues: &'a mut HashMap<String, ServiceQueue>, service: &str) -> &'a mut ServiceQueue {
    if !queues.contains_key(service) {
        queues.insert(service.to_owned(), ServiceQueue::default());
    }
    queues.get_mut(service).expect("inserted above")
}
