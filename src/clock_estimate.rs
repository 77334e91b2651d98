//! An estimate of the steady clock of another host.
//!
//! An answer holds the clock as of when it was sent, so it is late by the latency of the
//! answer: by milliseconds as a rule, by a quarter of a second from a slow host. The quickest
//! answer gives the best estimate. So a sample is used only if it is ahead of the estimate,
//! or if the estimate is old: where the local clock runs faster than the remote one, the
//! estimate would stay ahead forever.

use std::time::{Duration, Instant};

/// Longest time for which a sample is used; two clocks that drift by one part in ten
/// thousand differ by 3 ms then.
const SAMPLE_TTL: Duration = Duration::from_secs(30);

/// An estimate of the clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockEstimate {
    /// The best sample, and when it arrived.
    sample: Option<(Duration, Instant)>,
}

impl ClockEstimate {
    /// Creates an estimate without samples.
    #[must_use]
    pub const fn new() -> Self {
        Self { sample: None }
    }

    /// Records a sample of the clock that arrived at `at`.
    pub fn record_sample(&mut self, at: Instant, clock: Duration) {
        let is_better = self.sample.is_none_or(|(sample, since)| {
            let age = at.saturating_duration_since(since);
            age > SAMPLE_TTL || clock >= sample + age
        });
        if is_better {
            self.sample = Some((clock, at));
        }
    }

    /// Returns the estimate of the clock at `now`, or `None` without a sample.
    #[must_use]
    pub fn at(&self, now: Instant) -> Option<Duration> {
        let (sample, since) = self.sample?;
        Some(sample + now.saturating_duration_since(since))
    }
}
