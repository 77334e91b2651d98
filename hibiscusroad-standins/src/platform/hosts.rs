//! The host list, as it was some time ago.

use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// Endpoints that share their labels, in the form of HTTP service discovery.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Addresses, each IP:PORT.
    pub targets: Vec<String>,
    /// What is known of them.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}

/// The lists that were put, as far back as the lag reaches.
#[derive(Debug)]
pub struct Hosts {
    lists: VecDeque<(Instant, Vec<Target>)>,
    lag: Duration,
}

impl Hosts {
    /// Creates an empty list that is read `lag` late.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lists: VecDeque::new(),
            lag,
        }
    }

    /// Sets how late the list is read.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the list.
    pub fn put(&mut self, now: Instant, list: Vec<Target>) {
        self.lists.push_back((now, list));
    }

    /// Returns the list that is seen at `now`.
    pub fn get(&mut self, now: Instant) -> Vec<Target> {
        let seen = |at: Instant, lag: Duration| now.saturating_duration_since(at) >= lag;
        while self.lists.len() > 1 && seen(self.lists[1].0, self.lag) {
            self.lists.pop_front();
        }
        match self.lists.front() {
            Some((at, list)) if seen(*at, self.lag) => list.clone(),
            _ => Vec::new(),
        }
    }
}
