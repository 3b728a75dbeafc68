//! Runs the stand-in for a rank group: `cargo run -p ochreyard-stand-ins --example rank_group --
//! ADDRESS [RANKS] [STEP_MS] [MAX_BATCH] [PREFILL_STEPS] [CACHED_PROMPTS]`.

use ochreyard_stand_ins::args;
use ochreyard_stand_ins::rank_group::{GroupConfig, RankGroup};

fn count_arg(position: usize, default: usize) -> usize {
    usize::try_from(args::number_arg(position, default as u64)).unwrap_or(default)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(args::listen_addr()).await?;
    let defaults = GroupConfig::default();
    let group = RankGroup::new(GroupConfig {
        ranks: count_arg(2, defaults.ranks),
        step_ms: args::number_arg(3, defaults.step_ms),
        max_batch: count_arg(4, defaults.max_batch),
        prefill_steps: args::number_arg(5, defaults.prefill_steps),
        cached_prompts: count_arg(6, defaults.cached_prompts),
    });
    tokio::spawn(group.clone().run_steps());
    axum::serve(args::with_nodelay(listener), group.router()).await
}
