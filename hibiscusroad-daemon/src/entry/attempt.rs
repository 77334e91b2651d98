//! Attempts: starting, resuming, cancelling and failing them.

use crate::entry::{assembly::Assembly, event::Head, side::SideKey, tables::Tables};
use hibiscusroad::{
    ErrorKind, Incarnation, Repeat, RequestId,
    route::{EndpointKey, Outcome},
};
use hibiscusroad_wire::{Attach, Cancel, Id, Seal, Start, to_side::Frame};
use std::time::{Duration, Instant};

/// How long an idempotent attempt waits for its sidecar to reconnect before it
/// fails.
pub(super) const RECONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The same for an attempt whose answer is partly delivered. Long enough for a
/// broken connection to be replaced; a sidecar that exited never reconnects, and
/// the caller should not wait for it until the deadline.
pub(super) const COMMITTED_RECONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Attach frames sent in a row without a new byte before the attempt fails.
const MAX_ATTACHES: u32 = 3;

/// The state of an attempt at this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The Start frame was sent.
    Sent,
    /// The connection broke before the sidecar sent any frame about the attempt;
    /// the sidecar was asked to seal it or report its state.
    Sealing,
}

/// One try to run a call at one endpoint.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) call: RequestId,
    pub(super) side: SideKey,
    pub(super) endpoint: EndpointKey,
    /// The incarnation of the sidecar that it was sent to.
    pub(super) incarnation: u64,
    pub(super) repeat: Repeat,
    pub(super) phase: Phase,
    /// Whether the sidecar has sent any frame about it.
    pub(super) frame_received: bool,
    /// Whether its sidecar is connected.
    pub(super) reachable: bool,
    pub(super) head: Option<Head>,
    pub(super) body: Vec<u8>,
    pub(super) assembly: Assembly,
    pub(super) acked: u64,
    pub(super) chunks: u64,
    /// Whether an Attach was sent and no part of the answer has arrived since.
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
    /// Starts a new attempt of a call at an endpoint.
    pub(super) fn start_attempt(&mut self, now: Instant, call: RequestId, endpoint: EndpointKey) {
        let Some(row) = self.calls.get(&call) else {
            // The call is already closed.
            self.router.cancel(now, call);
            return;
        };
        if row.repeat == Repeat::Once && (row.may_have_run || !row.attempts.is_empty()) {
            // The router enforces this rule too; this is a second safeguard
            // against running a non-idempotent request twice.
            log::error!(target: "calls", "A second run of {call} was prevented.");
            self.router.cancel(now, call);
            return;
        }
        if row.winner.is_some() {
            // Part of an answer is delivered, so no other attempt can replace it.
            // The router drops this attempt when the call closes.
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

    /// Sends a Start frame. Returns false if it was certainly not sent.
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

    /// Records an attempt of a call at this incarnation of a sidecar.
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

    /// Cancels the attempt of a call at one endpoint, on behalf of the router.
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

    /// Removes an attempt whose answer is no longer needed.
    ///
    /// A non-idempotent attempt is not cancelled at the sidecar: its caller may
    /// retry under the same key, and cancelling could leave a partial effect.
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

    /// Queues a frame for a sidecar. If the queue is full, the connection is
    /// dropped later and the attempts are resumed over the next one.
    pub(super) fn send_frame(&mut self, key: SideKey, frame: Frame) {
        let Some(side) = self.sides.get_mut(key) else {
            return;
        };
        if side.link.as_ref().is_some_and(|link| !link.send(frame)) {
            log::warn!(target: "link", "The send queue of the link to {} is full.", side.name);
            side.queue_full = true;
        }
    }

    /// Requests an attempt's answer from the last contiguous offset.
    pub(super) fn attach(&mut self, now: Instant, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.attaches += 1;
        attempt.attach_pending = true;
        if attempt.attaches > MAX_ATTACHES {
            return self.end_attempt(now, id, Outcome::Failed(ErrorKind::AnswerShort));
        }
        // Without the head, the answer is needed from its start.
        let offset = match attempt.head {
            Some(_) => attempt.assembly.offset(),
            None => 0,
        };
        let (side, id) = (attempt.side, Some(wire_id(id)));
        self.send_frame(side, Frame::Attach(Attach { id, offset }));
    }

    /// Resumes an attempt over a new connection.
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

    /// Fails an attempt whose outcome can no longer be learned.
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

    /// Finds the attempt that a part of an answer belongs to.
    ///
    /// While the sidecar is queried for the attempt's state, parts may still
    /// arrive for an earlier call of this entry. They are ignored: the answer is
    /// requested from its start once the sidecar reports that there is one.
    pub(super) fn find_sent(&mut self, id: Option<Id>) -> Option<(RequestId, &mut Attempt)> {
        let (id, attempt) = self.find_attempt(id)?;
        (attempt.phase == Phase::Sent).then_some((id, attempt))
    }

    /// Finds the attempt that a frame belongs to and records that one arrived.
    ///
    /// Returns `None` for attempts that ended or belong to another incarnation of
    /// this entry; their frames are dropped.
    pub(super) fn find_attempt(&mut self, id: Option<Id>) -> Option<(RequestId, &mut Attempt)> {
        let id = request_id(id)?;
        let attempt = self.attempts.get_mut(&id)?;
        attempt.frame_received = true;
        Some((id, attempt))
    }
}
