//! Calls: what callers asked for, from arrival to the final answer.
//!
//! The router's verdict is checked once more before it goes out: it may say
//! "not run" only if no attempt of this call can have started. That is known
//! here alone, since it depends on what became of frames. The check costs one
//! field a call.

use crate::entry::{
    attempt::Attempt,
    claim::{Keyed, keyed_not_run},
    event::{Arrival, Head, Inbound, Part},
    tables::Tables,
    trace::Decision,
};
use flume::{Sender, TrySendError};
use hibiscusroad::{
    ErrorKind, Repeat, RequestId,
    quarantine::Verdict,
    route::{Call, Outcome},
};
use std::{
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

/// The earliest and latest time to come back after a refusal that the entry
/// itself decides. Callers that were refused in one moment shall not all come
/// back in another.
const COME_BACK: std::ops::RangeInclusive<u64> = 1..=3;

/// Draws when a caller is to come back.
pub(super) fn come_back() -> Duration {
    Duration::from_secs(rand::random_range(COME_BACK))
}

/// One request of a caller.
#[derive(Debug)]
pub(super) struct CallRow {
    pub(super) request: Inbound,
    pub(super) repeat: Repeat,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) reply: Sender<Part>,
    /// Bytes of the answer that the caller has taken.
    pub(super) taken: Arc<AtomicU64>,
    /// Its claim, if it carries an idempotency key and may not run twice.
    pub(super) keyed: Option<Keyed>,
    /// Attempts that have not ended.
    pub(super) attempts: Vec<RequestId>,
    /// The attempt whose answer the caller has begun to get.
    pub(super) winner: Option<RequestId>,
    /// Attempts that were sent.
    pub(super) tries: u32,
    /// Whether an attempt that ended may have run.
    pub(super) ran: bool,
}

impl CallRow {
    /// Says whether it waits for the attempt of another request of its key.
    pub(super) fn is_guest(&self) -> bool {
        let keyed = self.keyed.as_ref();
        keyed.is_some_and(|keyed| keyed.request.follows_other())
    }
}

impl Tables {
    /// Returns how long the callers of a service wait who don't say.
    fn wait(&self, service: &str) -> Duration {
        let document = self.config.newest();
        let service = document.services.get(service);
        service.map_or(self.patience, |s| Duration::from_millis(s.rule.deadline_ms))
    }

    /// Takes in a request.
    pub(super) fn arrive(&mut self, now: Instant, arrival: Arrival) {
        let Arrival {
            id,
            request,
            arrived,
            wait,
            reply,
            taken,
        } = arrival;
        if self.known(&request.service).is_none() {
            let kind = self.unknown_service();
            self.count_unknown(kind);
            let _ = reply.try_send(Part::Fail(kind, come_back()));
            return;
        }
        self.count_request(&request);
        let repeat = self.repeat(&request);
        let deadline = arrived + wait.unwrap_or_else(|| self.wait(&request.service));
        let mut row = CallRow {
            request,
            repeat,
            arrived: now,
            deadline,
            reply,
            taken,
            keyed: None,
            attempts: Vec::new(),
            winner: None,
            tries: 0,
            ran: false,
        };
        if repeat == Repeat::Once {
            row.keyed = Keyed::new(&row);
        }
        let key = row.keyed.as_ref().map(|keyed| keyed.row.clone());
        self.calls.insert(id, row);
        self.deadlines.insert((deadline, id));
        self.trace(now, id, Decision::Arrived);
        if key.is_none_or(|key| self.line_up(id, &key)) {
            self.admit(now, id);
        }
    }

    /// Hands a call to the router.
    pub(super) fn admit(&mut self, now: Instant, id: RequestId) {
        let Some(row) = self.calls.get(&id) else {
            return;
        };
        let request = &row.request;
        let Some(service) = self.known(&request.service) else {
            return self.refuse(now, id, ErrorKind::UnknownService, come_back());
        };
        if self.refuse_quarantined(now, id) {
            return;
        }
        let row = &self.calls[&id];
        let request = &row.request;
        let alone = self.crashes.verdict(now, row) != Verdict::Clear;
        let mut call = Call::new(id, service, request.class, row.deadline)
            .repeat(row.repeat)
            .no_hedge(alone);
        if let Some(prompt) = request.prompt {
            call = call.tokens(prompt.tokens).prefix(prompt.prefix);
        }
        self.router.submit(now, call);
    }

