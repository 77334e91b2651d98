//! Asking entries, one after another, until one has an answer.
//!
//! A question goes to the next entry whenever one has no answer. A change goes
//! on too, under the same command id, and takes effect at most once however
//! many entries work on it. What must be kept apart is what may be said in the
//! end: "refused" only if no entry can have passed the change on. An answer
//! that got lost makes the outcome unknown until an entry knows better, and
//! then a later entry's "the table is down" proves nothing.

use crate::{args::Token, rows::Row};
use hibiscusroad::config::{Command, Edit};
use serde::Deserialize;
use std::{io::ErrorKind, net::SocketAddr, time::Duration};
use ureq::{Agent, Timeout, http::Response};

/// An entry that doesn't take a connection in this time is left for the next.
const CONNECT: Duration = Duration::from_secs(1);

/// Entries work on a change for 5 s; a silent one is given up soon after.
const ANSWER: Duration = Duration::from_secs(8);

/// Rounds over all entries while a change's outcome is unknown.
const ROUNDS: usize = 2;

/// A verdict on the change itself, in which all entries agree.
const CONFLICT: u16 = 409;

/// Whom to ask and how to be known there.
#[derive(Debug)]
pub struct Client {
    entries: Vec<SocketAddr>,
    token: Option<Token>,
    agent: Agent,
}

/// An answer to a question.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Shown {
    /// The rows.
    #[serde(default)]
    pub rows: Vec<Row>,
    /// Whom the entry could not ask.
    #[serde(default)]
    pub lacks: Vec<String>,
    /// The version in force at the entry.
    #[serde(default)]
    pub version: u64,
}

/// Why a question has no answer.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Error {
    /// An entry answered with a refusal.
    #[error("{0}")]
    Refused(String),
    /// No entry answered.
    #[error("no entry answered: {}", .0.join("; "))]
    Nobody(Vec<String>),
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It made this version.
    Done(u64),
    /// It would make this version with these edits.
    Dry(u64, Vec<Edit>),
    /// It surely has no effect.
    Refused(String),
    /// Nobody can say yet.
    Unknown(Vec<String>),
    /// No entry was reached, so it surely has no effect.
    Nobody(Vec<String>),
}

#[derive(Debug, Default, Deserialize)]
struct Reply {
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

struct Answer {
    status: u16,
    body: Vec<u8>,
}

enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// The entry may have got it.
    Lost(String),
}

impl Client {
    /// Creates a client of these entries, asked in this order.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>, token: Option<Token>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT))
            .timeout_global(Some(ANSWER))
            // A pooled connection may have died unseen; a fresh one tells at
            // once whether the entry is there.
            .max_idle_connections(0)
            .proxy(None)
            .build();
        Self {
            entries,
            token,
            agent: config.into(),
        }
    }

    /// Asks for the rows at `path`, below `/v1/`.
    ///
    /// # Errors
    ///
    /// Returns what entries answered instead, if any did.
    pub fn ask(&self, path: &str) -> Result<Shown, Error> {
        let mut problems = Vec::new();
        let mut refusal = None;
        for entry in &self.entries {
            match self.get(*entry, path) {
                Ok(answer) if answer.status == 200 => match serde_json::from_slice(&answer.body) {
                    Ok(shown) => return Ok(shown),
                    Err(error) => problems.push(format!("{entry}: not understood: {error}")),
                },
                Ok(answer) => refusal = Some(answer.detail(*entry)),
                Err(Failure::NotSent(error) | Failure::Lost(error)) => {
                    problems.push(format!("{entry}: {error}"));
                }
            }
        }
        Err(refusal.map_or(Error::Nobody(problems), Error::Refused))
    }

    /// Sends a change until its outcome is certain or all entries were asked.
    #[must_use]
    pub fn change(&self, command: &Command) -> Outcome {
        let mut problems = Vec::new();
        let mut refusal = None;
        let mut unsure = false;
        for _ in 0..ROUNDS {
            for entry in &self.entries {
                let answer = match self.post(*entry, command) {
                    Ok(answer) => answer,
                    Err(failure) => {
                        unsure |= matches!(failure, Failure::Lost(_));
                        let (Failure::NotSent(error) | Failure::Lost(error)) = failure;
                        problems.push(format!("{entry}: {error}"));
                        continue;
                    }
                };
                let reply = answer.reply();
                match reply.outcome.as_str() {
                    "done" => return Outcome::Done(reply.version),
                    "dry" => return Outcome::Dry(reply.version, reply.changes),
                    "refused" if answer.status == CONFLICT => {
                        return Outcome::Refused(answer.detail(*entry));
                    }
                    "refused" => refusal = Some(answer.detail(*entry)),
                    // "unknown", and whatever is no answer of an entry.
                    _ => {
                        unsure = true;
                        problems.push(answer.detail(*entry));
                    }
                }
            }
            if !unsure {
                break;
            }
        }
        match (unsure, refusal) {
            (true, _) => Outcome::Unknown(problems),
            (false, Some(refusal)) => Outcome::Refused(refusal),
            (false, None) => Outcome::Nobody(problems),
        }
    }

    fn get(&self, entry: SocketAddr, path: &str) -> Result<Answer, Failure> {
        let mut request = self.agent.get(format!("http://{entry}/v1/{path}"));
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {}", token.0));
        }
        request
            .call()
            .map_err(|error| failure(&error))
            .and_then(read)
    }

    fn post(&self, entry: SocketAddr, command: &Command) -> Result<Answer, Failure> {
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
            .map_err(|error| failure(&error))
            .and_then(read)
    }
}

impl Answer {
    fn reply(&self) -> Reply {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    fn detail(&self, entry: SocketAddr) -> String {
        let reply = self.reply();
        let text = reply.detail.or(reply.title);
        let text = text.unwrap_or_else(|| format!("status {} without a reason", self.status));
        format!("{entry}: {text}")
    }
}

fn read(mut response: Response<ureq::Body>) -> Result<Answer, Failure> {
    let body = response.body_mut().read_to_vec();
    Ok(Answer {
        status: response.status().as_u16(),
        body: body.map_err(|error| Failure::Lost(error.to_string()))?,
    })
}

/// Says whether a failed exchange can have reached the entry.
///
/// Only what surely comes before the first byte counts as not sent. An
/// unreachable host is no such case: the network may report it while the
/// answer is awaited.
fn failure(error: &ureq::Error) -> Failure {
    let unsent = match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    };
    let text = error.to_string();
    if unsent {
        Failure::NotSent(text)
    } else {
        Failure::Lost(text)
    }
}
