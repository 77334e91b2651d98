//! The endpoint's part: its answers, its limit, and whether it takes work.

use crate::{
    error::ErrorKind,
    gate::{Frame, Gate, GateLoad, Head, LINK_SILENCE, Run, attempt::Attempt},
    id::RequestId,
};
use std::{sync::Arc, time::Instant};

impl Gate {
    /// Takes the status and headers that the endpoint answered.
    pub fn head(&mut self, id: RequestId, head: Head) {
        let Some(row) = self.attempts.get_mut(&id) else {
            return;
        };
        let head = row.body.set_head(head);
        self.tell(id, &Frame::Head { id, head });
    }

    /// Takes bytes of the endpoint's answer.
    pub fn bytes(&mut self, id: RequestId, data: Arc<[u8]>) {
        let Some(row) = self.attempts.get_mut(&id) else {
            return;
        };
        if data.is_empty() {
            return;
        }
        self.held += data.len();
        let chunk = row.body.push(data);
        self.tell(id, &Frame::Chunk { id, chunk });
        self.trim(id);
        self.make_room(id);
        self.settle_flow(id);
    }

    /// Notes that the endpoint's answer is whole.
    pub fn finish(&mut self, now: Instant, id: RequestId, runs: Vec<Run>) {
        self.calls.remove(&id);
        let Some(row) = self.attempts.get_mut(&id) else {
            return;
        };
        row.done = true;
        row.retained_since = now;
        let runs = row.body.set_runs(runs);
        let length = row.body.length();
        self.tell(id, &Frame::End { id, length, runs });
        self.settle(now, id);
    }

    /// Notes that the call of an attempt ended without a whole answer.
    ///
    /// A `kind` that says "not run" must be true: the side uses one only if it
    /// sent the endpoint nothing.
    pub fn fail(&mut self, now: Instant, id: RequestId, kind: ErrorKind) {
        self.calls.remove(&id);
        if self.attempts.contains_key(&id) {
            self.tell(id, &Frame::Refused { id, kind });
            self.bury(now, id, kind);
        }
    }

    /// Sets how many requests the endpoint works on at once.
    pub fn set_limit(&mut self, limit: u32) {
        self.spec.limit = limit;
    }

    /// Says whether new work is refused. What runs is not touched.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Says whether new work is refused.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Says whether nothing runs and no entry waits for an answer.
    ///
    /// An entry that doesn't acknowledge counts as served when its link has
    /// outlived the answer by [`LINK_SILENCE`]: a link
    /// that did not deliver would have been found silent.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        let served = |row: &Attempt| {
            let linked = row.readers.iter().all(|reader| reader.link.is_some());
            row.readers.is_empty()
                || (row.done && linked && row.retained_since + LINK_SILENCE <= now)
        };
        self.calls.is_empty() && self.attempts.values().all(served)
    }

    /// Returns what the gate reports of itself.
    #[must_use]
    pub fn load(&self) -> GateLoad {
        GateLoad {
            running: u32::try_from(self.calls.len()).unwrap_or(u32::MAX),
            limit: self.spec.limit,
            held: self.held,
            tombs: self.tombstones.len(),
            attempts: self.attempts.len() + self.retained.len(),
        }
    }
}
