//! The platform, behind a narrow client of plain functions.
//!
//! What must last lives in the platform's table service; this module is all
//! that knows its wire form, so that another platform is another few files.
//! Calls block; they run on threads of their own, never on the thread that owns
//! the tables.
//!
//! Three things go wrong with such a service, and each has its place here. It
//! may be down or slow: every call has a time limit and [`Backoff`] spreads the
//! tries. An answer may be lost after the write took effect: [`Outcome`] has a
//! case for it that callers can't overlook. And hundreds of processes may ask
//! at once: a [`Budget`] keeps them together under what the service holds.

mod backoff;
mod budget;
mod hosts;
pub mod leases;
mod table;
mod wire;

pub use self::{
    backoff::Backoff,
    budget::Budget,
    hosts::{Host, HostList, State},
    table::{Cond, Fault, Op, Outcome, Row, Table, Transaction},
};

use serde::de::DeserializeOwned;
use std::time::Duration;
use ureq::{Body, http::Response};

/// How long one call may take before its outcome counts as unknown.
///
/// Long enough for a slow but working service, short enough that a caller with
/// an ordinary deadline of seconds still gets its refusal in time.
pub const CALL_LIMIT: Duration = Duration::from_millis(1500);

/// How long opening a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_connect(Some(CONNECT_LIMIT))
        .timeout_global(Some(CALL_LIMIT))
        .http_status_as_error(false)
        .build()
        .into()
}

/// Reads the JSON body of an answer that says that all is well.
fn parse<T: DeserializeOwned>(mut response: Response<Body>) -> Result<T, Fault> {
    if response.status() != 200 {
        return Err(Fault::Odd(format!("status {}", response.status())));
    }
    let bytes = response
        .body_mut()
        .read_to_vec()
        .map_err(|e| Fault::Silent(e.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|e| Fault::Odd(e.to_string()))
}
