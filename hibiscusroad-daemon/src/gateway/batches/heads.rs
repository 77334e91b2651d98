//! What every process knows of all batches, from the store's feed.

use super::{Batches, HeadRow};
use crate::{gateway::sync::Sink, logs::BATCHES};
use hibiscusroad::{
    rollout::row::{self, Head},
    table::Row,
};
use std::{collections::HashSet, rc::Rc, time::Instant};
use tokio::task::spawn_local;

/// Builds the sink of the batches' heads.
pub(in crate::gateway) fn sink(batches: Rc<Batches>) -> Sink {
    let all = Rc::clone(&batches);
    Sink {
        table: row::BATCHES,
        parts: row::buckets().collect(),
        replace: Box::new(move |rows| {
            let ids: HashSet<String> = rows.iter().map(|row| row.id.key.clone()).collect();
            all.forget(|id| !ids.contains(id));
            for row in &rows {
                all.note(row);
            }
        }),
        change: Box::new(move |changes| {
            for id in &changes.removed {
                batches.forget(|known| known == id.key);
            }
            for row in &changes.rows {
                batches.note(row);
            }
        }),
        confirm: Box::new(|| {}),
    }
}

impl Batches {
    /// Takes in a head from the store; older ones than known are ignored.
    pub(super) fn note(self: &Rc<Self>, row: &Row) {
        let Some(head) = Head::decode(&row.value) else {
            log::error!(target: BATCHES, batch = row.id.key.as_str(), row = row.version;
                "A batch's head is broken; it is ignored.");
            return;
        };
        let id = row.id.key.as_str();
        if !self.set(id, head.clone(), row.version) {
            return;
        }
        let mine = self.mine.borrow().get(id).cloned();
        if head.ended || head.owner != self.life {
            if let Some(owned) = mine {
                self.mine.borrow_mut().remove(id);
                owned.stop();
                if head.ended && head.owner == self.life {
                    spawn_local(Rc::clone(self).linger(owned, row.version));
                } else {
                    owned.drop_drafts();
                }
                log::info!(target: BATCHES, batch = id, ended = head.ended,
                    owner = head.owner.as_str(), row = row.version;
                    "A batch is no longer run here.");
            }
        } else if mine.is_none() && !self.leaving.get() {
            // Another process gave the batch to this one, or a write of its own came
            // late.
            spawn_local(Rc::clone(self).adopt(id.to_owned(), head, row.version));
        } else if mine.is_none() {
            // It was given to this process while that one stops.
            let (batches, id) = (Rc::clone(self), id.to_owned());
            spawn_local(async move { batches.hand_on(&id).await });
        }
        self.owners.notify_one();
    }

    /// Keeps a head; `false` if a newer one is known.
    pub(super) fn set(&self, id: &str, head: Head, version: u64) -> bool {
        let mut heads = self.heads.borrow_mut();
        let known = heads.get(id);
        if known.is_some_and(|known| known.version >= version) {
            return false;
        }
        let since = known
            .filter(|known| known.head.owner == head.owner)
            .map_or_else(Instant::now, |known| known.since);
        let row = HeadRow {
            head,
            version,
            since,
        };
        heads.insert(id.to_owned(), row);
        self.arrived.notify_waiters();
        true
    }

    pub(super) fn head(&self, id: &str) -> Option<HeadRow> {
        self.heads.borrow().get(id).cloned()
    }

    /// Says whether a batch is known to belong to no account.
    pub(in crate::gateway) fn is_public(&self, id: &str) -> bool {
        let heads = self.heads.borrow();
        heads.get(id).is_some_and(|row| row.head.account.is_none())
    }

    fn forget(&self, gone: impl Fn(&str) -> bool) {
        self.heads.borrow_mut().retain(|id, _| !gone(id));
    }
}
