//! Settings of an entry that calls endpoints directly.

use ochreyard_process::{FieldKind, FieldSpec, LOG_LEVEL, LOG_LINES_PER_S, LOG_TARGET};

/// All settings.
pub const FIELDS: &[FieldSpec] = &[
    FieldSpec { name: "entry", kind: FieldKind::Name, default: None, about: "name of this box" },
    FieldSpec { name: "data_centre", kind: FieldKind::Name, default: None, about: "where it stands" },
    FieldSpec {
        name: "regions",
        kind: FieldKind::Pairs,
        default: Some("[]"),
        about: "each data centre with its region, as `DATA_CENTRE=REGION`; routes and workspaces name regions where they may run",
    },
    FieldSpec { name: "callers_addr", kind: FieldKind::Addr, default: None, about: "where callers are answered" },
    FieldSpec {
        name: "ready_addr",
        kind: FieldKind::Addr,
        default: None,
        about: "where the balancer asks whether this box is ready; also serves /metrics",
    },
    FieldSpec { name: "peer_addr", kind: FieldKind::Addr, default: None, about: "where other boxes ask" },
    FieldSpec {
        name: "seeds",
        kind: FieldKind::Addrs,
        default: Some("[]"),
        about: "boxes to ask at the start; their peer port is taken to be ours",
    },
    FieldSpec { name: "platform_addr", kind: FieldKind::Addr, default: None, about: "the platform's log" },
    FieldSpec {
        name: "platform_timeout_ms",
        kind: FieldKind::Number(50, 60_000),
        default: Some("1000"),
        about: "longest wait for the platform's log, beside the wait that a reading asks for",
    },
    FieldSpec {
        name: "leaving_known_ms",
        kind: FieldKind::Fraction(250.0, 60_000.0),
        default: Some("2000"),
        about: "an endpoint that leaves gets no more work after this time; its records are read five times within it",
    },
    FieldSpec {
        name: "repeat_ratio",
        kind: FieldKind::Fraction(0.0, 1.0),
        default: Some("0.1"),
        about: "repeats for each request, over all boxes",
    },
    FieldSpec {
        name: "repeat_fixed",
        kind: FieldKind::Fraction(0.0, 100_000.0),
        default: Some("20"),
        about: "repeats that all boxes together may send in a window beyond that",
    },
    FieldSpec {
        name: "repeat_window_s",
        kind: FieldKind::Fraction(1.0, 3_600.0),
        default: Some("10"),
        about: "length of the window of the two fields before",
    },
    FieldSpec {
        name: "cold_overage",
        kind: FieldKind::Fraction(0.1, 1_000.0),
        default: Some("1"),
        about: "how many times more than it bears a cold endpoint may get, from all boxes together",
    },
    FieldSpec {
        name: "drain_grace_s",
        kind: FieldKind::Fraction(0.0, 600.0),
        default: Some("8"),
        about: "time between SIGTERM and the end of the process",
    },
    FieldSpec {
        name: "cores",
        kind: FieldKind::Fraction(0.001, 1_024.0),
        default: Some("1"),
        about: "processor cores of this box; boxes with more lead groups before others",
    },
    FieldSpec {
        name: "memory_mb",
        kind: FieldKind::Fraction(1.0, 1_000_000.0),
        default: Some("512"),
        about: "memory of this box, in megabytes; bodies of requests and answers take a quarter of it at the most",
    },
    FieldSpec {
        name: "link_mbps",
        kind: FieldKind::Fraction(0.001, 1_000_000.0),
        default: Some("1000"),
        about: "what the link of this box carries, in megabits a second; among boxes of as many cores, those with more lead first",
    },
    FieldSpec {
        name: "metrics_addr",
        kind: FieldKind::Addr,
        default: Some("0.0.0.0:0"),
        about: "where /metrics is served alone; port 0: only at ready_addr and peer_addr",
    },
    LOG_LEVEL,
    LOG_TARGET,
    LOG_LINES_PER_S,
];
