//! The class of a request, and whether it may run twice.

use serde::{Deserialize, Serialize};

/// The class of a request, most urgent first.
///
/// Classes are ordered: less urgent ones yield to more urgent ones, down to the floor
/// that each class has by the settings of the service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person or device that waits for the answer.
    Interactive,
    /// A partner's system or a sync job, which can wait longer.
    Partner,
    /// Generation for a trainer, which uses the remaining capacity.
    Rollout,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Partner, Self::Rollout];

    /// Returns the name shown to operators.
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
    /// The request is idempotent.
    #[serde(rename = "free")]
    Idempotent,
    /// The request is not idempotent and runs at most once, even if its answer is lost.
    Once,
}
