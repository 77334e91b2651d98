//! Attempts: sending them, taking them up again, and giving them up.

use crate::entry::{assembly::Assembly, event::Head, side::SideKey, tables::Tables};
use hibiscusroad::{
    ErrorKind, Incarnation, Repeat, RequestId,
    route::{EndpointKey, Outcome},
};
use hibiscusroad_wire::{Attach, Cancel, Id, Seal, Start, to_side::Frame};
use std::time::{Duration, Instant};

/// How long an attempt that may be repeated waits for its side to come back
/// before it counts as failed.
pub(super) const RECONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The same for one of whose answer its caller has a part. A connection that was
/// cut or fell silent is back within a second, a side that died never is: a
/// stream stood still for its caller's whole deadline of 5 s.
pub(super) const COMMITTED_RECONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How often an attempt is asked for again without a new byte.
const MAX_ATTACHES: u32 = 3;

/// Where an attempt stands, seen from here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The side has it, or the frame is on its way.
    Sent,
    /// The connection broke before the side said anything of it, and the side
    /// was asked to seal it or say how it stands.
    Sealing,
}

/// One try to run a call at one endpoint.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) call: RequestId,
    pub(super) side: SideKey,
    pub(super) endpoint: EndpointKey,
    /// The life of the side that it was sent to.
    pub(super) incarnation: u64,
    pub(super) repeat: Repeat,
    pub(super) phase: Phase,
    /// Whether the side has said anything of it.
    pub(super) frame_received: bool,
    /// Whether the connection to its side stands.
    pub(super) reachable: bool,
    pub(super) head: Option<Head>,
    pub(super) body: Vec<u8>,
    pub(super) assembly: Assembly,
    pub(super) acked: u64,
    pub(super) chunks: u64,
    /// Whether the answer was asked for and none of it has come since.
    pub(super) attach_pending: bool,
    pub(super) attaches: u32,
}

pub(super) const fn wire_id(id: RequestId) -> Id {
    Id {
        origin: id.origin.0,
        seq: id.seq,
    }
}

pub(super) fn request_id(id: Option<Id>) -> Option<RequestId> {
    id.map(|id| RequestId {
        origin: Incarnation(id.origin),
        seq: id.seq,
    })
}

impl Tables {
    /// Sends a call to an endpoint, as a new attempt.
    pub(super) fn start_attempt(&mut self, now: Instant, call: RequestId, endpoint: EndpointKey) {
        let Some(row) = self.calls.get(&call) else {
            // The caller has its final answer already.
            self.router.cancel(now, call);
            return;
        };
        if row.repeat == Repeat::Once && (row.may_have_run || !row.attempts.is_empty()) {
            // The router knows this rule too; a second run must not hang on
            // one check alone.
            log::error!(target: "calls", "A second run of {call} was stopped.");
            self.router.cancel(now, call);
            return;
        }
        if row.winner.is_some() {
            // Its caller has part of an answer, and no other can replace it. The
            // router forgets this attempt along with the call.
            return;
        }
        if self.refuse_quarantined(now, call) {
            return;
        }
        let row = &self.calls[&call];
        if row.keyed.is_some() {
            return self.claim(now, call, endpoint);
        }
        let key = self.endpoints.get(&endpoint).copied();
        let Some(key) = key.filter(|key| self.sides[*key].takes_work()) else {
            let outcome = Outcome::NotRun(ErrorKind::EndpointDown);
            self.router.finish(now, call, endpoint, outcome);
            return;
        };
        let id = self.ids.next();
        if !self.send_start(now, call, id, key) {
            let outcome = Outcome::NotRun(ErrorKind::HandoverFull);
            self.router.finish(now, call, endpoint, outcome);
            return;
        }
        let incarnation = self.sides[key].incarnation;
        self.insert_attempt(call, id, key, incarnation);
    }

    /// Sends a Start; false if it was surely not sent.
    pub(super) fn send_start(
        &self,
        now: Instant,
        call: RequestId,
        id: RequestId,
        key: SideKey,
    ) -> bool {
        let frame = Frame::Start(self.start_frame(now, call, id));
        let link = self.sides[key].link.as_ref();
        link.is_some_and(|link| link.send(frame))
    }

    /// Notes an attempt of a call at this life of a side.
    pub(super) fn insert_attempt(
        &mut self,
        call: RequestId,
        id: RequestId,
        side: SideKey,
        incarnation: u64,
    ) {
        let Some(row) = self.calls.get_mut(&call) else {
            return;
        };
        row.attempts.push(id);
        row.attempt_count += 1;
        let attempt = Attempt {
            call,
            side,
            endpoint: self.sides[side].endpoint,
            incarnation,
            repeat: row.repeat,
            phase: Phase::Sent,
            frame_received: false,
            reachable: true,
            head: None,
            body: Vec::new(),
            assembly: Assembly::default(),
            acked: 0,
            chunks: 0,
            attach_pending: false,
            attaches: 0,
        };
        self.attempts.insert(id, attempt);
        self.sides[side].attempts.insert(id);
        if let Some(row) = self.calls.get(&call) {
            self.count_attempt(row);
        }
        self.trace_placed(call, side);
    }

