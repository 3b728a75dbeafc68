//! Which directions of a relay are cut.

/// Which directions are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Partition {
    /// From the one who dials to the target.
    pub to_target: bool,
    /// From the target to the one who dials.
    pub from_target: bool,
}
