//! What may be sent to an endpoint.

use super::Sender;
use std::time::Instant;

/// What a process may send to an endpoint before its next refresh.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admission {
    /// Whether the endpoint is cold, so that warm ones are preferred.
    pub is_cold: bool,
    /// Calls that may be sent; `None` for any number.
    pub calls: Option<u32>,
    /// Items of batches that may be sent; `None` for any number.
    pub items: Option<u32>,
    /// When more calls are admitted than now.
    pub opens_at: Option<Instant>,
}

impl Admission {
    /// The admission of an endpoint without limits.
    pub const OPEN: Self = Self {
        is_cold: false,
        calls: None,
        items: None,
        opens_at: None,
    };

    /// Returns the admission of a cold endpoint that may get `room` requests now.
    pub(super) const fn cold(room: u32, opens_at: Instant) -> Self {
        Self {
            is_cold: true,
            calls: Some(room),
            items: Some(room),
            opens_at: Some(opens_at),
        }
    }

    /// Returns how many requests may be sent; `None` for any number.
    #[must_use]
    pub const fn room(&self, sender: Sender) -> Option<u32> {
        match sender {
            Sender::Item => self.items,
            Sender::Call => self.calls,
        }
    }
}

impl Default for Admission {
    fn default() -> Self {
        Self::OPEN
    }
}
