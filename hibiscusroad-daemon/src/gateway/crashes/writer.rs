//! Writes crash evidence to the store, and expires it.

use super::Crashes;
use crate::{logs::CALLS, platform::Backoff};
use hibiscusroad::{
    quarantine::{EndpointIncarnation, REFUTATION_DELAY},
    table::{Change, Commit, RowId},
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Maximum rows of one write.
const MAX_WRITE_ROWS: usize = 50;
/// Maximum rows that wait to be written. Evidence beyond it counts in this process only.
const MAX_PENDING_ROWS: usize = 2_048;
/// Initial and maximum delay after a failed write. They are short because other gateways
/// don't stop a repeated request before they read the evidence.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));
/// Interval at which expired evidence is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

impl Crashes {
    /// Queues the write of a row, or its removal if the value is `None`.
    pub(super) fn queue_write(&self, row: RowId, value: Option<Vec<u8>>) {
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= MAX_PENDING_ROWS && !pending.contains_key(&row) {
            log::warn!(target: CALLS, row = row.key.as_str();
                "Evidence of a crash is not written: too many rows are waiting for the store.");
            return;
        }
        let mut own_rows = self.own_rows.borrow_mut();
        match value {
            Some(_) => own_rows.insert(row.clone()),
            None => own_rows.remove(&row),
        };
        pending.insert(row, value);
        self.write_queued.notify_one();
    }

    /// Writes queued rows until the process ends.
    pub(in crate::gateway) async fn run_writer(self: Rc<Self>) {
        let mut backoff = Backoff::new(RETRY_DELAY.0, RETRY_DELAY.1);
        loop {
            if self.pending.borrow().is_empty() {
                self.write_queued.notified().await;
                continue;
            }
            if self.write_batch().await {
                backoff.reset();
            } else {
                sleep(backoff.next_wait(&mut rand::rng())).await;
            }
        }
    }

    /// Returns the rows of the next write.
    fn next_rows(&self) -> Vec<(RowId, Option<Vec<u8>>)> {
        let pending = self.pending.borrow();
        let rows = pending.iter().take(MAX_WRITE_ROWS);
        rows.map(|(row, value)| (row.clone(), value.clone()))
            .collect()
    }

    /// Writes some of the queued rows.
    ///
    /// Returns `false` if the store may not have written them; they stay queued then.
    async fn write_batch(&self) -> bool {
        let rows = self.next_rows();
        let mut change = Change::new();
        for (row, value) in rows.iter().cloned() {
            change = match value {
                Some(value) => change.put(row, value),
                None => change.remove(row),
            };
        }
        if !matches!(self.store.transact(&change).await, Commit::Done { .. }) {
            return false;
        }
        let mut pending = self.pending.borrow_mut();
        for (row, value) in rows {
            // A newer value may have been queued during the write.
            if pending.get(&row) == Some(&value) {
                pending.remove(&row);
            }
        }
        true
    }

    /// Removes expired evidence until the process ends.
    pub(in crate::gateway) async fn run_expiry(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            if !self.ledger.borrow().is_empty() {
                self.expire();
            }
        }
    }

    fn expire(&self) {
        let endpoints = self.endpoints.borrow();
        let roster_current = self
            .roster_continuity
            .get()
            .has_lasted(Instant::now(), REFUTATION_DELAY);
        let is_alive = |incarnation: &EndpointIncarnation| {
            if !roster_current {
                return false;
            }
            let endpoint = endpoints.get(&incarnation.endpoint);
            endpoint.is_some_and(|endpoint| endpoint.started_ms == incarnation.started_ms)
        };
        let rows = self.ledger.borrow_mut().expire(self.now(), is_alive);
        if rows.is_empty() {
            return;
        }
        let expired = self.meters.crashes.with_label_values(&["void"]);
        expired.inc_by(rows.len() as u64);
        // Each gateway drops them from memory; the writer of a row removes it from the store.
        for row in rows {
            if self.own_rows.borrow().contains(&row) {
                self.queue_write(row, None);
            }
        }
        self.update_quarantines();
    }
}
