//! Batches that go to another process than the one that accepted them.
//!
//! The store says whose a batch is, and its new owner would hear of it from there. But
//! it would read the submission again, 0.06 to 0.1 s after the trainer had its answer,
//! and hear nothing at all for a second while the store drops its history. So the
//! process that accepted the batch tells the owner itself and sends the submission
//! along. Nothing rests on that: what isn't told, or is told late or twice, is what the
//! store's news would have brought, and writes for a batch hold only under the version
//! of its row.

use super::{Batches, owner::Loaded};
use crate::logs::BATCHES;
use hibiscusroad::{
    rollout::row::{self, Head},
    table::Row,
};
use hibiscusroad_platform::batch;
use hibiscusroad_wire::peer;
use hyper::body::Bytes;
use std::{net::SocketAddr, rc::Rc};
use tokio::task::spawn_local;

/// Who runs a new batch.
#[derive(Clone, Debug)]
pub(super) struct Owner {
    /// Its life.
    pub(super) life: String,
    /// Where it takes batches, if it isn't this process and does.
    pub(super) peer: Option<SocketAddr>,
}

impl Batches {
    /// Tells the owner of a batch that it is one.
    pub(super) async fn give(
        self: Rc<Self>,
        to: SocketAddr,
        id: String,
        version: u64,
        head: Head,
        submission: Bytes,
    ) {
        let given = peer::Batch {
            id: id.clone(),
            version,
            head: head.encode(),
            submission: submission.to_vec(),
        };
        if let Err(error) = self.store.peers().push_batch(to, given).await {
            log::info!(target: BATCHES, batch = id.as_str(), to = head.owner.as_str(),
                error = error.to_string().as_str();
                "A batch was not given to its owner, which hears of it from the store.");
        }
    }

    /// Takes a batch that a peer says is this process's.
    pub(in crate::gateway) fn take(self: &Rc<Self>, given: peer::Batch) {
        let Some(head) = Head::decode(&given.head).filter(|head| head.owner == self.life) else {
            log::warn!(target: BATCHES, batch = given.id.as_str();
                "A batch was given to this process that isn't its own; it is ignored.");
            return;
        };
        let submission = match batch::decode_submission(&given.submission) {
            Ok(submission) => submission,
            Err(error) => {
                log::warn!(target: BATCHES, batch = given.id.as_str(),
                    error = error.to_string().as_str();
                    "The submission of a batch that was given is not understood.");
                return;
            }
        };
        if self.leaving.get() || !self.set(&given.id, head.clone(), given.version) {
            // KnownConfig already, or left to the next owner by what the store tells.
            self.note(&Row {
                id: row::head(&given.id),
                value: given.head,
                version: given.version,
            });
            return;
        }
        self.show_life();
        let loaded = Loaded::fresh(submission);
        spawn_local(Rc::clone(self).begin(given.id, head, given.version, loaded));
    }
}
