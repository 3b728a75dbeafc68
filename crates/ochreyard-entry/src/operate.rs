//! The commands for operators, apart from `quarantine`.

use std::collections::BTreeMap;
use std::path::Path;

use miette::{Context, IntoDiagnostic, Result};
use ochreyard_operator::{BurnRow, OperatorClient, RequestTimeline, render_burn, render_plan, render_status};

use crate::flags;

/// Runs `ochreyard plan`.
pub fn plan(args: &flags::Plan) -> Result<()> {
    let yaml = std::fs::read_to_string(&args.intent)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read the intent {}", args.intent.display()))?;
    let plan = block_on(client(&args.entry, &args.token_file)?.plan(yaml))?.into_diagnostic()?;
    if args.json {
        print_json(&plan)
    } else {
        print!("{}", render_plan(&plan));
        Ok(())
    }
}

/// Runs `ochreyard confirm`.
pub fn confirm(args: &flags::Confirm) -> Result<()> {
    let version = block_on(client(&args.entry, &args.token_file)?.confirm(&args.plan_id))?.into_diagnostic()?;
    println!("confirmed: version {version}");
    Ok(())
}

/// Runs `ochreyard status`.
pub fn status(args: &flags::Status) -> Result<()> {
    let status = block_on(client(&args.entry, &args.token_file)?.status())?.into_diagnostic()?;
    if args.json {
        print_json(&status)
    } else {
        print!("{}", render_status(&status));
        Ok(())
    }
}

/// Runs `ochreyard explain`.
pub fn explain(args: &flags::Explain) -> Result<()> {
    if args.logs.is_empty() {
        miette::bail!("no log file is given; list the log files of all entries and agents after the identifier");
    }
    let timeline =
        RequestTimeline::read(&args.request, &args.logs).into_diagnostic().wrap_err("cannot read a log file")?;
    for unreadable in timeline.unreadable() {
        let (log, count, first_line) = (unreadable.log.display(), unreadable.count, unreadable.first_line);
        eprintln!("{log}: skipped {count} unreadable lines, starting with line {first_line}");
    }
    if timeline.is_empty() {
        miette::bail!("none of the {} log files has a line about request {}", args.logs.len(), args.request);
    }
    print!("{timeline}");
    Ok(())
}

/// Runs `ochreyard report burn`.
pub fn burn(args: &flags::Burn) -> Result<()> {
    if args.entry.is_empty() {
        miette::bail!("no entry is given; pass --entry URL once for each entry");
    }
    let mut merged: BTreeMap<(String, String), BurnRow> = BTreeMap::new();
    let mut unreached = Vec::new();
    for entry in &args.entry {
        match block_on(client(entry, &args.token_file)?.burn())? {
            Ok(rows) => rows.into_iter().for_each(|row| merge_row(&mut merged, row)),
            Err(error) => unreached.push(format!("{entry} ({error})")),
        }
    }
    let rows: Vec<BurnRow> = merged.into_values().collect();
    if args.json {
        print_json(&serde_json::json!({ "rows": rows, "unreached": unreached }))
    } else {
        print!("{}", render_burn(&rows, &unreached));
        Ok(())
    }
}

/// Merges one entry's row into the sums: adds the counts, and averages the burn rates weighted by requests.
fn merge_row(merged: &mut BTreeMap<(String, String), BurnRow>, row: BurnRow) {
    let key = (row.service.clone(), row.workspace.clone());
    let Some(sum) = merged.get_mut(&key) else {
        merged.insert(key, row);
        return;
    };
    let requests = (sum.requests + row.requests).max(1) as f64;
    let weighted = |a: f64, b: f64| (a * sum.requests as f64 + b * row.requests as f64) / requests;
    let (short, long) = (weighted(sum.burn_short, row.burn_short), weighted(sum.burn_long, row.burn_long));
    sum.burn_short = short;
    sum.burn_long = long;
    sum.requests += row.requests;
    sum.met += row.met;
    for (kind, count) in row.spent_by {
        match sum.spent_by.iter_mut().find(|(known, _)| *known == kind) {
            Some((_, total)) => *total += count,
            None => sum.spent_by.push((kind, count)),
        }
    }
}

fn client(entry: &str, token_file: &Path) -> Result<OperatorClient> {
    let token = std::fs::read_to_string(token_file)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read the token file {}", token_file.display()))?;
    Ok(OperatorClient::new(entry, token.trim()))
}

fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    Ok(runtime.block_on(future))
}

fn print_json(value: &impl serde::Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value).into_diagnostic()?);
    Ok(())
}
