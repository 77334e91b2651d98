//! The scorer's call: an ordinary request through its own route.
//!
//! It runs only when the text is whole, and its text is not listed without its
//! signature. It may be repeated, and is until the batch's time is over.

use super::{Batches, Owned};
use crate::{
    gateway::{
        attempt::{Answer, AnswerBody, text},
        calls::pick_service,
        forward::{Content, Ended, Forward, run_to_end},
        request::internal_head,
        subject::Subject,
    },
    logs::BATCHES,
    platform::Backoff,
};
use hibiscusroad::{
    Class,
    catalog::{Kind, Route},
    clock::millis,
    rollout::Scorer,
};
use hibiscusroad_platform::header;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// How long one call may take if its route doesn't say.
const CALL: Duration = Duration::from_secs(3);
/// Pauses between calls: scorers share their service with callers in person.
const PAUSE: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(800));

impl Batches {
    /// Has an item's text scored.
    pub(super) async fn score(&self, owned: &Rc<Owned>, n: usize) {
        let item = &owned.submission.items[n];
        let Some(scorer) = &item.scorer else {
            owned.batch.borrow_mut().complete_scoring(n, None);
            owned.ready.notify_one();
            return;
        };
        let mut backoff = Backoff::new(PAUSE.0, PAUSE.1);
        let start = Instant::now();
        loop {
            let route = self
                .known
                .catalog()
                .and_then(|catalog| catalog.find(&scorer.host, &scorer.path).cloned());
            if let Some(route) = route {
                match self.call(scorer, &route).await {
                    Called::Score(score) => {
                        log::info!(target: BATCHES, batch = owned.id.as_str(),
                            item = item.id.as_str(), scorer = scorer.id.as_str(),
                            took_ms = millis(start.elapsed()); "The text of an item is scored.");
                        owned.batch.borrow_mut().complete_scoring(n, Some(score));
                        break;
                    }
                    Called::Rejected => {
                        if owned
                            .batch
                            .borrow_mut()
                            .record_scorer_failure(n, route.max_attempts)
                        {
                            log::info!(target: BATCHES, batch = owned.id.as_str(),
                                item = item.id.as_str(), scorer = scorer.id.as_str();
                                "A scorer fails each time; the item is errored.");
                            break;
                        }
                    }
                    Called::Failed => {}
                }
            }
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
        owned.ready.notify_one();
    }

    async fn call(&self, scorer: &Scorer, route: &Route) -> Called {
        let deadline = Instant::now() + route.timeout.unwrap_or(CALL);
        let head = match internal_head(&scorer.host, &scorer.path, &scorer.id, deadline) {
            Ok(head) => head,
            Err(error) => {
                log::error!(target: BATCHES, scorer = scorer.id.as_str(),
                    error = error.to_string().as_str(); "A scorer can't be called.");
                return Called::Rejected;
            }
        };
        let Some(service) = pick_service(route) else {
            return Called::Failed;
        };
        let content = Content::Whole(scorer.body.clone().into());
        let request = Forward {
            subject: Subject::new(&head, None, &content),
            head: Rc::new(head),
            content,
            service: service.to_owned(),
            class: Class::Partner,
            kind: Kind::Idempotent,
            // Each failure is counted by itself, so a call is not repeated.
            max_attempts: 1,
            tokens: 0,
        };
        match run_to_end(&self.line, request).await {
            Ended::Answer(answer, _) => judge(&answer),
            Ended::Refused(..) => Called::Failed,
        }
    }
}

enum Called {
    Score(String),
    /// The scorer failed by itself.
    Rejected,
    /// Nobody knows, or it didn't run.
    Failed,
}

fn judge(answer: &Answer) -> Called {
    let score = text(&answer.headers, header::SIGNATURE);
    match (answer.status.as_u16(), &answer.body, score) {
        (200..=299, AnswerBody::Whole(_), Some(score)) => Called::Score(score.to_owned()),
        (500, _, Some(_)) => Called::Rejected,
        _ => Called::Failed,
    }
}
