//! One box of the model, with the product's own decisions.

use ochreyard_core::direct::{BoxList, BoxRecord, LocalBox, LogProgress, LogRetryBackoff, PollSchedule, ReadRole};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::site::{LEAVING_KNOWN_MS, LEFT_TO_OTHERS_MS, addr, data_centre, name};

/// One box.
pub struct ModelBox {
    pub name: String,
    pub data_centre: String,
    pub record: BoxRecord,
    pub others: BoxList,
    pub reading: LogProgress,
    pub questions: PollSchedule,
    pub pauses: LogRetryBackoff,
    pub started_ms: u64,
    /// How long it leaves the log to others after its start.
    pub left_ms: u64,
    pub next_call_ms: u64,
    pub next_list_ms: u64,
    /// Until when a box that nobody told enough waits for others that read the same.
    pub spread_until_ms: Option<u64>,
    /// When it learned of the record that all are to know.
    pub known_ms: Option<u64>,
    /// The era of the log that it knows of, and when it reads again what the last return may have changed.
    pub era: u64,
    pub read_again_ms: Option<u64>,
}

impl ModelBox {
    /// A box that starts now and knows nothing.
    pub fn start(at: usize, now_ms: u64, draws: &mut SmallRng) -> Self {
        let data_centre = data_centre(at);
        let record =
            BoxRecord { addr: addr(at), data_centre: data_centre.clone(), cores_permille: 250, link_mbps: 100 };
        Self {
            name: name(at),
            data_centre,
            record,
            others: BoxList::default(),
            reading: LogProgress::new(LEAVING_KNOWN_MS),
            questions: PollSchedule::default(),
            pauses: LogRetryBackoff::default(),
            started_ms: now_ms,
            left_ms: draws.random_range(LEFT_TO_OTHERS_MS),
            next_call_ms: 0,
            next_list_ms: 0,
            spread_until_ms: None,
            known_ms: None,
            era: 0,
            read_again_ms: None,
        }
    }

    /// How the order of boxes sees it.
    pub fn own(&self) -> LocalBox<'_> {
        LocalBox { name: &self.name, data_centre: &self.data_centre }
    }

    /// What it does to know what the log holds.
    pub fn duty(&self, now_ms: u64) -> ReadRole {
        ReadRole::of(self.own(), &self.others, now_ms)
    }

    /// The digest of all boxes that it knows, itself among them.
    pub fn digest(&self) -> u64 {
        self.others.digest((&self.name, &self.record))
    }

    /// All boxes that it knows, itself among them.
    pub fn listed(&self) -> Vec<(String, BoxRecord)> {
        let others = self.others.iter().map(|(name, record)| (name.to_owned(), record.clone()));
        others.chain([(self.name.clone(), self.record.clone())]).collect()
    }
}
