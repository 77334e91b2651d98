//! Leased duties: tasks that only one process at a time may perform.
//!
//! A duty is a row in the platform's table. Its holder renews the row; a process
//! that sees it unchanged for [`LeaseTimes::ttl`] takes the duty over with the next
//! fencing token. Clocks of different processes are never compared: each measures
//! on its own boot clock how long ago it saw something.
//!
//! * The holder measures from before it sent a renewal.
//! * A candidate measures from after it read the row, which is later.
//!
//! So the holder stops before a candidate may take over, however long answers
//! take. [`LeaseTimes::clock_margin`] allows for clocks that run at different rates.
//!
//! A holder can still be paused between checking its lease and acting on it, so
//! every order and every write carries the fencing token. The sidecar's gate and
//! the table refuse a token that is lower than one they have seen.
//!
//! # Example
//!
//! ```
//! use hibiscusroad::lease::{Lease, LeaseRow, LeaseTimes, NextAction};
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let mut lease = Lease::new("entry-1", LeaseTimes::new());
//! assert_eq!(lease.next_action(now), NextAction::Read);
//! lease.record_read(now, None);
//! let NextAction::Write { version, row } = lease.next_action(now) else { panic!() };
//! assert_eq!((version, row.fencing_token), (0, 1));
//! lease.record_write(1);
//! assert_eq!(lease.fencing_token(now), Some(1));
//! ```

mod holder;
mod times;

pub use self::{
    holder::{Holding, Lease, LeaseRow, NextAction},
    times::LeaseTimes,
};
