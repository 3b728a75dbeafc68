//! What operators are shown, and how it looks on a terminal.

use std::fmt::Write;

use ochreyard_core::config::Plan;
use ochreyard_core::ids::EndpointId;
use serde::{Deserialize, Serialize};

/// One endpoint in the status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// The endpoint.
    pub endpoint: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// How it looks from the entry that answers: alive, suspect, down or leaving.
    pub health: String,
    /// The version of the configuration in force at its agent.
    pub config_version: u64,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// The system as one entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Status {
    /// The box that answers.
    pub entry: String,
    /// The version of the configuration in force there.
    pub config_version: u64,
    /// `following`, `empty` or `gap`: whether the state is the log's.
    pub log: String,
    /// Age of the last successful read of the log, in milliseconds.
    pub log_read_age_ms: Option<u64>,
    /// The endpoints.
    pub endpoints: Vec<EndpointRow>,
}

/// One line of the report on service-level burn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The service.
    pub service: String,
    /// The workspace.
    pub workspace: String,
    /// Objective, in thousandths of the requests.
    pub objective_permille: u64,
    /// Requests in the long window.
    pub requests: u64,
    /// Those answered whole and in time.
    pub met: u64,
    /// Burn rate over the short window: 1.0 spends the budget exactly.
    pub burn_short: f64,
    /// Burn rate over the long window.
    pub burn_long: f64,
    /// What spent the budget, by error kind.
    pub spent_by: Vec<(String, u64)>,
}

/// A plan as text.
#[must_use]
pub fn render_plan(plan: &Plan) -> String {
    let mut out = format!("plan {}\nbase version {}\n", plan.record.plan_id, plan.record.base_version);
    let mut line = |text: String| {
        out.push_str(&text);
        out.push('\n');
    };
    for (number, step) in plan.steps.iter().enumerate() {
        let endpoints: Vec<&str> = step.endpoints.iter().map(EndpointId::as_str).collect();
        let on = if endpoints.is_empty() { String::new() } else { format!(" on {}", endpoints.join(", ")) };
        line(format!("step {}: {} {}{on}", number + 1, step.action, step.object));
    }
    plan.costs.iter().for_each(|cost| line(format!("cost: {cost}")));
    plan.risks.iter().for_each(|risk| line(format!("risk: {risk}")));
    line(format!("to carry it out: ochreyard confirm {}", plan.record.plan_id));
    out
}

/// The status as a table.
#[must_use]
pub fn render_status(status: &Status) -> String {
    let age = status.log_read_age_ms.map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
    let mut out =
        format!("entry {}  version {}  log {} (read {age})\n", status.entry, status.config_version, status.log);
    let _ = writeln!(
        out,
        "{:<20} {:<16} {:<14} {:<8} {:>8} {:>8} {:>8}",
        "ENDPOINT", "SERVICE", "DATA CENTRE", "HEALTH", "VERSION", "RUNNING", "WAITING"
    );
    for row in &status.endpoints {
        let _ = writeln!(
            out,
            "{:<20} {:<16} {:<14} {:<8} {:>8} {:>8} {:>8}",
            row.endpoint, row.service, row.data_centre, row.health, row.config_version, row.running, row.waiting
        );
    }
    out
}

/// Width of the bar of a spent budget, in characters.
const BAR_CHARS: usize = 20;

/// A spent budget as a bar: full when nothing is left.
fn budget_bar(burn: f64) -> String {
    let filled = (burn.clamp(0.0, 1.0) * BAR_CHARS as f64).round() as usize;
    format!("{}{}", "#".repeat(filled), ".".repeat(BAR_CHARS - filled))
}

/// The report on burn as a table, with the entries that could not be reached.
#[must_use]
pub fn render_burn(rows: &[BurnRow], unreached: &[String]) -> String {
    let mut out = format!(
        "{:<16} {:<16} {:>9} {:>9} {:>8} {:>8} {:>7} {:>7}  {:<BAR_CHARS$}  {}\n",
        "SERVICE", "WORKSPACE", "OBJECTIVE", "REQUESTS", "MET", "LEFT", "SHORT", "LONG", "BUDGET SPENT", "SPENT BY"
    );
    for row in rows {
        let spent: Vec<String> = row.spent_by.iter().map(|(kind, count)| format!("{kind}={count}")).collect();
        let left = 1.0 - row.burn_long;
        let bar = budget_bar(row.burn_long);
        let _ = writeln!(
            out,
            "{:<16} {:<16} {:>8.1}% {:>9} {:>8} {:>7.0}% {:>7.2} {:>7.2}  {bar}  {}",
            row.service,
            row.workspace,
            row.objective_permille as f64 / 10.0,
            row.requests,
            row.met,
            left * 100.0,
            row.burn_short,
            row.burn_long,
            spent.join(" ")
        );
    }
    for entry in unreached {
        let _ = writeln!(out, "not reached: {entry}");
    }
    out
}
