//! A client that fails over between entries.
//!
//! A query is retried at the next entry if one doesn't response. So is a change:
//! its command id makes it take effect at most once, however many entries
//! process it. A change is reported as refused only if no entry can have
//! applied it. Once a response has been lost the outcome is unknown until an
//! entry confirms it; a later entry's "the table is down" speaks only for that
//! entry's own attempt.

use crate::{args::Token, rows::Row};
use hibiscusroad::config::{Command, Edit};
use serde::Deserialize;
use std::{io::ErrorKind, net::SocketAddr, time::Duration};
use ureq::{Agent, Timeout, http::Response};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longer than the 5 s for which an entry processes a change.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// How often all entries are tried while the outcome of a change is unknown.
const MAX_ROUNDS: usize = 2;

/// The status of a refusal that every entry would give for the same change.
const STATUS_CONFLICT: u16 = 409;

/// A client of the entries' HTTP API for operators.
#[derive(Debug)]
pub struct Client {
    entries: Vec<SocketAddr>,
    token: Option<Token>,
    agent: Agent,
}

/// An entry's response to a query.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct QueryResponse {
    /// The rows.
    #[serde(default)]
    pub rows: Vec<Row>,
    /// The entries and sidecars whose rows are missing.
    #[serde(default, rename = "lacks")]
    pub missing_sources: Vec<String>,
    /// The configuration version in force at the entry.
    #[serde(default)]
    pub version: u64,
}

/// An error of a query.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Error {
    /// An entry refused the query.
    #[error("{0}")]
    Refused(String),
    /// No entry answered.
    #[error("no entry answered: {}", .0.join("; "))]
    Unreachable(Vec<String>),
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The change was applied and created this version.
    Done(u64),
    /// The change would create this version with these edits.
    DryRun(u64, Vec<Edit>),
    /// The change was not applied.
    Refused(String),
    /// The change may or may not have been applied.
    Unknown(Vec<String>),
    /// No entry was reached, so the change was not applied.
    Unreachable(Vec<String>),
}

#[derive(Debug, Default, Deserialize)]
struct ChangeReply {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    detail: Option<String>,
    #[serde(default)]
    title: Option<String>,
    #[serde(default)]
    changes: Vec<Edit>,
}

struct RawResponse {
    status: u16,
    body: Vec<u8>,
}

enum Failure {
    /// No byte of the request was sent.
    NotSent(String),
    /// The entry may have received the request.
    MaybeSent(String),
}

impl Client {
    /// Creates a client that tries `entries` in order.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>, token: Option<Token>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(REQUEST_TIMEOUT))
            // A request on a stale pooled connection could be lost, while a
            // failed connect proves that nothing was sent.
            .max_idle_connections(0)
            // Nor does a failed connect to the target of a redirect prove it.
            .max_redirects(0)
            .proxy(None)
            .build();
        Self {
            entries,
            token,
            agent: config.into(),
        }
    }

    /// Queries the rows at `path`, relative to `/v1/`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] if any entry responded with an error, and
    /// [`Error::Unreachable`] otherwise.
    pub fn query(&self, path: &str) -> Result<QueryResponse, Error> {
        let mut problems = Vec::new();
        let mut refusal = None;
        for entry in &self.entries {
            match self.get(*entry, path) {
                Ok(response) if response.status == 200 => {
                    match serde_json::from_slice(&response.body) {
                        Ok(response) => return Ok(response),
                        Err(error) => problems.push(format!("{entry}: invalid response: {error}")),
                    }
                }
                Ok(response) => refusal = Some(response.detail(*entry)),
                Err(Failure::NotSent(error) | Failure::MaybeSent(error)) => {
                    problems.push(format!("{entry}: {error}"));
                }
            }
        }
        Err(refusal.map_or(Error::Unreachable(problems), Error::Refused))
    }

    /// Submits a change until its outcome is known or the attempts are used up.
    #[must_use]
    pub fn submit(&self, command: &Command) -> Outcome {
        let mut problems = Vec::new();
        let mut refusal = None;
        let mut maybe_applied = false;
        for _ in 0..MAX_ROUNDS {
            for entry in &self.entries {
                let response = match self.post(*entry, command) {
                    Ok(response) => response,
                    Err(failure) => {
                        maybe_applied |= matches!(failure, Failure::MaybeSent(_));
                        let (Failure::NotSent(error) | Failure::MaybeSent(error)) = failure;
                        problems.push(format!("{entry}: {error}"));
                        continue;
                    }
                };
                let reply = response.parse_reply();
                match reply.outcome.as_str() {
                    "done" => return Outcome::Done(reply.version),
                    "dry" => return Outcome::DryRun(reply.version, reply.changes),
                    "refused" if response.status == STATUS_CONFLICT => {
                        return Outcome::Refused(response.detail(*entry));
                    }
                    "refused" => refusal = Some(response.detail(*entry)),
                    // "unknown", or not a response of an entry.
                    _ => {
                        maybe_applied = true;
                        problems.push(response.detail(*entry));
                    }
                }
            }
            if !maybe_applied {
                break;
            }
        }
        match (maybe_applied, refusal) {
            (true, _) => Outcome::Unknown(problems),
            (false, Some(refusal)) => Outcome::Refused(refusal),
            (false, None) => Outcome::Unreachable(problems),
        }
    }

    fn get(&self, entry: SocketAddr, path: &str) -> Result<RawResponse, Failure> {
        let mut request = self.agent.get(format!("http://{entry}/v1/{path}"));
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {}", token.0));
        }
        request
            .call()
            .map_err(|error| classify_error(&error))
            .and_then(read_response)
    }

    fn post(&self, entry: SocketAddr, command: &Command) -> Result<RawResponse, Failure> {
        let body = serde_json::to_vec(command).map_err(|e| Failure::NotSent(e.to_string()))?;
        let mut request = self
            .agent
            .post(format!("http://{entry}/v1/change"))
            .header("content-type", "application/json");
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {}", token.0));
        }
        request
            .send(&body)
            .map_err(|error| classify_error(&error))
            .and_then(read_response)
    }
}

impl RawResponse {
    fn parse_reply(&self) -> ChangeReply {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    fn detail(&self, entry: SocketAddr) -> String {
        let reply = self.parse_reply();
        let text = reply.detail.or(reply.title);
        let text = text.unwrap_or_else(|| format!("status {} without a detail", self.status));
        format!("{entry}: {text}")
    }
}

fn read_response(mut response: Response<ureq::Body>) -> Result<RawResponse, Failure> {
    let body = response.body_mut().read_to_vec();
    Ok(RawResponse {
        status: response.status().as_u16(),
        body: body.map_err(|error| Failure::MaybeSent(error.to_string()))?,
    })
}

/// Classifies an error by whether the request can have reached the entry.
///
/// Only errors that always precede the first byte count as not sent. "Host
/// unreachable" does not: the network may report it while the client waits for
/// the response.
fn classify_error(error: &ureq::Error) -> Failure {
    let is_unsent = match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    };
    let text = error.to_string();
    if is_unsent {
        Failure::NotSent(text)
    } else {
        Failure::MaybeSent(text)
    }
}
