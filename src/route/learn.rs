//! What calls of a service take, learned for each class and size.
//!
//! Admission needs the tail of the service time, not only its mean, so each
//! cell keeps a histogram with logarithmic bins: 24 doublings from 100 us on,
//! four bins each, an error of at most 19 per cent. Counts are halved now and
//! then, so that the histogram follows a service that changes. Sizes are
//! powers of two of the tokens; a plain call has no size and all sizes of work
//! share one cell, whose tail then tells of the long ones.

use crate::{class::Class, route::spec::Call};
use std::time::Duration;

const BINS: usize = 96;
const BINS_PER_DOUBLING: f64 = 4.0;
const LEAST: f64 = 100e-6;
/// Sizes: none, then one for each power of two of tokens.
const SIZES: usize = 33;
/// Counts are halved here: at 100 calls a second the memory is 40 s, short
/// enough to follow new weights, long enough to hold some of the last 0.1 %.
const FULL: u32 = 4096;
/// The quantiles are drawn again after so many calls (at least 1 in 16 of what
/// the cell holds): drawing them costs as much as 20 other samples.
const REDRAW: u32 = 16;
/// The low mark falls at this weight and rises at 1/32 of it: latency that
/// queues add must not pass for the service's nature within minutes.
const FALL: f64 = 0.1;
const RISE: f64 = FALL / 32.0;
/// Calls that met few others that are averaged: strays by 3 per cent.
const USUAL: u32 = 512;
/// So many calls that met few others are enough: strays by 12 per cent.
const SETTLED: u32 = 64;
/// Calls that will do if too few met few others. The first to end are the
/// shortest: fewer calls would give too short a time.
const SURE: u32 = 512;

/// What a call is expected to take at an endpoint, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    pub(super) mean: f64,
    pub(super) p50: f64,
    pub(super) p95: f64,
    pub(super) p99: f64,
    pub(super) p999: f64,
    /// A level near the fast end, that queues move only slowly.
    pub(super) low: f64,
    /// The mean of calls that met few others at their endpoint.
    pub(super) usual: f64,
    /// Whether that is known well enough to set limits by it.
    pub(super) sure: bool,
    /// Whether it comes from calls that met few others.
    pub(super) settled: bool,
}

