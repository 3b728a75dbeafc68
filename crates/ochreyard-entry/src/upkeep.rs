//! What an entry does by itself: reads the log, sends heartbeats, writes what
//! is its turn to write.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use ochreyard_core::config::{ConfigRecord, FoldEvent};
use ochreyard_peer::{AgentLink, LinkError, LocalThread, fetch_configuration};
use ochreyard_platform::{BoxList, BoxState, LogStream, PlatformError};
use ochreyard_process::Clock;

use crate::balancer::{
    Adopt, Balancer, Cursor, DueBeats, DueRecords, GetSeed, LinkBroke, NeedsPeers, ReadPage, TakeBoxList, TakeReport,
};
use crate::state::{DueBeat, Lacking};

/// Records that are read at once.
const PAGE_RECORDS: u32 = 500;
/// How often the platform's list of boxes is read.
const BOX_LIST_EVERY: Duration = Duration::from_secs(2);

/// Reads the log to its present end.
///
/// # Errors
///
/// [`PlatformError`] when a page could not be read; what was read is kept.
pub async fn read_to_end<L: LogStream>(
    log: &L,
    balancer: &ActorRef<Balancer>,
    clock: &Clock,
) -> Result<(), PlatformError> {
    let ended = || PlatformError::Unavailable("the entry stops".into());
    loop {
        let started_ms = clock.now_ms();
        let from = balancer.ask(Cursor {}).await.map_err(|_| ended())?;
        let page = log.read(from, PAGE_RECORDS).await?;
        let next_offset = page.next_offset;
        let events = balancer.ask(ReadPage { page, started_ms }).await.map_err(|_| ended())?;
        events.iter().for_each(note);
        let cursor = balancer.ask(Cursor {}).await.map_err(|_| ended())?;
        if cursor >= next_offset || cursor == from {
            return Ok(());
        }
    }
}

fn note(event: &FoldEvent) {
    match event {
        FoldEvent::VersionInForce(version) => {
            metrics::gauge!("ochreyard_entry_config_version").set(*version as f64);
            log::info!("event=config_in_force version={version}");
        }
        FoldEvent::Accepted(plan_id) => log::info!("event=plan_accepted plan_id={plan_id}"),
        FoldEvent::Voided(plan_id, void) => log::warn!("event=plan_void plan_id={plan_id} cause=\"{void}\""),
        FoldEvent::Unreadable { offset, problem } => {
            metrics::counter!("ochreyard_entry_unreadable_records_total").increment(1);
            log::error!("event=record_unreadable offset={offset} problem=\"{problem}\"");
        }
        FoldEvent::SnapshotSkipped(offset) => log::info!("event=snapshot_passed_over offset={offset}"),
    }
}

/// The other entries.
pub struct Peers {
    /// Where they tell their configuration.
    pub addrs: Vec<SocketAddr>,
    /// Token to show to them.
    pub token: String,
    /// The thread of the links.
    pub thread: LocalThread,
}

impl Peers {
    /// Takes over the newest configuration among the reachable peers.
    async fn ask(&self, balancer: &ActorRef<Balancer>) {
        for addr in &self.addrs {
            let Ok(Some(config)) = fetch_configuration(&self.thread, *addr, self.token.clone()).await else { continue };
            let version = config.version();
            if balancer.ask(Adopt { config: Arc::new(config) }).await.unwrap_or(false) {
                log::info!("event=config_from_peer peer={addr} version={version}");
            }
        }
    }
}

