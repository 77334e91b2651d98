//! Requests that crash the endpoints that run them, and are stopped.
//!
//! Load: a request under which an endpoint's process ends, whichever endpoint runs it.
//! Its caller repeats it, under new ids and at any gateway. Harm: attempts are limited
//! for each repeat alone, so one request takes down a whole service, and with it every
//! request that runs beside it.
//!
//! # Design
//!
//! * [`Fingerprint`] tells whether two requests are the same.
//! * A [`Crash`] is evidence: a request was in flight at an endpoint when that ended.
//!   Each gateway writes its own to a table that all follow, so that a repeat meets the
//!   same verdict anywhere, also at a gateway that has just started.
//! * [`Ledger`] holds the evidence and decides. Of the requests that were in flight at a
//!   crash, it is attributed to the one with most crashes, so those that only ran beside
//!   the cause are not blamed for it. [`LIMIT`] crashes are a quarantine.
//! * [`OpenAttempts`] holds attempts that ended without an answer and without a sign of
//!   a crash, for a while: a host without power closes no connections, and a caller may
//!   leave before anybody knows.
//!
//! What clears a request: an answer to it, and an endpoint whose entry outlasts the
//! crash that it is said to have had, while news of entries came without a gap
//! ([`Contact`]). Connections break for other reasons, too.
//!
//! The trade-off: until the evidence tells the cause from its neighbours, requests that
//! ran beside it are run again, as is the cause. Stopping at the first crash would spare
//! two endpoints and refuse every neighbour.

mod contact;
mod fingerprint;
mod ledger;
mod open;
mod row;

use std::time::Duration;

pub use self::{
    contact::Contact,
    fingerprint::{Fingerprint, Identity, ParseFingerprintError},
    ledger::{Ledger, Verdict},
    open::OpenAttempts,
    row::{CRASHES, Crash, DecodeCrashError, Life},
};

/// Crashes after which a request is in quarantine unless the settings say otherwise:
/// two may be chance, as when a request and its retry meet a failing data centre.
pub const LIMIT: usize = 3;
/// Crashes beyond the limit after which a request is in quarantine even if others were
/// in flight at each of them.
pub const AMBIGUITY_MARGIN: usize = 2;
/// How long a crash counts unless the settings say otherwise. Each lapse costs up to
/// [`LIMIT`] endpoints if the cause is still there.
pub const KEEP: Duration = Duration::from_hours(1);
/// Age at which a crash is void if its endpoint's entry is still there: one that ended
/// has missed several times the renewals after which its entry is removed, also where
/// the store was away meanwhile.
pub const LAPSED: Duration = Duration::from_secs(20);
/// How long an attempt without an answer stays open: an entry lapses within this.
pub const UNRESOLVED_TTL: Duration = Duration::from_secs(10);
