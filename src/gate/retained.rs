//! Complete answers that are retained for a repeat of their request.
//!
//! They are stored apart from the attempts, because there may be thousands for
//! each running attempt, and [`Gate::tick`](crate::gate::Gate::tick) iterates
//! over all attempts.

use crate::{gate::attempt::Body, id::RequestId};
use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

/// Queue length beyond twice the number of answers that starts a compaction.
const COMPACTION_SLACK: usize = 64;

/// Complete answers that no entry is reading.
#[derive(Debug, Default)]
pub(crate) struct RetainedAnswers {
    answers: HashMap<RequestId, (Instant, Body)>,
    /// Answers from oldest to newest. Removing an answer leaves a stale item.
    queue: VecDeque<(Instant, RequestId)>,
}

impl RetainedAnswers {
    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.answers.contains_key(&id)
    }

    pub(crate) fn insert(&mut self, now: Instant, id: RequestId, body: Body) {
        self.answers.insert(id, (now, body));
        self.queue.push_back((now, id));
        if self.queue.len() > 2 * self.answers.len() + COMPACTION_SLACK {
            self.compact();
        }
    }

    /// Drops the stale items of the queue, which would otherwise grow with each
    /// repeat of the same request.
    fn compact(&mut self) {
        let answers = &self.answers;
        let is_current = |(since, id): &(Instant, RequestId)| {
            answers.get(id).is_some_and(|(stored, _)| stored == since)
        };
        self.queue.retain(is_current);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Body> {
        self.answers.remove(&id).map(|(_, body)| body)
    }

    /// Removes the oldest answer; returns it with the time of its insertion.
    pub(crate) fn pop_oldest(&mut self) -> Option<(Instant, RequestId, Body)> {
        while let Some((since, id)) = self.queue.pop_front() {
            if self.inserted_at(id) == Some(since) {
                return self.remove(id).map(|body| (since, id, body));
            }
        }
        None
    }

    /// Removes the oldest answer if the front of the queue was inserted at or
    /// before `cutoff`.
    pub(crate) fn pop_until(&mut self, cutoff: Instant) -> Option<(Instant, RequestId, Body)> {
        let (since, _) = self.queue.front()?;
        if *since > cutoff {
            return None;
        }
        self.pop_oldest()
    }

    fn inserted_at(&self, id: RequestId) -> Option<Instant> {
        self.answers.get(&id).map(|(since, _)| *since)
    }
}
