//! Calls: callers' requests from arrival to the final answer.
//!
//! A refusal of the router is checked before it is sent: it may say "not run"
//! only if no attempt of the call can have started. Only these tables know that,
//! because it depends on which frames were sent.

use crate::entry::{
    attempt::Attempt,
    claim::{Keyed, mark_not_run},
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

/// Range of the retry delay, in seconds, for refusals that the entry decides.
/// Drawn at random so that callers refused together don't retry together.
const RETRY_AFTER_SECONDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Draws a random retry delay for a refused caller.
pub(super) fn random_retry_after() -> Duration {
    Duration::from_secs(rand::random_range(RETRY_AFTER_SECONDS))
}

/// A caller's request in flight.
#[derive(Debug)]
pub(super) struct CallRow {
    pub(super) request: Inbound,
    pub(super) repeat: Repeat,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) reply: Sender<Part>,
    /// Bytes of the answer that were delivered to the caller.
    pub(super) delivered: Arc<AtomicU64>,
    /// Its claim, if it isn't idempotent and carries an idempotency key.
    pub(super) keyed: Option<Keyed>,
    /// Attempts in flight.
    pub(super) attempts: Vec<RequestId>,
    /// The attempt whose answer is being delivered to the caller.
    pub(super) winner: Option<RequestId>,
    /// Attempts sent so far.
    pub(super) attempt_count: u32,
    /// Whether an attempt that ended may have run.
    pub(super) may_have_run: bool,
}

impl CallRow {
    /// Returns whether it follows the attempt of another request under its key.
    pub(super) fn follows_other(&self) -> bool {
        let keyed = self.keyed.as_ref();
        keyed.is_some_and(|keyed| keyed.request.follows_other())
    }
}

impl Tables {
    /// Returns the timeout of a service's calls that set none themselves.
    fn service_timeout(&self, service: &str) -> Duration {
        let document = self.config.newest();
        let service = document.services.get(service);
        service.map_or(self.default_timeout, |s| {
            Duration::from_millis(s.rule.deadline_ms)
        })
    }

    /// Accepts a new request.
    pub(super) fn accept_call(&mut self, now: Instant, arrival: Arrival) {
        let Arrival {
            id,
            request,
            arrived,
            timeout,
            reply,
            delivered,
        } = arrival;
        if self.find_service(&request.service).is_none() {
            let kind = self.unknown_service();
            self.count_unknown(kind);
            let _ = reply.try_send(Part::Fail(kind, random_retry_after()));
            return;
        }
        self.count_request(&request);
        let repeat = self.repeat_policy(&request);
        let deadline = arrived + timeout.unwrap_or_else(|| self.service_timeout(&request.service));
        let mut row = CallRow {
            request,
            repeat,
            arrived: now,
            deadline,
            reply,
            delivered,
            keyed: None,
            attempts: Vec::new(),
            winner: None,
            attempt_count: 0,
            may_have_run: false,
        };
        if repeat == Repeat::Once {
            row.keyed = Keyed::new(&row);
        }
        let key = row.keyed.as_ref().map(|keyed| keyed.row.clone());
        self.calls.insert(id, row);
        self.deadlines.insert((deadline, id));
        self.trace(now, id, Decision::Arrived);
        if key.is_none_or(|key| self.enqueue_keyed(id, &key)) {
            self.admit(now, id);
        }
    }

    /// Submits a call to the router.
    pub(super) fn admit(&mut self, now: Instant, id: RequestId) {
        let Some(row) = self.calls.get(&id) else {
            return;
        };
        let request = &row.request;
        let Some(service) = self.find_service(&request.service) else {
            return self.refuse(now, id, ErrorKind::UnknownService, random_retry_after());
        };
        if self.refuse_quarantined(now, id) {
            return;
        }
        let row = &self.calls[&id];
        let request = &row.request;
        let quarantined = self.crashes.verdict(now, row) != Verdict::Clear;
        let mut call = Call::new(id, service, request.class, row.deadline)
            .repeat(row.repeat)
            .no_hedge(quarantined);
        if let Some(prompt) = request.prompt {
            call = call.tokens(prompt.tokens).prefix(prompt.prefix);
        }
        self.router.submit(now, call);
    }

