//! A process's share of what the table service holds.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Writes a second that all processes together may make.
///
/// The users' service holds several hundred a second; others of theirs use it
/// too.
const WRITES_IN_ALL: f64 = 288.0;

/// Reads a second that all processes together may make, of about two thousand.
const READS_IN_ALL: f64 = 1000.0;

/// Seconds of the share that may be used at once, so that a lone command
/// doesn't wait for its turn.
const BURST: f64 = 4.0;

/// The least burst: one command's read, write and read-back.
const LEAST_BURST: f64 = 3.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

/// Token buckets for reads and writes.
///
/// The share is the whole divided by the live entries, which every entry knows
/// from the host list. No process has to agree with another: a list that lags
/// by seconds makes the sum a little more or less for as long.
#[derive(Debug)]
pub struct Budget {
    reads: Mutex<Bucket>,
    writes: Mutex<Bucket>,
}

impl Budget {
    /// Creates the budget of a process that knows of no other yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            reads: Mutex::new(Bucket::new(READS_IN_ALL, now)),
            writes: Mutex::new(Bucket::new(WRITES_IN_ALL, now)),
        }
    }

    /// Sets how many processes share the service.
    pub fn share(&self, processes: usize) {
        let n = processes.max(1) as f64;
        lock(&self.reads).rate = READS_IN_ALL / n;
        lock(&self.writes).rate = WRITES_IN_ALL / n;
    }

    /// Takes one read, or says how long to wait for it.
    ///
    /// # Errors
    ///
    /// Returns the wait after which there is one.
    pub fn read(&self, now: Instant) -> Result<(), Duration> {
        lock(&self.reads).take(now)
    }

    /// Takes one write, or says how long to wait for it.
    ///
    /// # Errors
    ///
    /// Returns the wait after which there is one.
    pub fn write(&self, now: Instant) -> Result<(), Duration> {
        lock(&self.writes).take(now)
    }
}

impl Bucket {
    fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            tokens: (rate * BURST).max(LEAST_BURST),
            filled: now,
        }
    }

    fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.filled);
        let most = (self.rate * BURST).max(LEAST_BURST);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(most);
        self.filled = self.filled.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }
}

fn lock(bucket: &Mutex<Bucket>) -> std::sync::MutexGuard<'_, Bucket> {
    // A bucket is whole after every step, so a panic elsewhere can't spoil it.
    bucket.lock().unwrap_or_else(PoisonError::into_inner)
}
