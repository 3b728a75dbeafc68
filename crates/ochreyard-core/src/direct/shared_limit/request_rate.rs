//! The number of requests per second that an endpoint accepts.

/// Thousandths per unit.
const MILLI_PER_UNIT: f64 = 1_000.0;
/// The highest rate that is represented, in thousandths of a request per second: far more than any endpoint accepts,
/// and small enough to avoid overflow in computations.
const MAX_MILLI_PER_S: u64 = 1_000_000_000_000;
/// The rate that is assumed if the limit in a response cannot be parsed: the endpoint wants fewer requests than usual,
/// but it is unknown how many.
const FALLBACK_RATE: RequestRate = RequestRate { milli_per_s: 200 };

/// A rate in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct RequestRate {
    milli_per_s: u64,
}

impl RequestRate {
    /// Creates a rate from thousandths of a request per second, capped at the highest represented rate.
    #[must_use]
    pub const fn from_milli(milli_per_s: u64) -> Self {
        Self { milli_per_s: if milli_per_s < MAX_MILLI_PER_S { milli_per_s } else { MAX_MILLI_PER_S } }
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn milli_per_s(self) -> u64 {
        self.milli_per_s
    }

    /// Parses a decimal number of requests per second, rounded down to thousandths. Returns `None` if it is not a
    /// number, negative or infinite.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let per_s: f64 = text.trim().parse().ok()?;
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        is_valid.then_some(Self::from_milli((per_s * MILLI_PER_UNIT) as u64))
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.milli_per_s as f64 / MILLI_PER_UNIT)
    }
}

/// Returns the lowest limit in the values of a header, or `None` if there are no values.
#[must_use]
pub fn parse_limit<'a>(values: impl Iterator<Item = &'a [u8]>) -> Option<RequestRate> {
    let parse = |value| std::str::from_utf8(value).ok().and_then(RequestRate::parse).unwrap_or(FALLBACK_RATE);
    values.map(parse).min()
}