    fn start_frame(&self, now: Instant, call: RequestId, id: RequestId) -> Start {
        let row = &self.calls[&call];
        let request = &row.request;
        let remaining = row.deadline.saturating_duration_since(now).as_millis();
        let prompt = request.prompt.unwrap_or_default();
        Start {
            id: Some(wire_id(id)),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            remaining_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
            class: request.class as u32,
            once: row.repeat == Repeat::Once,
            key: request.key.clone().unwrap_or_default(),
            stream: prompt.stream,
            tokens: prompt.tokens,
        }
    }

    /// Ends what the router no longer wants at one endpoint.
    pub(super) fn cancel_attempt(&mut self, call: RequestId, endpoint: EndpointKey) {
        let Some(row) = self.calls.get_mut(&call) else {
            return;
        };
        let repeat = row.repeat;
        let attempts = &self.attempts;
        let found = row
            .attempts
            .iter()
            .position(|id| attempts.get(id).is_some_and(|a| a.endpoint == endpoint));
        if let Some(found) = found {
            let id = row.attempts.swap_remove(found);
            self.abandon(id, repeat);
        }
        self.release_endpoint(call);
    }

    /// Forgets an attempt whose answer nobody waits for.
    ///
    /// One that may not run twice goes on: its caller may come back for it, and
    /// to break it off halfway would leave half of its effect.
    pub(super) fn abandon(&mut self, id: RequestId, repeat: Repeat) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(side) = self.sides.get_mut(attempt.side) {
            side.attempts.remove(&id);
        }
        if repeat == Repeat::Idempotent {
            let id = Some(wire_id(id));
            self.send_frame(attempt.side, Frame::Cancel(Cancel { id }));
        }
    }

    /// Queues a frame for a side. A connection that takes no more is given up;
    /// what the frame was to say is said again on the next one.
    pub(super) fn send_frame(&mut self, key: SideKey, frame: Frame) {
        let Some(side) = self.sides.get_mut(key) else {
            return;
        };
        if side.link.as_ref().is_some_and(|link| !link.send(frame)) {
            log::warn!(target: "link", "The link to {} takes nothing any more.", side.name);
            side.queue_full = true;
        }
    }

    /// Asks for an attempt's answer from the last good offset on.
    pub(super) fn attach(&mut self, now: Instant, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.attaches += 1;
        attempt.attach_pending = true;
        if attempt.attaches > MAX_ATTACHES {
            return self.end_attempt(now, id, Outcome::Failed(ErrorKind::AnswerShort));
        }
        // Without the head, the beginning is needed too.
        let offset = match attempt.head {
            Some(_) => attempt.assembly.offset(),
            None => 0,
        };
        let (side, id) = (attempt.side, Some(wire_id(id)));
        self.send_frame(side, Frame::Attach(Attach { id, offset }));
    }

    /// Takes an attempt up again over a new connection.
    pub(super) fn resume(&mut self, now: Instant, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.reachable = true;
        attempt.attaches = 0;
        if attempt.frame_received {
            attempt.phase = Phase::Sent;
            return self.attach(now, id);
        }
        attempt.phase = Phase::Sealing;
        let (side, id) = (attempt.side, Some(wire_id(id)));
        self.send_frame(side, Frame::Seal(Seal { id }));
    }

    /// Ends an attempt that nobody can say any more of.
    pub(super) fn fail_lost(&mut self, now: Instant, id: RequestId) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let kind = match attempt.repeat {
            Repeat::Once => ErrorKind::OutcomeUnknown,
            Repeat::Idempotent => ErrorKind::EndpointBroken,
        };
        self.end_attempt(now, id, Outcome::Failed(kind));
    }

    /// Finds the attempt that a piece of an answer is for.
    ///
    /// While the side is asked how an attempt stands, pieces of it may still
    /// come for an earlier call of this entry. They are sent again from the
    /// beginning once the side has said that there is an answer.
    pub(super) fn find_sent(&mut self, id: Option<Id>) -> Option<(RequestId, &mut Attempt)> {
        let (id, attempt) = self.find_attempt(id)?;
        (attempt.phase == Phase::Sent).then_some((id, attempt))
    }

    /// Finds the attempt that a frame is for, and notes the sign of life.
    ///
    /// Frames of attempts that ended, or of another life of this entry, find
    /// none and are dropped.
    pub(super) fn find_attempt(&mut self, id: Option<Id>) -> Option<(RequestId, &mut Attempt)> {
        let id = request_id(id)?;
        let attempt = self.attempts.get_mut(&id)?;
        attempt.frame_received = true;
        Some((id, attempt))
    }
}
