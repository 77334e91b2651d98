//! What kind of caller a request comes from, and whether it may run twice.

use serde::{Deserialize, Serialize};

/// The class of a request, most urgent first.
///
/// Classes are ordered: a lower one yields to a higher one, down to a floor
/// that the service's settings give it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person or a device that waits: a parent, a guest, a vacuum.
    Interactive,
    /// A partner's system or a sync job that waits, but can wait longer.
    Partner,
    /// Generation for a trainer, which uses what the others leave.
    Rollout,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Partner, Self::Rollout];

    /// Returns the name that operators see.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Partner => "partner",
            Self::Rollout => "rollout",
        }
    }

    /// Returns the position in [`Class::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Whether a request may be sent to an endpoint more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Idempotent: a second run does no harm.
    Free,
    /// Not idempotent: runs at most once, whatever becomes of the answer.
    Once,
}
