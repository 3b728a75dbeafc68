//! Which endpoint of the service is which rank of the group.
//!
//! Records of endpoints do not say it, so each one is asked once in an epoch.
//! Callers know ranks by these endpoints, and a rank whose agent is down is
//! reached through its endpoint.

use std::collections::BTreeMap;

use futures::future::join_all;
use ochreyard_core::group_map::RankView;
use ochreyard_direct::{Dialect, KeyedLog, Topic};

use crate::engine::{Engines, RankEngine};

/// Least pause between searches, in milliseconds: each asks every endpoint of the service.
const FIND_EVERY_MS: u64 = 2_000;

/// The endpoint of one rank.
struct Known<E> {
    id: String,
    engine: E,
}

/// The endpoints of a group's ranks, as far as they are known.
pub struct GroupEndpoints<S: Engines> {
    engines: S,
    epoch: Option<u64>,
    by_rank: BTreeMap<usize, Known<S::Engine>>,
    next_ms: u64,
}

impl<S: Engines> GroupEndpoints<S> {
    /// Nothing is known yet.
    pub const fn new(engines: S) -> Self {
        Self { engines, epoch: None, by_rank: BTreeMap::new(), next_ms: 0 }
    }

    /// The identifier of a rank's endpoint.
    pub fn id(&self, rank: usize) -> Option<&str> {
        self.by_rank.get(&rank).map(|known| known.id.as_str())
    }

    /// A rank's engine, reached through its endpoint.
    pub fn engine(&self, rank: usize) -> Option<&S::Engine> {
        self.by_rank.get(&rank).map(|known| &known.engine)
    }

    /// Looks for the endpoints of all ranks, once in an epoch of the group.
    pub async fn find<D: Dialect, L: KeyedLog>(
        &mut self,
        log: &L,
        dialect: &D,
        service: &str,
        view: &RankView,
        epoch: u64,
        now_ms: u64,
    ) {
        if self.epoch == Some(epoch) || now_ms < self.next_ms {
            return;
        }
        self.next_ms = now_ms + FIND_EVERY_MS;
        let Some(candidates) = self.candidates(log, dialect, service).await else { return };
        let asked = candidates.into_iter().map(|(id, engine)| async move {
            let told = engine.view().await;
            (id, engine, told)
        });
        for (id, engine, told) in join_all(asked).await {
            let Ok(told) = told else { continue };
            if told.group == view.group {
                self.by_rank.insert(told.rank, Known { id, engine });
            }
        }
        let found = self.by_rank.len();
        log::info!("event=group_endpoints group={} epoch={epoch} found={found} size={}", view.group, view.size);
        if found == view.size {
            self.epoch = Some(epoch);
        }
    }

    /// All endpoints of the service with their engines, unless the log does not answer.
    async fn candidates<D: Dialect, L: KeyedLog>(
        &self,
        log: &L,
        dialect: &D,
        service: &str,
    ) -> Option<Vec<(String, S::Engine)>> {
        let page = match log.newest(Topic::Endpoints).await {
            Ok(page) => page,
            Err(error) => {
                log::debug!("event=endpoints_unread error=\"{error}\"");
                return None;
            }
        };
        let of_service = page.records.into_iter().filter_map(|record| {
            let found = dialect.read_endpoint(record.value.as_ref()?).ok()?;
            (found.service == service).then(|| (record.key, self.engines.at(found.addr)))
        });
        Some(of_service.collect())
    }
}
