//! The table of settings of the agent of a rank.

use ochreyard_process::{FieldKind, FieldSpec, LOG_LEVEL, LOG_LINES_PER_S, LOG_TARGET};

/// Every field.
pub const FIELDS: &[FieldSpec] = &[
    FieldSpec { name: "agent", kind: FieldKind::Name, default: None, about: "name of this box" },
    FieldSpec { name: "service", kind: FieldKind::Name, default: None, about: "the service of the engine here" },
    FieldSpec { name: "engine_addr", kind: FieldKind::Addr, default: None, about: "the engine on this box" },
    FieldSpec { name: "peer_addr", kind: FieldKind::Addr, default: None, about: "where the group's leader asks" },
    FieldSpec { name: "platform_addr", kind: FieldKind::Addr, default: None, about: "the platform's log" },
    FieldSpec {
        name: "platform_timeout_ms",
        kind: FieldKind::Number(50, 60_000),
        default: Some("1000"),
        about: "longest wait for the platform's log",
    },
    FieldSpec {
        name: "lease_ms",
        kind: FieldKind::Number(300, 60_000),
        default: Some("800"),
        about: "how long an agent obeys a leader after its last word",
    },
    FieldSpec {
        name: "round_ms",
        kind: FieldKind::Number(20, 5_000),
        default: Some("100"),
        about: "pause between the leader's questions while nothing changes; well under lease_ms",
    },
    FieldSpec {
        name: "demand_fade_ms",
        kind: FieldKind::Number(50, 600_000),
        default: Some("150"),
        about: "after this time the counts of chosen experts have lost most of their weight",
    },
    FieldSpec {
        name: "map_horizon_ms",
        kind: FieldKind::Number(100, 3_600_000),
        default: Some("2500"),
        about: "for how long a new expert map is expected to fit the demand",
    },
    FieldSpec {
        name: "copy_price_ms",
        kind: FieldKind::Fraction(0.0, 10_000.0),
        default: Some("0.2"),
        about: "what the copy of one expert costs beside its time, in milliseconds of the group's time",
    },
    FieldSpec {
        name: "least_saving_ms",
        kind: FieldKind::Number(0, 600_000),
        default: Some("60"),
        about: "time saved over the horizon below which the map stays as it is",
    },
    LOG_LEVEL,
    LOG_TARGET,
    LOG_LINES_PER_S,
];
