//! Fencing tokens of the duties whose holders send orders to the engine.
//!
//! A holder that was paused past the end of its lease still believes that it
//! holds it. Its orders carry the fencing token of that lease, which is lower
//! than the next holder's. The sidecar refuses them, so that engines that ignore
//! the tokens are protected as well.
//!
//! A sidecar that has just started knows no token, so it refuses all orders of a
//! duty until it has read the duty's lease row. It can't rely on the token of the
//! first order instead, which may come from a paused holder.

use crate::error::ErrorKind;
use std::collections::BTreeMap;

/// The reason why an order is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderRefusal {
    /// The duty's fencing token has not been read from its lease row yet.
    TokenUnknown,
    /// This higher fencing token is known for the duty.
    Fenced(u64),
    /// The order came over a link that a newer one has replaced.
    SupersededLink,
    /// The duty's name is empty or too long.
    InvalidDuty,
}

impl OrderRefusal {
    /// Returns the kind of error that the holder is told.
    #[must_use]
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::TokenUnknown => ErrorKind::StoreDown,
            Self::Fenced(_) => ErrorKind::Fenced,
            Self::SupersededLink => ErrorKind::Expired,
            Self::InvalidDuty => ErrorKind::BadRequest,
        }
    }
}

/// Bytes of the longest name of a duty that is accepted.
const MAX_DUTY_BYTES: usize = 256;

/// The highest fencing token known for each duty.
#[derive(Clone, Debug, Default)]
pub struct FencingTokens {
    by_duty: BTreeMap<String, u64>,
}

impl FencingTokens {
    /// Records the fencing token in a duty's lease row.
    pub fn record(&mut self, duty: &str, token: u64) {
        let highest = self.by_duty.entry(duty.to_owned()).or_insert(token);
        *highest = token.max(*highest);
    }

    /// Checks the fencing token of an order, and records it if it is valid.
    ///
    /// # Errors
    ///
    /// Returns why the order must not reach the engine.
    pub fn admit(&mut self, duty: &str, token: u64) -> Result<(), OrderRefusal> {
        if duty.is_empty() || duty.len() > MAX_DUTY_BYTES {
            return Err(OrderRefusal::InvalidDuty);
        }

        let highest = self
            .by_duty
            .get_mut(duty)
            .ok_or(OrderRefusal::TokenUnknown)?;
        if token < *highest {
            return Err(OrderRefusal::Fenced(*highest));
        }
        *highest = token;
        Ok(())
    }

    /// Returns the highest token known for any duty, or 0.
    #[must_use]
    pub fn highest(&self) -> u64 {
        self.by_duty.values().copied().max().unwrap_or(0)
    }
}
