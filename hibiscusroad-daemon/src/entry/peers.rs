//! Queries to the other entries.
//!
//! An entry is connected to a subset of the sidecars and knows only its own
//! callers. An operator's query is therefore forwarded to the other entries, with
//! the operator's token, so that it returns nothing that the operator couldn't
//! query directly. A forwarded query is answered locally, so it doesn't loop.
//!
//! A few entries are queried at a time, and all of it ends after [`TOTAL_TIMEOUT`]: an operator is
//! better served by an answer that names whom it lacks than by a wait.

use crate::{
    entry::operators::{Peer, QueryResponse, Row},
    http_client,
};
use serde::Deserialize;
use std::{
    thread,
    time::{Duration, Instant},
};
use ureq::Agent;

/// Query string that marks a forwarded query.
pub const LOCAL_ONLY_QUERY: &str = "only=self";

/// Entries that are queried concurrently.
const MAX_CONCURRENT_PEERS: usize = 8;

/// Timeout of one entry's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which no more entries are queried.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the other entries.
#[derive(Clone, Debug)]
pub struct PeerClient {
    agent: Agent,
}

/// The answers of other entries.
#[derive(Clone, Debug, Default)]
pub struct PeerAnswers {
    /// The answers, in the order of the entries.
    pub shown: Vec<QueryResponse>,
    /// The entries that gave no answer.
    pub missing: Vec<String>,
}

#[derive(Deserialize)]
struct Body {
    rows: Vec<Row>,
    version: u64,
}

impl Default for PeerClient {
    fn default() -> Self {
        Self::new()
    }
}

impl PeerClient {
    /// Creates a client of the other entries.
    #[must_use]
    pub fn new() -> Self {
        let agent = http_client::config()
            .timeout_global(Some(PEER_TIMEOUT))
            .max_idle_connections(0)
            .proxy(None)
            .build()
            .into();
        Self { agent }
    }

    /// Queries `peers` for the rows at `path`, below `/v1/`, until `enough` returns
    /// true for the latest answers.
    ///
    /// `token` is the value of the operator's `Authorization` header.
    pub fn query(
        &self,
        peers: &[Peer],
        path: &str,
        token: Option<&str>,
        mut enough: impl FnMut(&[QueryResponse]) -> bool,
    ) -> PeerAnswers {
        let deadline = Instant::now() + TOTAL_TIMEOUT;
        let mut answers = PeerAnswers::default();
        let mut groups = peers.chunks(MAX_CONCURRENT_PEERS);
        for group in groups.by_ref() {
            let first = answers.shown.len();
            for (peer, shown) in group.iter().zip(self.query_group(group, path, token)) {
                match shown {
                    Some(shown) => answers.shown.push(shown),
                    None => answers.missing.push(peer.name.clone()),
                }
            }
            if enough(&answers.shown[first..]) {
                return answers;
            }
            if Instant::now() > deadline {
                break;
            }
        }
        let skipped = groups.flatten().map(|peer| peer.name.clone());
        answers.missing.extend(skipped);
        answers
    }

    fn query_group(
        &self,
        peers: &[Peer],
        path: &str,
        token: Option<&str>,
    ) -> Vec<Option<QueryResponse>> {
        thread::scope(|scope| {
            let threads: Vec<_> = peers
                .iter()
                .map(|peer| scope.spawn(move || self.query_peer(peer, path, token)))
                .collect();
            let answers = threads
                .into_iter()
                .map(|thread| thread.join().ok().flatten());
            answers.collect()
        })
    }

    fn query_peer(&self, peer: &Peer, path: &str, token: Option<&str>) -> Option<QueryResponse> {
        let url = format!("http://{}/v1/{path}?{LOCAL_ONLY_QUERY}", peer.address);
        let mut request = self.agent.get(url);
        if let Some(token) = token {
            request = request.header("authorization", token);
        }
        let response = request
            .call()
            .and_then(|mut response| response.body_mut().read_to_vec());
        let body = match response {
            Ok(bytes) => serde_json::from_slice::<Body>(&bytes).ok()?,
            Err(error) => {
                log::debug!(target: "operators", "{} gave no answer: {error}.", peer.name);
                return None;
            }
        };
        Some(QueryResponse {
            rows: body.rows,
            version: body.version,
            ..QueryResponse::default()
        })
    }
}
