//! Calls to model engines for reports and orders.

use super::{
    attempt::set,
    destinations::Destinations,
    http::{ConnectionPool, Fault, encode},
};
use crate::logs::WEIGHTS;
use hibiscusroad::roster::Endpoint;
use hibiscusroad_platform::{
    engine::{self, Report},
    header,
    request::Request as Wire,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::Bytes;
use std::{error::Error, rc::Rc, time::Duration};
use tokio::time::timeout;

/// Time limit of a call to an engine, which answers in milliseconds, a slow one in some hundred.
/// The lease of the duties outlasts several such calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of an answer. A report grows with the requests that run, of which an engine has
/// some hundred.
const MAX_ANSWER_BYTES: usize = 256 << 10;

/// Why an engine did not answer a call.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The call was not sent, since the data centre of the engine is evacuated.
    #[error("the data centre is evacuated")]
    Evacuated,
    /// The call was not sent, since the engine is leaving or gone.
    #[error("the engine has left")]
    Left,
    /// The call may have been executed.
    #[error("{0}")]
    Lost(String),
}

/// Calls engines over the connections of this process.
pub(super) struct EngineCalls {
    pool: Rc<ConnectionPool>,
    destinations: Rc<Destinations>,
}

impl EngineCalls {
    pub(super) const fn new(pool: Rc<ConnectionPool>, destinations: Rc<Destinations>) -> Self {
        Self { pool, destinations }
    }

    /// Returns the report of an engine, if it answers and has not been started anew.
    pub(super) async fn fetch_report(&self, endpoint: &Endpoint) -> Option<Report> {
        let (status, body) = self
            .call(endpoint, engine::report_request(&endpoint.id))
            .await
            .ok()?;
        match engine::decode_report(status, &body) {
            Ok(report)
                if report.started_ms.is_some() && report.started_ms != endpoint.started_ms =>
            {
                log::info!(target: WEIGHTS, endpoint = endpoint.id.as_str(),
                    born:? = report.started_ms, known:? = endpoint.started_ms;
                    "A report is of another incarnation of the engine.");
                None
            }
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(target: WEIGHTS, endpoint = endpoint.id.as_str(),
                    error = error.to_string().as_str(); "A report can't be decoded.");
                None
            }
        }
    }

    /// Makes a call, and returns the status and the body of the answer.
    pub(super) async fn call(
        &self,
        endpoint: &Endpoint,
        wire: Wire,
    ) -> Result<(u16, Bytes), CallError> {
        let answer = timeout(CALL_TIMEOUT, self.exchange(endpoint, wire)).await;
        let answer = answer.unwrap_or_else(|_elapsed| Err(CallError::Lost("timed out".to_owned())));
        if let Err(error) = &answer {
            log::info!(target: WEIGHTS, endpoint = endpoint.id.as_str(),
                error = error.to_string().as_str(); "An engine did not answer.");
        }
        answer
    }

    async fn exchange(&self, endpoint: &Endpoint, wire: Wire) -> Result<(u16, Bytes), CallError> {
        let lost = |error: &dyn Error| CallError::Lost(error.to_string());
        let mut request = encode(&wire, endpoint.address).map_err(|error| lost(&error))?;
        let id = format!("{:016x}", rand::random::<u64>());
        set(request.headers_mut(), header::REQUEST, &id);
        let data_centre = endpoint.data_centre.as_str().into();
        let start = || self.destinations.enter(&endpoint.id, &data_centre);
        let sent = self.pool.send_to_endpoint(endpoint.address, request, start);
        let (response, connection) = sent.await.map_err(|fault| match fault {
            Fault::Evacuated => CallError::Evacuated,
            Fault::Left => CallError::Left,
            Fault::Connect(_) | Fault::Broken(_) | Fault::Foreign | Fault::Withheld => lost(&fault),
        })?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|error| lost(&*error))?;
        self.pool.return_to_pool(connection, None);
        Ok((status, body.to_bytes()))
    }
}
