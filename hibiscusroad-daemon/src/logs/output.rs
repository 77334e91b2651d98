//! Lines on their way to standard output, bounded and never waited for.
//!
//! A request only adds its line to memory. A task writes what has gathered, a
//! few times a second at most, to a standard output that doesn't block. What a
//! slow reader leaves no room for is dropped and counted, and the count is told
//! as soon as there is room again.

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

/// Lines kept for a reader that is slow: some seconds of a loaded process, and
/// little beside its memory.
const MOST: usize = 256 << 10;
/// Lines are gathered for so long before they are written together.
const GATHER: Duration = Duration::from_millis(150);
/// A reader that takes nothing is tried again after this time.
const FULL: Duration = Duration::from_millis(500);

static LINES: Mutex<Vec<u8>> = Mutex::new(Vec::new());
static DROPPED: AtomicU64 = AtomicU64::new(0);
static OVER_BUDGET: AtomicU64 = AtomicU64::new(0);
static DROPPED_IN_ALL: AtomicU64 = AtomicU64::new(0);
static ADDED: Notify = Notify::const_new();

/// Adds lines to what is written later.
#[derive(Debug)]
pub(super) struct Writer;

impl io::Write for Writer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut lines = lines();
        if lines.len() + buf.len() > MOST {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            DROPPED_IN_ALL.fetch_add(1, Ordering::Relaxed);
        } else {
            lines.extend_from_slice(buf);
        }
        drop(lines);
        ADDED.notify_one();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lines() -> MutexGuard<'static, Vec<u8>> {
    LINES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a line that the budget has no room for.
pub(super) fn left_out() {
    OVER_BUDGET.fetch_add(1, Ordering::Relaxed);
    DROPPED_IN_ALL.fetch_add(1, Ordering::Relaxed);
}

/// Returns how many lines were left out so far.
pub fn dropped() -> u64 {
    DROPPED_IN_ALL.load(Ordering::Relaxed)
}

/// Writes lines for as long as the process runs.
pub async fn flush() {
    if let Err(error) =
        fcntl_getfl(stdout()).and_then(|flags| fcntl_setfl(stdout(), flags | OFlags::NONBLOCK))
    {
        log::warn!(target: super::PROCESS, error = error.to_string().as_str();
            "Standard output may block.");
    }
    loop {
        ADDED.notified().await;
        sleep(GATHER).await;
        while !flush_now() {
            sleep(FULL).await;
        }
    }
}

/// Writes what has gathered; `false` if the reader takes no more now.
pub fn flush_now() -> bool {
    let mut lines = lines();
    let mut written = 0;
    while written < lines.len() {
        match write(stdout(), &lines[written..]) {
            Ok(n) => written += n,
            Err(Errno::INTR) => {}
            Err(Errno::AGAIN) => break,
            // Nobody reads any more; there is nobody to tell.
            Err(_) => written = lines.len(),
        }
    }
    lines.drain(..written);
    let whole = lines.is_empty();
    drop(lines);
    let dropped = if whole {
        DROPPED.swap(0, Ordering::Relaxed)
    } else {
        0
    };
    if dropped > 0 {
        log::warn!(target: super::PROCESS, lines = dropped;
            "Lines were left out: standard output was not read.");
    }
    let over = OVER_BUDGET.swap(0, Ordering::Relaxed);
    if over > 0 {
        log::warn!(target: super::PROCESS, lines = over;
            "Lines were left out: more came than the budget of a second holds.");
    }
    whole
}
