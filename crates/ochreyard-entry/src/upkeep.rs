//! Background tasks of an entry: reading the log and the platform's list of boxes, sending heartbeats, and
//! appending records to the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use ochreyard_core::config::{ConfigRecord, FoldEvent};
use ochreyard_peer::{AgentLink, LinkError, LocalThread, fetch_configuration};
use ochreyard_platform::{BoxList, BoxState, LogStream, PlatformError};
use ochreyard_process::Clock;

use crate::balancer::{
    AdoptConfig, ApplyBoxList, ApplyPage, ApplyReport, Balancer, DueHeartbeats, DueRecords, GetCursor, GetSeed,
    LinkLost, NeedsPeerConfig,
};
use crate::state::{ConfigUpdate, DueHeartbeat};

/// Most records in one page of the log.
const MAX_PAGE_RECORDS: u32 = 500;
/// Interval between reads of the platform's list of boxes.
const BOX_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the log up to its current end.
///
/// # Errors
///
/// Returns a [`PlatformError`] if a page could not be read. The pages read before it remain applied.
pub async fn read_to_end<L: LogStream>(
    log: &L,
    balancer: &ActorRef<Balancer>,
    clock: &Clock,
) -> Result<(), PlatformError> {
    let entry_stopping = || PlatformError::Unavailable("the entry stops".into());
    loop {
        let started_ms = clock.now_ms();
        let from = balancer.ask(GetCursor {}).await.map_err(|_| entry_stopping())?;
        let page = log.read(from, MAX_PAGE_RECORDS).await?;
        let next_offset = page.next_offset;
        let events = balancer.ask(ApplyPage { page, started_ms }).await.map_err(|_| entry_stopping())?;
        events.iter().for_each(record_event);
        let cursor = balancer.ask(GetCursor {}).await.map_err(|_| entry_stopping())?;
        if cursor >= next_offset || cursor == from {
            return Ok(());
        }
    }
}

fn record_event(event: &FoldEvent) {
    match event {
        FoldEvent::VersionInForce(version) => {
            metrics::gauge!("ochreyard_entry_config_version").set(*version as f64);
            log::info!("event=config_in_force version={version}");
        }
        FoldEvent::Accepted(plan_id) => log::info!("event=plan_accepted plan_id={plan_id}"),
        FoldEvent::Voided(plan_id, reason) => log::warn!("event=plan_void plan_id={plan_id} cause=\"{reason}\""),
        FoldEvent::Unreadable { offset, problem } => {
            metrics::counter!("ochreyard_entry_unreadable_records_total").increment(1);
            log::error!("event=record_unreadable offset={offset} problem=\"{problem}\"");
        }
        FoldEvent::SnapshotSkipped(offset) => log::info!("event=snapshot_skipped offset={offset}"),
    }
}

/// The other entries, which are asked for the configuration while the log cannot be read.
pub struct Peers {
    /// Addresses at which they serve their configuration.
    pub addrs: Vec<SocketAddr>,
    /// Token that authenticates this entry to them.
    pub token: String,
    /// The thread that runs the links.
    pub thread: LocalThread,
}

impl Peers {
    /// Adopts the newest configuration among those of the reachable peers.
    async fn adopt_newest_config(&self, balancer: &ActorRef<Balancer>) {
        for addr in &self.addrs {
            let Ok(Some(config)) = fetch_configuration(&self.thread, *addr, self.token.clone()).await else { continue };
            let version = config.version();
            if balancer.ask(AdoptConfig { config: Arc::new(config) }).await.unwrap_or(false) {
                log::info!("event=config_from_peer peer={addr} version={version}");
            }
        }
    }
}

