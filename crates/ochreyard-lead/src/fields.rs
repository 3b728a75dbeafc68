//! The settings of an entry as a leader of groups.

use ochreyard_process::{FieldKind, FieldSpec};

/// All settings of an entry as a leader of groups.
pub const FIELDS: &[FieldSpec] = &[
    FieldSpec {
        name: "lease_ms",
        kind: FieldKind::Number(300, 60_000),
        default: Some("800"),
        about: "how long the agents of a group obey its leader after its last word; no longer than `lease_ms` of the agents",
    },
    FieldSpec {
        name: "round_ms",
        kind: FieldKind::Number(20, 5_000),
        default: Some("100"),
        about: "pause between a leader's questions while nothing changes; well under lease_ms",
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
];