impl Estimate {
    fn scale(self, by: f64) -> Self {
        Self {
            mean: self.mean * by,
            p50: self.p50 * by,
            p95: self.p95 * by,
            p99: self.p99 * by,
            p999: self.p999 * by,
            low: self.low * by,
            usual: self.usual * by,
            sure: false,
            settled: false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    mean: f64,
    count: u32,
}

impl Average {
    fn add(&mut self, value: f64, most: u32) {
        self.count = (self.count + 1).min(most);
        self.mean += (value - self.mean) / f64::from(self.count);
    }
}

#[derive(Clone, Debug)]
struct Cell {
    bins: [u32; BINS],
    total: u32,
    sum: f64,
    low: f64,
    alone: Average,
    all: Average,
    stale: u32,
    drawn: Estimate,
}

impl Cell {
    fn new(secs: f64) -> Self {
        Self {
            bins: [0; BINS],
            total: 0,
            sum: 0.0,
            low: secs.ln(),
            alone: Average::default(),
            all: Average::default(),
            stale: 0,
            drawn: Estimate {
                mean: secs,
                p50: secs,
                p95: secs,
                p99: secs,
                p999: secs,
                low: secs,
                usual: secs,
                sure: false,
                settled: false,
            },
        }
    }

    fn add(&mut self, secs: f64, alone: bool) {
        self.add_usual(secs, alone);
        self.bins[bin(secs)] += 1;
        self.total += 1;
        self.sum += secs;
        let off = secs.ln() - self.low;
        self.low += off * if off < 0.0 { FALL } else { RISE };
        if self.total >= FULL {
            self.halve();
        }
        self.stale += 1;
        if self.stale >= REDRAW.min(self.total / 16) {
            self.stale = 0;
            self.draw();
        }
    }

    /// Averages calls that met few others, and the first ones of all.
    ///
    /// Those come first under lasting saturation. Their average then stays as
    /// it is: if it went on it would follow the limit that is set by it.
    fn add_usual(&mut self, secs: f64, alone: bool) {
        if alone {
            self.alone.add(secs, USUAL);
        }
        if self.all.count < SURE {
            self.all.add(secs, SURE);
        }
    }

    fn halve(&mut self) {
        let mean = self.sum / f64::from(self.total);
        self.bins.iter_mut().for_each(|count| *count /= 2);
        self.total = self.bins.iter().sum();
        self.sum = mean * f64::from(self.total);
    }

    fn draw(&mut self) {
        let marks = [0.5, 0.95, 0.99, 0.999].map(|q| q * f64::from(self.total));
        let mut found = [0.0; 4];
        let mut seen = 0;
        let mut next = 0;
        for (index, count) in self.bins.iter().enumerate() {
            seen += count;
            while next < marks.len() && f64::from(seen) >= marks[next] {
                found[next] = edge(index);
                next += 1;
            }
        }
        let settled = self.alone.count >= SETTLED;
        self.drawn = Estimate {
            mean: self.sum / f64::from(self.total.max(1)),
            p50: found[0],
            p95: found[1],
            p99: found[2],
            p999: found[3],
            low: self.low.exp(),
            usual: if settled {
                self.alone.mean
            } else {
                self.all.mean
            },
            sure: settled || self.all.count >= SURE,
            settled,
        };
    }
}

/// The service times of one service.
#[derive(Clone, Debug)]
pub(super) struct Learned {
    cells: Vec<Option<Box<Cell>>>,
}

impl Learned {
    pub(super) fn new() -> Self {
        Self {
            cells: vec![None; Class::ALL.len() * SIZES],
        }
    }

    pub(super) fn add(&mut self, call: &Call, took: Duration, alone: bool) {
        let secs = took.as_secs_f64().max(LEAST);
        let place = index(call.class, size(call.tokens));
        self.cells[place]
            .get_or_insert_with(|| Box::new(Cell::new(secs)))
            .add(secs, alone);
    }

    /// Estimates a call; `None` until anything like it was answered.
    pub(super) fn estimate(&self, call: &Call) -> Option<Estimate> {
        let size = size(call.tokens);
        self.get(call.class, size)
            .or_else(|| Class::ALL.iter().find_map(|class| self.get(*class, size)))
            .or_else(|| self.nearest(size))
    }

    fn get(&self, class: Class, size: usize) -> Option<Estimate> {
        let cell = self.cells[index(class, size)].as_ref()?;
        Some(cell.drawn)
    }

    /// Scales from the nearest known size: work grows with tokens.
    fn nearest(&self, size: usize) -> Option<Estimate> {
        if size == 0 {
            return None;
        }
        let known = (1..SIZES)
            .flat_map(|s| Class::ALL.map(|class| (s, class)))
            .filter_map(|(s, class)| Some((s, self.get(class, s)?)));
        let (near, estimate) = known.min_by_key(|(s, _)| s.abs_diff(size))?;
        Some(estimate.scale(2f64.powf(size as f64 - near as f64)))
    }
}

fn index(class: Class, size: usize) -> usize {
    class.index() * SIZES + size
}

fn size(tokens: u32) -> usize {
    tokens.checked_ilog2().map_or(0, |log| log as usize + 1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped first"
)]
fn bin(secs: f64) -> usize {
    let doublings = (secs / LEAST).log2().max(0.0);
    ((doublings * BINS_PER_DOUBLING) as usize).min(BINS - 1)
}

fn edge(index: usize) -> f64 {
    LEAST * 2f64.powf((index as f64 + 1.0) / BINS_PER_DOUBLING)
}
