//! Writes evidence to the store, and removes what counts no more.

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

/// Rows of one write at most.
const MOST: usize = 50;
/// Rows that wait for a write at most. Evidence beyond that is counted here and not
/// told.
const MOST_UNKEPT: usize = 2_048;
/// Pauses between tries to write: other gateways run a repeat until they are told.
const AGAIN: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));
/// How often evidence is looked through for what counts no more.
const LOOK: Duration = Duration::from_secs(2);

impl Crashes {
    /// Has a row written, or removed.
    pub(super) fn write(&self, row: RowId, value: Option<Vec<u8>>) {
        let mut unkept = self.unkept.borrow_mut();
        if unkept.len() >= MOST_UNKEPT && !unkept.contains_key(&row) {
            log::warn!(target: CALLS, row = row.key.as_str();
                "Evidence of a crash is not told: too much of it waits for the store.");
            return;
        }
        let mut own = self.own.borrow_mut();
        match value {
            Some(_) => own.insert(row.clone()),
            None => own.remove(&row),
        };
        unkept.insert(row, value);
        self.changed.notify_one();
    }

    /// Writes rows for as long as the process runs.
    pub(in crate::gateway) async fn keep(self: Rc<Self>) {
        let mut backoff = Backoff::new(AGAIN.0, AGAIN.1);
        loop {
            if self.unkept.borrow().is_empty() {
                self.changed.notified().await;
                continue;
            }
            if self.write_some().await {
                backoff.reset();
            } else {
                sleep(backoff.next_wait(&mut rand::rng())).await;
            }
        }
    }

    /// Returns rows that can be written together.
    fn next_rows(&self) -> Vec<(RowId, Option<Vec<u8>>)> {
        let unkept = self.unkept.borrow();
        let rows = unkept.iter().take(MOST);
        rows.map(|(row, value)| (row.clone(), value.clone()))
            .collect()
    }

    /// Writes some rows; `false` if the store has not surely taken them.
    async fn write_some(&self) -> bool {
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
        let mut unkept = self.unkept.borrow_mut();
        for (row, value) in rows {
            // It may have changed again meanwhile.
            if unkept.get(&row) == Some(&value) {
                unkept.remove(&row);
            }
        }
        true
    }

    /// Drops evidence that counts no more, for as long as the process runs.
    pub(in crate::gateway) async fn sweep(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            if !self.ledger.borrow().is_empty() {
                self.expire();
            }
        }
    }

    fn expire(&self) {
        let entries = self.entries.borrow();
        let steady = self
            .contact
            .get()
            .has_lasted(Instant::now(), REFUTATION_DELAY);
        let lives = |life: &EndpointIncarnation| {
            if !steady {
                return false;
            }
            let entry = entries.get(&life.endpoint);
            entry.is_some_and(|entry| entry.born == life.started_ms)
        };
        let rows = self.ledger.borrow_mut().expire(self.now(), lives);
        if rows.is_empty() {
            return;
        }
        let void = self.meters.crashes.with_label_values(&["void"]);
        void.inc_by(rows.len() as u64);
        // Every gateway drops them; the one that wrote a row removes it for all.
        for row in rows {
            if self.own.borrow().contains(&row) {
                self.write(row, None);
            }
        }
        self.judge();
    }
}
