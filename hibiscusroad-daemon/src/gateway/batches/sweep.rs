//! Removes batches that nobody may ask for any more.
//!
//! The store is shared, holds a limited amount of objects and forgets nothing by
//! itself: without sweeping, a busy trainer fills it within a day, and every
//! submission would be refused from then on. Every process sweeps what it knows,
//! at times of its own; each removal is conditional on the head, so two that
//! sweep the same batch do no harm, and one that stops midway leaves the head
//! for the next.

use super::{Batches, HeadRow};
use crate::{gateway::failure::Failure, logs::BATCHES};
use hibiscusroad::{
    rollout::row::{self, PIECES, RESULTS},
    table::{Change, Commit, Range, RowId},
};
use hibiscusroad_platform::table::MAX_ENTRIES;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time between two sweeps of a process, drawn anew each time up to twice this.
/// A sweep looks through what the process knows, and writes only for what is due.
const SWEEP: Duration = Duration::from_secs(4);
/// Batches that one sweep removes at most: a few dozen calls to the store.
const MOST: usize = 4;
/// Time beyond the promised one for which a batch is kept, for a reader that
/// asks in time and is answered late.
const SPARE: Duration = Duration::from_secs(5);

impl Batches {
    /// Sweeps for as long as the process runs.
    pub(in crate::gateway) async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP.mul_f64(2.0 * rand::random::<f64>())).await;
            let mut due = self.outlived();
            due.truncate(MOST);
            for (id, row) in due {
                match self.remove(&id, &row).await {
                    Ok(true) => {
                        self.count("swept");
                        log::info!(target: BATCHES, batch = id.as_str(); "A batch is swept.");
                    }
                    Ok(false) => {}
                    Err(failure) => log::debug!(target: BATCHES, batch = id.as_str(),
                        error = failure.to_string().as_str(); "A batch could not be swept yet."),
                }
            }
        }
    }

    /// Returns the batches that are kept for long enough.
    fn outlived(&self) -> Vec<(String, HeadRow)> {
        let Some(now) = self.store.now() else {
            return Vec::new();
        };
        let heads = self.heads.borrow();
        let due = heads.iter().filter(|(_, row)| {
            let age = row.head.age(now);
            let open = !row.head.ended && now < Duration::from_millis(row.head.runs_until);
            age > self.keep + SPARE && !open
        });
        due.map(|(id, row)| (id.clone(), row.clone())).collect()
    }

    /// Removes a batch; `false` if another change came first.
    async fn remove(&self, id: &str, row: &HeadRow) -> Result<bool, Failure> {
        for table in [RESULTS, PIECES] {
            loop {
                let (rows, more) = self.some_rows(table, id).await?;
                if rows.is_empty() {
                    break;
                }
                let mut change = Change::new().expect(row::head(id), row.version);
                for row in rows {
                    change = change.remove(row);
                }
                if !matches!(self.store.transact(&change).await, Commit::Done { .. }) {
                    return Ok(false);
                }
                if !more {
                    break;
                }
            }
        }
        self.store
            .delete_object(&row::submission_object(id))
            .await?;
        let change = Change::new()
            .expect(row::head(id), row.version)
            .remove(row::head(id));
        let done = self.store.transact(&change).await;
        Ok(matches!(done, Commit::Done { .. }))
    }

    /// Reads the names of some rows of a batch, and whether there are more.
    async fn some_rows(&self, table: &str, id: &str) -> Result<(Vec<RowId>, bool), Failure> {
        let part = row::bucket(id);
        let from = format!("{id}/");
        // The slash behind the batch is followed by a zero in byte order.
        let end = format!("{id}0");
        let limit = MAX_ENTRIES / 2;
        let page = self
            .store
            .read(&Range {
                start: Some(&from),
                end: Some(&end),
                limit: Some(limit),
                ..Range::part(table, &part)
            })
            .await?;
        let more = page.truncated || page.rows.len() >= limit;
        Ok((page.rows.into_iter().map(|row| row.id).collect(), more))
    }
}
