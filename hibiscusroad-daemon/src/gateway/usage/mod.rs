//! What client accounts use: counted here, kept in the store, reported by the holder of
//! the duties.
//!
//! [`hibiscusroad::usage`] has the design. This module watches requests on their way to
//! endpoints and keeps the counts; [`report`] makes and sends the reports.
//!
//! A request counts once an endpoint has begun it, at the time at which it was sent. If
//! no answer comes, because its caller left or its endpoint fell silent, nobody knows
//! whether it was begun; one that was sent on an open connection mostly was.

mod report;

use super::{store::Store, times::Times};
use crate::{logs::USAGE, platform::Backoff};
use hibiscusroad::{
    clock::millis,
    table::{Change, Commit},
    usage::{Tally, Windows, write_interval},
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

/// Pauses between tries to keep counts.
const AGAIN: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));
/// What the last write of a process that stops may take: it has little time left.
const LAST: Duration = Duration::from_millis(700);

/// Counts of this process.
pub(super) struct Usage {
    life: String,
    /// `None` where nobody asks for reports.
    windows: Option<Windows>,
    store: Rc<Store>,
    times: Times,
    tally: RefCell<Tally>,
    changed: Notify,
}

impl Usage {
    pub(super) fn new(
        life: &str,
        windows: Option<Windows>,
        store: Rc<Store>,
        times: Times,
    ) -> Self {
        Self {
            life: life.to_owned(),
            windows,
            store,
            times,
            tally: RefCell::new(Tally::new()),
            changed: Notify::new(),
        }
    }

    /// Begins to watch a request of an account on its way to an endpoint.
    pub(super) fn watch(self: &Rc<Self>, account: Option<&Rc<str>>) -> Begun {
        let account = account.filter(|_| self.windows.is_some());
        Begun {
            usage: Rc::clone(self),
            account: account.cloned(),
            sent: None,
        }
    }

    fn note(&self, account: &str, at: Duration) {
        if let Some(windows) = self.windows {
            self.tally.borrow_mut().record(windows.at(at), account);
            self.changed.notify_one();
        }
    }

    /// Keeps counts for as long as the process runs.
    pub(super) async fn keep(self: Rc<Self>) {
        let mut backoff = Backoff::new(AGAIN.0, AGAIN.1);
        loop {
            if self.tally.borrow().is_empty() {
                self.changed.notified().await;
            }
            sleep(write_interval(self.store.peer_count() + 1)).await;
            if self.write().await {
                backoff.reset();
            } else {
                sleep(backoff.next_wait(&mut rand::rng())).await;
            }
        }
    }

    /// Keeps what is left when the process ends.
    pub(super) async fn leave(&self) {
        let start = Instant::now();
        let last = async { while !self.tally.borrow().is_empty() && self.write().await {} };
        if timeout(LAST, last).await.is_err() || !self.tally.borrow().is_empty() {
            log::warn!(target: USAGE, took_ms = millis(start.elapsed());
                "Counts are lost: the store does not take them before the process ends.");
        }
    }

    /// Writes what is not kept yet; `false` if the store has not surely taken it.
    async fn write(&self) -> bool {
        let mut change = Change::new();
        for share in self.tally.borrow_mut().next_write() {
            change = change.put(share.row(&self.life), share.encode());
        }
        if change.puts.is_empty() {
            return true;
        }
        let done = matches!(self.store.transact(&change).await, Commit::Done { .. });
        if done {
            self.tally.borrow_mut().confirm_write();
        }
        done
    }
}

/// A request on its way to an endpoint. Dropped, it counts, if it was sent and isn't
/// known not to have run.
pub(super) struct Begun {
    usage: Rc<Usage>,
    account: Option<Rc<str>>,
    sent: Option<Duration>,
}

impl Begun {
    /// Notes that the request goes out on an open connection.
    pub(super) fn sent(&mut self) {
        self.sent = Some(self.usage.times.now());
    }

    /// Notes that the endpoint did not run it.
    pub(super) fn not_run(&mut self) {
        self.account = None;
    }
}

impl Drop for Begun {
    fn drop(&mut self) {
        if let Some((account, sent)) = self.account.take().zip(self.sent) {
            self.usage.note(&account, sent);
        }
    }
}
