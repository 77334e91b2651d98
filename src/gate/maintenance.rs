//! Timeouts, retention of answers and flow control of a gate.

use crate::{
    error::ErrorKind,
    gate::{Frame, Gate, LINK_TIMEOUT, LinkKey, Step, attempt::Body, tombstone::Tombstone},
    id::RequestId,
};
use std::time::{Duration, Instant};

/// Time between two runs of the periodic checks in [`Gate::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// How long after its deadline a call is ended.
///
/// The entry cancels at the deadline itself; this frees the endpoint when the
/// entry died without breaking its link.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);

impl Gate {
    /// Runs the periodic checks if they are due.
    pub fn tick(&mut self, now: Instant) {
        if self
            .last_tick
            .is_some_and(|last| now < last + TICK_INTERVAL)
        {
            return;
        }
        self.last_tick = Some(now);
        self.close_silent_links(now);
        self.expire_readers(now);
        self.expire_deadlines(now);
        self.expire_answers(now);
        self.tombstones.expire(now);
    }

    /// Returns when [`Gate::tick`] is due next; none if there is nothing to check
    /// or it never ran.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let lengths = [
            self.links.len(),
            self.attempts.len(),
            self.retained.len(),
            self.tombstones.len(),
        ];
        let all_empty = lengths.iter().all(|length| *length == 0);
        if all_empty {
            return None;
        }
        self.last_tick.map(|last| last + TICK_INTERVAL)
    }

    pub(super) fn is_silent(&self, now: Instant, link: LinkKey) -> bool {
        let link = self.links.get(link);
        link.is_some_and(|link| now >= link.last_frame + LINK_TIMEOUT)
    }

    pub(super) fn close_link(&mut self, now: Instant, link: LinkKey) {
        if let Some(entry) = self.links.get(link).map(|link| link.entry) {
            self.push_step(Step::Close { link, entry });
            self.remove_link(now, link);
        }
    }

    /// Updates an attempt after a change of its readers, their acknowledgements
    /// or its completion: retains, ends or goes on reading the answer.
    pub(super) fn update_attempt(&mut self, now: Instant, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let unread = attempt.readers.is_empty();
        if unread && attempt.run_once && attempt.done && attempt.replayable {
            self.retain_answer(now, id);
            return;
        }
        if unread && (attempt.done || !attempt.run_once) {
            self.abandon(now, id);
            return;
        }
        self.drop_acked(id);
        self.update_flow(id);
        self.resume_paused();
    }

    /// Retains a complete answer for a repeat of its request.
    fn retain_answer(&mut self, now: Instant, id: RequestId) {
        if let Some(attempt) = self.attempts.remove(&id) {
            self.paused.remove(&id);
            self.retained.insert(now, id, attempt.body);
        }
        if self.retained.len() > self.limits.max_retained {
            self.evict_oldest();
        }
    }

    /// Evicts the oldest retained answer; returns false if there is none.
    fn evict_oldest(&mut self) -> bool {
        let oldest = self.retained.pop_oldest();
        let found = oldest.is_some();
        self.release_retained(oldest);
        found
    }

    /// Frees the bytes of a removed answer and adds its tombstone.
    fn release_retained(&mut self, removed: Option<(Instant, RequestId, Body)>) {
        if let Some((since, id, body)) = removed {
            self.buffered -= body.buffered();
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

    /// Ends an attempt whose answer no entry waits for.
    fn abandon(&mut self, now: Instant, id: RequestId) {
        if self.open_calls.contains(&id) {
            self.push_step(Step::Abort { id });
        }
        self.replace_by_tombstone(now, id, ErrorKind::OutcomeUnknown);
    }

    pub(super) fn replace_by_tombstone(&mut self, now: Instant, id: RequestId, kind: ErrorKind) {
        if let Some(attempt) = self.attempts.remove(&id) {
            self.buffered -= attempt.body.buffered();
            self.paused.remove(&id);
            let started = !kind.answer().not_run;
            self.tombstones.add(now, id, Tombstone { started, kind });
            self.resume_paused();
        }
    }

    /// Drops acknowledged bytes of an attempt unless they may be replayed.
    pub(super) fn drop_acked(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.replayable &= attempt.body.buffered() <= self.limits.max_replay;
        if attempt.replayable {
            return;
        }
        let acked = attempt.acked();
        self.buffered -= attempt.body.drop_below(acked);
    }

    /// Makes room for an answer by evicting retained ones, the oldest first.
    ///
    /// Otherwise answers that are retained for a possible repeat would pause
    /// those that callers wait for. A caller that repeats a request whose answer
    /// was evicted is told that the outcome is unknown.
    pub(super) fn make_room(&mut self, id: RequestId) {
        while self.buffered > self.limits.max_buffered && self.evict_oldest() {}
        let is_full = self.buffered > self.limits.max_buffered;
        if let Some(attempt) = self.attempts.get_mut(&id).filter(|_| is_full) {
            attempt.replayable = false;
            self.drop_acked(id);
        }
    }

    /// Pauses or resumes the reading of an answer from the endpoint.
    ///
    /// Reading pauses when the answer has too many unacknowledged bytes or the
    /// buffer is full, and resumes at half the window, so that it doesn't
    /// alternate with each chunk. An answer without readers never pauses: its
    /// bytes are dropped, so that the call can end.
    pub(super) fn update_flow(&mut self, id: RequestId) {
        let is_full = self.buffered > self.limits.max_buffered;
        let window = self.limits.max_unacked as u64;
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let paused = self.paused.contains(&id);
        let unacked = attempt.body.length() - attempt.acked();
        let max_unacked = if paused { window / 2 } else { window };
        let pause = !attempt.done && unacked > 0 && (is_full || unacked > max_unacked);
        if pause == paused {
            return;
        }
        if pause {
            self.paused.insert(id);
            self.push_step(Step::Pause { id });
        } else {
            self.paused.remove(&id);
            self.push_step(Step::Resume { id });
        }
    }

    /// Resumes paused answers once the buffer has room.
    fn resume_paused(&mut self) {
        if self.buffered > self.limits.max_buffered || self.paused.is_empty() {
            return;
        }
        let paused: Vec<RequestId> = self.paused.iter().copied().collect();
        for id in paused {
            self.update_flow(id);
        }
    }

    fn close_silent_links(&mut self, now: Instant) {
        let keys = self.links.keys();
        let silent: Vec<LinkKey> = keys.filter(|key| self.is_silent(now, *key)).collect();
        for link in silent {
            self.close_link(now, link);
        }
    }

    /// Removes the readers that lost their link and did not attach in time.
    fn expire_readers(&mut self, now: Instant) {
        let mut changed = Vec::new();
        for (id, attempt) in &mut self.attempts {
            let before = attempt.readers.len();
            attempt
                .readers
                .retain(|reader| reader.expires_at.is_none_or(|at| at > now));
            if attempt.readers.len() < before {
                changed.push(*id);
            }
        }
        for id in changed {
            self.update_attempt(now, id);
        }
    }

    /// Ends attempts whose deadline is past.
    ///
    /// A call that may run only once continues, but without readers: a reader
    /// that never acknowledges could otherwise pause it forever.
    fn expire_deadlines(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (id, attempt) in &mut self.attempts {
            let is_past = |deadline: &mut Instant| *deadline + DEADLINE_GRACE <= now;
            if attempt.deadline.take_if(is_past).is_some() {
                expired.push((*id, attempt.done, attempt.run_once));
            }
        }
        let kind = ErrorKind::TimedOut;
        for (id, done, run_once) in expired {
            if !done {
                self.send_to_readers(id, &Frame::Refused { id, kind });
            }
            if done || run_once {
                self.remove_readers(now, id);
            } else {
                self.push_step(Step::Abort { id });
                self.replace_by_tombstone(now, id, kind);
            }
        }
    }

    fn remove_readers(&mut self, now: Instant, id: RequestId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.readers.clear();
        }
        self.update_attempt(now, id);
    }

    /// Drops the answers whose retention is over.
    fn expire_answers(&mut self, now: Instant) {
        let retention = self.limits.retention;
        let done = self.attempts.iter().filter(|(_, attempt)| attempt.done);
        let expired = done.filter(|(_, attempt)| attempt.retained_since + retention <= now);
        let expired: Vec<RequestId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.replace_by_tombstone(now, id, ErrorKind::OutcomeUnknown);
        }
        let Some(cutoff) = now.checked_sub(retention) else {
            return;
        };
        while let Some(removed) = self.retained.pop_until(cutoff) {
            self.release_retained(Some(removed));
        }
    }
}