    /// Refuses the calls whose deadline has passed.
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
            self.refuse(now, id, kind, random_retry_after());
        }
    }

    /// Refuses a call; this is its final answer.
    pub(super) fn refuse(&mut self, now: Instant, id: RequestId, kind: ErrorKind, after: Duration) {
        let Some(row) = self.calls.get(&id) else {
            return;
        };
        let kind = self.correct_not_run(row, kind);
        self.count_refused(&row.request, kind);
        let _ = row.reply.try_send(Part::Fail(kind, after));
        self.trace_refused(now, id, kind, after);
        self.drop_call(now, id);
    }

    /// Replaces a "not run" kind of error if an attempt may have run.
    fn correct_not_run(&self, row: &CallRow, kind: ErrorKind) -> ErrorKind {
        let may_have_run = row.may_have_run || !row.attempts.is_empty();
        if !kind.answer().not_run || !may_have_run {
            return kind;
        }
        if row.repeat == Repeat::Idempotent {
            return match kind {
                ErrorKind::Expired => ErrorKind::TimedOut,
                _ => ErrorKind::EndpointBroken,
            };
        }
        let unreachable = |id: &RequestId| self.attempts.get(id).is_none_or(|a| !a.reachable);
        if kind == ErrorKind::Expired && !row.may_have_run && !row.attempts.iter().any(unreachable)
        {
            return ErrorKind::TimedOut;
        }
        ErrorKind::OutcomeUnknown
    }

    /// Drops a call whose caller disconnected.
    pub(super) fn caller_gone(&mut self, now: Instant, id: RequestId) {
        if let Some(row) = self.calls.get(&id) {
            self.count_caller_gone(row);
            self.trace(now, id, Decision::CallerGone);
        }
        self.drop_call(now, id);
    }

    /// Removes a call and cancels its idempotent attempts.
    pub(super) fn drop_call(&mut self, now: Instant, id: RequestId) {
        self.router.cancel(now, id);
        self.close_call(now, id);
    }

    /// Removes a call that has its final answer.
    pub(super) fn close_call(&mut self, now: Instant, id: RequestId) {
        let Some(row) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(row.deadline, id));
        for attempt in row.attempts {
            self.abandon(attempt, row.repeat);
        }
        if let Some(keyed) = row.keyed {
            self.dequeue_keyed(now, id, keyed);
        }
    }

    /// Sends a part of an answer to its caller. Returns false and drops the call if
    /// the caller is too slow or gone.
    pub(super) fn send_part(&mut self, now: Instant, call: RequestId, part: Part) -> bool {
        let Some(row) = self.calls.get(&call) else {
            return false;
        };
        match row.reply.try_send(part) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                log::info!(target: "callers", "The caller of {call} is too slow; its call is dropped.");
                self.caller_gone(now, call);
                false
            }
            Err(TrySendError::Disconnected(_)) => {
                self.caller_gone(now, call);
                false
            }
        }
    }

    /// Starts delivering an attempt's answer; no other attempt can replace it
    /// afterwards.
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
        // The other attempts are no longer needed.
        let others = std::mem::replace(&mut row.attempts, vec![attempt]);
        for other in others.into_iter().filter(|other| *other != attempt) {
            self.abandon(other, repeat);
        }
        self.send_part(now, call, Part::Head(head))
    }

    /// Ends an attempt and reports its outcome to the router.
    pub(super) fn end_attempt(&mut self, now: Instant, id: RequestId, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(side) = self.sides.get_mut(attempt.side) {
            side.attempts.remove(&id);
        }
        self.trace_ended(now, attempt.call, attempt.side, outcome);
        self.record_crash(now, &attempt, outcome);
        let broken_kind = self.record_end(&attempt, id, outcome);
        let row = self.calls.get_mut(&attempt.call);
        if row.as_ref().is_some_and(|row| row.follows_other()) {
            return self.end_followed(now, &attempt, outcome);
        }
        if let Outcome::NotRun(_) = outcome {
            mark_not_run(row);
        }
        self.router
            .finish(now, attempt.call, attempt.endpoint, outcome);
        if let Some(kind) = broken_kind {
            // Part of this attempt's answer is delivered; no other can replace it.
            self.refuse(now, attempt.call, kind, random_retry_after());
        }
    }

    fn record_end(
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
                row.may_have_run = true;
                (row.winner == Some(id)).then_some(kind)
            }
        }
    }
}
