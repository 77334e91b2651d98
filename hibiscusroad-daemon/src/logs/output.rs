//! Bounded buffer of lines for standard output.
//!
//! Logging a line only appends it to the buffer. A task writes the buffer to a non-blocking
//! standard output, a few times a second at most. If the reader is too slow, lines are
//! dropped and counted, and the count is logged once the buffer is empty again.

use rustix::{
    fs::{OFlags, fcntl_getfl, fcntl_setfl},
    io::{Errno, write},
};
use std::{
    io::{self, stdout},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::Notify, time::sleep};

/// Maximum size of the buffer in bytes: a few seconds of lines.
const MAX_BUFFER_BYTES: usize = 256 << 10;
/// How long lines are collected before they are written together.
const WRITE_DELAY: Duration = Duration::from_millis(150);
/// Delay before another write to a full standard output.
const RETRY_DELAY: Duration = Duration::from_millis(500);

static BUFFER: Mutex<Vec<u8>> = Mutex::new(Vec::new());
static DROPPED: AtomicU64 = AtomicU64::new(0);
static OVER_BUDGET: AtomicU64 = AtomicU64::new(0);
static DROPPED_TOTAL: AtomicU64 = AtomicU64::new(0);
static LINES_ADDED: Notify = Notify::const_new();

/// Appends lines to the buffer.
#[derive(Debug)]
pub(super) struct Writer;

impl io::Write for Writer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut buffer = lock_buffer();
        if buffer.len() + buf.len() > MAX_BUFFER_BYTES {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            DROPPED_TOTAL.fetch_add(1, Ordering::Relaxed);
        } else {
            buffer.extend_from_slice(buf);
        }
        drop(buffer);
        LINES_ADDED.notify_one();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lock_buffer() -> MutexGuard<'static, Vec<u8>> {
    BUFFER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a line that exceeds the budget.
pub(super) fn count_over_budget() {
    OVER_BUDGET.fetch_add(1, Ordering::Relaxed);
    DROPPED_TOTAL.fetch_add(1, Ordering::Relaxed);
}

/// Returns the number of lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_TOTAL.load(Ordering::Relaxed)
}

/// Writes buffered lines in an endless loop.
pub async fn write_loop() {
    if let Err(error) =
        fcntl_getfl(stdout()).and_then(|flags| fcntl_setfl(stdout(), flags | OFlags::NONBLOCK))
    {
        log::warn!(target: super::PROCESS, error = error.to_string().as_str();
            "Standard output can't be made non-blocking.");
    }
    loop {
        LINES_ADDED.notified().await;
        sleep(WRITE_DELAY).await;
        while !flush_now() {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Writes the buffered lines. Returns `false` if standard output is full.
pub fn flush_now() -> bool {
    let mut buffer = lock_buffer();
    let mut written = 0;
    while written < buffer.len() {
        match write(stdout(), &buffer[written..]) {
            Ok(n) => written += n,
            Err(Errno::INTR) => {}
            Err(Errno::AGAIN) => break,
            // Standard output is closed: the lines are discarded.
            Err(_) => written = buffer.len(),
        }
    }
    buffer.drain(..written);
    let is_empty = buffer.is_empty();
    drop(buffer);
    let dropped = if is_empty {
        DROPPED.swap(0, Ordering::Relaxed)
    } else {
        0
    };
    if dropped > 0 {
        log::warn!(target: super::PROCESS, lines = dropped;
            "Lines were dropped: standard output was not read fast enough.");
    }
    let over_budget = OVER_BUDGET.swap(0, Ordering::Relaxed);
    if over_budget > 0 {
        log::warn!(target: super::PROCESS, lines = over_budget;
            "Lines were dropped: they exceeded the budget of lines per second.");
    }
    is_empty
}
