//! Service times of a service, learned for each class and size of call.
//!
//! Admission needs the tail of the service time as well as its mean, so each
//! cell keeps a histogram with logarithmic bins: four per doubling, from 100 us
//! on. Counts are halved at intervals, so that the histogram follows a service
//! that changes. Sizes are powers of two of the tokens; all plain calls of a
//! class share one cell.

use crate::{class::Class, route::spec::Call};
use std::time::Duration;

const BINS: usize = 96;
const BINS_PER_DOUBLING: f64 = 4.0;
/// Lower bound of the first bin.
const FIRST_BIN_SECS: f64 = 100e-6;
/// Sizes: none, then one for each power of two of tokens.
const SIZE_CLASSES: usize = 33;
/// Total count at which all counts are halved: 40 s at 100 calls a second, short enough to
/// follow a change of weights, long enough to hold samples of the slowest 0.1 %.
const MAX_TOTAL: u32 = 4096;
/// Calls after which the estimate is refreshed at the latest. A refresh reads the whole
/// histogram, which costs as much as 20 samples.
const REFRESH_CALLS: u32 = 16;
/// Weights of a sample below and above the baseline. The baseline rises slowly,
/// so that latency added by queueing does not soon pass for service time.
const BASELINE_FALL_WEIGHT: f64 = 0.1;
const BASELINE_RISE_WEIGHT: f64 = BASELINE_FALL_WEIGHT / 32.0;
/// Calls at low load that count in their moving average.
const MAX_LOW_LOAD_SAMPLES: u32 = 512;
/// Calls at low load from which on their average is used; it then varies by 12 %.
const MIN_LOW_LOAD_SAMPLES: u32 = 64;
/// Calls at any load that make the estimate reliable if there are too few at low
/// load. The first to end are the shortest, so fewer would give too low a mean.
const MIN_SAMPLES: u32 = 512;

/// Answers from which on the service time counts as known. If a call in five is slow, for
/// example while connections are opened, most of 16 are with a probability of 1 in 700.
const MIN_KNOWN_ANSWERS: u32 = 16;

/// What a call is expected to take at an endpoint, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Number of answers behind the estimate.
    pub(super) answers: u32,
    pub(super) mean: f64,
    pub(super) p50: f64,
    pub(super) p95: f64,
    pub(super) p99: f64,
    pub(super) p999: f64,
    /// A level near the fast end, which queueing raises only slowly.
    pub(super) baseline: f64,
    /// Mean without load, from calls at low load if there were enough of them.
    pub(super) unloaded: f64,
    /// Whether `unloaded` is known well enough to set limits by it.
    pub(super) reliable: bool,
    /// Whether `unloaded` comes from calls at low load.
    pub(super) from_low_load: bool,
}

impl Estimate {
    /// Returns whether there are enough answers to refuse a call because of its own
    /// service time.
    ///
    /// A refused call yields no answer, so an estimate of a few slow ones would refuse all
    /// calls with short deadlines until others correct it.
    pub(super) fn is_known(&self) -> bool {
        self.answers >= MIN_KNOWN_ANSWERS
    }

    /// Returns the median, or 0 while it is not known.
    pub(super) fn known_median(&self) -> f64 {
        if self.is_known() { self.p50 } else { 0.0 }
    }

