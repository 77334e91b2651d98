//! A planned stop, in three phases.
//!
//! * Stopping: not ready any more; each answer closes its connection. The
//!   balancer needs two of its questions, a second apart, to notice, and sends
//!   callers here until then: they are served.
//! * Closing: idle connections are closed, nothing is accepted.
//! * Over: what is still under way is cut, because the process would be killed.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::{Notify, watch};

/// The balancer's two questions and the way of the last callers.
const NOTICED: Duration = Duration::from_millis(3_500);
/// Time left at the end to leave before being killed.
const RESERVE: Duration = Duration::from_millis(700);

#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
enum Phase {
    Serving,
    Stopping,
    Closing,
}

/// How far a planned stop is.
#[derive(Debug)]
pub(super) struct Stop {
    phase: watch::Sender<Phase>,
    open: Rc<Cell<usize>>,
    fewer: Rc<Notify>,
}

/// Counts a connection while it lives.
#[derive(Debug)]
pub(super) struct Open {
    open: Rc<Cell<usize>>,
    fewer: Rc<Notify>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        self.fewer.notify_one();
    }
}

impl Stop {
    pub(super) fn new() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Serving),
            open: Rc::default(),
            fewer: Rc::default(),
        }
    }

    /// Counts a connection until the value that is returned is dropped.
    pub(super) fn track_connection(&self) -> Open {
        self.open.set(self.open.get() + 1);
        Open {
            open: Rc::clone(&self.open),
            fewer: Rc::clone(&self.fewer),
        }
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.phase.borrow() >= Phase::Stopping
    }

    pub(super) fn begin(&self) {
        self.phase.send_replace(Phase::Stopping);
    }

    /// Waits until idle connections are to be closed.
    pub(super) async fn closing(&self) {
        self.reached(Phase::Closing).await;
    }

    async fn reached(&self, phase: Phase) {
        let mut changes = self.phase.subscribe();
        // The sender lives as long as `self`.
        let _closed = changes.wait_for(|now| *now >= phase).await.is_err();
    }

    /// Goes through the phases; returns when the process may end.
    pub(super) async fn carry_out(&self, grace: Duration) {
        let end = Instant::now() + grace.saturating_sub(RESERVE);
        tokio::time::sleep(NOTICED.min(grace / 2)).await;
        self.phase.send_replace(Phase::Closing);
        while self.open.get() > 0 && Instant::now() < end {
            tokio::select! {
                () = self.fewer.notified() => {}
                () = tokio::time::sleep_until(end.into()) => {}
            }
        }
        if self.open.get() > 0 {
            log::warn!(target: crate::logs::PROCESS, open = self.open.get();
                "Connections are cut: the time to stop is over.");
        }
    }
}
