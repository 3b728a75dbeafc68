//! Logging: one line of key=value pairs for each event, rate-limited and without blocking.

mod output;
mod rate_limiter;

use std::io::Write;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

pub use self::output::LogOutput;
pub use self::rate_limiter::{LogRateLimiter, event_name};
use crate::settings::{FieldKind, FieldSpec, Settings};

/// The setting for the minimum level of log lines.
pub const LOG_LEVEL: FieldSpec = FieldSpec {
    name: "log_level",
    kind: FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]),
    default: Some("info"),
    about: "least level of log lines",
};

/// The setting for the stream to which log lines are written.
pub const LOG_TARGET: FieldSpec = FieldSpec {
    name: "log_target",
    kind: FieldKind::Choice(&["stderr", "stdout"]),
    default: Some("stderr"),
    about: "where log lines go",
};

/// The setting for the rate limit of log lines.
pub const LOG_LINES_PER_S: FieldSpec = FieldSpec {
    name: "log_lines_per_s",
    kind: FieldKind::Number(1, 100_000),
    default: Some("50"),
    about: "most lines of one event in a second; the next line tells in left_out how many were left out",
};

/// Starts logging with the level, the stream and the rate limit that the settings give.
///
/// # Errors
///
/// Fails if a logger is already set.
pub fn start_logging(settings: &Settings) -> Result<(), log::SetLoggerError> {
    let level = settings.text("log_level").parse().unwrap_or(log::LevelFilter::Info);
    let dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn).level_for("ochreyard", level);
    let packages = [
        "agent", "caller", "core", "direct", "endpoint", "entry", "hosted", "lead", "operator", "peer", "platform",
        "process", "rank",
    ];
    let dispatch = packages.iter().fold(dispatch, |d, name| d.level_for(format!("ochreyard_{name}"), level));
    let dispatch = dispatch.format(|out, message, record| {
        let ts_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let level = record.level().as_str().to_lowercase();
        out.finish(format_args!("ts_ms={ts_ms} level={level} target={} {message}", record.target()));
    });
    let lines_per_s = settings.number("log_lines_per_s");
    let dispatch = match settings.text("log_target") {
        "stdout" => dispatch.chain(rate_limited(std::io::stdout(), lines_per_s)),
        _ => dispatch.chain(rate_limited(std::io::stderr(), lines_per_s)),
    };
    dispatch.apply()?;
    log_panics();
    Ok(())
}

/// Writes a log line for each panic, beside the usual report on standard error.
fn log_panics() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let place = panic.location().map_or_else(|| "unknown".to_owned(), ToString::to_string);
        log::error!("event=panic place={place} cause=\"{}\"", panic.payload_as_str().unwrap_or("unknown"));
        report(panic);
    }));
}

fn rate_limited(stream: impl Write + AsFd + Send + 'static, lines_per_s: u64) -> fern::Output {
    let output = Arc::new(LogOutput::new(stream, lines_per_s));
    fern::Output::call(move |record| output.write(&record.args().to_string()))
}
