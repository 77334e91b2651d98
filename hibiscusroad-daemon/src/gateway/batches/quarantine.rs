//! Items that engines seem to crash under.
//!
//! A connection that breaks counts as the crash of its engine until the engine answers another
//! request. A held item may be the only one left, so the engines are asked whether they live.

use super::{Batches, OwnedBatch};
use hibiscusroad::{
    quarantine::{EndpointIncarnation, ORDER_MARGIN, Verdict},
    roster::Endpoint,
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{task::spawn_local, time::sleep};

/// Time between two checks whether the quarantine of an item has ended.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two questions to an engine, longer than one takes.
const QUESTION_INTERVAL: Duration = Duration::from_secs(1);

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
        let now = Instant::now();
        let mut checks = self.life_checks.borrow_mut();
        checks.retain(|_, asked_at| now < *asked_at + QUESTION_INTERVAL);
        let subject = owned.subject(&owned.submission.items[index]);
        for incarnation in self.context.crashes.doubtful_endpoints(&subject) {
            let Some(endpoint) = self.members.get(&incarnation.endpoint) else {
                continue;
            };
            if !checks.contains_key(&incarnation) {
                checks.insert(incarnation.clone(), now);
                spawn_local(Rc::clone(self).check_engine(endpoint, incarnation));
            }
        }
    }

    /// Asks an engine for its report, which shows that it lives.
    async fn check_engine(self: Rc<Self>, endpoint: Endpoint, incarnation: EndpointIncarnation) {
        sleep(ORDER_MARGIN).await;
        let crashes = &self.context.crashes;
        let sent_at = crashes.now();
        let answers = self.engine_calls.fetch_report(&endpoint).await.is_some();
        // Another engine may have its address by now.
        let current = self.members.get(&incarnation.endpoint);
        let is_same = current.is_some_and(|it| it.started_ms == incarnation.started_ms);
        if answers && is_same {
            crashes.record_life(&incarnation, sent_at);
            self.wake_dispatcher();
        }
    }
}
