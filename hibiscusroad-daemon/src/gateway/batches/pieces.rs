//! Saves the texts of running items, so that another owner can resume them.
//!
//! After a takeover an item continues behind its last saved event instead of starting
//! again, since a long item takes about as long as a step.
//!
//! Pieces share a part of the store with results, for which trainers wait. So a save waits while
//! results are being written, and saves are rarer while writes are slow.
//!
//! Only new pieces are written. Like a result, a piece is written on the condition that
//! the head row is as this owner left it.

use super::{Batches, OwnedBatch};
use crate::{
    gateway::{failure::Failure, on_panic::OnPanic},
    logs::BATCHES,
};
use hibiscusroad::{
    rollout::{
        row::{self, PIECES},
        text::Piece,
    },
    table::{Change, Commit, Range, RowId},
};
use hibiscusroad_platform::table::MAX_ENTRIES;
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Least time between two writes, and so the text that a takeover may lose.
const SAVE_INTERVAL: Duration = Duration::from_millis(400);
/// Least ratio of the time between two writes to the latency of a write.
const SAVE_LATENCIES: u32 = 3;
/// Longest wait for writes of results; a batch whose results follow each other saves its texts, too.
const MAX_YIELD: Duration = Duration::from_secs(2);
/// Limit of the texts in one write.
const MAX_WRITE_BYTES: usize = 600 << 10;

impl Batches {
    /// Saves texts until the batch is complete.
    pub(super) async fn save_pieces(self: Rc<Self>, owned: Rc<OwnedBatch>) {
        let _guard = OnPanic(|| self.reload(&owned));
        while !owned.batch.borrow().is_complete() {
            let latency = self.store.write_latency(&row::bucket(&owned.id));
            sleep(SAVE_INTERVAL.max(latency * SAVE_LATENCIES)).await;
            let _is_elapsed = timeout(MAX_YIELD, owned.results_written()).await.is_err();
            self.save_new_pieces(&owned).await;
            self.save_drafts(&owned).await;
        }
    }

    /// Saves the text that came since the last save.
    pub(super) async fn save_new_pieces(&self, owned: &OwnedBatch) {
        let mut pieces = owned.batch.borrow().unsaved_pieces(MAX_ENTRIES / 2);
        let mut bytes = 0;
        pieces.retain(|(_, piece)| {
            bytes += piece.text.len();
            bytes <= MAX_WRITE_BYTES && piece.text.len() < self.max_row_bytes / 2
        });
        if pieces.is_empty() {
            return;
        }
        let mut change = Change::new().expect(row::head(&owned.id), owned.version.get());
        let mut rows = Vec::new();
        for (index, piece) in &pieces {
            let id = row::piece(&owned.id, &owned.submission.items[*index].id, piece);
            let value = serde_json::to_vec(piece).unwrap_or_default();
            change = change.put(id.clone(), value);
            rows.push(id);
        }
        match self.store.transact(&change).await {
            Commit::Done { .. } => {
                let mut batch = owned.batch.borrow_mut();
                for (index, piece) in &pieces {
                    batch.mark_saved(*index, piece);
                }
                owned.piece_rows.borrow_mut().extend(rows);
            }
            Commit::Conflict(_) => {
                log::info!(target: BATCHES, batch = owned.id.as_str();
                    "Texts could not be saved: the batch is no longer run here.");
            }
            // The next save writes the same rows again, with the text that came meanwhile.
            Commit::Refused | Commit::Unknown => {}
        }
    }

    /// Reads the saved pieces of a batch's texts in their order, without drafts.
    pub(super) async fn read_pieces(
        &self,
        id: &str,
    ) -> Result<Vec<(RowId, String, Piece)>, Failure> {
        let part = row::bucket(id);
        let start = format!("{id}/");
        // '0' is the byte after '/'.
        let end = format!("{id}0");
        let range = Range {
            start: Some(&start),
            end: Some(&end),
            ..Range::part(PIECES, &part)
        };
        let mut found = Vec::new();
        for row in self.store.read_whole(&range).await?.rows {
            let name = row::parse_piece_key(id, &row.id.key);
            let piece = serde_json::from_slice(&row.value).ok();
            match name.zip(piece) {
                // A piece with a tenure belongs to a draft.
                Some(((_, tenure), _)) if !tenure.is_empty() => {}
                Some(((item, _), piece)) => {
                    let item = item.to_owned();
                    found.push((row.id, item, piece));
                }
                None => log::error!(target: BATCHES, row = row.id.key.as_str();
                    "A stored piece of a text could not be decoded; it is ignored."),
            }
        }
        Ok(found)
    }
}

impl OwnedBatch {
    /// Waits while results are being written.
    async fn results_written(&self) {
        while self.write_started.get().is_some() {
            self.results_listed.notified().await;
        }
    }
}
