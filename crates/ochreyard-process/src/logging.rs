//! One line of key=value pairs for each event.

use std::time::{SystemTime, UNIX_EPOCH};

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

/// Starts logging as `log_level` and `log_target` of the settings say.
///
/// # Errors
///
/// When a logger has been set before.
pub fn start_logging(settings: &Settings) -> Result<(), log::SetLoggerError> {
    let level = settings.text("log_level").parse().unwrap_or(log::LevelFilter::Info);
    let dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn).level_for("ochreyard", level);
    let packages = [
        "agent", "caller", "core", "direct", "endpoint", "entry", "hosted", "operator", "peer", "platform", "process",
        "rank",
    ];
    let dispatch = packages.iter().fold(dispatch, |d, name| d.level_for(format!("ochreyard_{name}"), level));
    let dispatch = dispatch.format(|out, message, record| {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let level = record.level().as_str().to_lowercase();
        out.finish(format_args!("ts_ms={at} level={level} target={} {message}", record.target()));
    });
    let dispatch = match settings.text("log_target") {
        "stdout" => dispatch.chain(std::io::stdout()),
        _ => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply()
}
