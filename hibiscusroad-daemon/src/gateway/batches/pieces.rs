//! Saves the texts of running items, so that another owner can resume them.
//!
//! After a takeover an item continues behind its last saved event instead of starting
//! again, since a long item takes about as long as a step.
//!
//! Pieces share a part of the store with results, for which trainers wait. So a save waits while
//! results are being written, and saves are rarer while writes are slow.
//!
//! Only new pieces are written, on the condition that the head row is as this owner left it. That
//! row doesn't change while the batch stays here, so a write that got no answer may be executed
//! after newer ones; [`hibiscusroad::rollout::text`] says why that does no harm.

use super::{Batches, OwnedBatch};
use crate::{
    gateway::{failure::Failure, on_panic::OnPanic},
    logs::BATCHES,
};
use hibiscusroad::{
    rollout::{
        row::{self, PIECES, PieceKey},
        text::{Piece, SavedPieces, SavedText},
    },
    table::{Change, Commit, Range},
};
use hibiscusroad_platform::table::MAX_ENTRIES;
use std::{collections::HashMap, rc::Rc, time::Duration};
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
        for (index, piece) in &pieces {
            let item = &owned.submission.items[*index].id;
            let id = row::piece(&owned.id, item, owned.tenure, piece);
            let value = serde_json::to_vec(piece).unwrap_or_default();
            change = change.put(id, value);
        }
        match self.store.transact(&change).await {
            Commit::Done { .. } => {
                let mut batch = owned.batch.borrow_mut();
                for (index, piece) in &pieces {
                    batch.mark_saved(*index, piece);
                }
            }
            Commit::Conflict(_) => {
                log::info!(target: BATCHES, batch = owned.id.as_str();
                    "Texts could not be saved: the batch is no longer run here.");
            }
            // The next save writes the same text again, with that which came meanwhile.
            Commit::Refused | Commit::Unknown => {}
        }
    }

    /// Reads the saved texts of a batch's items, without drafts, by item.
    pub(super) async fn read_saved_texts(
        &self,
        id: &str,
    ) -> Result<HashMap<String, Vec<SavedText>>, Failure> {
        let start = format!("{id}/");
        // '0' is the byte after '/'.
        let end = format!("{id}0");
        let mut items: HashMap<String, SavedPieces> = HashMap::new();
        self.read_pieces(id, (&start, &end), |key, piece| {
            if !key.is_draft {
                let pieces = items.entry(key.item.to_owned()).or_default();
                pieces.add(key.tenure, piece);
            }
        })
        .await?;
        let texts = items.into_iter().map(|(item, it)| (item, it.texts()));
        Ok(texts.collect())
    }

    /// Reads the pieces of a batch in a range of keys, from the first to before the second.
    pub(super) async fn read_pieces(
        &self,
        id: &str,
        (start, end): (&str, &str),
        mut record: impl FnMut(PieceKey<'_>, Piece),
    ) -> Result<(), Failure> {
        let part = row::bucket(id);
        let range = Range {
            start: Some(start),
            end: Some(end),
            ..Range::part(PIECES, &part)
        };
        for row in self.store.read_whole(&range).await?.rows {
            let key = PieceKey::parse(id, &row.id.key);
            let piece = serde_json::from_slice(&row.value).ok();
            match key.zip(piece) {
                Some((key, piece)) => record(key, piece),
                None => log::error!(target: BATCHES, row = row.id.key.as_str();
                    "A stored piece of a text could not be decoded; it is ignored."),
            }
        }
        Ok(())
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
