//! How many requests a second an endpoint takes.

/// Thousandths of a request a second in one request a second.
const MILLI: f64 = 1_000.0;
/// The highest rate that is kept, in thousandths of a request a second: far more than any endpoint takes, and small
/// enough to reckon with.
const MOST_MILLI: u64 = 1_000_000_000_000;
/// What an endpoint takes that names its limit in words that cannot be read: it wants fewer requests than usual, and
/// nobody knows how many.
const UNREADABLE: RequestRate = RequestRate { milli_per_s: 200 };

/// Requests a second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct RequestRate {
    milli_per_s: u64,
}

impl RequestRate {
    /// So many thousandths of a request a second.
    #[must_use]
    pub const fn from_milli(milli_per_s: u64) -> Self {
        Self { milli_per_s: if milli_per_s < MOST_MILLI { milli_per_s } else { MOST_MILLI } }
    }

    /// Thousandths of a request a second.
    #[must_use]
    pub const fn milli_per_s(self) -> u64 {
        self.milli_per_s
    }

    /// Reads a decimal number of requests a second, rounded down to what is kept. `None` where it is no number, negative
    /// or without end.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let per_s: f64 = text.trim().parse().ok()?;
        let is_rate = per_s.is_finite() && per_s >= 0.0;
        is_rate.then_some(Self::from_milli((per_s * MILLI) as u64))
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.milli_per_s as f64 / MILLI)
    }
}

/// The limit that these values of a header name: the lowest one, where there are several. `None` where there is none.
#[must_use]
pub fn parse_limit<'a>(values: impl Iterator<Item = &'a [u8]>) -> Option<RequestRate> {
    let read = |value| std::str::from_utf8(value).ok().and_then(RequestRate::parse).unwrap_or(UNREADABLE);
    values.map(read).min()
}
