//! The faults that a run can inject.

use std::str::FromStr;

use serde::Serialize;

/// A fault that is injected for nine seconds in the middle of a run, or from then on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    None,
    /// The log answers no box.
    Outage,
    /// The log answers two boxes in three; the readers are among the boxes without an answer.
    TurnsAway,
    /// Boxes reach the log and the boxes of their own data centre, but no other boxes.
    CutOff,
    /// Half of the boxes restart with no state.
    HalfRestart,
    /// All boxes restart with no state.
    AllRestart,
    /// The readers, the relays and some of the boxes that would replace them are removed for good.
    FirstGone,
    /// The first reader gets no answer from the log, but reports that it has just read it.
    FalseReader,
    /// The log is restored from an older copy: positions go back, and are assigned a second time.
    LogReturn,
}

/// The error for a word that names no [`Fault`].
#[derive(Debug, thiserror::Error)]
#[error("unknown trouble `{word}`; expected one of {}", Fault::ALL.map(Fault::name).join(", "))]
pub struct ParseFaultError {
    word: String,
}

impl Fault {
    /// All faults, in the order of tables and plots.
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

    /// Returns the name of the fault on the command line and in tables.
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

impl FromStr for Fault {
    type Err = ParseFaultError;

    fn from_str(word: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|fault| fault.name() == word)
            .ok_or_else(|| ParseFaultError { word: word.to_owned() })
    }
}