/// Follows the log for as long as the entry runs. While the log does not yield a state, adopts that of the peers.
pub async fn follow_log<L: LogStream>(log: L, balancer: ActorRef<Balancer>, clock: Clock, poll_ms: u64, peers: Peers) {
    let mut failing = false;
    loop {
        let read = read_to_end(&log, &balancer, &clock).await;
        record_log_access(&mut failing, read.as_ref().err());
        if balancer.ask(NeedsPeerConfig {}).await.unwrap_or(false) {
            peers.adopt_newest_config(&balancer).await;
            if read.is_ok() {
                seed_if_lost(&log, &balancer, &clock).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(poll_ms)).await;
    }
}

fn record_log_access(failing: &mut bool, error: Option<&PlatformError>) {
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

/// Appends the newest state that this entry knows as a seed, if the log was read to its end and no longer holds a state
/// to start from. If several entries append a seed, the first one counts.
async fn seed_if_lost<L: LogStream>(log: &L, balancer: &ActorRef<Balancer>, clock: &Clock) {
    // Another entry may have appended a seed in the meantime.
    if read_to_end(log, balancer, clock).await.is_err() {
        return;
    }
    if let Ok(Some(seed)) = balancer.ask(GetSeed {}).await {
        log::warn!("event=log_seeded");
        append_record(log, &seed).await;
    }
}

/// Sends heartbeats to the agents, and appends the records that are due at this entry, once per `heartbeat_ms`.
pub async fn send_heartbeats<L: LogStream>(log: L, balancer: ActorRef<Balancer>, heartbeat_ms: u64) {
    let mut interval = tokio::time::interval(Duration::from_millis(heartbeat_ms));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let timeout = Duration::from_millis(heartbeat_ms * 2);
    loop {
        interval.tick().await;
        let Ok(heartbeats) = balancer.ask(DueHeartbeats {}).await else { return };
        for due in heartbeats {
            tokio::spawn(send_heartbeat(due, balancer.clone(), timeout));
        }
        let Ok(records) = balancer.ask(DueRecords {}).await else { return };
        for record in records {
            append_record(&log, &record).await;
        }
    }
}

async fn send_heartbeat(due: DueHeartbeat, balancer: ActorRef<Balancer>, timeout: Duration) {
    let DueHeartbeat { endpoint, former_addr, link, heartbeat } = due;
    match tokio::time::timeout(timeout, link.heartbeat(heartbeat)).await {
        Ok(Ok(report)) => {
            let update = balancer.ask(ApplyReport { endpoint, former_addr, report }).await.ok().flatten();
            if let Some(update) = update
                && let Err(error) = send_config_update(&link, update).await
            {
                log::warn!("event=configure_failed error=\"{error}\"");
            }
        }
        Ok(Err(error)) => {
            log::debug!("event=heartbeat_failed endpoint={endpoint} error=\"{error}\"");
            if former_addr.is_none() {
                let _ = balancer.tell(LinkLost { endpoint }).await;
            }
        }
        // A timeout alone does not mark the link as lost: `Membership` judges an agent by how long it has been silent.
        Err(_) => log::debug!("event=heartbeat_late endpoint={endpoint}"),
    }
}

/// Sends the delta, or the complete configuration if there is no delta or the agent is still behind after it.
async fn send_config_update(link: &AgentLink, update: ConfigUpdate) -> Result<(), LinkError> {
    let ConfigUpdate { config, delta } = update;
    if let Some(delta) = delta
        && link.extend(delta).await? >= config.version()
    {
        return Ok(());
    }
    link.configure(config).await.map(drop)
}

async fn append_record<L: LogStream>(log: &L, record: &ConfigRecord) {
    let Ok(text) = serde_json::to_string(record) else { return };
    if let Err(error) = log.append(&text).await {
        log::warn!("event=append_failed error=\"{error}\"");
    }
}

/// Reads the platform's list of boxes, which lags behind the boxes' state.
pub async fn follow_box_list<B: BoxList>(list: B, balancer: ActorRef<Balancer>) {
    let mut interval = tokio::time::interval(BOX_LIST_INTERVAL);
    loop {
        interval.tick().await;
        let Ok(boxes) = list.boxes().await else { continue };
        let leaving = boxes.into_iter().filter(|b| b.state == BoxState::Leaving).filter_map(|b| b.endpoint).collect();
        if balancer.tell(ApplyBoxList { leaving }).await.is_err() {
            return;
        }
    }
}
