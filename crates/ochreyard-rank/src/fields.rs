//! The settings of the agent of a rank.

use ochreyard_process::{FieldKind, FieldSpec, LOG_LEVEL, LOG_LINES_PER_S, LOG_TARGET};

/// All settings of the agent.
pub const FIELDS: &[FieldSpec] = &[
    FieldSpec { name: "agent", kind: FieldKind::Name, default: None, about: "name of this box" },
    FieldSpec { name: "engine_addr", kind: FieldKind::Addr, default: None, about: "the engine on this box" },
    FieldSpec {
        name: "peer_addr",
        kind: FieldKind::Addr,
        default: None,
        about: "where the group's leader asks; entries take its port to be that of their own `peer_addr`",
    },
    FieldSpec {
        name: "lease_ms",
        kind: FieldKind::Number(300, 60_000),
        default: Some("800"),
        about: "the longest time for which a leader is obeyed after its last word; a new agent obeys nobody for as long",
    },
    LOG_LEVEL,
    LOG_TARGET,
    LOG_LINES_PER_S,
];
