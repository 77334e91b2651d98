//! Outlier detection: slow, silent, failing and unreachable endpoints.
//!
//! Latency is compared with that of the endpoint's peers. If all are slow, the
//! load or the work has changed and ejecting endpoints would make it worse. The
//! comparison uses logarithms, so that one very long call does not decide. A
//! stuck endpoint yields no latency; it is detected by the age of its oldest
//! call without activity.
//!
//! An ejected endpoint is tried with one repeatable call after a pause.

use std::time::{Duration, Instant};

/// Weight of a sample in the moving averages. With exponential service times the mean log ratio
/// then varies by 0.3, well below [`OUTLIER_LOG_RATIO`].
const SAMPLE_WEIGHT: f64 = 0.1;
/// Answers before an endpoint is compared with its peers.
const MIN_SAMPLES: u32 = 6;
/// Excess of the mean log ratio over the peers' from which an endpoint counts as
/// slow: about three times slower.
const OUTLIER_LOG_RATIO: f64 = 1.1;
/// Bound of the log ratio of one call, so that a few calls with far more work
/// don't eject an endpoint.
const MAX_LOG_RATIO: f64 = 2.5;
/// Share of failed calls above which an endpoint is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Refused connections in a row after which an endpoint is ejected.
const MAX_REFUSED_STREAK: u32 = 3;
/// Pause after the first refused connection in a row; it doubles with the next one.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
/// Time of the first ejection; it doubles with each failed trial. Callers may notice a second;
/// the maximum is how long a repaired endpoint may stay unused.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Allowed silence as a multiple of the 99th percentile of the service time. Longer silence is
/// rarely a single slow call.
const SILENCE_FACTOR: f64 = 2.0;
const MIN_SILENCE_SECS: f64 = 0.1;
/// Allowed silence while the service time is unknown.
const DEFAULT_SILENCE_SECS: f64 = 5.0;

/// Whether an endpoint gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Healthy,
    /// Ejected until this instant.
    Ejected(Instant),
    /// The ejection is over; waits for a trial call.
    AwaitingTrial,
    /// A trial call is running.
    Trial,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    pub(super) phase: Phase,
    ejection_time: Duration,
    log_ratio: f64,
    samples: u32,
    failure_rate: f64,
    refused_streak: u32,
    /// When a call there last showed progress or was answered.
    pub(super) last_activity: Option<Instant>,
}

/// Mean log ratio of the healthy endpoints of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peers {
    sum: f64,
    count: u32,
}

impl Peers {
    fn mean(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}

impl Health {
    pub(super) fn new() -> Self {
        Self {
            phase: Phase::Healthy,
            ejection_time: MIN_EJECTION_TIME,
            log_ratio: 0.0,
            samples: 0,
            failure_rate: 0.0,
            refused_streak: 0,
            last_activity: None,
        }
    }

    pub(super) fn is_healthy(&self) -> bool {
        self.phase == Phase::Healthy
    }

    /// Returns the share of calls that failed lately, and how many connections
    /// in a row were refused.
    pub(super) fn faults(&self) -> (f64, u32) {
        (self.failure_rate, self.refused_streak)
    }

    /// Returns its mean latency relative to the expected one.
    pub(super) fn latency_ratio(&self) -> f64 {
        if self.samples < MIN_SAMPLES {
            1.0
        } else {
            self.log_ratio.exp().max(0.5)
        }
    }

    /// Removes its ratio from the peers' mean.
    pub(super) fn leave_peers(&self, peers: &mut Peers) {
        if self.samples >= MIN_SAMPLES {
            peers.sum -= self.log_ratio;
            peers.count -= 1;
        }
    }

    /// Adds its ratio to the peers' mean.
    pub(super) fn join_peers(&self, peers: &mut Peers) {
        if self.samples >= MIN_SAMPLES {
            peers.sum += self.log_ratio;
            peers.count += 1;
        }
    }

    /// Records an answer that took `ratio` times the expected time; returns
    /// whether the endpoint is an outlier among `peers`.
    pub(super) fn record_answer(&mut self, ratio: f64, peers: &Peers) -> bool {
        self.refused_streak = 0;
        self.failure_rate *= 1.0 - SAMPLE_WEIGHT;
        self.samples += 1;
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let sample = ratio.ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        self.log_ratio += weight * (sample - self.log_ratio);
        self.samples >= MIN_SAMPLES
            && peers
                .mean()
                .is_some_and(|mean| self.log_ratio > mean + OUTLIER_LOG_RATIO)
    }

    /// Returns whether a trial call with this ratio was as fast as the peers.
    pub(super) fn passes_trial(ratio: f64, peers: &Peers) -> bool {
        ratio.ln() < peers.mean().unwrap_or(0.0) + OUTLIER_LOG_RATIO
    }

    /// Records a failed call; returns whether too many calls fail.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate);
        self.failure_rate > MAX_FAILURE_RATE
    }

    /// Records a refused connection; returns how long the endpoint must not be tried
    /// again, or `None` if it counts as unreachable.
    pub(super) fn record_refused_connection(&mut self) -> Option<Duration> {
        self.refused_streak += 1;
        let doublings = self.refused_streak - 1;
        (self.refused_streak < MAX_REFUSED_STREAK).then(|| REFUSED_PAUSE * (1 << doublings))
    }

    pub(super) fn eject(&mut self, now: Instant) -> Instant {
        let until = now + self.ejection_time;
        self.ejection_time = (self.ejection_time * 2).min(MAX_EJECTION_TIME);
        self.phase = Phase::Ejected(until);
        until
    }

    /// Resets all statistics; only the next ejection time is kept, halved.
    pub(super) fn readmit(&mut self) {
        *self = Self {
            ejection_time: (self.ejection_time / 2).max(MIN_EJECTION_TIME),
            last_activity: self.last_activity,
            ..Self::new()
        };
    }
}

/// Returns how long an endpoint may be silent, in seconds, while it runs a call
/// with this 99th percentile of the service time.
pub(super) fn silence_limit(p99: Option<f64>) -> f64 {
    p99.map_or(DEFAULT_SILENCE_SECS, |p99| {
        (p99 * SILENCE_FACTOR).max(MIN_SILENCE_SECS)
    })
}
