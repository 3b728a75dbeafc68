//! Runs the stand-in: `cargo run -p ochreyard-stand-ins --example rank_group -- ADDRESS [RANKS] [STEP_MS]`.

use ochreyard_stand_ins::args;
use ochreyard_stand_ins::rank_group::RankGroup;

const DEFAULT_RANKS: u64 = 4;
const DEFAULT_STEP_MS: u64 = 5;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(args::listen_addr()).await?;
    let ranks = usize::try_from(args::number(2, DEFAULT_RANKS)).unwrap_or(1);
    let group = RankGroup::new(ranks, args::number(3, DEFAULT_STEP_MS));
    tokio::spawn(group.clone().run_steps());
    axum::serve(listener, group.router()).await
}
