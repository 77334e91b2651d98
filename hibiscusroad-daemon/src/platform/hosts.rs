//! The platform's host list.

use crate::{
    metrics::{self, Metrics},
    platform::{Fault, agent, parse},
};
use serde::Deserialize;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Whether the platform wants to take a host away.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It stays.
    Live,
    /// It will be taken away soon.
    Leaving,
}

/// One process that the list names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// Its place.
    pub place: String,
    /// The role of the process: `entry` or `side`.
    pub role: String,
    /// The service of a side's endpoint; empty for an entry.
    pub service: String,
    /// The name of a side's endpoint, or of the entry.
    pub endpoint: String,
    /// Where the process takes links (side) or operators (entry).
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: State,
}

#[derive(Debug, Deserialize)]
struct Group {
    targets: Vec<SocketAddr>,
    labels: Labels,
}

#[derive(Debug, Deserialize)]
struct Labels {
    #[serde(default)]
    host: String,
    #[serde(default)]
    place: String,
    role: String,
    #[serde(default)]
    service: String,
    #[serde(default)]
    endpoint: String,
    state: State,
}

/// A client of the host list.
///
/// The list lags. What it says is news, never proof: a host that it still calls
/// live may be gone, and one that it doesn't name yet may be serving.
///
/// At 960 processes the list has a quarter of a megabyte, and it seldom changes.
/// A client therefore names the version that it has (`If-None-Match`, RFC 9110),
/// and a service that knows versions answers 304 without a body. One that
/// doesn't sends the whole list, as ever.
#[derive(Clone, Debug)]
pub struct HostList {
    agent: ureq::Agent,
    url: String,
    metrics: Metrics,
    kept: Arc<Mutex<Option<Kept>>>,
}

/// The last list, with the version that the service gave it.
#[derive(Clone, Debug)]
struct Kept {
    tag: String,
    hosts: Vec<Host>,
}

impl HostList {
    /// Creates a client of the list at `url`.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self {
            agent: agent(),
            url: format!("{}/hosts", url.trim_end_matches('/')),
            metrics: Metrics::off(),
            kept: Arc::default(),
        }
    }

    /// Counts the calls that fail.
    #[must_use]
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Fetches the list as it is now.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the list gave no usable answer.
    pub fn fetch(&self) -> Result<Vec<Host>, Fault> {
        let hosts = self.read();
        if hosts.is_err() {
            let part = [("part", "hosts")];
            self.metrics.count(metrics::PLATFORM_FAILED, &part);
        }
        hosts
    }

    fn read(&self) -> Result<Vec<Host>, Fault> {
        let kept = self.kept().clone();
        let mut request = self.agent.get(&self.url);
        if let Some(kept) = &kept {
            request = request.header("If-None-Match", &kept.tag);
        }
        let response = request
            .call()
            .map_err(|e| Fault::Unreachable(e.to_string()))?;
        if let Some(kept) = kept.filter(|_| response.status() == 304) {
            return Ok(kept.hosts);
        }
        let tag = response.headers().get("etag");
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
        let groups: Vec<Group> = parse(response)?;
        let hosts: Vec<Host> = groups.into_iter().flat_map(hosts).collect();
        *self.kept() = tag.map(|tag| Kept {
            tag,
            hosts: hosts.clone(),
        });
        Ok(hosts)
    }

    fn kept(&self) -> MutexGuard<'_, Option<Kept>> {
        // It is replaced whole, so a panic elsewhere can't leave half of it.
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn hosts(group: Group) -> impl Iterator<Item = Host> {
    let labels = group.labels;
    group.targets.into_iter().map(move |address| Host {
        name: labels.host.clone(),
        place: labels.place.clone(),
        role: labels.role.clone(),
        service: labels.service.clone(),
        endpoint: labels.endpoint.clone(),
        address,
        state: labels.state,
    })
}
