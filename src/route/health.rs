//! Which endpoints are slow, silent, failing or gone.
//!
//! An endpoint is judged against its peers, not against a fixed time: when all
//! are slow the load or the work has changed, and ejecting them would only
//! make it worse. Latency is compared as a logarithm, so that one call that
//! took a hundred times as long doesn't decide. Silence is judged by the
//! oldest call that runs without any sign of life, because a stuck endpoint
//! never gives a latency to be compared.
//!
//! An ejected endpoint gets one repeatable call after a pause; its limit then
//! starts again from one.

use std::time::{Duration, Instant};

/// Weight of a sample. With exponential times the mean of logarithms then
/// strays by 0.3; `SLOW` is nearly four times that, and ten times slower is
/// found after seven answers.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Answers before an endpoint is compared.
const MIN_SAMPLES: u32 = 6;
/// Three times slower than the peers, as a logarithm.
const OUTLIER_LOG_RATIO: f64 = 1.1;
/// One call counts as at most twelve times slower: two calls of a hundred times
/// the work must not eject an endpoint.
const MAX_LOG_RATIO: f64 = 2.5;
/// Share of failed calls that ejects; 0.1 weight means about seven in a row.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Refused connections in a row that take an endpoint out.
const MAX_REFUSED_STREAK: u32 = 3;
/// First pause; it doubles with each failed trial. One second is what callers
/// may notice; the longest is how long a repaired endpoint may stay unused.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Silence of so many times the 99th percentile, and at least the least,
/// means stuck: a call that is merely long is rarely alone.
const SILENCE_FACTOR: f64 = 2.0;
const MIN_SILENCE_SECS: f64 = 0.1;
/// Silence allowed before anything is known of the service.
const DEFAULT_SILENCE_SECS: f64 = 5.0;

/// Whether an endpoint gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Healthy,
    /// Ejected until then.
    Ejected(Instant),
    /// The pause is over; waits for a call to try it with.
    AwaitingTrial,
    /// One call tries it.
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
    /// When it last gave a sign of life.
    pub(super) last_activity: Option<Instant>,
}

/// The mean of what the fit endpoints of a service show.
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

    /// Returns how many times slower than expected it answers.
    pub(super) fn latency_ratio(&self) -> f64 {
        if self.samples < MIN_SAMPLES {
            1.0
        } else {
            self.log_ratio.exp().max(0.5)
        }
    }

    /// Takes its part out of what it is compared with.
    pub(super) fn leave_peers(&self, peers: &mut Peers) {
        if self.samples >= MIN_SAMPLES {
            peers.sum -= self.log_ratio;
            peers.count -= 1;
        }
    }

    /// Puts its part into what others are compared with.
    pub(super) fn join_peers(&self, peers: &mut Peers) {
        if self.samples >= MIN_SAMPLES {
            peers.sum += self.log_ratio;
            peers.count += 1;
        }
    }

    /// Takes in an answer that took `ratio` times what was expected; returns
    /// whether the endpoint is an outlier among the others in `peers`.
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

    /// Says whether a trial's answer is like those of the peers.
    pub(super) fn passes_trial(ratio: f64, peers: &Peers) -> bool {
        ratio.ln() < peers.mean().unwrap_or(0.0) + OUTLIER_LOG_RATIO
    }

    /// Takes in a failed call; returns whether they are too many.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate);
        self.failure_rate > MAX_FAILURE_RATE
    }

    /// Takes in a refused connection; returns whether it counts as down.
    pub(super) fn record_refused_connection(&mut self) -> bool {
        self.refused_streak += 1;
        self.refused_streak >= MAX_REFUSED_STREAK
    }

    pub(super) fn eject(&mut self, now: Instant) -> Instant {
        let until = now + self.ejection_time;
        self.ejection_time = (self.ejection_time * 2).min(MAX_EJECTION_TIME);
        self.phase = Phase::Ejected(until);
        until
    }

    /// Lets it back in, with nothing held against it but the length of the
    /// next pause, which halves.
    pub(super) fn readmit(&mut self) {
        *self = Self {
            ejection_time: (self.ejection_time / 2).max(MIN_EJECTION_TIME),
            last_activity: self.last_activity,
            ..Self::new()
        };
    }
}

/// Returns how long an endpoint may be silent with a call of this 99th
/// percentile running, in seconds.
pub(super) fn silence_limit(p99: Option<f64>) -> f64 {
    p99.map_or(DEFAULT_SILENCE_SECS, |p99| {
        (p99 * SILENCE_FACTOR).max(MIN_SILENCE_SECS)
    })
}
