//! A box's question to another one, as the path that it asks for.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Where a box tells what it knows.
pub const STATE_PATH: &str = "/state";

/// What the asker has, and what it says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// Version of its configuration, if it has one.
    pub version: Option<u64>,
    /// Its name.
    pub name: Option<String>,
    /// Where it is asked itself.
    pub addr: Option<SocketAddr>,
    /// Where it reads on among the records of endpoints.
    pub from: Option<u64>,
    /// Whether it wants to know all other boxes.
    pub wants_boxes: bool,
}

impl Question {
    /// Reads the query of a request; what cannot be read counts as not said.
    pub fn read(query: &str) -> Self {
        let pairs: BTreeMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let number = |name: &str| pairs.get(name).and_then(|value| value.parse::<u64>().ok());
        Self {
            version: number("version"),
            name: pairs.get("box").map(|name| (*name).to_owned()),
            addr: pairs.get("addr").and_then(|addr| addr.parse().ok()),
            from: number("from"),
            wants_boxes: pairs.contains_key("boxes"),
        }
    }

    /// The path with the query that says the same.
    pub fn path(&self) -> String {
        let mut pairs = Vec::new();
        pairs.extend(self.version.map(|version| format!("version={version}")));
        pairs.extend(self.name.as_ref().map(|name| format!("box={name}")));
        pairs.extend(self.addr.map(|addr| format!("addr={addr}")));
        pairs.extend(self.from.map(|from| format!("from={from}")));
        pairs.extend(self.wants_boxes.then(|| "boxes=1".to_owned()));
        format!("{STATE_PATH}?{}", pairs.join("&"))
    }
}
