//! Keeps the texts of running items, for the owner that comes after a failure.
//!
//! A long item takes as long as a whole step may: if it began anew with each
//! change of owner, every killed, frozen or stopped process would cost a step.
//! With its text kept, a takeover loses what came since the last write, and
//! goes on at another engine behind the last event.
//!
//! Only what is new is written. Like a result, a part is written only while the
//! head is as this owner left it.

use super::{Batches, Owned};
use crate::{gateway::failure::Failure, logs::BATCHES};
use hibiscusroad::{
    rollout::{
        row::{self, PIECES},
        text::Piece,
    },
    table::{Change, Commit, Range, RowId},
};
use hibiscusroad_platform::table::MAX_ENTRIES;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time between two writes: what a takeover loses, beside the silence before it.
const KEEP: Duration = Duration::from_millis(400);
/// Bytes of one write.
const WRITE: usize = 600 << 10;

impl Batches {
    /// Keeps texts for as long as the batch runs here.
    pub(super) async fn keep_pieces(self: Rc<Self>, owned: Rc<Owned>) {
        while !owned.batch.borrow().is_complete() {
            sleep(KEEP).await;
            self.keep_once(&owned).await;
            self.keep_drafts(&owned).await;
        }
    }

    /// Keeps what has come since the last time.
    pub(super) async fn keep_once(&self, owned: &Owned) {
        let mut pieces = owned.batch.borrow().unsaved_pieces(MAX_ENTRIES / 2);
        let mut bytes = 0;
        pieces.retain(|(_, piece)| {
            bytes += piece.text.len();
            bytes <= WRITE && piece.text.len() < self.row_bytes / 2
        });
        if pieces.is_empty() {
            return;
        }
        let mut change = Change::new().expect(row::head(&owned.id), owned.version.get());
        let mut rows = Vec::new();
        for (n, piece) in &pieces {
            let id = row::piece(&owned.id, &owned.submission.items[*n].id, piece);
            let value = serde_json::to_vec(piece).unwrap_or_default();
            change = change.put(id.clone(), value);
            rows.push(id);
        }
        match self.store.transact(&change).await {
            Commit::Done { .. } => {
                let mut batch = owned.batch.borrow_mut();
                for (n, piece) in &pieces {
                    batch.mark_saved(*n, piece);
                }
                owned.pieces.borrow_mut().extend(rows);
            }
            Commit::Conflict(_) => {
                log::info!(target: BATCHES, batch = owned.id.as_str();
                    "Texts are not kept: the batch is no longer run here.");
            }
            // Written again, longer, the next time: the rows have the same names.
            Commit::Refused | Commit::Unknown => {}
        }
    }

    /// Reads the kept parts of a batch's texts, in the order of their growth.
    pub(super) async fn pieces(&self, id: &str) -> Result<Vec<(RowId, String, Piece)>, Failure> {
        let part = row::bucket(id);
        let from = format!("{id}/");
        // The slash behind the batch is followed by a zero in byte order.
        let end = format!("{id}0");
        let range = Range {
            start: Some(&from),
            end: Some(&end),
            ..Range::part(PIECES, &part)
        };
        let mut found = Vec::new();
        for row in self.store.read_whole(&range).await?.rows {
            let name = row::parse_piece_key(id, &row.id.key);
            let piece = serde_json::from_slice(&row.value).ok();
            match name.zip(piece) {
                // A draft is for a later batch.
                Some(((_, tenure), _)) if !tenure.is_empty() => {}
                Some(((item, _), piece)) => {
                    let item = item.to_owned();
                    found.push((row.id, item, piece));
                }
                None => log::error!(target: BATCHES, row = row.id.key.as_str();
                    "A kept part of a text is broken; it is ignored."),
            }
        }
        Ok(found)
    }
}
