//! The host list, which readers see with a delay.

use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// Endpoints that share their labels, in the form of HTTP service discovery.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetGroup {
    /// The addresses, as `IP:PORT`.
    pub targets: Vec<String>,
    /// The labels that these endpoints share.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}

/// The published host lists, as far back as readers may still see them.
#[derive(Debug)]
pub struct Hosts {
    lists: VecDeque<(Instant, Vec<TargetGroup>)>,
    lag: Duration,
}

impl Hosts {
    /// Creates an empty list that readers see `lag` after its publication.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lists: VecDeque::new(),
            lag,
        }
    }

    /// Sets the delay between publication and visibility.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Publishes a list that replaces the previous one.
    pub fn publish(&mut self, now: Instant, list: Vec<TargetGroup>) {
        self.lists.push_back((now, list));
    }

    /// Returns the list that readers see at `now`.
    pub fn visible(&mut self, now: Instant) -> Vec<TargetGroup> {
        let is_visible = |at: Instant, lag: Duration| now.saturating_duration_since(at) >= lag;
        while self.lists.len() > 1 && is_visible(self.lists[1].0, self.lag) {
            self.lists.pop_front();
        }
        match self.lists.front() {
            Some((at, list)) if is_visible(*at, self.lag) => list.clone(),
            _ => Vec::new(),
        }
    }
}
