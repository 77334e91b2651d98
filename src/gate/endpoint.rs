//! Events of the endpoint: its answers, its concurrency limit and draining.

use crate::{
    error::ErrorKind,
    gate::{Frame, Gate, GateLoad, Head, LINK_TIMEOUT, VersionRun, attempt::Attempt},
    id::RequestId,
};
use std::{sync::Arc, time::Instant};

impl Gate {
    /// Handles the status and headers of the endpoint's answer.
    pub fn receive_head(&mut self, id: RequestId, head: Head) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let head = attempt.body.set_head(head);
        self.send_to_readers(id, &Frame::Head { id, head });
    }

    /// Handles bytes of the endpoint's answer.
    pub fn receive_bytes(&mut self, id: RequestId, data: Arc<[u8]>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if data.is_empty() {
            return;
        }
        self.buffered += data.len();
        let chunk = attempt.body.push(data);
        self.send_to_readers(id, &Frame::Chunk { id, chunk });
        self.drop_acked(id);
        self.make_room(id);
        self.update_flow(id);
    }

    /// Handles the end of the endpoint's answer.
    pub fn finish(&mut self, now: Instant, id: RequestId, runs: Vec<VersionRun>) {
        self.open_calls.remove(&id);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.done = true;
        attempt.retained_since = now;
        let runs = attempt.body.set_runs(runs);
        let length = attempt.body.length();
        self.send_to_readers(id, &Frame::End { id, length, runs });
        self.update_attempt(now, id);
    }

    /// Handles the failure of a call before its answer was complete.
    ///
    /// `kind` may say "not run" only if nothing was sent to the endpoint.
    pub fn fail(&mut self, now: Instant, id: RequestId, kind: ErrorKind) {
        self.open_calls.remove(&id);
        if self.attempts.contains_key(&id) {
            self.send_to_readers(id, &Frame::Refused { id, kind });
            self.replace_by_tombstone(now, id, kind);
        }
    }

    /// Sets the number of requests that the endpoint runs at once.
    pub fn set_max_running(&mut self, max_running: u32) {
        self.limits.max_running = max_running;
    }

    /// Sets whether new work is refused; attempts in flight continue.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns whether new work is refused.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether nothing is in flight and no entry waits for an answer.
    ///
    /// A linked entry that doesn't acknowledge counts as served [`LINK_TIMEOUT`]
    /// after the answer was complete: a link that does not deliver would have
    /// been closed by then.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        let is_served = |attempt: &Attempt| {
            let linked = attempt.readers.iter().all(|reader| reader.link.is_some());
            attempt.readers.is_empty()
                || (attempt.done && linked && attempt.retained_since + LINK_TIMEOUT <= now)
        };
        self.open_calls.is_empty() && self.attempts.values().all(is_served)
    }

    /// Returns the gate's current load.
    #[must_use]
    pub fn load(&self) -> GateLoad {
        GateLoad {
            running: u32::try_from(self.open_calls.len()).unwrap_or(u32::MAX),
            max_running: self.limits.max_running,
            buffered: self.buffered,
            tombstones: self.tombstones.len(),
            attempts: self.attempts.len() + self.retained.len(),
        }
    }
}
