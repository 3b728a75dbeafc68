//! The status and the reports for operators, and their rendering as text.

use std::fmt::Write;

use ochreyard_core::config::Plan;
use ochreyard_core::ids::EndpointId;
use serde::{Deserialize, Serialize};

/// The row of one endpoint in the status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// The endpoint.
    pub endpoint: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its health as the answering entry sees it: `alive`, `suspect`, `down` or `leaving`.
    pub health: String,
    /// The configuration version in force at its agent.
    pub config_version: u64,
    /// Requests that are running at the endpoint.
    pub running: u32,
    /// Requests that are waiting at the endpoint.
    pub waiting: u32,
}

/// The state of the system as one entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Status {
    /// The box of the answering entry.
    pub entry: String,
    /// The configuration version in force at this entry.
    pub config_version: u64,
    /// Whether the state follows the log: `following`, `empty` (nothing read yet) or `gap` (records were lost).
    pub log: String,
    /// Age of the last read of the log that reached its end, in milliseconds.
    pub log_read_age_ms: Option<u64>,
    /// The endpoints.
    pub endpoints: Vec<EndpointRow>,
}

/// One row of the report on the burn of service-level error budgets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The service.
    pub service: String,
    /// The workspace.
    pub workspace: String,
    /// Share of the requests that must meet the objective, in thousandths.
    pub objective_permille: u64,
    /// Requests in the long window.
    pub requests: u64,
    /// Requests in the long window that were answered completely and on time.
    pub met: u64,
    /// Burn rate over the short window; 1.0 spends the error budget exactly.
    pub burn_short: f64,
    /// Burn rate over the long window.
    pub burn_long: f64,
    /// Requests that spent the error budget, by error kind.
    pub spent_by: Vec<(String, u64)>,
}

/// Renders a plan as text.
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

/// Renders the status as a table.
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

/// Width of the bar that shows the spent error budget, in characters.
const BAR_CHARS: usize = 20;

/// Renders the spent share of the error budget as a bar, which is full when nothing is left.
fn budget_bar(burn: f64) -> String {
    let filled = (burn.clamp(0.0, 1.0) * BAR_CHARS as f64).round() as usize;
    format!("{}{}", "#".repeat(filled), ".".repeat(BAR_CHARS - filled))
}

/// Renders the burn report as a table, followed by the entries that could not be reached.
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
