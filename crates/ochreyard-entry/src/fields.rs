//! Settings of an entry that routes through agents.

use ochreyard_process::{FieldKind, FieldSpec, LOG_LEVEL, LOG_LINES_PER_S, LOG_TARGET};

/// All settings.
pub const FIELDS: &[FieldSpec] = &[
    FieldSpec { name: "entry", kind: FieldKind::Name, default: None, about: "name of this box" },
    FieldSpec { name: "data_centre", kind: FieldKind::Name, default: None, about: "where it stands" },
    FieldSpec { name: "callers_addr", kind: FieldKind::Addr, default: None, about: "where callers are answered" },
    FieldSpec { name: "operators_addr", kind: FieldKind::Addr, default: None, about: "where operators are answered" },
    FieldSpec {
        name: "peer_addr",
        kind: FieldKind::Addr,
        default: None,
        about: "where other entries ask for the configuration",
    },
    FieldSpec {
        name: "peers",
        kind: FieldKind::Addrs,
        default: Some("[]"),
        about: "`peer_addr` of other entries, asked while the platform's log cannot be read",
    },
    FieldSpec { name: "platform_url", kind: FieldKind::Url, default: None, about: "the platform's services" },
    FieldSpec {
        name: "peer_token_file",
        kind: FieldKind::SecretFile,
        default: None,
        about: "token to show to agents; never printed",
    },
    FieldSpec {
        name: "operator_token_sha256",
        kind: FieldKind::Sha256,
        default: None,
        about: "SHA-256 of the operators' token",
    },
    FieldSpec {
        name: "platform_timeout_ms",
        kind: FieldKind::Number(50, 60_000),
        default: Some("2000"),
        about: "longest wait for the platform",
    },
    FieldSpec {
        name: "log_poll_ms",
        kind: FieldKind::Number(20, 10_000),
        default: Some("500"),
        about: "how often the platform's log is read",
    },
    FieldSpec {
        name: "heartbeat_ms",
        kind: FieldKind::Number(50, 10_000),
        default: Some("1000"),
        about: "how often each agent is asked for a report",
    },
    FieldSpec {
        name: "routing",
        kind: FieldKind::Choice(&["predicted", "round_robin", "least_reported"]),
        default: Some("predicted"),
        about: "how an endpoint is picked; all but `predicted` are there to be compared with",
    },
    FieldSpec {
        name: "suspect_after_ms",
        kind: FieldKind::Number(100, 60_000),
        default: Some("2500"),
        about: "silence after which an agent is used only where no other can serve",
    },
    FieldSpec {
        name: "down_after_ms",
        kind: FieldKind::Number(200, 120_000),
        default: Some("5000"),
        about: "silence after which calls at an agent count as lost",
    },
    FieldSpec {
        name: "snapshot_every_ms",
        kind: FieldKind::Number(1_000, 604_800_000),
        default: Some("21600000"),
        about: "how often a snapshot is written; at most half of the log's retention",
    },
    FieldSpec {
        name: "max_head_bytes",
        kind: FieldKind::Number(512, 262_144),
        default: Some("16384"),
        about: "largest head of a request",
    },
    FieldSpec {
        name: "max_body_bytes",
        kind: FieldKind::Number(1, 33_554_432),
        default: Some("1048576"),
        about: "largest body of a request",
    },
    FieldSpec {
        name: "default_deadline_ms",
        kind: FieldKind::Number(1, 600_000),
        default: Some("60000"),
        about: "deadline of a request that names none",
    },
    FieldSpec {
        name: "drain_grace_ms",
        kind: FieldKind::Number(0, 600_000),
        default: Some("5000"),
        about: "how long work is still taken after readiness fails, because the balancer lags",
    },
    LOG_LEVEL,
    LOG_TARGET,
    LOG_LINES_PER_S,
];
