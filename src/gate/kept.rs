//! Answers that are kept for a repeat of their request.
//!
//! They lie apart from the attempts, because there may be thousands for each
//! attempt that runs: the systems that run over the attempts each tick must not
//! pass over them.

use crate::{gate::attempt::Body, id::RequestId};
use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

/// Places that may be left behind before they are dropped.
const SLACK: usize = 64;

/// Whole answers that no entry reads at present.
#[derive(Debug, Default)]
pub(crate) struct Kept {
    rows: HashMap<RequestId, (Instant, Body)>,
    /// The oldest first. A row that was taken out leaves its place behind.
    order: VecDeque<(Instant, RequestId)>,
}

impl Kept {
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.rows.contains_key(&id)
    }

    pub(crate) fn insert(&mut self, now: Instant, id: RequestId, body: Body) {
        self.rows.insert(id, (now, body));
        self.order.push_back((now, id));
        if self.order.len() > 2 * self.rows.len() + SLACK {
            self.compact();
        }
    }

    /// Drops the places of rows that were taken out: a caller who repeats one
    /// request again and again leaves a place behind each time.
    fn compact(&mut self) {
        let rows = &self.rows;
        let stands = |(since, id): &(Instant, RequestId)| {
            rows.get(id).is_some_and(|(kept, _)| kept == since)
        };
        self.order.retain(stands);
    }

    pub(crate) fn take(&mut self, id: RequestId) -> Option<Body> {
        self.rows.remove(&id).map(|(_, body)| body)
    }

    /// Takes out the oldest answer, with the time since which it was kept.
    pub(crate) fn pop(&mut self) -> Option<(Instant, RequestId, Body)> {
        while let Some((since, id)) = self.order.pop_front() {
            if self.since(id) == Some(since) {
                return self.take(id).map(|body| (since, id, body));
            }
        }
        None
    }

    /// Takes out the oldest answer if it was kept at or before `limit`.
    pub(crate) fn pop_until(&mut self, limit: Instant) -> Option<(Instant, RequestId, Body)> {
        let (since, _) = self.order.front()?;
        if *since > limit {
            return None;
        }
        self.pop()
    }

    fn since(&self, id: RequestId) -> Option<Instant> {
        self.rows.get(&id).map(|(since, _)| *since)
    }
}
