//! Parses an intent in YAML into a validated change of the configuration.

use ochreyard_core::config::{Change, ChangeError, Configuration};

/// Largest accepted intent, in bytes.
pub const MAX_INTENT_BYTES: usize = 4 * 1024 * 1024;

/// Parses an intent and validates it against the current configuration.
///
/// # Errors
///
/// Returns all errors, each with the field and a fix.
///
/// # Examples
///
/// ```
/// use ochreyard_core::config::Configuration;
/// use ochreyard_operator::intent::parse;
///
/// let errors = parse("services: [{service: maps, kind: modle}]", &Configuration::default()).unwrap_err();
/// assert!(errors[0].problem.contains("modle"));
/// ```
pub fn parse(yaml: &str, base: &Configuration) -> Result<Change, Vec<ChangeError>> {
    if yaml.len() > MAX_INTENT_BYTES {
        let fix = format!("split it into parts of at most {MAX_INTENT_BYTES} bytes");
        return Err(vec![ChangeError::new("intent", "is too large", fix)]);
    }
    let change: Change = serde_saphyr::from_str(yaml).map_err(|error| {
        let problem = error.to_string().replace('\n', " ");
        vec![ChangeError::new("intent", problem, "see docs/operators.md for the fields of an intent")]
    })?;
    if change.is_empty() {
        return Err(vec![ChangeError::new("intent", "changes nothing", "name at least one object to put or remove")]);
    }
    base.check_change(&change)?;
    Ok(change)
}
