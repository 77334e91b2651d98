//! Passes a new batch to the process that is to run it.
//!
//! The new owner would learn of the batch from the store's feed and read the submission
//! there. Sending both directly is faster, and only an optimisation: a message that is
//! lost, late or repeated does no harm, since each write of a batch is conditional on the
//! version of its head row. The owner is chosen among processes that may hold the batch, so the
//! submission reaches no region that isn't allowed.

use super::{Batches, owner::BatchState};
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

/// The process that is to run a new batch.
#[derive(Clone, Debug)]
pub(super) struct Owner {
    pub(super) incarnation: String,
    /// Its address, if it is another process that accepts batches of peers.
    pub(super) address: Option<SocketAddr>,
}

impl Batches {
    /// Sends a batch to its owner.
    pub(super) async fn send_to_owner(
        self: Rc<Self>,
        to: SocketAddr,
        id: String,
        version: u64,
        head: Head,
        submission: Bytes,
    ) {
        let message = peer::Batch {
            id: id.clone(),
            version,
            head: head.encode(),
            submission: submission.to_vec(),
        };
        if let Err(error) = self.store.peers().push_batch(to, message).await {
            log::info!(target: BATCHES, batch = id.as_str(), to = head.owner.as_str(),
                error = error.to_string().as_str();
                "A batch could not be sent to its owner, which learns of it from the store.");
        }
    }

    /// Receives a batch that a peer has accepted for this process.
    pub(in crate::gateway) fn receive(self: &Rc<Self>, message: peer::Batch) {
        let Some(head) = Head::decode(&message.head).filter(|head| head.owner == self.incarnation)
        else {
            log::warn!(target: BATCHES, batch = message.id.as_str();
                "A batch from a peer names another owner; it is ignored.");
            return;
        };
        let submission = match batch::decode_submission(&message.submission) {
            Ok(submission) => submission,
            Err(error) => {
                log::warn!(target: BATCHES, batch = message.id.as_str(),
                    error = error.to_string().as_str();
                    "The submission of a batch from a peer could not be decoded.");
                return;
            }
        };
        if self.is_stopping.get()
            || !self.may_hold(&head)
            || !self.update_head(&message.id, head.clone(), message.version)
        {
            // The head is known already, or the process is stopping or may not hold the batch, and
            // hands it over.
            self.record_head(&Row {
                id: row::head(&message.id),
                value: message.head,
                version: message.version,
            });
            return;
        }
        self.mark_owning();
        let state = BatchState::new(submission);
        spawn_local(Rc::clone(self).begin(message.id, head, message.version, state));
    }
}
