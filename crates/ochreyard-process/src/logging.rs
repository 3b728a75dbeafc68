//! One line of key=value pairs for each event, bounded in number and never waited for.

mod output;
mod rate_limiter;

use std::io::Write;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

pub use self::output::LogOutput;
pub use self::rate_limiter::{LogRateLimiter, event_name};
use crate::settings::{FieldKind, FieldSpec, Settings};

/// The setting for the least level of log lines.
pub const LOG_LEVEL: FieldSpec = FieldSpec {
    name: "log_level",
    kind: FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]),
    default: Some("info"),
    about: "least level of log lines",
};

/// The setting for where log lines go.
pub const LOG_TARGET: FieldSpec = FieldSpec {
    name: "log_target",
    kind: FieldKind::Choice(&["stderr", "stdout"]),
    default: Some("stderr"),
    about: "where log lines go",
};

/// The setting for the bound of log lines.
pub const LOG_LINES_PER_S: FieldSpec = FieldSpec {
    name: "log_lines_per_s",
    kind: FieldKind::Number(1, 100_000),
    default: Some("50"),
    about: "most lines of one event in a second; the next line tells in left_out how many were left out",
};

/// Starts logging as `log_level` and `log_target` of the settings say.
///
/// # Errors
///
/// When a logger has been set before.
pub fn start_logging(settings: &Settings) -> Result<(), log::SetLoggerError> {
    let level = settings.text("log_level").parse().unwrap_or(log::LevelFilter::Info);
    let dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn).level_for("ochreyard", level);
    let packages = [
        "agent", "caller", "core", "direct", "endpoint", "entry", "hosted", "lead", "operator", "peer", "platform",
        "process", "rank",
    ];
    let dispatch = packages.iter().fold(dispatch, |d, name| d.level_for(format!("ochreyard_{name}"), level));
    let dispatch = dispatch.format(|out, message, record| {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let level = record.level().as_str().to_lowercase();
        out.finish(format_args!("ts_ms={at} level={level} target={} {message}", record.target()));
    });
    let lines_per_s = settings.number("log_lines_per_s");
    let dispatch = match settings.text("log_target") {
        "stdout" => dispatch.chain(bounded(std::io::stdout(), lines_per_s)),
        _ => dispatch.chain(bounded(std::io::stderr(), lines_per_s)),
    };
    dispatch.apply()
}

fn bounded(stream: impl Write + AsFd + Send + 'static, lines_per_s: u64) -> fern::Output {
    let output = Arc::new(LogOutput::new(stream, lines_per_s));
    fern::Output::call(move |record| output.write(&record.args().to_string()))
}
