//! Client of the platform's host list.

use crate::{
    metrics::{self, Metrics},
    platform::{PlatformError, agent, parse},
};
use serde::Deserialize;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// State of a host in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The platform will remove the host soon.
    Leaving,
}

/// One process in the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Role of the process: `entry` or `side`.
    pub role: String,
    /// Service of a sidecar's endpoint; empty for an entry.
    pub service: String,
    /// Name of a sidecar's endpoint, or of the entry.
    pub endpoint: String,
    /// Listening address for streams (sidecar) or operators (entry).
    pub address: SocketAddr,
    /// State of the host.
    pub state: HostState,
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
    #[serde(default, rename = "place")]
    data_centre: String,
    role: String,
    #[serde(default)]
    service: String,
    #[serde(default)]
    endpoint: String,
    state: HostState,
}

/// Client of the host list.
///
/// The list may be outdated: a host listed as live may be gone, and one that isn't listed
/// yet may be serving.
///
/// The list is large and rarely changes, so the client sends the entity tag of its copy
/// (`If-None-Match`, RFC 9110). A service without support for entity tags returns the
/// whole list each time.
#[derive(Clone, Debug)]
pub struct HostList {
    agent: ureq::Agent,
    url: String,
    metrics: Metrics,
    cached: Arc<Mutex<Option<CachedList>>>,
}

/// The last list and its entity tag.
#[derive(Clone, Debug)]
struct CachedList {
    etag: String,
    hosts: Vec<Host>,
}

impl HostList {
    /// Creates a client of the service at `url`.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self {
            agent: agent(),
            url: format!("{}/hosts", url.trim_end_matches('/')),
            metrics: Metrics::off(),
            cached: Arc::default(),
        }
    }

    /// Sets the client for metrics, which counts failed requests.
    #[must_use]
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Fetches the current list.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be reached or the response is invalid.
    pub fn fetch(&self) -> Result<Vec<Host>, PlatformError> {
        let hosts = self.fetch_cached();
        if hosts.is_err() {
            let part = [("part", "hosts")];
            self.metrics.count(metrics::PLATFORM_FAILED, &part);
        }
        hosts
    }

    fn fetch_cached(&self) -> Result<Vec<Host>, PlatformError> {
        let cached = self.lock_cache().clone();
        let mut request = self.agent.get(&self.url);
        if let Some(cached) = &cached {
            request = request.header("If-None-Match", &cached.etag);
        }
        let response = request
            .call()
            .map_err(|e| PlatformError::Unreachable(e.to_string()))?;
        if let Some(cached) = cached.filter(|_| response.status() == 304) {
            return Ok(cached.hosts);
        }
        let etag = response.headers().get("etag");
        let etag = etag.and_then(|etag| etag.to_str().ok()).map(str::to_owned);
        let groups: Vec<Group> = parse(response)?;
        let hosts: Vec<Host> = groups.into_iter().flat_map(group_hosts).collect();
        *self.lock_cache() = etag.map(|etag| CachedList {
            etag,
            hosts: hosts.clone(),
        });
        Ok(hosts)
    }

    fn lock_cache(&self) -> MutexGuard<'_, Option<CachedList>> {
        // The value is only replaced as a whole, so a panic can't leave it inconsistent.
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn group_hosts(group: Group) -> impl Iterator<Item = Host> {
    let labels = group.labels;
    group.targets.into_iter().map(move |address| Host {
        name: labels.host.clone(),
        data_centre: labels.data_centre.clone(),
        role: labels.role.clone(),
        service: labels.service.clone(),
        endpoint: labels.endpoint.clone(),
        address,
        state: labels.state,
    })
}
