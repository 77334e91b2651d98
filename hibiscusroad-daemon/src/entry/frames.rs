//! Handlers of the frames that carry attempts' answers and states.
//!
//! Each frame names its attempt, and each chunk its offset in the answer. A
//! caller gets bytes of one attempt only: the first whose answer is complete or
//! is forwarded as a stream.

use crate::entry::{
    assembly::{ChunkOutcome, EndOutcome},
    attempt::{Phase, wire_id},
    event::{Head, Part},
    tables::Tables,
    trace::Decision,
};
use hibiscusroad::{ErrorKind, Repeat, RequestId, claim::ReportedState, route::Outcome};
use hibiscusroad_wire::{Ack, Chunk, End, Refused, Standing, State, to_side::Frame};
use std::{mem, sync::atomic::Ordering, time::Instant};

/// Bytes of an answer that are buffered before it is forwarded in chunks.
///
/// While an answer is buffered, a failure can still be retried or reported as a
/// problem; afterwards the caller only sees a broken connection. Larger than
/// common answers.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Bytes between two acknowledgements of an answer.
pub(super) const ACK_INTERVAL_BYTES: u64 = 64 << 10;

impl Tables {
    /// Handles the head of an answer.
    pub(super) fn handle_head(&mut self, now: Instant, head: hibiscusroad_wire::Head) {
        let Some((_, attempt)) = self.find_sent(head.id) else {
            return;
        };
        if attempt.head.is_some() {
            return;
        }
        // Nothing is sent to the caller before the first bytes of the body: if
        // the endpoint fails until then, the call can still be retried elsewhere.
        attempt.head = Some(Head {
            status: u16::try_from(head.status).unwrap_or(502),
            headers: head.headers,
        });
        attempt.attach_pending = false;
        let (call, endpoint) = (attempt.call, attempt.endpoint);
        self.router.record_progress(now, call, endpoint, 0);
    }

    /// Handles a chunk of an answer.
    pub(super) fn handle_chunk(&mut self, now: Instant, chunk: Chunk) {
        let Some((id, attempt)) = self.find_sent(chunk.id) else {
            return;
        };
        // The answer to an Attach follows on the same connection, in order;
        // chunks that arrive before it are ignored and not requested again.
        let attach_pending = attempt.attach_pending;
        if attempt.head.is_none() {
            if !attach_pending {
                self.attach(now, id);
            }
            return;
        }
        match attempt.assembly.chunk(chunk.offset, chunk.data) {
            ChunkOutcome::Gap if !attach_pending => self.attach(now, id),
            ChunkOutcome::Duplicate | ChunkOutcome::Gap => {}
            ChunkOutcome::New(data) => self.append(now, id, data),
        }
    }

    fn append(&mut self, now: Instant, id: RequestId, data: Vec<u8>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.attaches = 0;
        attempt.attach_pending = false;
        attempt.chunks += 1;
        let (call, endpoint, chunks) = (attempt.call, attempt.endpoint, attempt.chunks);
        // An engine sends one token in a chunk, so chunks approximate tokens.
        self.router.record_progress(now, call, endpoint, chunks);
        self.acknowledge(id);
        let Some(row) = self.calls.get(&call) else {
            return;
        };
        if row.winner == Some(id) {
            self.send_part(now, call, Part::Data(data));
            return;
        }
        let winner = row.winner;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.body.extend(data);
        let commits =
            attempt.body.len() > MAX_BUFFERED_BYTES || attempt.head.as_ref().is_some_and(is_stream);
        if winner.is_none() && commits {
            let body = mem::take(&mut attempt.body);
            let head = attempt.head.clone().unwrap_or_default();
            if self.commit(now, id, head) {
                self.send_part(now, call, Part::Data(body));
            }
        }
    }

    /// Acknowledges received bytes, so that the sidecar can drop them and read
    /// more. It keeps answers that may be requested again under a key.
    ///
    /// Of an answer that is being forwarded, only bytes delivered to the caller
    /// are acknowledged. The sidecar limits how far it reads ahead of that, so a
    /// large answer doesn't accumulate here until its caller counts as too slow.
    fn acknowledge(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let row = self.calls.get(&attempt.call);
        let committed = row.filter(|row| row.winner == Some(id));
        let delivered = committed.map_or(u64::MAX, |row| row.delivered.load(Ordering::Relaxed));
        let offset = attempt.assembly.offset().min(delivered);
        if offset.saturating_sub(attempt.acked) < ACK_INTERVAL_BYTES {
            return;
        }
        attempt.acked = offset;
        let (side, id) = (attempt.side, Some(wire_id(id)));
        let done = false;
        self.send_frame(side, Frame::Ack(Ack { id, offset, done }));
    }

