//! The operators' commands.

use std::collections::BTreeMap;
use std::path::Path;

use miette::{Context, IntoDiagnostic, Result};
use ochreyard_operator::{BurnRow, OperatorClient, RequestTimeline, render_burn, render_plan, render_status};

use crate::flags;

/// `ochreyard plan`.
pub fn plan(args: &flags::Plan) -> Result<()> {
    let yaml = std::fs::read_to_string(&args.intent)
        .into_diagnostic()
        .wrap_err_with(|| format!("the intent {} cannot be read", args.intent.display()))?;
    let plan = block_on(client(&args.entry, &args.token_file)?.plan(yaml))?.into_diagnostic()?;
    if args.json {
        print_json(&plan)
    } else {
        print!("{}", render_plan(&plan));
        Ok(())
    }
}

/// `ochreyard confirm`.
pub fn confirm(args: &flags::Confirm) -> Result<()> {
    let version = block_on(client(&args.entry, &args.token_file)?.confirm(&args.plan_id))?.into_diagnostic()?;
    println!("confirmed: version {version}");
    Ok(())
}

/// `ochreyard status`.
pub fn status(args: &flags::Status) -> Result<()> {
    let status = block_on(client(&args.entry, &args.token_file)?.status())?.into_diagnostic()?;
    if args.json {
        print_json(&status)
    } else {
        print!("{}", render_status(&status));
        Ok(())
    }
}

/// `ochreyard explain`.
pub fn explain(args: &flags::Explain) -> Result<()> {
    if args.logs.is_empty() {
        miette::bail!("no log is named; give the log files of all entries and agents after the identifier");
    }
    let story = RequestTimeline::read(&args.request, &args.logs).into_diagnostic().wrap_err("a log cannot be read")?;
    for unreadable in story.unreadable() {
        let (log, lines, first) = (unreadable.log.display(), unreadable.lines, unreadable.first);
        eprintln!("{log}: {lines} lines cannot be read and are passed over, the first is line {first}");
    }
    if story.is_empty() {
        miette::bail!("no line of {} logs names request {}", args.logs.len(), args.request);
    }
    print!("{story}");
    Ok(())
}

/// `ochreyard report burn`.
pub fn burn(args: &flags::Burn) -> Result<()> {
    if args.entry.is_empty() {
        miette::bail!("no entry is named; give --entry URL once for each entry");
    }
    let mut joined: BTreeMap<(String, String), BurnRow> = BTreeMap::new();
    let mut unreached = Vec::new();
    for entry in &args.entry {
        match block_on(client(entry, &args.token_file)?.burn())? {
            Ok(rows) => rows.into_iter().for_each(|row| join(&mut joined, row)),
            Err(error) => unreached.push(format!("{entry} ({error})")),
        }
    }
    let rows: Vec<BurnRow> = joined.into_values().collect();
    if args.json {
        print_json(&serde_json::json!({ "rows": rows, "unreached": unreached }))
    } else {
        print!("{}", render_burn(&rows, &unreached));
        Ok(())
    }
}

/// Adds one entry's row: counts are summed, rates weighted by requests.
fn join(joined: &mut BTreeMap<(String, String), BurnRow>, row: BurnRow) {
    let key = (row.service.clone(), row.workspace.clone());
    let Some(sum) = joined.get_mut(&key) else {
        joined.insert(key, row);
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
        .wrap_err_with(|| format!("the token file {} cannot be read", token_file.display()))?;
    Ok(OperatorClient::new(entry, token.trim()))
}

fn block_on<T>(work: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    Ok(runtime.block_on(work))
}

fn print_json(value: &impl serde::Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value).into_diagnostic()?);
    Ok(())
}
