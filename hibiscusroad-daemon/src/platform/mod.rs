//! Clients of the platform's table service and host list, for entries and sidecars.
//!
//! Only this module knows the wire format of these services. Calls block, so they run on
//! threads of their own, never on the thread that owns the state.
//!
//! - Every call has a timeout, and [`Backoff`] spaces out retries.
//! - The response to a write may be lost although the write took effect. [`Outcome`] has a
//!   variant for this case.
//! - A [`Budget`] limits the rate at which all processes together send requests.

mod backoff;
mod budget;
mod hosts;
pub mod leases;
mod table;
mod wire;

pub use self::{
    backoff::Backoff,
    budget::Budget,
    hosts::{Host, HostList, HostState},
    table::{Condition, Op, Outcome, PlatformError, Row, Table, Transaction},
};

use crate::http_client;
use serde::de::DeserializeOwned;
use std::time::Duration;
use ureq::{Body, http::Response};

/// Timeout of a call, after which its outcome is unknown.
///
/// It is shorter than usual deadlines, so that callers are still refused in time.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

fn agent() -> ureq::Agent {
    http_client::config()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(CALL_TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into()
}

/// Decodes the JSON body of a response with the status 200.
fn parse<T: DeserializeOwned>(mut response: Response<Body>) -> Result<T, PlatformError> {
    if response.status() != 200 {
        return Err(PlatformError::InvalidResponse(format!(
            "status {}",
            response.status()
        )));
    }
    let bytes = response
        .body_mut()
        .read_to_vec()
        .map_err(|e| PlatformError::NoResponse(e.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|e| PlatformError::InvalidResponse(e.to_string()))
}