    /// Gives up the calls whose callers wait no longer.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.deadlines.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.deadlines.pop_first() else {
                return;
            };
            let kind = if self.waits_for_key(id) {
                ErrorKind::KeyRunning
            } else {
                ErrorKind::Expired
            };
            self.refuse(now, id, kind, come_back());
        }
    }

    /// Gives a caller its final answer, which is none.
    pub(super) fn refuse(&mut self, now: Instant, id: RequestId, kind: ErrorKind, after: Duration) {
        let Some(row) = self.calls.get(&id) else {
            return;
        };
        let kind = self.truth(row, kind);
        self.count_refused(&row.request, kind);
        let _ = row.reply.try_send(Part::Fail(kind, after));
        self.trace_refused(now, id, kind, after);
        self.drop_call(now, id);
    }

    /// Replaces "not run" by what is known if an attempt may have run.
    fn truth(&self, row: &CallRow, kind: ErrorKind) -> ErrorKind {
        let may_have_run = row.ran || !row.attempts.is_empty();
        if !kind.answer().not_run || !may_have_run {
            return kind;
        }
        if row.repeat == Repeat::Idempotent {
            return match kind {
                ErrorKind::Expired => ErrorKind::TimedOut,
                _ => ErrorKind::EndpointBroken,
            };
        }
        let cut_off = |id: &RequestId| self.attempts.get(id).is_none_or(|a| !a.reachable);
        if kind == ErrorKind::Expired && !row.ran && !row.attempts.iter().any(cut_off) {
            return ErrorKind::TimedOut;
        }
        ErrorKind::OutcomeUnknown
    }

    /// Forgets a call whose caller has gone.
    pub(super) fn left(&mut self, now: Instant, id: RequestId) {
        if let Some(row) = self.calls.get(&id) {
            self.count_left(row);
            self.trace(now, id, Decision::Left);
        }
        self.drop_call(now, id);
    }

    /// Forgets a call; what runs of it is cancelled if it may be.
    pub(super) fn drop_call(&mut self, now: Instant, id: RequestId) {
        self.router.cancel(now, id);
        self.close_call(now, id);
    }

    /// Forgets a call that has its final answer.
    pub(super) fn close_call(&mut self, now: Instant, id: RequestId) {
        let Some(row) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(row.deadline, id));
        for attempt in row.attempts {
            self.abandon(attempt, row.repeat);
        }
        if let Some(keyed) = row.keyed {
            self.leave_line(now, id, keyed);
        }
    }

    /// Hands a part of an answer to its caller; false if that is not possible.
    pub(super) fn pass(&mut self, now: Instant, call: RequestId, part: Part) -> bool {
        let Some(row) = self.calls.get(&call) else {
            return false;
        };
        match row.reply.try_send(part) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                log::info!(target: "callers", "The caller of {call} is too slow; it is cut off.");
                self.left(now, call);
                false
            }
            Err(TrySendError::Disconnected(_)) => {
                self.left(now, call);
                false
            }
        }
    }

    /// Begins to pass an answer on; from now on no other attempt can replace it.
    pub(super) fn commit(&mut self, now: Instant, attempt: RequestId, head: Head) -> bool {
        let Some(call) = self.attempts.get(&attempt).map(|a| a.call) else {
            return false;
        };
        let Some(row) = self.calls.get_mut(&call) else {
            return false;
        };
        row.winner = Some(attempt);
        if let Some(endpoint) = self.attempts.get(&attempt).map(|a| a.endpoint) {
            self.router.commit(now, call, endpoint);
        }
        let repeat = row.repeat;
        // What else runs of it can't be of use any more.
        let others = std::mem::replace(&mut row.attempts, vec![attempt]);
        for other in others.into_iter().filter(|other| *other != attempt) {
            self.abandon(other, repeat);
        }
        self.pass(now, call, Part::Head(head))
    }

    /// Ends an attempt and tells the router.
    pub(super) fn end_attempt(&mut self, now: Instant, id: RequestId, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(side) = self.sides.get_mut(attempt.side) {
            side.attempts.remove(&id);
        }
        self.trace_ended(now, attempt.call, attempt.side, outcome);
        self.note_crash(now, &attempt, outcome);
        let broken = self.note_end(&attempt, id, outcome);
        let row = self.calls.get_mut(&attempt.call);
        if row.as_ref().is_some_and(|row| row.is_guest()) {
            return self.end_guest(now, &attempt, outcome);
        }
        if let Outcome::NotRun(_) = outcome {
            keyed_not_run(row);
        }
        self.router
            .finish(now, attempt.call, attempt.endpoint, outcome);
        if let Some(kind) = broken {
            // Its caller has bytes of this attempt, so no other can go on.
            self.refuse(now, attempt.call, kind, come_back());
        }
    }

    fn note_end(
        &mut self,
        attempt: &Attempt,
        id: RequestId,
        outcome: Outcome,
    ) -> Option<ErrorKind> {
        let row = self.calls.get_mut(&attempt.call)?;
        row.attempts.retain(|other| *other != id);
        match outcome {
            Outcome::Answered => None,
            Outcome::NotRun(kind) => (row.winner == Some(id)).then_some(kind),
            Outcome::Failed(kind) => {
                row.ran = true;
                (row.winner == Some(id)).then_some(kind)
            }
        }
    }
}
