//! Prints the cost of picking an endpoint: `cargo run --release -p ochreyard-core --example pick_cost`.
//!
//! The largest number of ranks is that of the largest planned service. A tenth of the ranks are full. Measured without
//! limits, with every second rank stating a limit of which this box has used up its share or has no share, with a stream
//! limit of the group that leaves room, and with one that leaves none, where nothing is picked.

use std::net::SocketAddr;
use std::time::Instant;

use ochreyard_core::direct::{
    EndpointChange, EndpointPool, EndpointRecord, GroupUpdate, Pick, RankUpdate, ReportedLimit, ReporterRole,
    RequestRate, SharingBoxes, Urgency,
};

const RANKS: [u16; 3] = [16, 96, 384];
const SLOTS: u64 = 10;
const PICKS: u64 = 20_000;
const BOXES: usize = 39;
const LIMIT: ReportedLimit = ReportedLimit::Limited(RequestRate::from_milli(1_000));

fn main() {
    println!("| ranks | microseconds a pick | half of the ranks limited | below the stream limit | above it |");
    println!("|---|---|---|---|---|");
    for ranks in RANKS {
        let pool = pool_of(ranks, None);
        let (below, above) = (u64::from(ranks) * SLOTS, u64::from(ranks));
        let _warm_up = pick_us(&pool, true);
        println!(
            "| {ranks} | {:.1} | {:.1} | {:.1} | {:.1} |",
            pick_us(&pool, true),
            pick_us(&half_limited(pool.clone(), ranks), true),
            pick_us(&pool_of(ranks, Some(below)), true),
            pick_us(&pool_of(ranks, Some(above)), false)
        );
    }
}

fn pick_us(pool: &EndpointPool, has_room: bool) -> f64 {
    let started = Instant::now();
    let picked = (0..PICKS).filter(|draw| pool.pick("brief", &[], Urgency::OnTime, *draw, 1).is_ok()).count();
    assert_eq!(picked as u64, if has_room { PICKS } else { 0 }, "most ranks have free slots");
    started.elapsed().as_secs_f64() * 1e6 / PICKS as f64
}

fn pool_of(ranks: u16, stream_limit: Option<u64>) -> EndpointPool {
    let mut pool = EndpointPool::new();
    for rank in 0..ranks {
        let record = EndpointRecord {
            service: "brief".to_owned(),
            addr: SocketAddr::from(([10, 0, (rank / 250) as u8, (rank % 250) as u8], 8_280)),
            data_centre: "a".to_owned(),
            slots: SLOTS,
            is_leaving: false,
            cold_ms: 0,
            started_ms: 1,
        };
        pool.apply(EndpointChange::Updated(format!("i-{rank:010}"), record));
    }
    let running = |rank: u16| if rank.is_multiple_of(10) { SLOTS + 1 } else { u64::from(rank) % SLOTS };
    let update = |rank: u16| RankUpdate {
        endpoint: format!("i-{rank:010}"),
        running: running(rank),
        waiting: 0,
        pace_permille: 1_000,
    };
    let group = GroupUpdate {
        service: "brief".to_owned(),
        group: "g0".to_owned(),
        reporter_role: ReporterRole::Leads,
        is_serving: true,
        step_ms: 60,
        ranks: (0..ranks).map(update).collect(),
        stream_limit,
        ..GroupUpdate::default()
    };
    pool.apply_group_update(&group, 0);
    pool
}

/// Every second rank states a limit of which this box has used up its share.
fn half_limited(mut pool: EndpointPool, ranks: u16) -> EndpointPool {
    let others: Vec<String> = (1..BOXES).map(|at| format!("box-{at}")).collect();
    pool.set_sharing_boxes(SharingBoxes::new("box-0", others.iter().map(String::as_str), true));
    let ids: Vec<String> = (0..ranks).step_by(2).map(|rank| format!("i-{rank:010}")).collect();
    for id in ids {
        let Some(pick) = pool.record(&id).map(|record| Pick::from_record(&id, record)) else { continue };
        let _ = pool.on_reported_limit(&pick, LIMIT, 0, 0);
        pool.on_attempt_start(&pick);
        let _ = pool.try_record_send(&pick, None, 1);
    }
    pool
}
