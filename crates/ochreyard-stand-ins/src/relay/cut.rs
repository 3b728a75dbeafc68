//! Which directions of a relay are cut.

/// Which directions are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Cut {
    /// From the one who dials to the target.
    pub there: bool,
    /// From the target to the one who dials.
    pub back: bool,
}
