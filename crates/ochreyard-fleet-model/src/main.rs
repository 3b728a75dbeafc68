//! The experiment tool: plays the model at several sizes and prints a table.

mod flags;

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

use miette::{IntoDiagnostic, Result, WrapErr, miette};
use ochreyard_fleet_model::{Sample, Trouble, draw_plot};
use rayon::prelude::*;

use crate::flags::FleetModel;

/// Sizes that are played where none is named.
const SIZES: &str = "30,100,300,1000,2000";
/// Fewer boxes than this have none that is only told.
const FEWEST_BOXES: usize = 6;
/// Addresses of the model end there.
const MOST_BOXES: usize = 60_000;

fn main() -> Result<()> {
    let flags = FleetModel::from_env().unwrap_or_else(|error| error.exit());
    let sizes = sizes(flags.boxes.as_deref().unwrap_or(SIZES))?;
    let troubles = troubles(flags.troubles.as_deref())?;
    let seeds = flags.seeds.unwrap_or(1).max(1);
    let samples = play_all(&sizes, &troubles, seeds);
    print_table(&samples);
    if let Some(path) = &flags.json {
        write_json(&samples, path)?;
    }
    if let Some(path) = &flags.plot {
        draw_plot(&samples, path).into_diagnostic()?;
    }
    Ok(())
}

fn sizes(list: &str) -> Result<Vec<usize>> {
    list.split(',').map(size).collect()
}

fn size(word: &str) -> Result<usize> {
    let boxes = word.trim().parse().ok().filter(|boxes| (FEWEST_BOXES..=MOST_BOXES).contains(boxes));
    boxes.ok_or_else(|| {
        miette!(
            "--boxes: `{word}` is no number of boxes; name numbers from {FEWEST_BOXES} to {MOST_BOXES}, with commas"
        )
    })
}

fn troubles(list: Option<&str>) -> Result<Vec<Trouble>> {
    let Some(list) = list else { return Ok(Trouble::ALL.to_vec()) };
    let words = list.split(',').map(str::trim);
    words.map(|word| word.parse().map_err(|error| miette!("--troubles: {error}"))).collect()
}

fn play_all(sizes: &[usize], troubles: &[Trouble], seeds: u64) -> Vec<Sample> {
    let runs: Vec<(usize, Trouble, u64)> = sizes
        .iter()
        .flat_map(|boxes| troubles.iter().map(move |trouble| (*boxes, *trouble)))
        .flat_map(|(boxes, trouble)| (0..seeds).map(move |seed| (boxes, trouble, seed)))
        .collect();
    let (count, done) = (runs.len(), AtomicUsize::new(0));
    let play = |(boxes, trouble, seed): (usize, Trouble, u64)| {
        let sample = Sample::play(boxes, trouble, seed);
        let number = done.fetch_add(1, Ordering::Relaxed) + 1;
        eprintln!("run {number} of {count}: boxes={boxes} trouble={} seed={seed}", trouble.name());
        sample
    };
    runs.into_par_iter().map(play).collect()
}

fn print_table(samples: &[Sample]) {
    println!(
        "| boxes | trouble | seed | calls at the start | calls in all | readers | relays | told | again | lists, writes |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for sample in samples {
        let whole = &sample.whole;
        println!(
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            sample.boxes,
            sample.trouble.name(),
            sample.seed,
            sample.start.calls(),
            whole.calls(),
            whole.reads_of_readers,
            whole.reads_of_relays,
            whole.reads_of_told,
            whole.reads_again,
            whole.lists + whole.writes
        );
    }
    println!();
    println!(
        "| boxes | trouble | seed | known after, middle ms | p99 | last | questions, busiest | kB a second, middle | busiest |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for sample in samples {
        let known = &sample.known_after;
        println!(
            "| {} | {} | {} | {} | {} | {} | {} | {:.1} | {:.1} |",
            sample.boxes,
            sample.trouble.name(),
            sample.seed,
            known.middle_ms,
            known.p99_ms,
            known.last_ms,
            sample.most_questions,
            sample.middle_bytes_a_second() / 1_000.0,
            sample.most_bytes_a_second() / 1_000.0
        );
    }
}

fn write_json(samples: &[Sample], path: &Path) -> Result<()> {
    let json = serde_json::to_string_pretty(samples).into_diagnostic()?;
    std::fs::write(path, json)
        .into_diagnostic()
        .wrap_err_with(|| format!("--json: {} cannot be written", path.display()))
}
