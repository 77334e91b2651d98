//! What the router thinks of an endpoint, for those who ask why.

use crate::route::{EndpointKey, health::Phase, router::Router};
use std::time::Instant;

/// Whether an endpoint gets work, as far as its health goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It does.
    Fit,
    /// It is ejected.
    Ejected,
    /// The pause after its ejection is over, and a call is to try it.
    Ready,
    /// A call tries it.
    Trial,
}

/// One endpoint as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Whether it gets work.
    pub standing: Standing,
    /// Attempts of this entry that run there.
    pub running: u32,
    /// Attempts that may run there.
    pub limit: u32,
    /// Its load for comparison; a call goes to the lower of two.
    pub score: f64,
    /// How many times longer than expected it takes.
    pub slower: f64,
    /// Share of its calls that failed lately.
    pub failing: f64,
    /// Connections in a row that it refused.
    pub refused: u32,
}

impl Router {
    /// Returns whether an endpoint gets work, as far as its health goes.
    #[must_use]
    pub fn standing(&self, endpoint: EndpointKey) -> Option<Standing> {
        let row = self.endpoints.get(endpoint)?;
        Some(match row.health.phase {
            Phase::Healthy => Standing::Fit,
            Phase::Ejected(_) => Standing::Ejected,
            Phase::AwaitingTrial => Standing::Ready,
            Phase::Trial => Standing::Trial,
        })
    }

    /// Returns what the router thinks of an endpoint.
    #[must_use]
    pub fn view(&self, now: Instant, endpoint: EndpointKey) -> Option<View> {
        let row = self.endpoints.get(endpoint)?;
        let (failing, refused) = row.health.faults();
        Some(View {
            standing: self.standing(endpoint)?,
            running: row.running,
            limit: row.limit.get(),
            score: row.score(now),
            slower: row.health.latency_ratio(),
            failing,
            refused,
        })
    }
}
