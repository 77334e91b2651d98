//! Claims: a request that may not run twice runs at most once.
//!
//! Before an entry sends such a request to an endpoint, it inserts a row into
//! the platform's table under the service and the caller's idempotency key, if
//! there is none. The row names the attempt, the side it goes to and that
//! side's life. Whoever gets the same request again, at any entry, finds the
//! row and asks that side: the side alone knows whether the attempt runs, ran,
//! or never will, and can see to it that it never does.
//!
//! # Design
//!
//! Two state machines without input and output. A [`Batch`] writes many claims
//! in one transaction and says of each what became of it, whatever answers are
//! lost. A [`Holder`] is one request's way from a chosen endpoint to its run,
//! or to another's attempt.
//!
//! An answer that is lost after the write took effect does no harm: the write
//! is repeated, and the row that is found carries the own attempt's id, which
//! nobody else can have written. One that takes effect after all has given up
//! does none either: its attempt is never sent, and the next request under the
//! key has the side seal it.
//!
//! # Trade-offs
//!
//! * A claim costs a write before the run, and needs the table. While the table
//!   is down such requests are refused at once, and surely not run. Keeping the
//!   claims at an owner among the entries would go on without the table, but
//!   the owner's loss would make every one of its keys "unknown".
//! * Claims are written together, up to [`BATCH`] in one transaction, since the
//!   table takes several hundred writes a second and an entry thousands of
//!   requests. One conflict fails the whole transaction; the others are
//!   written again without the one. Conflicts are rare: they are repeats.
//! * If the side's life is over, the outcome stays unknown, even where nothing
//!   had been sent yet. Saying less than could be known is the safe side.

mod batch;
mod holder;
mod row;

pub use self::{
    batch::{Batch, Job, Said, Verdict},
    holder::{Action, Fate, Holder},
    row::{Claim, Seen, fingerprint, row_key},
};

use std::time::Duration;

/// Claims in one transaction.
///
/// etcd takes 128 operations in a transaction as it is delivered; a claim is a
/// condition and a write, and a read if it fails.
pub const BATCH: usize = 64;

/// How long the first claim of a batch waits for others.
///
/// Well under what a caller notices, and long enough to gather 10 claims at
/// 5,000 a second.
pub const GATHER: Duration = Duration::from_millis(2);

/// How long a key stays taken.
///
/// A phone that was switched off overnight may repeat its request in the
/// morning. After this time the key may be used for a new request, and the same
/// request under it runs again.
pub const CLAIM_TTL: Duration = Duration::from_hours(24);
