//! Why an attempt gets no endpoint.

/// Why no endpoint was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPick {
    /// None is left that takes work.
    Nobody,
    /// Those that take work have as much as they can serve in time.
    Full,
    /// All of their groups are known to stand or to be broken.
    Stands,
}