    fn scale(self, factor: f64) -> Self {
        Self {
            answers: self.answers,
            mean: self.mean * factor,
            p50: self.p50 * factor,
            p95: self.p95 * factor,
            p99: self.p99 * factor,
            p999: self.p999 * factor,
            baseline: self.baseline * factor,
            unloaded: self.unloaded * factor,
            reliable: false,
            from_low_load: false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    mean: f64,
    count: u32,
}

impl Average {
    fn add(&mut self, value: f64, max_count: u32) {
        self.count = (self.count + 1).min(max_count);
        self.mean += (value - self.mean) / f64::from(self.count);
    }
}

#[derive(Clone, Debug)]
struct TimeStats {
    bins: [u32; BINS],
    total: u32,
    sum: f64,
    log_baseline: f64,
    low_load: Average,
    first_calls: Average,
    since_refresh: u32,
    estimate: Estimate,
}

impl TimeStats {
    fn new(secs: f64) -> Self {
        Self {
            bins: [0; BINS],
            total: 0,
            sum: 0.0,
            log_baseline: secs.ln(),
            low_load: Average::default(),
            first_calls: Average::default(),
            since_refresh: 0,
            estimate: Estimate {
                answers: 1,
                mean: secs,
                p50: secs,
                p95: secs,
                p99: secs,
                p999: secs,
                baseline: secs,
                unloaded: secs,
                reliable: false,
                from_low_load: false,
            },
        }
    }

    fn add(&mut self, secs: f64, low_load: bool) {
        self.add_unloaded(secs, low_load);
        self.bins[bin_index(secs)] += 1;
        self.total += 1;
        self.sum += secs;
        let deviation = secs.ln() - self.log_baseline;
        self.log_baseline += deviation
            * if deviation < 0.0 {
                BASELINE_FALL_WEIGHT
            } else {
                BASELINE_RISE_WEIGHT
            };
        if self.total >= MAX_TOTAL {
            self.halve();
        }
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_CALLS.min(self.total / 16) {
            self.since_refresh = 0;
            self.refresh_estimate();
        }
    }

    /// Averages the calls at low load, and the first calls at any load.
    ///
    /// Under lasting saturation only the latter exist. Their average is then
    /// frozen, because it would otherwise follow the limit derived from it.
    fn add_unloaded(&mut self, secs: f64, low_load: bool) {
        if low_load {
            self.low_load.add(secs, MAX_LOW_LOAD_SAMPLES);
        }
        if self.first_calls.count < MIN_SAMPLES {
            self.first_calls.add(secs, MIN_SAMPLES);
        }
    }

    fn halve(&mut self) {
        let mean = self.sum / f64::from(self.total);
        self.bins.iter_mut().for_each(|count| *count /= 2);
        self.total = self.bins.iter().sum();
        self.sum = mean * f64::from(self.total);
    }

    fn refresh_estimate(&mut self) {
        let targets = [0.5, 0.95, 0.99, 0.999].map(|q| q * f64::from(self.total));
        let mut quantiles = [0.0; 4];
        let mut cumulative = 0;
        let mut next = 0;
        for (index, count) in self.bins.iter().enumerate() {
            cumulative += count;
            while next < targets.len() && f64::from(cumulative) >= targets[next] {
                quantiles[next] = bin_end(index);
                next += 1;
            }
        }
        let from_low_load = self.low_load.count >= MIN_LOW_LOAD_SAMPLES;
        self.estimate = Estimate {
            answers: self.total,
            mean: self.sum / f64::from(self.total.max(1)),
            p50: quantiles[0],
            p95: quantiles[1],
            p99: quantiles[2],
            p999: quantiles[3],
            baseline: self.log_baseline.exp(),
            unloaded: if from_low_load {
                self.low_load.mean
            } else {
                self.first_calls.mean
            },
            reliable: from_low_load || self.first_calls.count >= MIN_SAMPLES,
            from_low_load,
        };
    }
}

/// Learned service times of one service, by class and size.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimes {
    cells: Vec<Option<Box<TimeStats>>>,
}

impl ServiceTimes {
    pub(super) fn new() -> Self {
        Self {
            cells: vec![None; Class::ALL.len() * SIZE_CLASSES],
        }
    }

    pub(super) fn add(&mut self, call: &Call, elapsed: Duration, low_load: bool) {
        let secs = elapsed.as_secs_f64().max(FIRST_BIN_SECS);
        let index = cell_index(call.class, size_class(call.tokens));
        self.cells[index]
            .get_or_insert_with(|| Box::new(TimeStats::new(secs)))
            .add(secs, low_load);
    }

    /// Estimates a call's service time, if necessary from other classes or sizes;
    /// `None` until a call was answered that can stand for it.
    pub(super) fn estimate(&self, call: &Call) -> Option<Estimate> {
        let size = size_class(call.tokens);
        self.get(call.class, size)
            .or_else(|| Class::ALL.iter().find_map(|class| self.get(*class, size)))
            .or_else(|| self.scale_from_nearest(size))
    }

    fn get(&self, class: Class, size: usize) -> Option<Estimate> {
        let cell = self.cells[cell_index(class, size)].as_ref()?;
        Some(cell.estimate)
    }

    /// Scales the estimate of the nearest known size by the ratio of the sizes.
    fn scale_from_nearest(&self, size: usize) -> Option<Estimate> {
        if size == 0 {
            return None;
        }
        let known = (1..SIZE_CLASSES)
            .flat_map(|s| Class::ALL.map(|class| (s, class)))
            .filter_map(|(s, class)| Some((s, self.get(class, s)?)));
        let (near, estimate) = known.min_by_key(|(s, _)| s.abs_diff(size))?;
        Some(estimate.scale(2f64.powf(size as f64 - near as f64)))
    }
}

fn cell_index(class: Class, size: usize) -> usize {
    class.index() * SIZE_CLASSES + size
}

fn size_class(tokens: u32) -> usize {
    tokens.checked_ilog2().map_or(0, |log| log as usize + 1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped first"
)]
fn bin_index(secs: f64) -> usize {
    let doublings = (secs / FIRST_BIN_SECS).log2().max(0.0);
    ((doublings * BINS_PER_DOUBLING) as usize).min(BINS - 1)
}

fn bin_end(index: usize) -> f64 {
    FIRST_BIN_SECS * 2f64.powf((index as f64 + 1.0) / BINS_PER_DOUBLING)
}
