//! Removes batches whose retention is over.
//!
//! The store is shared, holds a limited number of objects and expires nothing by itself.
//! Every process sweeps the batches that it knows. Each removal is conditional on the head
//! row, so concurrent sweeps do no harm, and an interrupted one leaves the head for the
//! next.

use super::{Batches, HeadRow};
use crate::{gateway::failure::Failure, logs::BATCHES};
use hibiscusroad::{
    rollout::row::{self, PIECES, RESULTS, SUBMISSIONS},
    table::{Change, Commit, Range, RowId},
};
use hibiscusroad_platform::table::MAX_ENTRIES;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Mean time between two sweeps of a process; each is drawn at random up to twice this.
const MEAN_SWEEP_INTERVAL: Duration = Duration::from_secs(4);
/// Limit of the batches that one sweep removes: a few dozen calls to the store.
const MAX_SWEPT: usize = 4;
/// Extra retention, for a read that begins in time and takes long.
const RETENTION_MARGIN: Duration = Duration::from_secs(5);

impl Batches {
    /// Sweeps for as long as the process runs.
    pub(in crate::gateway) async fn sweep(self: Rc<Self>) {
        loop {
            sleep(MEAN_SWEEP_INTERVAL.mul_f64(2.0 * rand::random::<f64>())).await;
            let mut due = self.expired();
            due.truncate(MAX_SWEPT);
            for (id, row) in due {
                match self.remove_batch(&id, &row).await {
                    Ok(true) => {
                        self.count_event("swept");
                        log::info!(target: BATCHES, batch = id.as_str(); "A batch is swept.");
                    }
                    Ok(false) => {}
                    Err(failure) => log::debug!(target: BATCHES, batch = id.as_str(),
                        error = failure.to_string().as_str();
                        "A batch could not be swept; a later sweep tries again."),
                }
            }
        }
    }

    /// Returns the batches whose retention is over.
    fn expired(&self) -> Vec<(String, HeadRow)> {
        let Some(now) = self.store.now() else {
            return Vec::new();
        };
        let heads = self.heads.borrow();
        let due = heads.iter().filter(|(_, row)| {
            let age = row.head.age(now);
            let is_open = !row.head.ended && now < Duration::from_millis(row.head.runs_until);
            age > self.retention + RETENTION_MARGIN && !is_open
        });
        due.map(|(id, row)| (id.clone(), row.clone())).collect()
    }

    /// Removes a batch; returns `false` if its head was changed meanwhile.
    async fn remove_batch(&self, id: &str, row: &HeadRow) -> Result<bool, Failure> {
        for table in [RESULTS, PIECES, SUBMISSIONS] {
            loop {
                let (rows, has_more) = self.read_row_ids(table, id).await?;
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
                if !has_more {
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

    /// Reads the ids of some rows of a batch, and whether there are more.
    async fn read_row_ids(&self, table: &str, id: &str) -> Result<(Vec<RowId>, bool), Failure> {
        let part = row::bucket(id);
        let start = format!("{id}/");
        // '0' is the byte after '/'.
        let end = format!("{id}0");
        let limit = MAX_ENTRIES / 2;
        let page = self
            .store
            .read(&Range {
                start: Some(&start),
                end: Some(&end),
                limit: Some(limit),
                ..Range::part(table, &part)
            })
            .await?;
        let has_more = page.truncated || page.rows.len() >= limit;
        Ok((page.rows.into_iter().map(|row| row.id).collect(), has_more))
    }
}
