//! Watching which configuration each entry has in force.

use crate::deployment::Deployment;
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

const POLL: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_millis(800);

/// The configuration version of one process at one time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Seen {
    /// When the question was sent, counted from the start of the load.
    pub asked: Duration,
    /// When the answer was there.
    pub told: Duration,
    /// The version; 0 is none.
    pub version: u64,
}

/// Asks one entry again and again.
#[derive(Debug)]
pub(super) struct Watcher {
    address: SocketAddr,
    agent: ureq::Agent,
}

impl Watcher {
    pub(super) fn all(deployment: &Deployment) -> Vec<Self> {
        let entries = deployment.entries.iter();
        entries
            .map(|entry| Self::new(entry.daemon.operators))
            .collect()
    }

    fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(LIMIT))
            .proxy(None)
            .build();
        Self {
            address,
            agent: config.into(),
        }
    }

    pub(super) fn run(&self, start: Instant, over: &AtomicBool) -> Vec<Seen> {
        let mut seen = Vec::new();
        while !over.load(Ordering::Relaxed) {
            let asked = start.elapsed();
            if let Some(version) = self.ask() {
                let told = start.elapsed();
                seen.push(Seen {
                    asked,
                    told,
                    version,
                });
            }
            thread::sleep(POLL);
        }
        seen
    }

    fn ask(&self) -> Option<u64> {
        let url = format!("http://{}/v1/show/entries", self.address);
        let mut answer = self.agent.get(url).call().ok()?;
        let text = answer.body_mut().read_to_string().ok()?;
        let value: Value = serde_json::from_str(&text).ok()?;
        value["version"].as_u64()
    }
}
