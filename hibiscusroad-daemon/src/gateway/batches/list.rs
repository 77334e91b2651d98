//! Writes results to the store, each at the next position.
//!
//! Writes follow each other: the next positions are assigned when the outcome of the last
//! write is known. Results that become ready meanwhile share the next write.

use super::{Batches, OwnedBatch};
use crate::{gateway::on_panic::OnPanic, logs::BATCHES, platform::Backoff};
use hibiscusroad::{
    clock::millis,
    rollout::row,
    table::{Change, Commit, Row},
};
use hibiscusroad_platform::{batch, table::MAX_ENTRIES};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Limit of the results in one write; the store accepts 1 MB with names and base64.
const MAX_WRITE_BYTES: usize = 600 << 10;
/// Delay after a write of several results, so that the next ones share a write: a step of a
/// hundred items takes ten to twenty writes. There is none after a single result, which may be
/// the last one of a step, for which the trainer waits.
const GROUP_WRITE_DELAY: Duration = Duration::from_millis(80);
/// Shortest and longest wait between retries.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));

/// Item indexes with their encoded results.
type EncodedResults = Vec<(usize, Vec<u8>)>;

impl Batches {
    /// Writes a batch's results as they become ready.
    pub(super) async fn list_results(self: Rc<Self>, owned: Rc<OwnedBatch>) {
        let _guard = OnPanic(|| self.reload(&owned));
        loop {
            let ready = Self::next_results(&owned);
            if ready.is_empty() {
                if owned.batch.borrow().is_complete() {
                    return;
                }
                owned.result_ready.notified().await;
                continue;
            }
            let is_single = ready.len() == 1;
            if !self.write_results(&owned, ready).await {
                return;
            }
            if !is_single {
                sleep(GROUP_WRITE_DELAY).await;
            }
        }
    }

    /// Returns the ready results that fit in the next write.
    fn next_results(owned: &OwnedBatch) -> EncodedResults {
        // Each result is a condition and a change, and the head is one more condition.
        let ready = owned
            .batch
            .borrow()
            .ready_results(&owned.submission, MAX_ENTRIES / 2 - 1);
        let mut bytes = 0;
        let mut results = Vec::new();
        for (index, result) in ready {
            let value = batch::encode_result(&result);
            bytes += value.len();
            if bytes > MAX_WRITE_BYTES && !results.is_empty() {
                break;
            }
            results.push((index, value));
        }
        results
    }

    /// Writes results until the outcome is known; returns `false` if the batch is no longer
    /// run here.
    async fn write_results(self: &Rc<Self>, owned: &OwnedBatch, results: EncodedResults) -> bool {
        let first = owned.listed.borrow().len();
        let mut rows = Vec::new();
        for (offset, (_, value)) in results.iter().enumerate() {
            match self.encode_row(&owned.id, first + offset, value).await {
                Some(value) => rows.push((first + offset, value)),
                None => return false,
            }
        }
        let mut change = Change::new().expect(row::head(&owned.id), owned.version.get());
        for (position, value) in &rows {
            let id = row::result(&owned.id, *position);
            change = change.expect(id.clone(), 0).put(id, value.clone());
        }
        let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
        let start = Instant::now();
        owned.write_started.set(Some(start));
        loop {
            match self.store.transact(&change).await {
                Commit::Done { .. } => break,
                Commit::Conflict(found) => match self.resolve_conflict(owned, &rows, &found) {
                    ConflictOutcome::Written => break,
                    ConflictOutcome::Stopped => return false,
                    ConflictOutcome::Retry => {}
                },
                Commit::Refused | Commit::Unknown => {}
            }
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
        let items: Vec<&str> = results
            .iter()
            .map(|(index, _)| owned.submission.items[*index].id.as_str())
            .collect();
        log::info!(target: BATCHES, batch = owned.id.as_str(), first = first,
            results = results.len(), took_ms = millis(start.elapsed()),
            items = items.join(" ").as_str(); "Results are listed.");
        self.context.meters.results.inc_by(results.len() as u64);
        owned
            .batch
            .borrow_mut()
            .mark_listed(results.iter().map(|(index, _)| *index));
        owned
            .listed
            .borrow_mut()
            .extend(results.into_iter().map(|(_, value)| value));
        owned.write_started.set(None);
        owned.results_listed.notify_waiters();
        true
    }

    /// Finds out why the conditions of a write were not met: an earlier try has done it, or
    /// another process owns the batch.
    fn resolve_conflict(
        self: &Rc<Self>,
        owned: &OwnedBatch,
        rows: &[(usize, Vec<u8>)],
        found: &[Row],
    ) -> ConflictOutcome {
        let head = row::head(&owned.id);
        let mut written = 0;
        for row in found {
            if row.id == head {
                self.record_head(row);
                continue;
            }
            let is_own = rows.iter().any(|(position, value)| {
                row::result(&owned.id, *position) == row.id && *value == row.value
            });
            written += usize::from(is_own);
        }
        if written == rows.len() {
            return ConflictOutcome::Written;
        }
        if owned.is_stopped.get() {
            log::info!(target: BATCHES, batch = owned.id.as_str(), version = owned.version.get();
                "Results could not be listed: the batch is no longer run here.");
            return ConflictOutcome::Stopped;
        }
        if found.iter().all(|row| row.id == head) {
            return ConflictOutcome::Retry;
        }
        // The read on which this process began was older than a write of the owner before.
        log::info!(target: BATCHES, batch = owned.id.as_str(), version = owned.version.get();
            "Results could not be listed: others are stored; the batch is loaded again.");
        self.reload(owned);
        ConflictOutcome::Stopped
    }

    /// Returns the row value of a result: the result itself, or the name of an object that
    /// holds a result that is too long for a row.
    async fn encode_row(&self, id: &str, position: usize, value: &[u8]) -> Option<Vec<u8>> {
        if value.len() <= self.max_row_bytes {
            return Some(value.to_vec());
        }
        let name = object_name(id, position, &self.incarnation, value);
        let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
        while let Err(failure) = self.store.put_object(&name, value.to_vec()).await {
            log::debug!(target: BATCHES, object = name.as_str(),
                error = failure.to_string().as_str();
                "A long result could not be written as an object; the write is retried.");
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
        Some(format!("{OBJECT_PREFIX}{name}").into_bytes())
    }
}

/// Prefix of a row value that names an object; encoded results begin with a brace.
pub(super) const OBJECT_PREFIX: &str = "object:";

/// Returns the name of the object for a long result. It contains a hash of the result and
/// of the owner: another owner may write another text at the same position.
fn object_name(id: &str, position: usize, incarnation: &str, value: &[u8]) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(
        value,
        xxhash_rust::xxh3::xxh3_64(incarnation.as_bytes()),
    );
    format!("result-{id}-{position}-{hash:016x}")
}

/// What a conflict means for a write of results.
enum ConflictOutcome {
    /// The rows have the values that were to be written.
    Written,
    /// Another process owns the batch, or it has ended.
    Stopped,
    /// The write may be tried again.
    Retry,
}
