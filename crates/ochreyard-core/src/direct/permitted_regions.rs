//! Regions in which requests may run.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The regions in which requests may run.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PermittedRegions {
    /// Names of the allowed regions; `None` where all are allowed.
    regions: Option<BTreeSet<String>>,
}

impl PermittedRegions {
    /// All regions are allowed.
    pub const ANY: Self = Self { regions: None };

    /// Allows the given regions; all where none is given.
    #[must_use]
    pub fn of(regions: impl IntoIterator<Item = String>) -> Self {
        let regions: BTreeSet<String> = regions.into_iter().collect();
        Self { regions: (!regions.is_empty()).then_some(regions) }
    }

    /// Returns the regions that both allow, which may be none.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(own), Some(others)) => Some(own.intersection(others).cloned().collect()),
            (own, others) => own.as_ref().or(others.as_ref()).cloned(),
        };
        Self { regions }
    }

    /// Returns whether requests may run in a region. An unknown region is allowed only where all are.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        self.regions.as_ref().is_none_or(|regions| region.is_some_and(|region| regions.contains(region)))
    }
}
