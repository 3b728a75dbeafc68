//! The query of one box for the state of another, as an HTTP path.

use std::collections::BTreeMap;

use ochreyard_core::direct::{BoxRecord, Position};

use crate::sync_cursor::SyncCursor;

/// Path on which a box returns its state.
pub const STATE_PATH: &str = "/state";

/// What the requesting box already has, and its own record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateQuery {
    /// Version of the requester's configuration, if it has one.
    pub version: Option<u64>,
    /// Name of the requester.
    pub name: Option<String>,
    /// Record of the requester.
    pub record: Option<BoxRecord>,
    /// Log position from which the requester lacks endpoint records.
    pub from: Option<Position>,
    /// Number of boxes that the requester knows, and the digest of its list of them. The number is 0 until the list is
    /// complete, so that the answer contains all boxes.
    pub boxes: Option<(usize, u64)>,
    /// How much of the incrementally sent state the requester has applied.
    pub cursor: SyncCursor,
}

impl StateQuery {
    /// Parses the query string of a request. A parameter that cannot be parsed counts as absent.
    #[must_use]
    pub fn parse(query: &str) -> Self {
        let pairs: BTreeMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let number = |name: &str| pairs.get(name).and_then(|value| value.parse::<u64>().ok());
        Self {
            version: number("version"),
            name: pairs.get("box").map(|name| (*name).to_owned()),
            record: record(&pairs),
            from: pairs.get("from").and_then(|value| value.parse().ok()),
            boxes: number("known").and_then(|count| usize::try_from(count).ok()).zip(number("digest")),
            cursor: SyncCursor {
                incarnation: number("life").unwrap_or(0),
                boxes: number("boxes").and_then(|count| usize::try_from(count).ok()).unwrap_or(0),
                quarantine: number("quarantine").unwrap_or(0),
                limits: number("limits").unwrap_or(0),
            },
        }
    }

    /// Returns the path and query string that [`StateQuery::parse`] reads.
    #[must_use]
    pub fn to_path(&self) -> String {
        let mut pairs = Vec::new();
        pairs.extend(self.version.map(|version| format!("version={version}")));
        pairs.extend(self.name.as_ref().map(|name| format!("box={name}")));
        pairs.extend(self.record.as_ref().map(|record| {
            let BoxRecord { addr, data_centre, cores_permille, link_mbps } = record;
            format!("addr={addr}&data_centre={data_centre}&cores={cores_permille}&link={link_mbps}")
        }));
        pairs.extend(self.from.map(|from| format!("from={from}")));
        pairs.extend(self.boxes.map(|(known, digest)| format!("known={known}&digest={digest}")));
        let SyncCursor { incarnation, boxes, quarantine, limits } = self.cursor;
        pairs.extend((boxes > 0 || quarantine > 0 || limits > 0).then(|| format!("life={incarnation}")));
        pairs.extend((boxes > 0).then(|| format!("boxes={boxes}")));
        pairs.extend((quarantine > 0).then(|| format!("quarantine={quarantine}")));
        pairs.extend((limits > 0).then(|| format!("limits={limits}")));
        format!("{STATE_PATH}?{}", pairs.join("&"))
    }
}

/// Parses the requester's record; `None` if a part of it is missing.
fn record(pairs: &BTreeMap<&str, &str>) -> Option<BoxRecord> {
    Some(BoxRecord {
        addr: pairs.get("addr")?.parse().ok()?,
        data_centre: pairs.get("data_centre").map_or_else(String::new, |name| (*name).to_owned()),
        cores_permille: pairs.get("cores")?.parse().ok()?,
        link_mbps: pairs.get("link")?.parse().ok()?,
    })
}
