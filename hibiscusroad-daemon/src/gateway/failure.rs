//! Why a call to the store gave no usable answer.

use hibiscusroad_platform::Error as Odd;

/// Why a call gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum Failure {
    /// It was surely not carried out.
    #[error("refused: {0}")]
    Refused(String),
    /// No answer came; it may have been carried out.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer isn't what the call asks for.
    #[error("odd answer: {0}")]
    Odd(#[from] Odd),
}
