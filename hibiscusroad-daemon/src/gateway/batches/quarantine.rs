//! Items that engines seem to crash under.
//!
//! A connection that breaks counts as the crash of its engine until the engine answers another
//! request. A held item may be the only one left, so the engines are asked whether they live.

use super::{Batches, OwnedBatch};
use hibiscusroad::{
    quarantine::{EndpointIncarnation, ORDER_MARGIN, Verdict},
    roster::Endpoint,
};
use std::{rc::Rc, time::Duration};
use tokio::{task::spawn_local, time::sleep};

/// Time between two checks whether the quarantine of an item has ended.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Batches {
    /// Returns whether an item is in quarantine because engines crash while they run it.
    ///
    /// The item is held and not errored: it may run again when its quarantine ends.
    pub(super) fn is_quarantined(&self, owned: &OwnedBatch, index: usize) -> bool {
        let crashes = &self.context.crashes;
        if !crashes.has_evidence() {
            return false;
        }
        let subject = owned.subject(&owned.submission.items[index]);
        matches!(crashes.verdict(&subject), Verdict::Quarantined(_))
    }

    /// Asks the engines that seem to have ended under an item whether they live.
    pub(super) fn check_crashes(self: &Rc<Self>, owned: &OwnedBatch, index: usize) {
        let subject = owned.subject(&owned.submission.items[index]);
        for incarnation in self.context.crashes.doubtful_endpoints(&subject) {
            let Some(endpoint) = self.members.get(&incarnation.endpoint) else {
                continue;
            };
            let is_new = self
                .checked_engines
                .borrow_mut()
                .insert(incarnation.clone());
            if is_new {
                spawn_local(Rc::clone(self).check_engine(endpoint, incarnation));
            }
        }
    }

    /// Asks an engine for its report, which shows that it lives.
    async fn check_engine(self: Rc<Self>, endpoint: Endpoint, incarnation: EndpointIncarnation) {
        sleep(ORDER_MARGIN).await;
        let crashes = &self.context.crashes;
        let sent_at = crashes.now();
        if self.engine_calls.fetch_report(&endpoint).await.is_some() {
            crashes.record_life(&incarnation, sent_at);
            self.wake_dispatcher();
        }
        self.checked_engines.borrow_mut().remove(&incarnation);
    }
}
