//! Frames about attempts: the pieces of their answers.
//!
//! Each piece is for one attempt, by its id, and for one place in its answer,
//! by its offset. A caller gets bytes of one attempt only: the first that is
//! whole, or that is passed on in pieces.

use crate::entry::{
    assembly::{Ending, Taken},
    attempt::{Phase, wire_id},
    event::{Head, Part},
    tables::Tables,
    trace::Decision,
};
use hibiscusroad::{ErrorKind, Repeat, RequestId, claim::ReportedState, route::Outcome};
use hibiscusroad_wire::{Ack, Chunk, End, Refused, Standing, State, to_side::Frame};
use std::{mem, sync::atomic::Ordering, time::Instant};

/// Bytes of an answer that are held back. A longer one is passed on in pieces.
///
/// While it is held back, a failure still becomes a clear problem, or another
/// attempt; afterwards only a broken connection. Larger than common answers.
const HELD_BACK: usize = 256 << 10;

/// Bytes between two acknowledgements of a long answer.
pub(super) const ACK_EVERY: u64 = 64 << 10;

impl Tables {
    /// Takes in the head of an answer.
    pub(super) fn head(&mut self, now: Instant, head: hibiscusroad_wire::Head) {
        let Some((_, attempt)) = self.find_open(head.id) else {
            return;
        };
        if attempt.head.is_some() {
            return;
        }
        // A stream isn't begun for its caller before its first bytes are there:
        // an endpoint that dies between the two leaves the call free to go
        // elsewhere, where its caller else sees an empty answer broken off.
        attempt.head = Some(Head {
            status: u16::try_from(head.status).unwrap_or(502),
            headers: head.headers,
        });
        attempt.asked = false;
        let (call, endpoint) = (attempt.call, attempt.endpoint);
        self.router.record_progress(now, call, endpoint, 0);
    }

    /// Takes in bytes of an answer.
    pub(super) fn chunk(&mut self, now: Instant, chunk: Chunk) {
        let Some((id, attempt)) = self.find_open(chunk.id) else {
            return;
        };
        // What was asked for follows on the same connection, in order; pieces
        // that come before it are left out and not asked for again.
        let asked = attempt.asked;
        if attempt.head.is_none() {
            if !asked {
                self.attach(now, id);
            }
            return;
        }
        match attempt.assembly.chunk(chunk.offset, chunk.data) {
            Taken::Gap if !asked => self.attach(now, id),
            Taken::Old | Taken::Gap => {}
            Taken::New(data) => self.bytes(now, id, data),
        }
    }

    fn bytes(&mut self, now: Instant, id: RequestId, data: Vec<u8>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.repeats = 0;
        attempt.asked = false;
        attempt.pieces += 1;
        let (call, endpoint, pieces) = (attempt.call, attempt.endpoint, attempt.pieces);
        // An engine sends a token a piece, so pieces count tokens well enough.
        self.router.record_progress(now, call, endpoint, pieces);
        self.acknowledge(id);
        let Some(row) = self.calls.get(&call) else {
            return;
        };
        if row.winner == Some(id) {
            self.pass(now, call, Part::Data(data));
            return;
        }
        let winner = row.winner;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.body.extend(data);
        let begins = attempt.body.len() > HELD_BACK || attempt.head.as_ref().is_some_and(is_stream);
        if winner.is_none() && begins {
            let body = mem::take(&mut attempt.body);
            let head = attempt.head.clone().unwrap_or_default();
            if self.commit(now, id, head) {
                self.pass(now, call, Part::Data(body));
            }
        }
    }

    /// Acknowledges what came, so that the side reads on and can forget it. What
    /// may be asked for again under its key the side keeps for that reason.
    ///
    /// Of an answer that is being passed on, only what the caller has taken
    /// counts: the side reads a few hundred kilobytes past that and no further.
    /// Otherwise a large answer would pile up here as fast as the endpoint
    /// writes, until its caller is cut off for being slow.
    fn acknowledge(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let row = self.calls.get(&attempt.call);
        let taken = row.filter(|row| row.winner == Some(id));
        let taken = taken.map_or(u64::MAX, |row| row.taken.load(Ordering::Relaxed));
        let offset = attempt.assembly.offset().min(taken);
        if offset.saturating_sub(attempt.acked) < ACK_EVERY {
            return;
        }
        attempt.acked = offset;
        let (side, id) = (attempt.side, Some(wire_id(id)));
        let done = false;
        self.tell(side, Frame::Ack(Ack { id, offset, done }));
    }

    /// Acknowledges what a caller has taken of its answer.
    pub(super) fn acknowledge_call(&mut self, call: RequestId) {
        let row = self.calls.get(&call);
        if let Some(winner) = row.and_then(|row| row.winner) {
            self.acknowledge(winner);
        }
    }

    /// Acknowledges what all callers have taken, for those whose word of it
    /// found no room.
    pub(super) fn acknowledge_all(&mut self) {
        let winners = self.calls.values().filter_map(|row| row.winner);
        for winner in winners.collect::<Vec<RequestId>>() {
            self.acknowledge(winner);
        }
    }

    /// Takes in the declared end of an answer.
    pub(super) fn end(&mut self, now: Instant, end: &End) {
        let Some((id, attempt)) = self.find_open(end.id) else {
            return;
        };
        let ending = attempt.assembly.end(end.length);
        match ending {
            Ending::Whole if attempt.head.is_some() => self.whole(now, id),
            Ending::Whole | Ending::Missing => self.attach(now, id),
            Ending::Excess => {
                let outcome = Outcome::Failed(ErrorKind::EndpointBroken);
                self.end_attempt(now, id, outcome);
            }
        }
    }

    fn whole(&mut self, now: Instant, id: RequestId) {
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
        self.tell(side, Frame::Ack(ack));
        let winner = self.calls.get(&call).and_then(|row| row.winner);
        let part = match winner {
            None => Part::Whole(head, body),
            Some(winner) if winner == id => Part::End,
            // Another attempt's answer is on its way to the caller.
            Some(_) => return self.abandon(id, Repeat::Idempotent),
        };
        if self.pass(now, call, part) {
            self.end_attempt(now, id, Outcome::Answered);
            self.steps(now);
            if let Some(row) = self.calls.get(&call) {
                self.count_answered(now, row);
                self.trace(now, call, Decision::Answered);
            }
            self.close_call(now, call);
        }
    }

    /// Takes in the final word on an attempt that gave no answer.
    pub(super) fn refused(&mut self, now: Instant, refused: &Refused) {
        let Some((id, _)) = self.find(refused.id) else {
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

    /// Takes in how an attempt stands, after it was asked for.
    pub(super) fn standing(&mut self, now: Instant, standing: Standing) {
        let Some((id, attempt)) = self.find(standing.id) else {
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
                    self.fate(now, call, ReportedState::Readable);
                }
            }
            State::Lost | State::Unspecified => self.lose(now, id),
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
