//! Fencing numbers of the duties whose holders give orders.
//!
//! A holder that was paused past its lease still believes that it holds it.
//! Its orders carry the number of that lease, which is lower than the number
//! of the next holder. The side refuses them before the engine sees them, so
//! that engines that ignore the numbers are covered as well.
//!
//! A fresh side has seen no number and can't tell an old one. It therefore
//! passes no order of a duty before it has read the duty's lease row once,
//! which holds the newest number. An entry's own word would not do: the paused
//! holder would name its own number.

use crate::error::ErrorKind;
use std::collections::BTreeMap;

/// Why an order is not passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderRefusal {
    /// The duty's number must be read from its lease row first.
    Unlearned,
    /// A holder with this higher number exists.
    Fenced(u64),
    /// The order came over a link that a newer one has replaced.
    OldLink,
    /// The duty's name is empty or too long.
    BadDuty,
}

impl OrderRefusal {
    /// Returns the kind of error that the holder is told.
    #[must_use]
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::Unlearned => ErrorKind::StoreDown,
            Self::Fenced(_) => ErrorKind::Fenced,
            Self::OldLink => ErrorKind::Expired,
            Self::BadDuty => ErrorKind::BadRequest,
        }
    }
}

/// The longest name of a duty, so that a broken frame can't fill the table.
const LONGEST_DUTY: usize = 256;

/// The highest fencing number known for each duty.
#[derive(Clone, Debug, Default)]
pub struct Fences {
    seen: BTreeMap<String, u64>,
}

impl Fences {
    /// Notes the number that stands in a duty's lease row.
    pub fn learn(&mut self, duty: &str, number: u64) {
        let seen = self.seen.entry(duty.to_owned()).or_insert(number);
        *seen = number.max(*seen);
    }

    /// Decides whether an order may pass, and notes its number if so.
    ///
    /// # Errors
    ///
    /// Returns why the order must not reach the engine.
    pub fn pass(&mut self, duty: &str, number: u64) -> Result<(), OrderRefusal> {
        if duty.is_empty() || duty.len() > LONGEST_DUTY {
            return Err(OrderRefusal::BadDuty);
        }
        let seen = self.seen.get_mut(duty).ok_or(OrderRefusal::Unlearned)?;
        if number < *seen {
            return Err(OrderRefusal::Fenced(*seen));
        }
        *seen = number;
        Ok(())
    }

    /// Returns the highest number known of any duty, or 0.
    #[must_use]
    pub fn highest(&self) -> u64 {
        self.seen.values().copied().max().unwrap_or(0)
    }
}
