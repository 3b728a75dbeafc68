//! The rank's record in the log, where the other agents look for it.

use std::time::Duration;

use ochreyard_direct::{Dialect, KeyedLog, Topic};

use super::Leader;
use crate::engine::Engines;
use crate::rank_record::rank_key;

/// Pause between attempts to write the rank's record: the engine starts meanwhile,
/// or the log answers again.
const REGISTER_PAUSE: Duration = Duration::from_millis(250);

impl<D: Dialect, L: KeyedLog, S: Engines> Leader<D, L, S> {
    /// Writes the rank's record once its engine tells the group.
    pub(super) async fn register(&mut self) {
        loop {
            if let Some(view) = self.agent.look().await {
                let text = serde_json::to_vec(&self.agent.record).unwrap_or_default();
                match self.log.append(Topic::Ranks, &rank_key(&view.group, view.rank), &text).await {
                    Ok(()) => {
                        log::info!("event=rank_registered group={} rank={}", view.group, view.rank);
                        return;
                    }
                    Err(error) => log::warn!("event=rank_not_registered error=\"{error}\""),
                }
            }
            tokio::time::sleep(REGISTER_PAUSE).await;
        }
    }
}
