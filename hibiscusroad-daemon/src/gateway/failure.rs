//! The error of a call to the store.

use hibiscusroad_platform::Error as PlatformError;

/// Why a call to the store has no usable answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum Failure {
    /// The call was not executed.
    #[error("refused: {0}")]
    Refused(String),
    /// No answer arrived; the call may have been executed.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer is malformed or unexpected.
    #[error("unexpected answer: {0}")]
    Unexpected(#[from] PlatformError),
}
