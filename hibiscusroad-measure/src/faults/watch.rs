//! Polling the version of the configuration that each entry has in force.

use crate::deployment::Deployment;
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// The configuration version that an entry reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionSample {
    /// When the request was sent, counted from the start of the load.
    pub requested_at: Duration,
    /// When the answer was received, counted from the start of the load.
    pub answered_at: Duration,
    /// The version, or 0 if no configuration is in force.
    pub version: u64,
}

/// Polls one entry for its configuration version.
#[derive(Debug)]
pub(super) struct Watcher {
    address: SocketAddr,
    agent: ureq::Agent,
}

impl Watcher {
    pub(super) fn for_entries(deployment: &Deployment) -> Vec<Self> {
        let entries = deployment.entries.iter();
        entries
            .map(|entry| Self::new(entry.daemon.operators))
            .collect()
    }

    fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .proxy(None)
            .build();
        Self {
            address,
            agent: config.into(),
        }
    }

    pub(super) fn run(&self, start: Instant, finished: &AtomicBool) -> Vec<VersionSample> {
        let mut seen = Vec::new();
        while !finished.load(Ordering::Relaxed) {
            let requested_at = start.elapsed();
            if let Some(version) = self.fetch_version() {
                let answered_at = start.elapsed();
                seen.push(VersionSample {
                    requested_at,
                    answered_at,
                    version,
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
        seen
    }

    fn fetch_version(&self) -> Option<u64> {
        let url = format!("http://{}/v1/show/entries", self.address);
        let mut response = self.agent.get(url).call().ok()?;
        let text = response.body_mut().read_to_string().ok()?;
        let value: Value = serde_json::from_str(&text).ok()?;
        value["version"].as_u64()
    }
}
