//! Acquires leases in the platform's log.

use ochreyard_core::ids::Incarnation;
use ochreyard_core::lease::{HeldLease, LeaseMargin, LeaseRecord, LeaseTable};
use ochreyard_platform::{LogStream, PlatformError};
use ochreyard_process::Clock;

/// Number of records to read at once.
const PAGE_RECORDS: u32 = 500;

/// Acquires leases for one agent, by reading and appending to the lease stream.
pub struct LeaseClient<L> {
    log: L,
    clock: Clock,
    incarnation: Incarnation,
    table: LeaseTable,
    cursor: u64,
}

impl<L: LogStream> LeaseClient<L> {
    /// Creates a client that has read nothing yet.
    pub fn new(log: L, clock: Clock, incarnation: Incarnation) -> Self {
        Self { log, clock, incarnation, table: LeaseTable::default(), cursor: 0 }
    }

    /// Acquires or renews the lease. Returns `None` while another agent may still hold it.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the log cannot be read or the append fails.
    pub async fn acquire(&mut self, lease: &str, ttl_ms: u64) -> Result<Option<HeldLease>, PlatformError> {
        self.read_to_end().await?;
        let requested_ms = self.clock.now_ms();
        if requested_ms < self.table.earliest_request_ms(lease, self.incarnation, LeaseMargin::default()) {
            return Ok(None);
        }
        let replaces = self.table.current(lease).map(|current| current.token);
        let record = LeaseRecord { lease: lease.to_owned(), holder: self.incarnation, replaces, ttl_ms };
        let text = serde_json::to_string(&record).map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        // If the answer is lost, the record may have been appended nevertheless; reading the log shows it.
        let appended = self.log.append(&text).await;
        self.read_to_end().await?;
        let acquired = self
            .table
            .current(lease)
            .filter(|current| current.holder == self.incarnation && Some(current.token) > replaces);
        if acquired.is_none() {
            appended?;
        }
        Ok(acquired.map(|current| HeldLease { token: current.token, requested_ms, ttl_ms }))
    }

    async fn read_to_end(&mut self) -> Result<(), PlatformError> {
        loop {
            let page = self.log.read(self.cursor, PAGE_RECORDS).await?;
            let now_ms = self.clock.now_ms();
            for record in &page.records {
                // Records that cannot be parsed are ignored.
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
