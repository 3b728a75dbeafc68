//! Where a record stands in the platform's log.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Where a record stands in a topic of the platform's log.
///
/// The log may come back from an older copy: offsets then go back and are given out again, under the next era. What stands in
/// a later era is later, whatever its offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    /// The era of the log; 0 where it names none.
    pub era: u64,
    /// The offset in the topic, within this era.
    pub offset: u64,
}

impl Position {
    /// The position `offset` of an era.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// The position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self { era: self.era, offset: self.offset + 1 }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.offset)
    }
}

/// A text that names no position.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParsePositionError {
    /// It is not two numbers with a point between them.
    #[error("`{0}` is not ERA.OFFSET")]
    Form(String),
    /// One of the two is no number.
    #[error(transparent)]
    Number(#[from] ParseIntError),
}

impl FromStr for Position {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, offset) = text.split_once('.').ok_or_else(|| ParsePositionError::Form(text.to_owned()))?;
        Ok(Self { era: era.parse()?, offset: offset.parse()? })
    }
}
