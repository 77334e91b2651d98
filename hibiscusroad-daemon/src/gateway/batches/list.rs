//! Writes results, each at the next position, in the owner's order.
//!
//! One write at a time: the next positions are handed out when the outcome of
//! the last write is known. Results that become ready meanwhile go together.

use super::{Batches, Owned};
use crate::{logs::BATCHES, platform::Backoff};
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

/// Bytes of one write: a store takes 1 MB in base64 and with its names.
const WRITE: usize = 600 << 10;
/// Pause behind a write of several results. Trainers read twice a second; a tenth of
/// one is lost to them at the most, and a step of a hundred items takes ten to twenty
/// writes in place of a hundred. Behind a single result there is none: it came alone,
/// as the last ones of a step do, and what its trainer waits for must not wait here.
const GATHER: Duration = Duration::from_millis(80);
const PAUSE: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));

type Kept = Vec<(usize, Vec<u8>)>;

impl Batches {
    /// Lists a batch's results as they become ready.
    pub(super) async fn list(self: Rc<Self>, owned: Rc<Owned>) {
        loop {
            let ready = Self::next_write(&owned);
            if ready.is_empty() {
                if owned.batch.borrow().is_complete() {
                    return;
                }
                owned.ready.notified().await;
                continue;
            }
            let single = ready.len() == 1;
            if !self.write(&owned, ready).await {
                return;
            }
            if !single {
                sleep(GATHER).await;
            }
        }
    }

    fn next_write(owned: &Owned) -> Kept {
        // The head and each row are conditions of the same write.
        let ready = owned
            .batch
            .borrow()
            .ready_results(&owned.submission, MAX_ENTRIES / 2 - 1);
        let mut bytes = 0;
        let mut kept = Vec::new();
        for (n, result) in ready {
            let value = batch::encode_result(&result);
            bytes += value.len();
            if bytes > WRITE && !kept.is_empty() {
                break;
            }
            kept.push((n, value));
        }
        kept
    }

    /// Writes results until the outcome is known; `false` if the batch is over.
    async fn write(self: &Rc<Self>, owned: &Owned, kept: Kept) -> bool {
        let first = owned.listed.borrow().len();
        let mut rows = Vec::new();
        for (at, (_, value)) in kept.iter().enumerate() {
            match self.row_value(&owned.id, first + at, value).await {
                Some(value) => rows.push((first + at, value)),
                None => return false,
            }
        }
        let mut change = Change::new().expect(row::head(&owned.id), owned.version.get());
        for (at, value) in &rows {
            let id = row::result(&owned.id, *at);
            change = change.expect(id.clone(), 0).put(id, value.clone());
        }
        let mut backoff = Backoff::new(PAUSE.0, PAUSE.1);
        let start = Instant::now();
        owned.writing.set(Some(start));
        loop {
            match self.store.transact(&change).await {
                Commit::Done { .. } => break,
                Commit::Conflict(found) => match self.meant(owned, &rows, &found) {
                    Meant::Done => break,
                    Meant::Over => return false,
                    Meant::Again => {}
                },
                Commit::Refused | Commit::Unknown => {}
            }
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
        let items: Vec<&str> = kept
            .iter()
            .map(|(n, _)| owned.submission.items[*n].id.as_str())
            .collect();
        log::info!(target: BATCHES, batch = owned.id.as_str(), first = first,
            results = kept.len(), took_ms = millis(start.elapsed()),
            items = items.join(" ").as_str(); "Results are listed.");
        self.line.meters.results.inc_by(kept.len() as u64);
        owned
            .batch
            .borrow_mut()
            .mark_listed(kept.iter().map(|(n, _)| *n));
        owned
            .listed
            .borrow_mut()
            .extend(kept.into_iter().map(|(_, value)| value));
        owned.writing.set(None);
        owned.news.notify_waiters();
        true
    }

    /// Understands why a write found its conditions not met: an earlier copy of
    /// it was done, or the batch isn't this process's any more.
    fn meant(self: &Rc<Self>, owned: &Owned, rows: &[(usize, Vec<u8>)], found: &[Row]) -> Meant {
        let head = row::head(&owned.id);
        let mut done = 0;
        for row in found {
            if row.id == head {
                self.note(row);
                continue;
            }
            let ours = rows
                .iter()
                .any(|(at, value)| row::result(&owned.id, *at) == row.id && *value == row.value);
            done += usize::from(ours);
        }
        if done == rows.len() {
            return Meant::Done;
        }
        let over = owned.over.get() || found.iter().any(|row| row.id != head);
        if over {
            log::info!(target: BATCHES, batch = owned.id.as_str(), version = owned.version.get();
                "Results were not listed: the batch is no longer run here.");
            Meant::Over
        } else {
            Meant::Again
        }
    }

    /// Returns what the row of a result holds: the result, or the name of an
    /// object if it is too long for a row.
    async fn row_value(&self, id: &str, position: usize, value: &[u8]) -> Option<Vec<u8>> {
        if value.len() <= self.row_bytes {
            return Some(value.to_vec());
        }
        let name = object(id, position, &self.life, value);
        let mut backoff = Backoff::new(PAUSE.0, PAUSE.1);
        while let Err(failure) = self.store.put_object(&name, value.to_vec()).await {
            log::debug!(target: BATCHES, object = name.as_str(),
                error = failure.to_string().as_str(); "A long result could not be kept yet.");
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
        Some(format!("{REFERENCE}{name}").into_bytes())
    }
}

/// What a row begins with that names an object; results begin with a brace.
pub(super) const REFERENCE: &str = "object:";

/// Names the object of a long result. Its content is part of the name: another
/// owner may find another text for the same position.
fn object(id: &str, position: usize, life: &str, value: &[u8]) -> String {
    let hash =
        xxhash_rust::xxh3::xxh3_64_with_seed(value, xxhash_rust::xxh3::xxh3_64(life.as_bytes()));
    format!("result-{id}-{position}-{hash:016x}")
}

enum Meant {
    /// The rows stand as they were to be written.
    Done,
    /// Another owner has the batch, or it has ended.
    Over,
    /// Nothing tells against writing again.
    Again,
}
