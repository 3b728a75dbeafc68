//! What an entry does by itself: reads the log, sends heartbeats, writes what
//! is its turn to write.

use std::time::Duration;

use kameo::actor::ActorRef;
use ochreyard_core::config::{ConfigRecord, FoldEvent};
use ochreyard_platform::{BoxList, BoxState, LogStream, PlatformError};
use ochreyard_process::Clock;

use crate::balancer::{Balancer, Cursor, DueBeats, DueRecords, LinkBroke, ReadPage, TakeBoxList, TakeReport};
use crate::state::DueBeat;

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
        FoldEvent::Version(version) => {
            metrics::gauge!("ochreyard_entry_config_version").set(*version as f64);
            log::info!("event=config_in_force version={version}");
        }
        FoldEvent::Accepted(plan_id) => log::info!("event=plan_accepted plan_id={plan_id}"),
        FoldEvent::Voided(plan_id, void) => log::warn!("event=plan_void plan_id={plan_id} cause=\"{void}\""),
        FoldEvent::Unreadable { offset, problem } => {
            metrics::counter!("ochreyard_entry_unreadable_records_total").increment(1);
            log::error!("event=record_unreadable offset={offset} problem=\"{problem}\"");
        }
        FoldEvent::SnapshotPassedOver(offset) => log::info!("event=snapshot_passed_over offset={offset}"),
    }
}

/// Follows the log for as long as the entry runs.
pub async fn follow_log<L: LogStream>(log: L, balancer: ActorRef<Balancer>, clock: Clock, poll_ms: u64) {
    let mut failing = false;
    loop {
        match read_to_end(&log, &balancer, &clock).await {
            Ok(()) if failing => {
                failing = false;
                log::info!("event=log_readable_again");
            }
            Ok(()) => {}
            Err(error) => {
                metrics::counter!("ochreyard_entry_log_read_failed_total").increment(1);
                if !failing {
                    log::warn!("event=log_unreadable error=\"{error}\"");
                }
                failing = true;
            }
        }
        tokio::time::sleep(Duration::from_millis(poll_ms)).await;
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
    let DueBeat { endpoint, link, beat } = due;
    match tokio::time::timeout(timeout, link.heartbeat(beat)).await {
        Ok(Ok(report)) => {
            let lacking = balancer.ask(TakeReport { endpoint, report }).await.ok().flatten();
            if let Some(config) = lacking
                && let Err(error) = link.configure(config).await
            {
                log::warn!("event=configure_failed error=\"{error}\"");
            }
        }
        Ok(Err(error)) => {
            log::debug!("event=heartbeat_failed endpoint={endpoint} error=\"{error}\"");
            let _ = balancer.tell(LinkBroke { endpoint }).await;
        }
        // Silence is judged by its length.
        Err(_) => log::debug!("event=heartbeat_late endpoint={endpoint}"),
    }
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
