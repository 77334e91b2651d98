//! Texts for the batch after next: drafts of stragglers, and what is carried over.
//!
//! Load: a trainer goes on without the slowest groups of a step. They come again in
//! a later one, which can't end before they are whole. Harm: an item as long as a
//! step may last began anew there each time, so that step took its whole time, and
//! the steps behind it fell back: one came each 4.5 s where one is planned each
//! 4 s. What there is of its text is made by weights that are too old by then.
//!
//! So while the last items of a batch run and engines have room, those items are
//! run a second time under the newest weights, as drafts. A draft goes on after the
//! batch has ended, until the batch comes that carries its group over, and that one
//! goes on behind its last event. A draft is never listed: it is an ordinary text
//! only for a later batch. It takes an engine that is at least half empty, at the
//! lowest priority, so nothing else waits for it.

use super::{Batches, Owned, seat::Seat};
use crate::{gateway::failure::Failure, logs::BATCHES};
use futures_util::future::join_all;
use hibiscusroad::{
    catalog::Route,
    clock::millis,
    rollout::{
        Submission,
        row::{self, Head, PIECES},
        text::{self, Piece, Text},
    },
    table::{Change, Commit, Range},
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

/// How long a draft goes on after its batch has ended. A trainer trains for a
/// second or so and then asks for a later step; one that asks for none is given
/// two of the usual steps.
const LINGER: Duration = Duration::from_secs(8);
/// Time between two writes of drafts after the end: the next batch begins behind
/// what is kept.
const KEEP: Duration = Duration::from_millis(300);

/// A second text of an item.
#[derive(Debug)]
pub(super) struct Draft {
    pub(super) text: Text,
    task: AbortHandle,
}

impl Owned {
    /// Stops all drafts.
    pub(super) fn drop_drafts(&self) {
        for (_, draft) in self.drafts.borrow_mut().drain() {
            draft.task.abort();
        }
    }

    /// Stops drafts of groups that are whole: no later batch has them.
    fn drop_needless_drafts(&self) {
        let batch = self.batch.borrow();
        let items = self.submission.items.iter().enumerate();
        let open: HashSet<&str> = items
            .filter(|(n, _)| !batch.is_listed(*n))
            .map(|(_, item)| item.group.as_str())
            .collect();
        self.drafts.borrow_mut().retain(|n, draft| {
            let needed = open.contains(self.submission.items[*n].group.as_str());
            if !needed {
                draft.task.abort();
            }
            needed
        });
    }

    /// Returns what of drafts isn't kept yet.
    fn unkept_drafts(&self) -> Vec<(usize, Piece)> {
        let drafts = self.drafts.borrow();
        let found = drafts.iter().filter_map(|(n, draft)| {
            let piece = draft.text.unsaved_piece(0)?;
            Some((*n, piece))
        });
        found.collect()
    }

    fn has_open_drafts(&self) -> bool {
        let drafts = self.drafts.borrow();
        let open =
            |draft: &Draft| !draft.task.is_finished() || draft.text.unsaved_piece(0).is_some();
        drafts.values().any(open)
    }
}

impl Batches {
    /// Starts drafts of a batch's stragglers, where there is room; `false` if one
    /// waits for an engine, of which nothing may tell when it is free.
    pub(super) fn draft_stragglers(self: &Rc<Self>, now: Instant, owned: &Rc<Owned>) -> bool {
        let Some((floor, route)) = self.next_floor(owned).zip(self.route(owned)) else {
            return true;
        };
        let stragglers = owned.batch.borrow().stragglers(floor);
        let mut all = true;
        for n in stragglers {
            if !owned.drafts.borrow().contains_key(&n) {
                all &= self.draft_one(now, owned, &route, n, floor);
            }
        }
        all
    }

    /// Returns the oldest weights that a later batch of the same trainer will take,
    /// once such weights are named: at least one version more is named before it.
    fn next_floor(&self, owned: &Owned) -> Option<u64> {
        let model = owned.submission.model.as_deref()?;
        let named = self.known.named_versions().get(model).copied()?;
        let began = owned.submission.min_version + owned.lag;
        (named > began).then(|| (named + 1).saturating_sub(owned.lag))
    }

    fn draft_one(
        self: &Rc<Self>,
        now: Instant,
        owned: &Rc<Owned>,
        route: &Route,
        n: usize,
        floor: u64,
    ) -> bool {
        if self.is_quarantined(owned, n) {
            return true;
        }
        let Some(key) = self.choose_idle(now, owned, route, n, floor) else {
            return false;
        };
        let Some(endpoint) = self.endpoint(key) else {
            return false;
        };
        let seat = Seat::take(self, key);
        let run = {
            let (batches, owned) = (Rc::clone(self), Rc::clone(owned));
            async move { batches.draft(&owned, n, seat, endpoint).await }
        };
        let draft = Draft {
            text: Text::default(),
            task: spawn_local(run).abort_handle(),
        };
        owned.drafts.borrow_mut().insert(n, draft);
        true
    }

    /// Keeps what drafts have grown by.
    pub(super) async fn keep_drafts(&self, owned: &Owned) {
        owned.drop_needless_drafts();
        let pieces = owned.unkept_drafts();
        if pieces.is_empty() {
            return;
        }
        let mut change = Change::new().expect(row::head(&owned.id), owned.version.get());
        for (n, piece) in &pieces {
            let id = row::draft_piece(
                &owned.id,
                &owned.submission.items[*n].id,
                owned.tenure,
                piece,
            );
            let value = serde_json::to_vec(piece).unwrap_or_default();
            change = change.put(id, value);
        }
        // What isn't done is written again, longer, the next time.
        if let Commit::Done { .. } = self.store.transact(&change).await {
            let mut drafts = owned.drafts.borrow_mut();
            for (n, piece) in &pieces {
                if let Some(draft) = drafts.get_mut(n) {
                    draft.text.mark_saved(piece);
                }
            }
        }
    }

    /// Lets the drafts of a batch that has ended go on until they are needed.
    pub(super) async fn linger(self: Rc<Self>, owned: Rc<Owned>, version: u64) {
        owned.version.set(version);
        let end = Instant::now() + LINGER;
        while owned.has_open_drafts() && Instant::now() < end && !self.leaving.get() {
            // Listened for from here on, or a batch that comes while parts are kept
            // would be missed.
            let mut arrived = pin!(self.arrived.notified());
            arrived.as_mut().enable();
            // The owner of the next batch goes on with them elsewhere: two runs of
            // one item must not both go on.
            if self.is_carried_on(&owned) {
                break;
            }
            self.keep_drafts(&owned).await;
            let _early = timeout(KEEP, arrived).await.is_ok();
        }
        log::info!(target: BATCHES, batch = owned.id.as_str(),
            drafts = owned.drafts.borrow().len(); "The drafts of a batch are left.");
        owned.drop_drafts();
    }

    /// Says whether a later batch carries over a group that has drafts here.
    fn is_carried_on(&self, owned: &Owned) -> bool {
        let heads = self.heads.borrow();
        let Some(own) = heads.get(&owned.id).map(|row| &row.head) else {
            return true;
        };
        let drafts = owned.drafts.borrow();
        let items = drafts.keys().map(|n| &owned.submission.items[*n]);
        let groups: Vec<u32> = items.map(|item| row::group_hash(&item.group)).collect();
        let later = heads
            .values()
            .filter(|row| row.head.shares_texts_with(own) && row.head.accepted > own.accepted);
        later
            .flat_map(|row| &row.head.groups)
            .any(|group| groups.contains(group))
    }

    /// Reads what earlier batches have of the texts of items that are carried over.
    pub(super) async fn carried_texts(
        &self,
        id: &str,
        head: &Head,
        submission: &Submission,
    ) -> Vec<(String, Text)> {
        let start = Instant::now();
        let reads = submission.items.iter().filter_map(|item| {
            let group = row::group_hash(&item.group);
            let place = head.groups.iter().position(|known| *known == group)?;
            let before = self.last_with(id, head, group)?;
            (place < head.carried).then(|| self.texts(before, &item.id))
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
                    error = failure.to_string().as_str(); "A text is not carried over."),
            }
        }
        log::info!(target: BATCHES, batch = id, texts = found.len(),
            took_ms = millis(start.elapsed()); "Texts of earlier batches are read.");
        found
    }

    /// Finds the last batch before this one with a group.
    fn last_with(&self, id: &str, head: &Head, group: u32) -> Option<String> {
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

    /// Reads the texts of an item that a batch has: its own and its drafts.
    async fn texts(&self, batch: String, item: &str) -> Result<Vec<(String, Text)>, Failure> {
        let part = row::bucket(&batch);
        let from = format!("{batch}/{item}/");
        // The slash behind the item is followed by a zero in byte order.
        let end = format!("{batch}/{item}0");
        let range = Range {
            start: Some(&from),
            end: Some(&end),
            ..Range::part(PIECES, &part)
        };
        let rows = self.store.read_whole(&range).await?.rows;
        let parts = rows.iter().filter_map(|row| {
            let name = row::parse_piece_key(&batch, &row.id.key);
            let piece = serde_json::from_slice::<Piece>(&row.value).ok();
            let part = name.zip(piece).map(|((_, tenure), piece)| (tenure, piece));
            if part.is_none() {
                log::error!(target: BATCHES, row = row.id.key.as_str();
                    "A kept part of a text is broken; it is ignored.");
            }
            part
        });
        let texts = text::assemble(parts).into_iter();
        Ok(texts.map(|text| (item.to_owned(), text)).collect())
    }
}
