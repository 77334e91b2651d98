//! The times in which endpoints are leaving.

use std::time::{Duration, Instant};

/// A time in which an endpoint is leaving.
#[derive(Clone, Debug)]
pub(super) struct Departure {
    /// The id of the endpoint.
    endpoint: String,
    /// When the store had accepted it.
    pub(super) from: Instant,
    /// When the endpoint decided to stay.
    until: Option<Instant>,
}

/// The departures of endpoints.
#[derive(Debug, Default)]
pub(super) struct Departures(Vec<Departure>);

impl Departures {
    pub(super) fn all(&self) -> &[Departure] {
        &self.0
    }

    /// Records that the store has accepted that an endpoint leaves.
    pub(super) fn record(&mut self, endpoint: &str) {
        if self
            .0
            .iter()
            .any(|it| it.endpoint == endpoint && it.until.is_none())
        {
            return;
        }
        self.0.push(Departure {
            endpoint: endpoint.to_owned(),
            from: Instant::now(),
            until: None,
        });
    }

    /// Records that an endpoint stays after all.
    pub(super) fn end(&mut self, endpoint: &str) {
        let mut open = self.0.iter_mut().filter(|it| it.until.is_none());
        if let Some(departure) = open.find(|it| it.endpoint == endpoint) {
            departure.until = Some(Instant::now());
        }
    }
}

impl Departure {
    /// Returns how long an endpoint had been leaving at a moment; `None` if it was not.
    pub(super) fn duration_at(&self, endpoint: &str, at: Instant) -> Option<Duration> {
        let is_open = self.until.is_none_or(|until| at < until);
        let is_leaving = endpoint == self.endpoint && is_open && at > self.from;
        is_leaving.then(|| at - self.from)
    }
}
