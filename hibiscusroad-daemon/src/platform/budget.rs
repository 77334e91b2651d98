//! Rate limits for requests to the table service.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Writes per second allowed for all processes together.
///
/// The service is shared with other applications, so this is less than its capacity.
const TOTAL_WRITE_RATE: f64 = 288.0;

/// Reads per second allowed for all processes together.
const TOTAL_READ_RATE: f64 = 1000.0;

/// Size of a bucket, as the number of seconds in which it fills.
const BURST_SECONDS: f64 = 4.0;

/// Minimum size of a bucket: enough for one command, which reads, writes and reads back.
const MIN_BURST: f64 = 3.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

/// Token buckets for the reads and writes of one process.
///
/// The total rate is divided by the number of entries in the host list. Processes don't
/// coordinate: while their lists differ, the sum of their rates may briefly be off.
#[derive(Debug)]
pub struct Budget {
    reads: Mutex<Bucket>,
    writes: Mutex<Bucket>,
}

impl Budget {
    /// Creates a budget with the total rates.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            reads: Mutex::new(Bucket::new(TOTAL_READ_RATE, now)),
            writes: Mutex::new(Bucket::new(TOTAL_WRITE_RATE, now)),
        }
    }

    /// Sets the number of processes that share the total rates.
    pub fn set_processes(&self, processes: usize) {
        let n = processes.max(1) as f64;
        lock(&self.reads).rate = TOTAL_READ_RATE / n;
        lock(&self.writes).rate = TOTAL_WRITE_RATE / n;
    }

    /// Takes a token for one read.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available.
    pub fn take_read(&self, now: Instant) -> Result<(), Duration> {
        lock(&self.reads).take_token(now)
    }

    /// Takes a token for one write.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available.
    pub fn take_write(&self, now: Instant) -> Result<(), Duration> {
        lock(&self.writes).take_token(now)
    }
}

impl Bucket {
    fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            tokens: (rate * BURST_SECONDS).max(MIN_BURST),
            refilled: now,
        }
    }

    fn take_token(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.refilled);
        let capacity = (self.rate * BURST_SECONDS).max(MIN_BURST);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(capacity);
        self.refilled = self.refilled.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }
}

fn lock(bucket: &Mutex<Bucket>) -> std::sync::MutexGuard<'_, Bucket> {
    // A panic can't leave a bucket in an inconsistent state.
    bucket.lock().unwrap_or_else(PoisonError::into_inner)
}
