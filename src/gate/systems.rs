//! The systems of a gate: silence, expiry, room and flow.

use crate::{
    error::ErrorKind,
    gate::{Frame, Gate, LINK_SILENCE, LinkKey, Step, attempt::Body, tombstone::Tombstone},
    id::RequestId,
};
use std::time::{Duration, Instant};

/// Time between two runs of the systems, which bounds how late they are.
const SWEEP: Duration = Duration::from_millis(50);

/// How long after its deadline a call is ended that its entry forgot.
///
/// The entry cancels at the deadline itself; this frees the endpoint when the
/// entry died and its link did not break.
const DEADLINE_SLACK: Duration = Duration::from_secs(1);

impl Gate {
    /// Runs the systems over the tables, if it is time.
    pub fn tick(&mut self, now: Instant) {
        if self.swept.is_some_and(|last| now < last + SWEEP) {
            return;
        }
        self.swept = Some(now);
        self.close_silent(now);
        self.expire_readers(now);
        self.end_late(now);
        self.drop_answers(now);
        self.tombstones.expire(now);
    }

    /// Says when [`Gate::tick`] has something to do at the latest.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        let tables = [
            self.links.len(),
            self.attempts.len(),
            self.retained.len(),
            self.tombstones.len(),
        ];
        let empty = tables.iter().all(|rows| *rows == 0);
        if empty {
            return None;
        }
        self.swept.map(|last| last + SWEEP)
    }

    pub(super) fn is_silent(&self, now: Instant, link: LinkKey) -> bool {
        let row = self.links.get(link);
        row.is_some_and(|row| now >= row.heard + LINK_SILENCE)
    }

    pub(super) fn close(&mut self, now: Instant, link: LinkKey) {
        if let Some(entry) = self.links.get(link).map(|row| row.entry) {
            self.push(Step::Close { link, entry });
            self.lost(now, link);
        }
    }

    /// Acts on a change of who reads an attempt and how far.
    pub(super) fn settle(&mut self, now: Instant, id: RequestId) {
        let Some(row) = self.attempts.get(&id) else {
            return;
        };
        let unread = row.readers.is_empty();
        if unread && row.run_once && row.done && row.replayable {
            self.keep(now, id);
            return;
        }
        if unread && (row.done || !row.run_once) {
            self.let_go(now, id);
            return;
        }
        self.trim(id);
        self.settle_flow(id);
        self.resume_others();
    }

    /// Keeps a whole answer for a repeat of its request.
    fn keep(&mut self, now: Instant, id: RequestId) {
        if let Some(row) = self.attempts.remove(&id) {
            self.paused.remove(&id);
            self.retained.insert(now, id, row.body);
        }
        if self.retained.len() > self.spec.kept {
            self.drop_oldest();
        }
    }

    /// Drops the oldest kept answer; returns false if there is none.
    fn drop_oldest(&mut self) -> bool {
        let oldest = self.retained.pop_oldest();
        let found = oldest.is_some();
        self.drop_kept(oldest);
        found
    }

    fn drop_kept(&mut self, kept: Option<(Instant, RequestId, Body)>) {
        if let Some((since, id, body)) = kept {
            self.held -= body.buffered();
            let kind = ErrorKind::OutcomeUnknown;
            self.tombstones.add(
                since,
                id,
                Tombstone {
                    started: true,
                    kind,
                },
            );
        }
    }

    /// Ends an attempt whose answer nobody needs any more.
    fn let_go(&mut self, now: Instant, id: RequestId) {
        if self.calls.contains(&id) {
            self.push(Step::Abort { id });
        }
        self.bury(now, id, ErrorKind::OutcomeUnknown);
    }

    /// Replaces an attempt by its tombstone.
    pub(super) fn bury(&mut self, now: Instant, id: RequestId, kind: ErrorKind) {
        if let Some(row) = self.attempts.remove(&id) {
            self.held -= row.body.buffered();
            self.paused.remove(&id);
            let started = !kind.answer().not_run;
            self.tombstones.add(now, id, Tombstone { started, kind });
            self.resume_others();
        }
    }

    /// Drops the bytes of an attempt that nobody will read again.
    pub(super) fn trim(&mut self, id: RequestId) {
        let Some(row) = self.attempts.get_mut(&id) else {
            return;
        };
        row.replayable &= row.body.buffered() <= self.spec.replay;
        if row.replayable {
            return;
        }
        let below = row.acked();
        self.held -= row.body.drop_below(below);
    }

    /// Makes room for an answer by dropping kept ones, the oldest first.
    ///
    /// Made for a rush of keyed requests with large answers: without it the
    /// answers kept for replay would stop the reading of those that callers
    /// wait for. A caller who repeats a request later than that is told that
    /// the outcome is unknown, which is true.
    pub(super) fn make_room(&mut self, id: RequestId) {
        while self.held > self.spec.buffer && self.drop_oldest() {}
        let over = self.held > self.spec.buffer;
        if let Some(row) = self.attempts.get_mut(&id).filter(|_| over) {
            row.replayable = false;
            self.trim(id);
        }
    }

    /// Pauses or resumes the reading of an answer.
    ///
    /// Made for an entry that is slower than the endpoint. Reading pauses at
    /// the window of the answer or the bound of all, and goes on at half the
    /// window, so that it doesn't switch with each chunk. An answer that nobody
    /// reads never pauses: its bytes are dropped, and the call has to end.
    pub(super) fn settle_flow(&mut self, id: RequestId) {
        let over = self.held > self.spec.buffer;
        let window = self.spec.window as u64;
        let Some(row) = self.attempts.get(&id) else {
            return;
        };
        let paused = self.paused.contains(&id);
        let ahead = row.body.length() - row.acked();
        let bound = if paused { window / 2 } else { window };
        let pause = !row.done && ahead > 0 && (over || ahead > bound);
        if pause == paused {
            return;
        }
        if pause {
            self.paused.insert(id);
            self.push(Step::Pause { id });
        } else {
            self.paused.remove(&id);
            self.push(Step::Resume { id });
        }
    }

    fn resume_others(&mut self) {
        if self.held > self.spec.buffer || self.paused.is_empty() {
            return;
        }
        let paused: Vec<RequestId> = self.paused.iter().copied().collect();
        for id in paused {
            self.settle_flow(id);
        }
    }

    fn close_silent(&mut self, now: Instant) {
        let keys = self.links.keys();
        let silent: Vec<LinkKey> = keys.filter(|key| self.is_silent(now, *key)).collect();
        for link in silent {
            self.close(now, link);
        }
    }

    /// Gives up the entries that did not come back within the grace.
    fn expire_readers(&mut self, now: Instant) {
        let mut changed = Vec::new();
        for (id, row) in &mut self.attempts {
            let before = row.readers.len();
            row.readers
                .retain(|reader| reader.expires_at.is_none_or(|at| at > now));
            if row.readers.len() < before {
                changed.push(*id);
            }
        }
        for id in changed {
            self.settle(now, id);
        }
    }

    /// Acts on the attempts whose callers stopped waiting.
    ///
    /// A call that may run only once goes on, but without readers: an entry
    /// that never acknowledges could otherwise pause it for good.
    fn end_late(&mut self, now: Instant) {
        let mut late = Vec::new();
        for (id, row) in &mut self.attempts {
            let over = |deadline: &mut Instant| *deadline + DEADLINE_SLACK <= now;
            if row.deadline.take_if(over).is_some() {
                late.push((*id, row.done, row.run_once));
            }
        }
        let kind = ErrorKind::TimedOut;
        for (id, done, once) in late {
            if !done {
                self.tell(id, &Frame::Refused { id, kind });
            }
            if done || once {
                self.remove_readers(now, id);
            } else {
                self.push(Step::Abort { id });
                self.bury(now, id, kind);
            }
        }
    }

    fn remove_readers(&mut self, now: Instant, id: RequestId) {
        if let Some(row) = self.attempts.get_mut(&id) {
            row.readers.clear();
        }
        self.settle(now, id);
    }

    /// Drops the answers that were kept for long enough.
    fn drop_answers(&mut self, now: Instant) {
        let keep = self.spec.keep;
        let done = self.attempts.iter().filter(|(_, row)| row.done);
        let over = done.filter(|(_, row)| row.retained_since + keep <= now);
        let over: Vec<RequestId> = over.map(|(id, _)| *id).collect();
        for id in over {
            self.bury(now, id, ErrorKind::OutcomeUnknown);
        }
        let Some(limit) = now.checked_sub(keep) else {
            return;
        };
        while let Some(kept) = self.retained.pop_until(limit) {
            self.drop_kept(Some(kept));
        }
    }
}
