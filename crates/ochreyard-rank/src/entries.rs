//! The entries that a leader tells of its group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use ochreyard_core::direct::GroupNews;
use ochreyard_direct::{CallLink, GROUP_PATH, KeyedLog, Topic};

/// How often entries are told while nothing changes: a few times within the time
/// for which they believe it. In milliseconds.
const TELL_EVERY_MS: u64 = 300;
/// How often the list of entries is read, in milliseconds: boxes seldom come or go, and
/// each reading is a call to the log.
const READ_EVERY_MS: u64 = 8_000;
/// Longest wait for an entry: until it is told again.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// The entries known to a leader.
#[derive(Default)]
pub struct Entries {
    links: BTreeMap<SocketAddr, Rc<CallLink>>,
    read_ms: u64,
    told_ms: u64,
    told_serving: bool,
    last_serving: Option<bool>,
}

impl Entries {
    /// Whether entries should be told now.
    pub fn is_due(&mut self, is_serving: bool, now_ms: u64) -> bool {
        let is_due = is_serving != self.told_serving || now_ms >= self.told_ms + TELL_EVERY_MS;
        if is_due {
            self.told_serving = is_serving;
            self.told_ms = now_ms;
        }
        is_due
    }

    /// Reads the list of entries, if it is old.
    pub async fn read<L: KeyedLog>(&mut self, log: &L, now_ms: u64) {
        if self.read_ms > 0 && now_ms < self.read_ms + READ_EVERY_MS {
            return;
        }
        let page = match log.newest(Topic::Boxes).await {
            Ok(page) => page,
            Err(error) => {
                log::debug!("event=entries_unread error=\"{error}\"");
                return;
            }
        };
        self.read_ms = now_ms;
        let addrs =
            page.records.iter().filter_map(|record| std::str::from_utf8(record.value.as_ref()?).ok()?.parse().ok());
        for addr in addrs {
            self.links.entry(addr).or_insert_with(|| Rc::new(CallLink::new(addr)));
        }
    }

    /// Tells all entries, without waiting for them. Says whether it is news that
    /// the group goes on, or does not.
    pub fn tell(&mut self, news: &GroupNews) -> bool {
        let is_change = self.last_serving.replace(news.is_serving) != Some(news.is_serving);
        let Ok(body) = serde_json::to_vec(news) else { return is_change };
        let body = Bytes::from(body);
        for link in self.links.values() {
            let (link, body) = (Rc::clone(link), body.clone());
            tokio::task::spawn_local(async move {
                let host = link.addr().to_string();
                let request = Request::post(GROUP_PATH).header(http::header::HOST, host).body(Full::from(body));
                let Ok(request) = request else { return };
                if let Err(error) = link.call(request, TELL_TIMEOUT).await {
                    log::debug!("event=entry_silent addr={} error=\"{error}\"", link.addr());
                }
            });
        }
        is_change
    }
}
