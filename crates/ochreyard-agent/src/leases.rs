//! Takes and reads leases in the platform's log.

use ochreyard_core::ids::Incarnation;
use ochreyard_core::lease::{HeldLease, LeaseMargin, LeaseRecord, LeaseTable};
use ochreyard_platform::{LogStream, PlatformError};
use ochreyard_process::Clock;

/// Records that are read at once.
const PAGE_RECORDS: u32 = 500;

/// One agent's view of the lease stream.
pub struct Leases<L> {
    log: L,
    clock: Clock,
    own: Incarnation,
    table: LeaseTable,
    cursor: u64,
}

impl<L: LogStream> Leases<L> {
    /// A view that has read nothing yet.
    pub fn new(log: L, clock: Clock, own: Incarnation) -> Self {
        Self { log, clock, own, table: LeaseTable::default(), cursor: 0 }
    }

    /// Takes the lease if it is free, lapsed or own; `None` while another's may last.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the log cannot be read.
    pub async fn take(&mut self, lease: &str, ttl_ms: u64) -> Result<Option<HeldLease>, PlatformError> {
        self.read_to_end().await?;
        let requested_ms = self.clock.now_ms();
        if requested_ms < self.table.earliest_request_ms(lease, self.own, LeaseMargin::default()) {
            return Ok(None);
        }
        let replaces = self.table.current(lease).map(|current| current.token);
        let record = LeaseRecord { lease: lease.to_owned(), holder: self.own, replaces, ttl_ms };
        let text = serde_json::to_string(&record).map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        // If the answer is lost, the record may be there all the same: reading tells.
        let appended = self.log.append(&text).await;
        self.read_to_end().await?;
        let won =
            self.table.current(lease).filter(|current| current.holder == self.own && Some(current.token) > replaces);
        if won.is_none() {
            appended?;
        }
        Ok(won.map(|current| HeldLease { token: current.token, requested_ms, ttl_ms }))
    }

    async fn read_to_end(&mut self) -> Result<(), PlatformError> {
        loop {
            let page = self.log.read(self.cursor, PAGE_RECORDS).await?;
            let now_ms = self.clock.now_ms();
            for record in &page.records {
                // A record that cannot be read counts as nothing.
                if let Ok(parsed) = serde_json::from_str::<LeaseRecord>(&record.text) {
                    self.table.apply(record.offset, &parsed, now_ms);
                }
                self.cursor = record.offset + 1;
            }
            if page.records.is_empty() || self.cursor >= page.next_offset {
                return Ok(());
            }
        }
    }
}