    /// Acknowledges the bytes that were delivered to a caller.
    pub(super) fn acknowledge_call(&mut self, call: RequestId) {
        let row = self.calls.get(&call);
        if let Some(winner) = row.and_then(|row| row.winner) {
            self.acknowledge(winner);
        }
    }

    /// Acknowledges the bytes that were delivered to all callers. Covers those
    /// whose [`Event::Delivered`] did not fit into the event queue.
    ///
    /// [`Event::Delivered`]: crate::entry::event::Event::Delivered
    pub(super) fn acknowledge_all(&mut self) {
        let winners = self.calls.values().filter_map(|row| row.winner);
        for winner in winners.collect::<Vec<RequestId>>() {
            self.acknowledge(winner);
        }
    }

    /// Handles the declared end of an answer.
    pub(super) fn handle_end(&mut self, now: Instant, end: &End) {
        let Some((id, attempt)) = self.find_sent(end.id) else {
            return;
        };
        let outcome = attempt.assembly.end(end.length);
        match outcome {
            EndOutcome::Complete if attempt.head.is_some() => self.complete(now, id),
            EndOutcome::Complete | EndOutcome::Missing => self.attach(now, id),
            EndOutcome::Excess => {
                let outcome = Outcome::Failed(ErrorKind::EndpointBroken);
                self.end_attempt(now, id, outcome);
            }
        }
    }

    fn complete(&mut self, now: Instant, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let head = attempt.head.take().unwrap_or_default();
        let body = mem::take(&mut attempt.body);
        let (call, side) = (attempt.call, attempt.side);
        let offset = attempt.assembly.offset();
        let ack = Ack {
            id: Some(wire_id(id)),
            offset,
            done: true,
        };
        self.send_frame(side, Frame::Ack(ack));
        let winner = self.calls.get(&call).and_then(|row| row.winner);
        let part = match winner {
            None => Part::Whole(head, body),
            Some(winner) if winner == id => Part::End,
            // Another attempt's answer is being delivered.
            Some(_) => return self.abandon(id, Repeat::Idempotent),
        };
        if self.send_part(now, call, part) {
            self.end_attempt(now, id, Outcome::Answered);
            self.apply_router_steps(now);
            if let Some(row) = self.calls.get(&call) {
                self.count_answered(now, row);
                self.trace(now, call, Decision::Answered);
            }
            self.close_call(now, call);
        }
    }

    /// Handles the refusal of an attempt, which ends it without an answer.
    pub(super) fn handle_refused(&mut self, now: Instant, refused: &Refused) {
        let Some((id, _)) = self.find_attempt(refused.id) else {
            return;
        };
        let kind = ErrorKind::from_problem(&refused.problem).unwrap_or(ErrorKind::EndpointBroken);
        let outcome = if kind.answer().not_run {
            Outcome::NotRun(kind)
        } else {
            Outcome::Failed(kind)
        };
        self.end_attempt(now, id, outcome);
    }

    /// Handles the state of an attempt, sent in response to a query.
    pub(super) fn handle_standing(&mut self, now: Instant, standing: Standing) {
        let Some((id, attempt)) = self.find_attempt(standing.id) else {
            return;
        };
        let state = State::try_from(standing.state).unwrap_or(State::Unspecified);
        match state {
            State::Sealed => {
                let outcome = Outcome::NotRun(ErrorKind::EndpointDown);
                self.end_attempt(now, id, outcome);
            }
            State::Running | State::Done => {
                if attempt.phase == Phase::Sealing {
                    attempt.phase = Phase::Sent;
                    let call = attempt.call;
                    self.attach(now, id);
                    self.apply_reported_state(now, call, ReportedState::Readable);
                }
            }
            State::Lost | State::Unspecified => self.fail_lost(now, id),
        }
    }
}

fn is_stream(head: &Head) -> bool {
    let kind = head
        .headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case("content-type"));
    kind.is_some_and(|h| h.value.starts_with("text/event-stream"))
}
