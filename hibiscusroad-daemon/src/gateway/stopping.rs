//! The phases of a planned stop.
//!
//! * Stopping: the process is not ready, and each answer closes its connection. The
//!   load balancer notices after two failed checks, a second apart; callers that it
//!   sends until then are served.
//! * Closing: idle connections are closed, and so are new ones.
//! * After the grace period the remaining connections are closed.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::{Notify, watch};

/// Time for the load balancer to notice, and for the last callers to arrive.
const STOPPING_DURATION: Duration = Duration::from_millis(3_500);
/// Time reserved at the end for the process to exit before it is killed.
const EXIT_RESERVE: Duration = Duration::from_millis(700);

#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
enum Phase {
    Serving,
    Stopping,
    Closing,
}

/// The state of a planned stop and the open connections.
#[derive(Debug)]
pub(super) struct Stop {
    phase: watch::Sender<Phase>,
    /// Number of open connections.
    open: Rc<Cell<usize>>,
    /// Notified when a connection closes.
    closed: Rc<Notify>,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    open: Rc<Cell<usize>>,
    closed: Rc<Notify>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        self.closed.notify_one();
    }
}

impl Stop {
    pub(super) fn new() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Serving),
            open: Rc::default(),
            closed: Rc::default(),
        }
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub(super) fn track_connection(&self) -> ConnectionGuard {
        self.open.set(self.open.get() + 1);
        ConnectionGuard {
            open: Rc::clone(&self.open),
            closed: Rc::clone(&self.closed),
        }
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.phase.borrow() >= Phase::Stopping
    }

    pub(super) fn begin(&self) {
        self.phase.send_replace(Phase::Stopping);
    }

    /// Waits for the closing phase.
    pub(super) async fn closing(&self) {
        self.wait_for(Phase::Closing).await;
    }

    async fn wait_for(&self, phase: Phase) {
        let mut changes = self.phase.subscribe();
        // The sender lives as long as `self`.
        let _closed = changes.wait_for(|current| *current >= phase).await.is_err();
    }

    /// Runs the phases; returns when the process may exit.
    pub(super) async fn run_phases(&self, grace: Duration) {
        let end = Instant::now() + grace.saturating_sub(EXIT_RESERVE);
        tokio::time::sleep(STOPPING_DURATION.min(grace / 2)).await;
        self.phase.send_replace(Phase::Closing);
        while self.open.get() > 0 && Instant::now() < end {
            tokio::select! {
                () = self.closed.notified() => {}
                () = tokio::time::sleep_until(end.into()) => {}
            }
        }
        if self.open.get() > 0 {
            log::warn!(target: crate::logs::PROCESS, open = self.open.get();
                "The grace period ended; open connections are closed.");
        }
    }
}
