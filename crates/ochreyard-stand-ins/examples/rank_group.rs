//! Runs the stand-in: `cargo run -p ochreyard-stand-ins --example rank_group --
//! ADDRESS [RANKS] [STEP_MS] [MAX_BATCH] [PREFILL_STEPS] [CACHED_PROMPTS]`.

use ochreyard_stand_ins::args;
use ochreyard_stand_ins::rank_group::{GroupSize, RankGroup};

fn count(position: usize, default: usize) -> usize {
    usize::try_from(args::number(position, default as u64)).unwrap_or(default)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(args::listen_addr()).await?;
    let usual = GroupSize::default();
    let group = RankGroup::new(GroupSize {
        ranks: count(2, usual.ranks),
        step_ms: args::number(3, usual.step_ms),
        max_batch: count(4, usual.max_batch),
        prefill_steps: args::number(5, usual.prefill_steps),
        cached_prompts: count(6, usual.cached_prompts),
    });
    tokio::spawn(group.clone().run_steps());
    axum::serve(args::without_delay(listener), group.router()).await
}
