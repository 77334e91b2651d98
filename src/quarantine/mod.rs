//! Detection and quarantine of requests that crash the endpoints that run them.
//!
//! Limits on attempts bound each call alone. A client that repeats such a request under new
//! ids, at any gateway, could end every endpoint of a service, and every request that runs
//! beside it.
//!
//! # Design
//!
//! * [`Fingerprint`] identifies the repeats of a request.
//! * A [`Crash`] is evidence: a request was in flight at an endpoint that ended. Each gateway
//!   writes its evidence to a table that all gateways follow, so they reach the same verdict,
//!   also after a restart.
//! * [`Ledger`] keeps the evidence and decides. A crash is attributed to the request in
//!   flight with the most crashes, which clears requests that only ran beside the cause.
//!   After [`CRASH_LIMIT`] crashes a request is quarantined.
//! * [`UnresolvedAttempts`] keeps attempts that ended without an answer until the end of their
//!   endpoint may be detected: a host without power closes no connections, and a client may
//!   disconnect first.
//!
//! Connections also break for other reasons. So an answer clears the request, and a crash is
//! void if its endpoint lives: if it answers any request that was sent later, or stays registered
//! while updates about endpoints arrive without a gap ([`UpdateContinuity`]). Should an endpoint
//! that answers end soon after, the crash counts again.
//!
//! The trade-off: until the evidence separates the cause from its neighbours, all of them
//! are run again. A quarantine after the first crash would save endpoints and refuse every
//! neighbour.

mod continuity;
mod fingerprint;
mod ledger;
mod row;
mod unresolved;

use std::time::Duration;

pub use self::{
    continuity::UpdateContinuity,
    fingerprint::{Fingerprint, Identity, ParseFingerprintError},
    ledger::{Ledger, Verdict},
    row::{CRASHES, Crash, DecodeCrashError, EndpointIncarnation},
    unresolved::UnresolvedAttempts,
};

/// Default number of crashes after which a request is quarantined. Two may be chance, as when
/// a request and its retry meet a failing data centre.
pub const CRASH_LIMIT: usize = 3;
/// Crashes beyond the limit after which a request is quarantined even if the evidence points
/// at others as well.
pub const AMBIGUITY_MARGIN: usize = 2;
/// Default time for which a crash counts. A request that still crashes endpoints after it may
/// end [`CRASH_LIMIT`] more.
pub const CRASH_TTL: Duration = Duration::from_hours(1);
/// Age from which a crash is void if its endpoint is still registered. The entry of an
/// endpoint that ended expires well before, also after an outage of the store.
pub const REFUTATION_DELAY: Duration = Duration::from_secs(20);
/// Difference between the time of a crash and that of a later request, above which the request is
/// known to be later: clocks of processes differ by less.
const ORDER_MARGIN: Duration = Duration::from_millis(250);
/// How long an unresolved attempt is kept: the entry of an ended endpoint expires within
/// this time.
pub const UNRESOLVED_TTL: Duration = Duration::from_secs(10);
