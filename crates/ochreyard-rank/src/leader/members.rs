//! The other ranks of a group: where their agents are.

use std::collections::BTreeMap;
use std::rc::Rc;

use ochreyard_core::group_map::RankView;
use ochreyard_direct::{CallLink, KeyedLog, Topic};

use crate::rank_record::{RankRecord, rank_key};

/// Least pause between readings of the list of ranks, in milliseconds: a rank seldom
/// moves, and each reading is a call to the log.
const READ_EVERY_MS: u64 = 2_000;

/// One other rank: its agent.
pub struct Member {
    /// Its record in the log.
    pub record: RankRecord,
    /// The connection to its agent.
    pub link: Rc<CallLink>,
    /// Number of the map that its agent knows.
    pub knows_map: Option<u64>,
}

/// The other ranks of a group, as far as they are known.
#[derive(Default)]
pub struct Members {
    by_rank: BTreeMap<usize, Member>,
    read_ms: u64,
}

impl Members {
    /// Every known rank with its agent, lowest first.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Member)> {
        self.by_rank.iter().map(|(rank, member)| (*rank, member))
    }

    /// The connections to all known agents.
    pub fn links(&self) -> Vec<Rc<CallLink>> {
        self.by_rank.values().map(|member| Rc::clone(&member.link)).collect()
    }

    /// Notes which map the agent of a rank knows.
    pub fn note_map(&mut self, rank: usize, version: Option<u64>) {
        if let Some(member) = self.by_rank.get_mut(&rank) {
            member.knows_map = version;
        }
    }

    /// Reads where the other ranks are, unless that was done just now.
    pub async fn read<L: KeyedLog>(&mut self, log: &L, view: &RankView, now_ms: u64) {
        if self.read_ms > 0 && now_ms < self.read_ms + READ_EVERY_MS {
            return;
        }
        self.read_ms = now_ms;
        let page = match log.newest(Topic::Ranks).await {
            Ok(page) => page,
            Err(error) => {
                log::debug!("event=ranks_unread error=\"{error}\"");
                return;
            }
        };
        for rank in (0..view.size).filter(|rank| *rank != view.rank) {
            let key = rank_key(&view.group, rank);
            let value = page.records.iter().find(|record| record.key == key).and_then(|record| record.value.as_ref());
            let record = value.and_then(|value| serde_json::from_slice::<RankRecord>(value).ok());
            if let Some(record) = record {
                self.note(rank, record);
            }
        }
    }

    /// A rank whose record changed is known anew: its agent has moved.
    fn note(&mut self, rank: usize, record: RankRecord) {
        if self.by_rank.get(&rank).is_some_and(|member| member.record == record) {
            return;
        }
        let link = Rc::new(CallLink::new(record.agent_addr));
        self.by_rank.insert(rank, Member { record, link, knows_map: None });
    }
}