/// Follows the log for as long as the entry runs; while it cannot, asks the peers.
pub async fn follow_log<L: LogStream>(log: L, balancer: ActorRef<Balancer>, clock: Clock, poll_ms: u64, peers: Peers) {
    let mut failing = false;
    loop {
        let read = read_to_end(&log, &balancer, &clock).await;
        note_readability(&mut failing, read.as_ref().err());
        if balancer.ask(NeedsPeers {}).await.unwrap_or(false) {
            peers.ask(&balancer).await;
            if read.is_ok() {
                seed_if_lost(&log, &balancer, &clock).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(poll_ms)).await;
    }
}

fn note_readability(failing: &mut bool, error: Option<&PlatformError>) {
    match error {
        None if *failing => log::info!("event=log_readable_again"),
        None => {}
        Some(error) => {
            metrics::counter!("ochreyard_entry_log_read_failed_total").increment(1);
            if !*failing {
                log::warn!("event=log_unreadable error=\"{error}\"");
            }
        }
    }
    *failing = error.is_some();
}

/// The log was read to its end and holds no state to start from: the newest
/// state among the peers becomes the start. Of several seeds the first counts.
async fn seed_if_lost<L: LogStream>(log: &L, balancer: &ActorRef<Balancer>, clock: &Clock) {
    // A peer may have written a seed in the meantime.
    if read_to_end(log, balancer, clock).await.is_err() {
        return;
    }
    if let Ok(Some(seed)) = balancer.ask(GetSeed {}).await {
        log::warn!("event=log_seeded");
        write(log, &seed).await;
    }
}

/// Sends heartbeats, and writes records that are this entry's turn to write.
pub async fn keep_heartbeats<L: LogStream>(log: L, balancer: ActorRef<Balancer>, heartbeat_ms: u64) {
    let mut interval = tokio::time::interval(Duration::from_millis(heartbeat_ms));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let timeout = Duration::from_millis(heartbeat_ms * 2);
    loop {
        interval.tick().await;
        let Ok(beats) = balancer.ask(DueBeats {}).await else { return };
        for due in beats {
            tokio::spawn(beat(due, balancer.clone(), timeout));
        }
        let Ok(records) = balancer.ask(DueRecords {}).await else { return };
        for record in records {
            write(&log, &record).await;
        }
    }
}

async fn beat(due: DueBeat, balancer: ActorRef<Balancer>, timeout: Duration) {
    let DueBeat { endpoint, former_addr, link, beat } = due;
    match tokio::time::timeout(timeout, link.heartbeat(beat)).await {
        Ok(Ok(report)) => {
            let lacking = balancer.ask(TakeReport { endpoint, former_addr, report }).await.ok().flatten();
            if let Some(lacking) = lacking
                && let Err(error) = bring_up_to_date(&link, lacking).await
            {
                log::warn!("event=configure_failed error=\"{error}\"");
            }
        }
        Ok(Err(error)) => {
            log::debug!("event=heartbeat_failed endpoint={endpoint} error=\"{error}\"");
            if former_addr.is_none() {
                let _ = balancer.tell(LinkBroke { endpoint }).await;
            }
        }
        // Silence is judged by its length.
        Err(_) => log::debug!("event=heartbeat_late endpoint={endpoint}"),
    }
}

/// Sends what changed, or the whole configuration where that is not enough.
async fn bring_up_to_date(link: &AgentLink, lacking: Lacking) -> Result<(), LinkError> {
    let Lacking { config, delta } = lacking;
    if let Some(delta) = delta
        && link.extend(delta).await? >= config.version()
    {
        return Ok(());
    }
    link.configure(config).await.map(drop)
}

async fn write<L: LogStream>(log: &L, record: &ConfigRecord) {
    let Ok(text) = serde_json::to_string(record) else { return };
    if let Err(error) = log.append(&text).await {
        log::warn!("event=append_failed error=\"{error}\"");
    }
}

/// Reads the platform's lagging list of boxes.
pub async fn follow_box_list<B: BoxList>(list: B, balancer: ActorRef<Balancer>) {
    let mut interval = tokio::time::interval(BOX_LIST_EVERY);
    loop {
        interval.tick().await;
        let Ok(boxes) = list.boxes().await else { continue };
        let leaving = boxes.into_iter().filter(|b| b.state == BoxState::Leaving).filter_map(|b| b.endpoint).collect();
        if balancer.tell(TakeBoxList { leaving }).await.is_err() {
            return;
        }
    }
}
