//! Calls the scorer of an item, through the scorer's own route.
//!
//! The call is made when the text is complete, and the result is listed only with the
//! score. A call may be repeated, and is until the batch expires.
//!
//! Calls of scorers are of the class of partners, whose slots protect them from callers, and
//! callers from them. They wait in the turn of the batch's account, so that one trainer's
//! scorers don't hold up another's. They are served only in the regions that both the scorer's
//! route and the batch's account allow.

use super::{Batches, OwnedBatch};
use crate::{
    gateway::{
        accounts::QueueAccount,
        attempt::{Answer, AnswerBody},
        calls::pick_service,
        forward::{Ended, Forward, run_to_end},
        message::{Content, text},
        request::internal_head,
    },
    logs::BATCHES,
    platform::Backoff,
};
use hibiscusroad::{
    Class,
    catalog::{Kind, Route},
    clock::millis,
    rollout::Scorer,
    topology::RegionSet,
};
use hibiscusroad_platform::header;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Limit for one call if its route sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest and longest wait between calls: scorers share their service with interactive
/// callers.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(800));

impl Batches {
    /// Calls the scorer of an item until there is a score or the scorer fails too often.
    pub(super) async fn score_item(&self, owned: &Rc<OwnedBatch>, index: usize) {
        let item = &owned.submission.items[index];
        let Some(scorer) = &item.scorer else {
            owned.batch.borrow_mut().complete_scoring(index, None);
            owned.result_ready.notify_one();
            return;
        };
        let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
        let start = Instant::now();
        loop {
            let catalog = self.known.catalog();
            let route = catalog.as_ref().and_then(|catalog| {
                let route = catalog.find(&scorer.host, &scorer.path)?.clone();
                let account = QueueAccount::of_scorer(catalog, owned.account.as_deref());
                let regions = self.topology().allowed(&route.allowed_regions);
                let regions = regions.intersection(self.account_regions(owned));
                Some((route, account, regions))
            });
            if let Some((route, account, regions)) = route {
                match self.call_scorer(scorer, &route, account, regions).await {
                    ScorerOutcome::Score(score) => {
                        log::info!(target: BATCHES, batch = owned.id.as_str(),
                            item = item.id.as_str(), scorer = scorer.id.as_str(),
                            took_ms = millis(start.elapsed()); "The text of an item is scored.");
                        owned
                            .batch
                            .borrow_mut()
                            .complete_scoring(index, Some(score));
                        break;
                    }
                    ScorerOutcome::Rejected => {
                        if owned
                            .batch
                            .borrow_mut()
                            .record_scorer_failure(index, route.max_attempts)
                        {
                            log::info!(target: BATCHES, batch = owned.id.as_str(),
                                item = item.id.as_str(), scorer = scorer.id.as_str();
                                "The scorer has failed too often; the item is errored.");
                            break;
                        }
                    }
                    ScorerOutcome::Failed => {}
                }
            }
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
        owned.result_ready.notify_one();
    }

    /// Makes one call of a scorer.
    async fn call_scorer(
        &self,
        scorer: &Scorer,
        route: &Route,
        account: Option<QueueAccount>,
        regions: RegionSet,
    ) -> ScorerOutcome {
        let deadline = Instant::now() + route.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let head = match internal_head(&scorer.host, &scorer.path, &scorer.id, deadline) {
            Ok(head) => head,
            Err(error) => {
                log::error!(target: BATCHES, scorer = scorer.id.as_str(),
                    error = error.to_string().as_str();
                    "The request of a scorer could not be built.");
                return ScorerOutcome::Rejected;
            }
        };
        let Some(service) = pick_service(route) else {
            return ScorerOutcome::Failed;
        };
        let content = Content::Whole(scorer.body.clone().into());
        let request = Forward {
            subject: None,
            head: Rc::new(head),
            content,
            service: service.to_owned(),
            class: Class::Partner,
            kind: Kind::Idempotent,
            // The caller repeats the call and counts its failures.
            max_attempts: 1,
            tokens: 0,
            account,
            regions,
        };
        match run_to_end(&self.context, request).await {
            Ended::Answer(answer, _) => classify(&answer),
            Ended::Refused(..) => ScorerOutcome::Failed,
        }
    }
}

/// The outcome of one call of a scorer.
enum ScorerOutcome {
    Score(String),
    /// The scorer reported a failure.
    Rejected,
    /// The outcome is unknown, or the scorer didn't run.
    Failed,
}

/// Returns the outcome that an answer stands for.
fn classify(answer: &Answer) -> ScorerOutcome {
    let score = text(&answer.headers, header::SIGNATURE);
    match (answer.status.as_u16(), &answer.body, score) {
        (200..=299, AnswerBody::Whole(_), Some(score)) => ScorerOutcome::Score(score.to_owned()),
        (500, _, Some(_)) => ScorerOutcome::Rejected,
        _ => ScorerOutcome::Failed,
    }
}
