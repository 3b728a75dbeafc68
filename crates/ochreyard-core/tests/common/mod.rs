//! What the property tests share.

/// Cases of a property: `usual`, or more for a search by hand with
/// `OCHREYARD_CASES=200000 cargo test --release …`.
pub fn cases(usual: u32) -> u32 {
    std::env::var("OCHREYARD_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(usual)
}
