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
const WEIGHT: f64 = 0.1;
/// Answers before an endpoint is compared.
const SAMPLES: u32 = 6;
/// Three times slower than the peers, as a logarithm.
const SLOW: f64 = 1.1;
/// One call counts as at most twelve times slower: two calls of a hundred times
/// the work must not eject an endpoint.
const CLIP: f64 = 2.5;
/// Share of failed calls that ejects; 0.1 weight means about seven in a row.
const FAILING: f64 = 0.5;
/// Refused connections in a row that take an endpoint out.
const DOWN: u32 = 3;
/// First pause; it doubles with each failed trial. One second is what callers
/// may notice; the longest is how long a repaired endpoint may stay unused.
const PAUSE: Duration = Duration::from_secs(1);
const PAUSE_MOST: Duration = Duration::from_secs(30);
/// Silence of so many times the 99th percentile, and at least the least,
/// means stuck: a call that is merely long is rarely alone.
const SILENT: f64 = 2.0;
const SILENT_LEAST: f64 = 0.1;
/// Silence allowed before anything is known of the service.
const SILENT_UNKNOWN: f64 = 5.0;

/// Whether an endpoint gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Fit,
    /// Ejected until then.
    Out(Instant),
    /// The pause is over; waits for a call to try it with.
    Ready,
    /// One call tries it.
    Trial,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    pub(super) phase: Phase,
    pause: Duration,
    slow: f64,
    samples: u32,
    failing: f64,
    down: u32,
    /// When it last gave a sign of life.
    pub(super) life: Option<Instant>,
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
            phase: Phase::Fit,
            pause: PAUSE,
            slow: 0.0,
            samples: 0,
            failing: 0.0,
            down: 0,
            life: None,
        }
    }

    pub(super) fn fit(&self) -> bool {
        self.phase == Phase::Fit
    }

    /// Returns the share of calls that failed lately, and how many connections
    /// in a row were refused.
    pub(super) fn faults(&self) -> (f64, u32) {
        (self.failing, self.down)
    }

    /// Returns how many times slower than expected it answers.
    pub(super) fn factor(&self) -> f64 {
        if self.samples < SAMPLES {
            1.0
        } else {
            self.slow.exp().max(0.5)
        }
    }

    /// Takes its part out of what it is compared with.
    pub(super) fn leave(&self, peers: &mut Peers) {
        if self.samples >= SAMPLES {
            peers.sum -= self.slow;
            peers.count -= 1;
        }
    }

    /// Puts its part into what others are compared with.
    pub(super) fn join(&self, peers: &mut Peers) {
        if self.samples >= SAMPLES {
            peers.sum += self.slow;
            peers.count += 1;
        }
    }

    /// Takes in an answer that took `ratio` times what was expected; returns
    /// whether the endpoint is an outlier among the others in `peers`.
    pub(super) fn answered(&mut self, ratio: f64, peers: &Peers) -> bool {
        self.down = 0;
        self.failing *= 1.0 - WEIGHT;
        self.samples += 1;
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        let sample = ratio.ln().clamp(-CLIP, CLIP);
        self.slow += weight * (sample - self.slow);
        self.samples >= SAMPLES && peers.mean().is_some_and(|mean| self.slow > mean + SLOW)
    }

    /// Says whether a trial's answer is like those of the peers.
    pub(super) fn passes(ratio: f64, peers: &Peers) -> bool {
        ratio.ln() < peers.mean().unwrap_or(0.0) + SLOW
    }

    /// Takes in a failed call; returns whether they are too many.
    pub(super) fn failed(&mut self) -> bool {
        self.failing += WEIGHT * (1.0 - self.failing);
        self.failing > FAILING
    }

    /// Takes in a refused connection; returns whether it counts as down.
    pub(super) fn unreached(&mut self) -> bool {
        self.down += 1;
        self.down >= DOWN
    }

    pub(super) fn eject(&mut self, now: Instant) -> Instant {
        let until = now + self.pause;
        self.pause = (self.pause * 2).min(PAUSE_MOST);
        self.phase = Phase::Out(until);
        until
    }

    /// Lets it back in, with nothing held against it but the length of the
    /// next pause, which halves.
    pub(super) fn readmit(&mut self) {
        *self = Self {
            pause: (self.pause / 2).max(PAUSE),
            life: self.life,
            ..Self::new()
        };
    }
}

/// Returns how long an endpoint may be silent with a call of this 99th
/// percentile running, in seconds.
pub(super) fn silence(p99: Option<f64>) -> f64 {
    p99.map_or(SILENT_UNKNOWN, |p99| (p99 * SILENT).max(SILENT_LEAST))
}
