//! The settings of the agent.

use ochreyard_process::{FieldKind, FieldSpec, LOG_LEVEL, LOG_LINES_PER_S, LOG_TARGET};

/// The value of `listen_addr` that means the same address as `agent_addr`.
pub const SAME_AS_AGENT_ADDR: &str = "0.0.0.0:0";

/// All fields of the agent's settings.
pub const FIELDS: &[FieldSpec] = &[
    FieldSpec { name: "agent", kind: FieldKind::Name, default: None, about: "name of this box" },
    FieldSpec { name: "endpoint", kind: FieldKind::Name, default: None, about: "the endpoint beside this agent" },
    FieldSpec { name: "data_centre", kind: FieldKind::Name, default: None, about: "where both stand" },
    FieldSpec {
        name: "agent_addr",
        kind: FieldKind::Addr,
        default: None,
        about: "where entries reach this agent, as in the configuration",
    },
    FieldSpec {
        name: "listen_addr",
        kind: FieldKind::Addr,
        default: Some(SAME_AS_AGENT_ADDR),
        about: "where this agent listens, if entries reach `agent_addr` by way of another address",
    },
    FieldSpec { name: "ops_addr", kind: FieldKind::Addr, default: None, about: "health and metrics" },
    FieldSpec { name: "endpoint_url", kind: FieldKind::Url, default: None, about: "address of the endpoint" },
    FieldSpec {
        name: "peer_token_file",
        kind: FieldKind::SecretFile,
        default: None,
        about: "token that entries must show; never printed",
    },
    FieldSpec {
        name: "slots",
        kind: FieldKind::Number(1, 65_536),
        default: Some("16"),
        about: "requests at the same time, until the configuration says otherwise",
    },
    FieldSpec {
        name: "queue_limit",
        kind: FieldKind::Number(0, 100_000),
        default: Some("1024"),
        about: "requests that may wait in all",
    },
    FieldSpec {
        name: "queue_limit_per_workspace",
        kind: FieldKind::Number(0, 100_000),
        default: Some("64"),
        about: "requests of one workspace that may wait",
    },
    FieldSpec {
        name: "key_window_ms",
        kind: FieldKind::Number(1_000, 86_400_000),
        default: Some("600000"),
        about: "how long the outcome of an idempotency key is kept",
    },
    FieldSpec {
        name: "max_keys",
        kind: FieldKind::Number(1, 1_000_000),
        default: Some("20000"),
        about: "how many keys are kept; a full store refuses",
    },
    FieldSpec {
        name: "load_poll_ms",
        kind: FieldKind::Number(50, 60_000),
        default: Some("500"),
        about: "how often the endpoint is asked for its load",
    },
    FieldSpec {
        name: "rebalance",
        kind: FieldKind::Choice(&["off", "weigh_skew", "weigh_moves"]),
        default: Some("off"),
        about: "whether this agent changes its group's expert map, and what it weighs more",
    },
    FieldSpec {
        name: "rebalance_every_ms",
        kind: FieldKind::Number(100, 3_600_000),
        default: Some("60000"),
        about: "length of an interval of the rebalancing policy",
    },
    FieldSpec {
        name: "lease_ttl_ms",
        kind: FieldKind::Number(2_000, 600_000),
        default: Some("10000"),
        about: "how long a lease to change the expert map lasts",
    },
    FieldSpec {
        name: "platform_url",
        kind: FieldKind::Url,
        default: Some("http://127.0.0.1:1"),
        about: "the platform's services; needed only where `rebalance` is on",
    },
    FieldSpec {
        name: "drain_grace_ms",
        kind: FieldKind::Number(0, 600_000),
        default: Some("1000"),
        about: "after the last request has ended, how long entries may still learn that the agent leaves",
    },
    LOG_LEVEL,
    LOG_TARGET,
    LOG_LINES_PER_S,
];
