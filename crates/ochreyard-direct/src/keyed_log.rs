//! The interface to the platform's log: topics that keep the newest record of each key.

use std::future::Future;

use bytes::Bytes;
use ochreyard_core::direct::Position;

/// A topic of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The operators' configuration.
    Config,
    /// Records that endpoints write about themselves.
    Endpoints,
    /// Records that entry boxes write about themselves.
    Boxes,
    /// Verdicts on requests that crash endpoints, by fingerprint of the request.
    Quarantine,
}

/// One record. A record without a value deletes its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: Option<Bytes>,
    /// Position of the record in the topic.
    pub position: Position,
}

/// Records in the order of the topic.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KeyedPage {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Position at which the next read resumes.
    pub next: Position,
}

/// Why the log gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyedLogError {
    /// The records asked for are no longer kept.
    #[error("records before {first} are gone")]
    Gone {
        /// First record that is kept, or that the log has after it was restored from an older copy.
        first: Position,
    },
    /// The log could not be reached or refused the request, or its answer is of a past era.
    #[error("unavailable: {0}")]
    Unavailable(String),
}

/// A client of the platform's log.
pub trait KeyedLog: Clone + 'static {
    /// Reads the newest record of each key. A page is not a snapshot: a record in it may be newer than `next`, so later
    /// reads must compare positions.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<KeyedPage, KeyedLogError>>;

    /// Reads records from a position on; waits up to `wait_ms` for the first one. If the log has been restored from an
    /// older copy since, the page is of another era than `from`, and its records do not continue those before.
    fn read(
        &self,
        topic: Topic,
        from: Position,
        wait_ms: u64,
    ) -> impl Future<Output = Result<KeyedPage, KeyedLogError>>;

    /// Appends records, each a key and a value: all of them or none.
    fn append_all(
        &self,
        topic: Topic,
        records: &[(String, Vec<u8>)],
    ) -> impl Future<Output = Result<(), KeyedLogError>>;

    /// Appends a record.
    fn append(&self, topic: Topic, key: &str, value: &[u8]) -> impl Future<Output = Result<(), KeyedLogError>> {
        let record = [(key.to_owned(), value.to_vec())];
        async move { self.append_all(topic, &record).await }
    }

    /// Latest era that the log has named in any answer, if any. It rises each time that the log is restored from an
    /// older copy.
    fn era(&self) -> Option<u64>;
}
