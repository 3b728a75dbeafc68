//! Code that the property tests share.

/// Number of cases of a property test: `default`, or the value of `OCHREYARD_CASES` for a longer manual search, as in
/// `OCHREYARD_CASES=200000 cargo test --release …`.
pub fn cases(default: u32) -> u32 {
    std::env::var("OCHREYARD_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(default)
}
