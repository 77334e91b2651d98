//! Leased duties: one holder of a task that must not be done by two.
//!
//! A duty (the steps of one trainer, the weight rollout of one service) is a row
//! in the platform's table. Its holder renews the row; whoever sees it unchanged
//! for a whole [`Terms::span`] takes it over with the next fencing number. No
//! clocks are compared: each process only counts, on its own boot clock, how
//! long something lasted that it saw itself.
//!
//! * The holder counts from before it sent a renewal.
//! * A candidate counts from after it read the row, which is later.
//!
//! So the holder stops believing before a candidate may take over, however long
//! answers take, as long as clocks run at about the same rate; the margin
//! [`Terms::margin`] is for the difference.
//!
//! A holder can still be paused between looking at its lease and acting on it.
//! No lease helps against that; the fencing number does. Every order and every
//! write carries it, and the side's gate and the table refuse a lower one than
//! they have seen.
//!
//! # Example
//!
//! ```
//! use hibiscusroad::lease::{Lease, Next, Row, Terms};
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let mut lease = Lease::new("entry-1", Terms::new());
//! assert_eq!(lease.next(now), Next::Read);
//! lease.seen(now, None);
//! let Next::Write { version, row } = lease.next(now) else { panic!() };
//! assert_eq!((version, row.fence), (0, 1));
//! lease.written(1);
//! assert_eq!(lease.fence(now), Some(1));
//! ```

mod holder;
mod terms;

pub use self::{
    holder::{Holding, Lease, Next, Row},
    terms::Terms,
};
