//! Tasks and records that panic.

use std::cell::Cell;

use bytes::Bytes;
use http::HeaderMap;
use ochreyard_core::direct::{
    BoxRecord, EndpointRecord, Position, ReportedLoad, RequestSize, RetryBudgetLimits, RouteTable,
};
use ochreyard_direct::{Dialect, DocumentError, Entry, HeaderNames, Identity, KeyedRecord, OperatorKey, supervise};
use ochreyard_process::Clock;

/// Guards against a task that ends at a panic while its process goes on.
#[tokio::test]
async fn a_task_that_panics_is_started_again() {
    let starts = Cell::new(0);
    supervise("task", || async {
        starts.set(starts.get() + 1);
        tokio::task::yield_now().await;
        assert!(starts.get() > 1, "a fault");
    })
    .await;
    assert_eq!(starts.get(), 2);
}

/// A dialect in which the version of a configuration is its whole text, and another text panics.
struct FragileDialect;

impl Dialect for FragileDialect {
    fn headers(&self) -> &HeaderNames {
        unreachable!("no request is sent")
    }

    fn operator_key<'a>(&self, _: &'a str) -> OperatorKey<'a> {
        OperatorKey::Config
    }

    fn read_config(&self, document: &Bytes) -> Result<RouteTable, DocumentError> {
        let text = std::str::from_utf8(document).expect("a test writes text");
        Ok(RouteTable::new(text.parse().expect("a number")))
    }

    fn read_endpoint(&self, _: &Bytes) -> Result<EndpointRecord, DocumentError> {
        Err(DocumentError { document: "a record", problem: "not used".to_owned() })
    }

    fn read_load(&self, _: &str) -> Option<ReportedLoad> {
        None
    }

    fn read_size(&self, _: &str) -> Option<RequestSize> {
        None
    }

    fn prompt_parts<'a>(&self, _: &'a HeaderMap) -> Vec<&'a str> {
        Vec::new()
    }
}

/// Guards against a record that ends the reading of all later ones, since its reader panics at it each time.
#[test]
fn records_after_one_that_panics_are_applied() {
    let record = BoxRecord {
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: String::new(),
        cores_permille: 250,
        link_mbps: 1_000,
    };
    let identity = Identity { name: "edge-1".to_owned(), data_centre: "a".to_owned(), incarnation: 1, record };
    let limits = RetryBudgetLimits { ratio: 0.2, fixed: 90, window_ms: 10_000 };
    let entry = Entry::new(FragileDialect, identity, limits, 2_000, Clock::start());
    let to_record = |(offset, text): (u64, &'static str)| KeyedRecord {
        key: "config".to_owned(),
        value: Some(Bytes::from_static(text.as_bytes())),
        position: Position::new(0, offset),
    };
    entry.apply_operator_records(&[(0, "4"), (1, "x"), (2, "5")].map(to_record));
    assert_eq!(entry.config_version(), Some(5));
}
