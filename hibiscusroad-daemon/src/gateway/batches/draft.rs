//! Drafts: second texts of items for a later batch.
//!
//! A trainer may go on without the slowest groups of a step and carry them over into a
//! later batch, where texts of old weights are no longer allowed. So while the last items
//! of a batch run, they are also run as drafts under the newest weights. A draft may
//! continue after the end of its batch; the later batch resumes behind its last event.
//!
//! Drafts use only engines that are at least half idle, at the lowest priority. A draft is
//! never listed in its own batch.

use super::{Batches, OwnedBatch, slot::Slot};
use crate::{gateway::failure::Failure, logs::BATCHES};
use futures_util::future::join_all;
use hibiscusroad::{
    catalog::Route,
    clock::millis,
    rollout::{
        Submission,
        row::{self, Head},
        text::{Piece, SavedPieces, Text},
    },
    table::{Change, Commit},
};
use std::{
    collections::HashSet,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    task::{AbortHandle, spawn_local},
    time::timeout,
};

/// How long a draft continues after the end of its batch; about two steps of a trainer.
const DRAFT_TTL: Duration = Duration::from_secs(8);
/// Time between two writes of drafts after the end of their batch.
const SAVE_INTERVAL: Duration = Duration::from_millis(300);

/// A second text of an item, for a later batch.
#[derive(Debug)]
pub(super) struct Draft {
    pub(super) text: Text,
    task: AbortHandle,
}

impl OwnedBatch {
    /// Stops all drafts.
    pub(super) fn drop_drafts(&self) {
        for (_, draft) in self.drafts.borrow_mut().drain() {
            draft.task.abort();
        }
    }

    /// Stops drafts of groups that are listed whole, which no later batch carries over.
    fn drop_unneeded_drafts(&self) {
        let batch = self.batch.borrow();
        let items = self.submission.items.iter().enumerate();
        let open_groups: HashSet<&str> = items
            .filter(|(index, _)| !batch.is_listed(*index))
            .map(|(_, item)| item.group.as_str())
            .collect();
        self.drafts.borrow_mut().retain(|index, draft| {
            let is_needed = open_groups.contains(self.submission.items[*index].group.as_str());
            if !is_needed {
                draft.task.abort();
            }
            is_needed
        });
    }

    /// Returns the pieces of drafts that are not saved yet.
    fn unsaved_draft_pieces(&self) -> Vec<(usize, Piece)> {
        let drafts = self.drafts.borrow();
        let found = drafts.iter().filter_map(|(index, draft)| {
            let piece = draft.text.unsaved_piece(0)?;
            Some((*index, piece))
        });
        found.collect()
    }

    /// Returns whether a draft runs or is not saved whole.
    fn has_open_drafts(&self) -> bool {
        let drafts = self.drafts.borrow();
        let is_open =
            |draft: &Draft| !draft.task.is_finished() || draft.text.unsaved_piece(0).is_some();
        drafts.values().any(is_open)
    }
}

impl Batches {
    /// Starts drafts of a batch's stragglers as far as engines have capacity; returns
    /// `false` if one of them waits for an engine.
    pub(super) fn draft_stragglers(self: &Rc<Self>, now: Instant, owned: &Rc<OwnedBatch>) -> bool {
        let Some((min_version, route)) = self.next_min_version(owned).zip(self.route(owned)) else {
            return true;
        };
        let stragglers = owned.batch.borrow().stragglers(min_version);
        let mut all_started = true;
        for index in stragglers {
            if !owned.drafts.borrow().contains_key(&index) {
                all_started &= self.start_draft(now, owned, &route, index, min_version);
            }
        }
        all_started
    }

    /// Returns the oldest weight version that a later batch of the same trainer is expected
    /// to allow, if versions were named since this batch was accepted. At least one more is
    /// named before the later batch.
    fn next_min_version(&self, owned: &OwnedBatch) -> Option<u64> {
        let model = owned.submission.model.as_deref()?;
        let newest = self.known.named_versions().get(model).copied()?;
        let initial_version = owned.submission.min_version + owned.version_lag;
        (newest > initial_version).then(|| (newest + 1).saturating_sub(owned.version_lag))
    }

    /// Starts the draft of an item; returns `false` if it has to wait for an engine.
    fn start_draft(
        self: &Rc<Self>,
        now: Instant,
        owned: &Rc<OwnedBatch>,
        route: &Route,
        index: usize,
        min_version: u64,
    ) -> bool {
        let Some(key) = self.choose_idle_engine(now, owned, route, index, min_version) else {
            return false;
        };
        let Some(endpoint) = self.endpoint(key) else {
            return false;
        };
        let slot = Slot::occupy(self, key);
        self.context.cold.reserve(&endpoint.id);
        self.record_sent_item(now, owned, key);
        let task = {
            let (batches, owned) = (Rc::clone(self), Rc::clone(owned));
            async move { batches.run_draft(&owned, index, slot, endpoint).await }
        };
        let draft = Draft {
            text: Text::default(),
            task: spawn_local(task).abort_handle(),
        };
        owned.drafts.borrow_mut().insert(index, draft);
        true
    }

