//! How long runs had gone on when their endpoint crashed.

use super::crash::{Crash, PresentRequest};
use super::crash_scores::{EARLY_SCORE, OTHER_SCORE, is_past_start};
use super::good_runs::RunProgress;

/// How long a run had gone on when its endpoint crashed. Causes mostly crash endpoints soon after their runs start, and
/// bystanders may be anywhere in theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunAge {
    /// Soon after the start.
    Early,
    /// Past the start, where another run was early.
    LateBesideEarly,
    /// Past the start, as all others at the endpoint.
    Late,
}

impl RunAge {
    /// Returns the age of a request's run at a crash.
    pub fn at_crash(request: &PresentRequest, crash: &Crash) -> Self {
        let is_early = |request: &PresentRequest| request.ran_ms.is_some_and(|ran_ms| !is_past_start(ran_ms));
        match is_early(request) {
            true => Self::Early,
            false if crash.candidates().any(is_early) => Self::LateBesideEarly,
            false => Self::Late,
        }
    }

    /// Returns the score of a crash for a run of this age.
    pub const fn score(self) -> u32 {
        match self {
            Self::Early => EARLY_SCORE,
            Self::LateBesideEarly => OTHER_SCORE / 2,
            Self::Late => OTHER_SCORE,
        }
    }

    /// Returns the weight of an observation, in halves.
    pub const fn weight(self) -> usize {
        match self {
            Self::Early | Self::Late => 2,
            Self::LateBesideEarly => 1,
        }
    }

    /// Returns how far a run has to get to outrun one that was lost at this age.
    pub const fn outrun_by(self) -> RunProgress {
        match self {
            Self::Early => RunProgress::PastStart,
            Self::LateBesideEarly | Self::Late => RunProgress::Whole,
        }
    }
}
