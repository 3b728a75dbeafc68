//! Position of a record in the platform's log.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Position of a record in a topic of the platform's log.
///
/// The log may be restored from an older copy: offsets then go back and are assigned again, in the next era. A record
/// of a later era is later, whatever its offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    /// Era of the log; 0 where the log states none.
    pub era: u64,
    /// Offset in the topic, within this era.
    pub offset: u64,
}

impl Position {
    /// Creates a position from an era and an offset.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self { era: self.era, offset: self.offset.saturating_add(1) }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.offset)
    }
}

/// Error of parsing a [`Position`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParsePositionError {
    /// The text is not two parts with a point between them.
    #[error("`{0}` is not a position of the form ERA.OFFSET")]
    Format(String),
    /// One of the two parts is not a number.
    #[error(transparent)]
    Number(#[from] ParseIntError),
}

impl FromStr for Position {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, offset) = text.split_once('.').ok_or_else(|| ParsePositionError::Format(text.to_owned()))?;
        Ok(Self { era: era.parse()?, offset: offset.parse()? })
    }
}