    /// Saves the new pieces of drafts.
    pub(super) async fn save_drafts(&self, owned: &OwnedBatch) {
        owned.drop_unneeded_drafts();
        let pieces = owned.unsaved_draft_pieces();
        if pieces.is_empty() {
            return;
        }
        let mut change = Change::new().expect(row::head(&owned.id), owned.version.get());
        for (index, piece) in &pieces {
            let id = row::draft_piece(
                &owned.id,
                &owned.submission.items[*index].id,
                owned.tenure,
                piece,
            );
            let value = serde_json::to_vec(piece).unwrap_or_default();
            change = change.put(id, value);
        }
        // A failed write is repeated with the next save.
        if let Commit::Done { .. } = self.store.transact(&change).await {
            let mut drafts = owned.drafts.borrow_mut();
            for (index, piece) in &pieces {
                if let Some(draft) = drafts.get_mut(index) {
                    draft.text.mark_saved(piece);
                }
            }
        }
    }

    /// Runs the drafts of an ended batch until a later batch carries them over.
    pub(super) async fn finish_drafts(self: Rc<Self>, owned: Rc<OwnedBatch>, version: u64) {
        owned.version.set(version);
        let deadline = Instant::now() + DRAFT_TTL;
        while owned.has_open_drafts() && Instant::now() < deadline && !self.is_stopping.get() {
            // Enabled before the save, so that a change during the save is not missed.
            let mut changed = pin!(self.heads_changed.notified());
            changed.as_mut().enable();
            // The owner of the later batch runs these items from now on.
            if self.is_carried_over(&owned) {
                break;
            }
            self.save_drafts(&owned).await;
            let _is_changed = timeout(SAVE_INTERVAL, changed).await.is_ok();
        }
        log::info!(target: BATCHES, batch = owned.id.as_str(),
            drafts = owned.drafts.borrow().len(); "The drafts of an ended batch are stopped.");
        owned.drop_drafts();
    }

    /// Returns whether a later batch carries over a group that has drafts here.
    fn is_carried_over(&self, owned: &OwnedBatch) -> bool {
        let heads = self.heads.borrow();
        let Some(own) = heads.get(&owned.id).map(|row| &row.head) else {
            return true;
        };
        let drafts = owned.drafts.borrow();
        let items = drafts.keys().map(|index| &owned.submission.items[*index]);
        let groups: Vec<u32> = items.map(|item| row::group_hash(&item.group)).collect();
        let later = heads
            .values()
            .filter(|row| row.head.shares_texts_with(own) && row.head.accepted > own.accepted);
        later
            .flat_map(|row| &row.head.groups)
            .any(|group| groups.contains(group))
    }

    /// Reads the texts that earlier batches have of items that are carried over.
    pub(super) async fn read_carried_texts(
        &self,
        id: &str,
        head: &Head,
        submission: &Submission,
    ) -> Vec<(String, Text)> {
        let start = Instant::now();
        let reads = submission.items.iter().filter_map(|item| {
            let group = row::group_hash(&item.group);
            let position = head.groups.iter().position(|known| *known == group)?;
            let earlier = self.last_batch_with(id, head, group)?;
            (position < head.carried).then(|| self.read_texts(earlier, &item.id))
        });
        let read = join_all(reads).await;
        if read.is_empty() {
            return Vec::new();
        }
        let mut found = Vec::new();
        for texts in read {
            match texts {
                Ok(texts) => found.extend(texts),
                Err(failure) => log::info!(target: BATCHES, batch = id,
                    error = failure.to_string().as_str();
                    "The texts of a carried item could not be read; it starts without them."),
            }
        }
        log::info!(target: BATCHES, batch = id, texts = found.len(),
            took_ms = millis(start.elapsed()); "Texts of earlier batches are read.");
        found
    }

    /// Returns the last batch before this one that has a group.
    fn last_batch_with(&self, id: &str, head: &Head, group: u32) -> Option<String> {
        let heads = self.heads.borrow();
        let with = heads.iter().filter(|(known, row)| {
            known.as_str() != id
                && row.head.shares_texts_with(head)
                && row.head.accepted <= head.accepted
                && row.head.groups.contains(&group)
        });
        let last = with.max_by_key(|(_, row)| row.head.accepted);
        last.map(|(known, _)| known.clone())
    }

    /// Reads the texts that a batch has of an item: its own one and its drafts.
    async fn read_texts(&self, batch: String, item: &str) -> Result<Vec<(String, Text)>, Failure> {
        let start = format!("{batch}/{item}/");
        // '0' is the byte after '/'.
        let end = format!("{batch}/{item}0");
        let (mut own, mut drafts) = (SavedPieces::new(), SavedPieces::new());
        self.read_pieces(&batch, (&start, &end), |key, piece| {
            let pieces = if key.is_draft { &mut drafts } else { &mut own };
            pieces.add(key.tenure, piece);
        })
        .await?;
        let texts = own.texts().into_iter().chain(drafts.texts());
        Ok(texts.map(|saved| (item.to_owned(), saved.text)).collect())
    }
}
