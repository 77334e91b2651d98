//! The router's view of an endpoint, for diagnostics.

use crate::route::{EndpointKey, health::Phase, router::Router};
use std::time::Instant;

/// Health state of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// It gets calls.
    Healthy,
    /// It is ejected.
    Ejected,
    /// Its ejection is over and it waits for a trial call.
    AwaitingTrial,
    /// A trial call is running.
    Trial,
}

/// One endpoint as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointView {
    /// Its health state.
    pub health: HealthState,
    /// Running attempts of this entry.
    pub running: u32,
    /// Concurrency limit of this entry.
    pub limit: u32,
    /// Load relative to limit and speed; a call goes to the lower of two.
    pub score: f64,
    /// Mean latency relative to the expected one.
    pub latency_ratio: f64,
    /// Share of recent calls that failed.
    pub failure_rate: f64,
    /// Refused connections in a row.
    pub refused_streak: u32,
}

impl Router {
    /// Returns the health state of an endpoint, if it is known.
    #[must_use]
    pub fn health_state(&self, endpoint: EndpointKey) -> Option<HealthState> {
        let row = self.endpoints.get(endpoint)?;
        Some(match row.health.phase {
            Phase::Healthy => HealthState::Healthy,
            Phase::Ejected(_) => HealthState::Ejected,
            Phase::AwaitingTrial => HealthState::AwaitingTrial,
            Phase::Trial => HealthState::Trial,
        })
    }

    /// Returns the router's view of an endpoint, if it is known.
    #[must_use]
    pub fn endpoint_view(&self, now: Instant, endpoint: EndpointKey) -> Option<EndpointView> {
        let row = self.endpoints.get(endpoint)?;
        let (failure_rate, refused_streak) = row.health.faults();
        Some(EndpointView {
            health: self.health_state(endpoint)?,
            running: row.running,
            limit: row.limit.get(),
            score: self.rank(now, endpoint).score,
            latency_ratio: row.health.latency_ratio(),
            failure_rate,
            refused_streak,
        })
    }
}
