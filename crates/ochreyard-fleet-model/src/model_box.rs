//! One simulated box, which decides by the code of `ochreyard-core`.

use ochreyard_core::direct::{BoxList, BoxRecord, LocalBox, LogProgress, LogRetryBackoff, PollSchedule, ReadRole};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::parameters::{LEAVE_PROPAGATION_MS, STARTUP_LOG_DELAY_MS, addr, data_centre, name};

/// The state of one simulated box.
pub struct ModelBox {
    pub name: String,
    pub data_centre: String,
    pub record: BoxRecord,
    pub other_boxes: BoxList,
    pub log_progress: LogProgress,
    pub poll_schedule: PollSchedule,
    pub retry_backoff: LogRetryBackoff,
    pub started_ms: u64,
    /// How long the box leaves reading the log to other boxes after its start, in milliseconds.
    pub startup_log_delay_ms: u64,
    pub next_call_ms: u64,
    pub next_list_ms: u64,
    /// When the random delay of a box without a fresh state ends. Until then another box may read the same records.
    pub read_delay_until_ms: Option<u64>,
    /// When the box learned of the record whose propagation is measured.
    pub record_known_ms: Option<u64>,
    /// The latest era of the log that the box knows of.
    pub era: u64,
    /// When the box reads all records again, since the restore of the log may have changed them.
    pub reread_at_ms: Option<u64>,
}

impl ModelBox {
    /// Creates a box that starts now with no state.
    pub fn start(index: usize, now_ms: u64, rng: &mut SmallRng) -> Self {
        let data_centre = data_centre(index);
        let record =
            BoxRecord { addr: addr(index), data_centre: data_centre.clone(), cores_permille: 250, link_mbps: 100 };
        Self {
            name: name(index),
            data_centre,
            record,
            other_boxes: BoxList::default(),
            log_progress: LogProgress::new(LEAVE_PROPAGATION_MS),
            poll_schedule: PollSchedule::default(),
            retry_backoff: LogRetryBackoff::default(),
            started_ms: now_ms,
            startup_log_delay_ms: rng.random_range(STARTUP_LOG_DELAY_MS),
            next_call_ms: 0,
            next_list_ms: 0,
            read_delay_until_ms: None,
            record_known_ms: None,
            era: 0,
            reread_at_ms: None,
        }
    }

    /// Returns the name and data centre of this box, which decide its role.
    pub fn local_box(&self) -> LocalBox<'_> {
        LocalBox { name: &self.name, data_centre: &self.data_centre }
    }

    /// Returns the role in which the box learns the contents of the log.
    pub fn read_role(&self, now_ms: u64) -> ReadRole {
        ReadRole::of(self.local_box(), &self.other_boxes, now_ms)
    }

    /// Returns the digest of all known boxes, this one included.
    pub fn digest(&self) -> u64 {
        self.other_boxes.digest((&self.name, &self.record))
    }

    /// Returns all known boxes, this one included.
    pub fn all_boxes(&self) -> Vec<(String, BoxRecord)> {
        let other_boxes = self.other_boxes.iter().map(|(name, record)| (name.to_owned(), record.clone()));
        other_boxes.chain([(self.name.clone(), self.record.clone())]).collect()
    }
}
