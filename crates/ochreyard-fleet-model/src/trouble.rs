//! What goes wrong in a run.

use std::str::FromStr;

use serde::Serialize;

/// What goes wrong, for nine seconds in the middle of a run or from then on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// Nothing.
    None,
    /// The log answers nobody.
    Outage,
    /// It answers two boxes in three, those that would read for all among the others.
    TurnsAway,
    /// Boxes of one data centre reach each other and the log, and nobody else.
    CutOff,
    /// Half of the boxes start again, knowing nothing.
    HalfRestart,
    /// All boxes start again, knowing nothing.
    AllRestart,
    /// The boxes that read, those that relay and some that would follow them are gone for good.
    FirstGone,
    /// The first box that reads for all says that it has just read, and has not.
    FalseReader,
    /// The log comes back from an older copy: positions go back, and are given out again.
    LogReturn,
}

/// A word that names no trouble.
#[derive(Debug, thiserror::Error)]
#[error("no trouble is called `{word}`; there are {}", Trouble::ALL.map(Trouble::name).join(", "))]
pub struct NoTrouble {
    word: String,
}

impl Trouble {
    /// All of them.
    pub const ALL: [Self; 9] = [
        Self::None,
        Self::Outage,
        Self::TurnsAway,
        Self::CutOff,
        Self::HalfRestart,
        Self::AllRestart,
        Self::FirstGone,
        Self::FalseReader,
        Self::LogReturn,
    ];

    /// Its name on the command line and in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Outage => "outage",
            Self::TurnsAway => "turns_away",
            Self::CutOff => "cut_off",
            Self::HalfRestart => "half_restart",
            Self::AllRestart => "all_restart",
            Self::FirstGone => "first_gone",
            Self::FalseReader => "false_reader",
            Self::LogReturn => "log_return",
        }
    }
}

impl FromStr for Trouble {
    type Err = NoTrouble;

    fn from_str(word: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|trouble| trouble.name() == word).ok_or_else(|| NoTrouble { word: word.to_owned() })
    }
}
