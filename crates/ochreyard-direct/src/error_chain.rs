//! Shows an error with its causes.

use std::error::Error;

/// Returns the message of an error, followed by those of its causes. Libraries leave the error of the system to these.
pub fn describe(error: &(dyn Error + 'static)) -> String {
    let causes = std::iter::successors(error.source(), |&cause| cause.source());
    causes.fold(error.to_string(), |message, cause| format!("{message}: {cause}"))
}
