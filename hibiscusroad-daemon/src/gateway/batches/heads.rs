//! The head rows of all batches, followed from the store's feed.

use super::{Batches, HeadRow, OwnedBatch};
use crate::{
    gateway::sync::{Position, Sink},
    logs::BATCHES,
};
use hibiscusroad::{
    rollout::row::{self, Head},
    table::Row,
};
use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{task::spawn_local, time::sleep};

/// Delay before a batch is loaded again, which may fail in the same way each time.
const RELOAD_DELAY: Duration = Duration::from_millis(100);

/// Builds the sink of the batches' heads.
pub(in crate::gateway) fn sink(batches: Rc<Batches>) -> Sink {
    let all = Rc::clone(&batches);
    Sink {
        table: row::BATCHES,
        parts: row::buckets().collect(),
        replace: Box::new(move |rows, _version| {
            let ids: HashSet<String> = rows.iter().map(|row| row.id.key.clone()).collect();
            all.remove_heads(|id| !ids.contains(id));
            for row in &rows {
                all.record_head(row);
            }
        }),
        change: Box::new(move |changes| {
            for id in changes.removed() {
                batches.remove_heads(|known| known == id.key);
            }
            for row in changes.written() {
                batches.record_head(row);
            }
        }),
        confirm: Box::new(|| {}),
        pause: Box::new(|| Duration::ZERO),
        position: Position::default(),
    }
}

impl Batches {
    /// Applies a head row of the store, unless a newer version is known.
    pub(super) fn record_head(self: &Rc<Self>, row: &Row) {
        let Some(head) = Head::decode(&row.value) else {
            log::error!(target: BATCHES, batch = row.id.key.as_str(), row = row.version;
                "The head of a batch could not be decoded; it is ignored.");
            return;
        };
        let id = row.id.key.as_str();
        if !self.update_head(id, head.clone(), row.version) {
            return;
        }
        let running = self.owned.borrow().get(id).cloned();
        if head.ended || head.owner != self.incarnation {
            if let Some(owned) = running {
                self.owned.borrow_mut().remove(id);
                owned.stop();
                if owned.share_state.get().is_some() {
                    // The others share its slots, and metrics no longer count it.
                    self.wake_dispatcher();
                }
                if head.ended && head.owner == self.incarnation {
                    spawn_local(Rc::clone(self).finish_drafts(owned, row.version));
                } else {
                    owned.drop_drafts();
                }
                log::info!(target: BATCHES, batch = id, ended = head.ended,
                    owner = head.owner.as_str(), row = row.version;
                    "A batch is no longer run here.");
            }
        } else if let Some(owned) = running {
            if owned.version.get() < row.version && !self.is_stopping.get() {
                // Another process had the batch meanwhile, and may have listed results.
                log::info!(target: BATCHES, batch = id, version = owned.version.get(),
                    row = row.version; "A batch came back to its owner, which loads it again.");
                self.reload(&owned);
            }
        } else if !self.is_stopping.get() {
            // Another process handed the batch over, or a write of this process was
            // carried out late.
            spawn_local(Rc::clone(self).adopt(id.to_owned(), head, row.version));
        } else {
            // The batch was handed over to this process, which is stopping too.
            let (batches, id) = (Rc::clone(self), id.to_owned());
            spawn_local(async move { batches.hand_over(&id).await });
        }
        self.owners_changed.notify_one();
    }

    /// Loads a batch again whose stored results differ from those that are known here.
    pub(super) fn reload(self: &Rc<Self>, owned: &OwnedBatch) {
        let is_own = |row: &HeadRow| row.head.owner == self.incarnation && !row.head.ended;
        let Some(row) = self.head(&owned.id).filter(is_own) else {
            return;
        };
        self.owned.borrow_mut().remove(&owned.id);
        owned.stop();
        owned.drop_drafts();
        let (batches, id) = (Rc::clone(self), owned.id.clone());
        spawn_local(async move {
            sleep(RELOAD_DELAY).await;
            batches.adopt(id, row.head, row.version).await;
        });
    }

    /// Stores a head; returns `false` if this version or a newer one is known.
    pub(super) fn update_head(&self, id: &str, head: Head, version: u64) -> bool {
        let mut heads = self.heads.borrow_mut();
        let known = heads.get(id);
        if known.is_some_and(|known| known.version >= version) {
            return false;
        }
        let owner_since = known
            .filter(|known| known.head.owner == head.owner)
            .map_or_else(Instant::now, |known| known.owner_since);
        let row = HeadRow {
            head,
            version,
            owner_since,
        };
        heads.insert(id.to_owned(), row);
        self.heads_changed.notify_waiters();
        true
    }

    pub(super) fn head(&self, id: &str) -> Option<HeadRow> {
        self.heads.borrow().get(id).cloned()
    }

    /// Returns whether a batch is known and belongs to no client account.
    pub(in crate::gateway) fn is_public(&self, id: &str) -> bool {
        let heads = self.heads.borrow();
        heads.get(id).is_some_and(|row| row.head.account.is_none())
    }

    fn remove_heads(&self, is_removed: impl Fn(&str) -> bool) {
        self.heads.borrow_mut().retain(|id, _| !is_removed(id));
    }
}
