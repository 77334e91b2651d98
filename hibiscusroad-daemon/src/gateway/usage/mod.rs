//! Metering of client accounts.
//!
//! Each process counts the requests of client accounts and writes the counts to the store; the
//! holder of the lease reports them. [`hibiscusroad::usage`] has the design. This module counts
//! and writes, and [`report`] makes and sends the reports.
//!
//! A request counts if an endpoint has started it, at the time at which it was sent. Without
//! an answer it is unknown whether the endpoint did. A request that was sent on an open
//! connection is counted then, since it was most likely started.

mod report;

use super::{store::Store, times::Times};
use crate::{logs::USAGE, platform::Backoff};
use hibiscusroad::{
    clock::millis,
    table::{Change, Commit},
    usage::{Tally, Windows, usage_part, write_interval},
};
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

pub(super) use self::report::Reporter;

/// Initial and maximum delay after a failed write.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));
/// The form of rows from which on the reporter reads the parts that only counts are written in.
const APART_FORM: u32 = 1;
/// Time limit for writing the remaining counts when the process stops.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(700);

/// The counts of this process.
pub(super) struct Usage {
    incarnation: String,
    /// `None` if no reports are configured.
    windows: Option<Windows>,
    store: Rc<Store>,
    times: Times,
    tally: RefCell<Tally>,
    /// Notified when a request is counted.
    counted: Notify,
}

impl Usage {
    pub(super) fn new(
        incarnation: &str,
        windows: Option<Windows>,
        store: Rc<Store>,
        times: Times,
    ) -> Self {
        Self {
            incarnation: incarnation.to_owned(),
            windows,
            store,
            times,
            tally: RefCell::new(Tally::new()),
            counted: Notify::new(),
        }
    }

    /// Starts to track a request of a client account to an endpoint.
    pub(super) fn track(self: &Rc<Self>, account: Option<&Rc<str>>) -> MeteredRequest {
        let account = account.filter(|_| self.windows.is_some());
        MeteredRequest {
            usage: Rc::clone(self),
            account: account.cloned(),
            sent_at: None,
        }
    }

    fn count(&self, account: &str, at: Duration) {
        if let Some(windows) = self.windows {
            self.tally.borrow_mut().record(windows.at(at), account);
            self.counted.notify_one();
        }
    }

    /// Writes counts to the store until the process ends.
    pub(super) async fn run_writer(self: Rc<Self>) {
        let mut backoff = Backoff::new(RETRY_DELAY.0, RETRY_DELAY.1);
        loop {
            if self.tally.borrow().is_empty() {
                self.counted.notified().await;
            }
            let part = usage_part(&self.incarnation, self.is_apart());
            let latency = self.store.write_latency(&part);
            sleep(write_interval(self.store.peer_count() + 1, latency)).await;
            if self.write().await {
                backoff.reset();
            } else {
                sleep(backoff.next_wait(&mut rand::rng())).await;
            }
        }
    }

    /// Writes the remaining counts before the process ends.
    pub(super) async fn flush(&self) {
        let start = Instant::now();
        let flush = async { while !self.tally.borrow().is_empty() && self.write().await {} };
        if timeout(FLUSH_TIMEOUT, flush).await.is_err() || !self.tally.borrow().is_empty() {
            log::warn!(target: USAGE, took_ms = millis(start.elapsed());
                "Counts are lost: the store did not accept them before the process ended.");
        }
    }

    /// Returns whether the reporter reads the parts that only counts are written in, whichever
    /// gateway it is.
    fn is_apart(&self) -> bool {
        self.store.row_form() >= APART_FORM
    }

    /// Writes counts that are not in the store yet; `false` if the write may have failed.
    async fn write(&self) -> bool {
        let mut change = Change::new();
        for share in self.tally.borrow_mut().next_write(self.is_apart()) {
            change = change.put(share.row(&self.incarnation), share.encode());
        }
        if change.puts.is_empty() {
            return true;
        }
        let written = matches!(self.store.transact(&change).await, Commit::Done { .. });
        if written {
            self.tally.borrow_mut().confirm_write();
        }
        written
    }
}

/// A request to an endpoint. It is counted when it is dropped, if it was sent and isn't known
/// not to have been started.
pub(super) struct MeteredRequest {
    usage: Rc<Usage>,
    account: Option<Rc<str>>,
    sent_at: Option<Duration>,
}

impl MeteredRequest {
    /// Records that the request is being written to an open connection.
    pub(super) fn mark_sent(&mut self) {
        self.sent_at = Some(self.usage.times.now());
    }

    /// Records that the endpoint did not start the request.
    pub(super) fn mark_not_run(&mut self) {
        self.account = None;
    }
}

impl Drop for MeteredRequest {
    fn drop(&mut self) {
        if let Some((account, sent_at)) = self.account.take().zip(self.sent_at) {
            self.usage.count(&account, sent_at);
        }
    }
}
