//! Where requests may run.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The regions in which requests may run.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AllowedRegions {
    /// `None` where all may.
    regions: Option<BTreeSet<String>>,
}

impl AllowedRegions {
    /// Every region.
    pub const ANY: Self = Self { regions: None };

    /// These regions; every one where none is named.
    #[must_use]
    pub fn of(regions: impl IntoIterator<Item = String>) -> Self {
        let regions: BTreeSet<String> = regions.into_iter().collect();
        Self { regions: (!regions.is_empty()).then_some(regions) }
    }

    /// The regions that both allow, which may be none.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(own), Some(others)) => Some(own.intersection(others).cloned().collect()),
            (own, others) => own.as_ref().or(others.as_ref()).cloned(),
        };
        Self { regions }
    }

    /// Whether requests may run in a region. One that is not known is allowed only where all are.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        self.regions.as_ref().is_none_or(|regions| region.is_some_and(|region| regions.contains(region)))
    }
}
