//! Claims, by which a request that may not run twice runs at most once.
//!
//! Before an entry sends such a request to an endpoint, it inserts a row into
//! the platform's table under the service and the caller's idempotency key. The
//! row names the attempt, the endpoint it goes to and the incarnation of the
//! sidecar there. Any entry that receives the same request finds the row and
//! asks that sidecar, which alone knows whether the attempt runs, ran, or never
//! will, and can seal it so that it never does.
//!
//! # Design
//!
//! Two state machines without I/O: a [`Batch`] writes many claims in one
//! transaction and determines the outcome of each, and a [`KeyedRequest`] takes one
//! request from a chosen endpoint to its own attempt or to another's.
//!
//! A write whose answer was lost is repeated. If it had taken effect, the row
//! carries the request's own attempt id, which no one else can have written. If
//! it takes effect after the last try, its attempt is never sent, and the next
//! request under the key has the sidecar seal it.
//!
//! # Trade-offs
//!
//! * A claim costs a write before the run. While the table is down, such requests
//!   are refused without running. An owner for each key among the entries would
//!   not need the table, but the outcomes of its keys would be lost with it.
//! * Up to [`MAX_BATCH_CLAIMS`] claims share a transaction, since entries take more requests
//!   than the table takes writes. One conflict fails the whole transaction, and
//!   the other claims are written again. Only repeats cause conflicts.
//! * If the sidecar's incarnation has ended, the outcome is unknown, even if
//!   nothing had been sent to it.

mod batch;
mod request;
mod row;

pub use self::{
    batch::{Batch, ClaimOutcome, ClaimWrite, TableAnswer},
    request::{Action, KeyedRequest, ReportedState},
    row::{Claim, StoredClaim, fingerprint, row_key},
};

use std::time::Duration;

/// Claims in one transaction.
///
/// A claim is a condition, a write, and a read if it fails; etcd allows 128
/// operations in a transaction by default.
pub const MAX_BATCH_CLAIMS: usize = 64;

/// How long the first claim of a batch waits for others.
pub const BATCH_DELAY: Duration = Duration::from_millis(2);

/// How long a claim holds its idempotency key.
///
/// A caller that was offline overnight may still repeat its request. Afterwards
/// the key may be used for a new request, and the same request runs again.
pub const CLAIM_TTL: Duration = Duration::from_hours(24);
