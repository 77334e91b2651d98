//! Calls that carry an idempotency key, on their way to a single run.
//!
//! What has to happen is decided by [`KeyedRequest`]; this carries it out. Calls of
//! one key at this entry take turns: a side has one viewer of an attempt an
//! entry, and a repeat that waits for the first needs no write at all. When its
//! turn comes it finds the first one's row and gets its answer from the side.

use crate::{
    entry::{
        attempt::{Attempt, Phase, wire_id},
        call::{CallRow, random_retry_after},
        claims::Write,
        side::{Listing, SideKey},
        tables::Tables,
    },
    platform::{Host, HostState},
};
use hibiscusroad::{
    ErrorKind, RequestId,
    claim::{
        Action, Claim, ClaimOutcome, ClaimWrite, KeyedRequest, ReportedState, fingerprint, row_key,
    },
    route::{EndpointKey, Outcome},
};
use hibiscusroad_wire::{Seal, to_side::Frame};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A call's claim.
#[derive(Debug)]
pub(super) struct Keyed {
    /// The key of its row.
    pub(super) row: String,
    pub(super) request: KeyedRequest,
    /// The endpoint that the router chose.
    selected: Option<(EndpointKey, SideKey)>,
}

impl Keyed {
    pub(super) fn new(row: &CallRow) -> Option<Self> {
        let request = &row.request;
        let key = request.key.as_ref()?;
        let digest = fingerprint(&request.method, &request.path, &request.body);
        Some(Self {
            row: row_key(&request.service, key),
            request: KeyedRequest::new(digest),
            selected: None,
        })
    }
}

impl Tables {
    /// Puts a call in the row of its key; says whether it is its turn.
    pub(super) fn enqueue_keyed(&mut self, call: RequestId, key: &str) -> bool {
        let queue = self.keys.entry(key.to_owned()).or_default();
        queue.push_back(call);
        queue.len() == 1
    }

    /// Says whether a call waits for another of its key.
    pub(super) fn waits_for_key(&self, call: RequestId) -> bool {
        let keyed = self.calls.get(&call).and_then(|row| row.keyed.as_ref());
        let queue = keyed.and_then(|keyed| self.keys.get(&keyed.row));
        queue.is_some_and(|queue| queue.front() != Some(&call))
    }

    /// Ends a call's claim and lets the next call of its key go on.
    pub(super) fn dequeue_keyed(&mut self, now: Instant, call: RequestId, keyed: Keyed) {
        let Some(queue) = self.keys.get_mut(&keyed.row) else {
            return;
        };
        let is_first = queue.front() == Some(&call);
        queue.retain(|other| *other != call);
        let next = queue.front().copied().filter(|_| is_first);
        if queue.is_empty() {
            self.keys.remove(&keyed.row);
        }
        if let Some(bytes) = keyed.request.into_stale_row() {
            // Best done, not needed: see the writer.
            let _ = self.writes.try_send(Write::Release(keyed.row, bytes));
        }
        if let Some(next) = next {
            self.admit(now, next);
        }
    }

    /// Claims a call's key for an attempt at the chosen endpoint.
    pub(super) fn claim(&mut self, now: Instant, call: RequestId, endpoint: EndpointKey) {
        let key = self.endpoints.get(&endpoint).copied();
        let Some(key) = key.filter(|key| self.sides[*key].takes_work()) else {
            let outcome = Outcome::NotRun(ErrorKind::EndpointDown);
            return self.router.finish(now, call, endpoint, outcome);
        };
        let side = &self.sides[key];
        let attempt = self.ids.next();
        let Some(row) = self.calls.get_mut(&call) else {
            return;
        };
        let request = &row.request;
        let claim = Claim {
            attempt,
            endpoint: side.name.clone(),
            incarnation: side.incarnation,
            address: side.address,
            fingerprint: fingerprint(&request.method, &request.path, &request.body),
            created_ms: wall_ms(),
        };
        let Some(keyed) = &mut row.keyed else {
            return;
        };
        keyed.selected = Some((endpoint, key));
        let action = keyed.request.start_claim(claim);
        self.perform(now, call, action);
    }

    /// Notes that the router no longer wants a call at its endpoint.
    pub(super) fn release_endpoint(&mut self, call: RequestId) {
        let row = self.calls.get_mut(&call);
        if let Some(keyed) = row.and_then(|row| row.keyed.as_mut()) {
            keyed.selected = None;
            keyed.request.discard_claim();
        }
    }

    /// Takes in what became of the claim of `attempt`.
    pub(super) fn apply_claim_outcome(
        &mut self,
        now: Instant,
        call: RequestId,
        attempt: RequestId,
        outcome: ClaimOutcome,
    ) {
        self.count_claim(&outcome);
        let row = self.calls.get_mut(&call);
        let keyed = row.and_then(|row| row.keyed.as_mut());
        let action = keyed.and_then(|k| k.request.apply_outcome(attempt, outcome, wall_ms()));
        if let Some(action) = action {
            self.perform(now, call, action);
        }
    }

    /// Takes in what the side says of the attempt that a call asked for.
    pub(super) fn apply_reported_state(
        &mut self,
        now: Instant,
        call: RequestId,
        state: ReportedState,
    ) {
        let row = self.calls.get_mut(&call);
        let keyed = row.and_then(|row| row.keyed.as_mut());
        if let Some(action) = keyed.and_then(|keyed| keyed.request.apply_state(state)) {
            self.perform(now, call, action);
        }
    }

    fn perform(&mut self, now: Instant, call: RequestId, action: Action) {
        match action {
            Action::Write(claim, expected) => self.write_claim(now, call, claim, expected),
            Action::Run(claim) => self.run_claim(now, call, &claim),
            Action::QuerySidecar(claim) => self.query_sidecar(now, call, &claim),
            // The frame that said so asks for the answer.
            Action::Follow(_) => {}
            Action::SelectEndpoint => self.admit(now, call),
            Action::Refuse(kind) => self.refuse(now, call, kind, random_retry_after()),
        }
    }

    fn write_claim(
        &mut self,
        now: Instant,
        call: RequestId,
        claim: Claim,
        expected: Option<Vec<u8>>,
    ) {
        let row = self.calls.get_mut(&call);
        let Some(keyed) = row.and_then(|row| row.keyed.as_mut()) else {
            return;
        };
        let key = keyed.row.clone();
        let claim_write = Box::new(ClaimWrite {
            key,
            claim,
            expected,
        });
        if self
            .writes
            .try_send(Write::Claim(call, claim_write))
            .is_err()
        {
            self.refuse(now, call, ErrorKind::HandoverFull, random_retry_after());
        }
    }

    /// Sends the attempt that a claim was won for, to the life of the side that
    /// the claim names and to no other.
    fn run_claim(&mut self, now: Instant, call: RequestId, claim: &Claim) {
        let row = self.calls.get_mut(&call);
        let Some(keyed) = row.and_then(|row| row.keyed.as_mut()) else {
            return;
        };
        let Some((endpoint, key)) = keyed.selected.take() else {
            return;
        };
        let side = self.sides.get(key);
        let reachable = side.is_some_and(|s| s.incarnation == claim.incarnation && s.takes_work());
        if !reachable || !self.send_start(now, call, claim.attempt, key) {
            mark_not_run(self.calls.get_mut(&call));
            let outcome = Outcome::NotRun(ErrorKind::EndpointDown);
            return self.router.finish(now, call, endpoint, outcome);
        }
        self.insert_attempt(call, claim.attempt, key, claim.incarnation);
    }

    /// Asks the side that another's claim names how its attempt stands.
    fn query_sidecar(&mut self, now: Instant, call: RequestId, claim: &Claim) {
        // The router placed the call, but it won't run there.
        self.router.cancel(now, call);
        self.steps(now);
        let Some(row) = self.calls.get(&call) else {
            return;
        };
        let service = row.request.service.clone();
        let key = self
            .side(&service, &claim.endpoint)
            .or_else(|| self.add_query_only(now, &service, claim));
        let Some(key) = key else {
            return self.apply_reported_state(now, call, ReportedState::SidecarGone);
        };
        let side = &self.sides[key];
        if side.link.is_some() && side.incarnation != claim.incarnation {
            return self.apply_reported_state(now, call, ReportedState::SidecarGone);
        }
        let linked = side.link.is_some();
        self.insert_attempt(call, claim.attempt, key, claim.incarnation);
        if let Some(attempt) = self.attempts.get_mut(&claim.attempt) {
            attempt.phase = Phase::Sealing;
            attempt.reachable = linked;
        }
        if linked {
            let id = Some(wire_id(claim.attempt));
            self.send_frame(key, Frame::Seal(Seal { id }));
        }
    }

    /// Adds a side that this entry sends no work to, only to ask it.
    fn add_query_only(&mut self, now: Instant, service: &str, claim: &Claim) -> Option<SideKey> {
        let host = Host {
            name: String::new(),
            data_centre: String::new(),
            role: "side".to_owned(),
            service: service.to_owned(),
            endpoint: claim.endpoint.clone(),
            address: claim.address,
            state: HostState::Leaving,
        };
        self.add_side(now, &host);
        let key = self.side(service, &claim.endpoint)?;
        self.sides[key].listing = Listing::QueryOnly;
        Some(key)
    }

    /// Ends another's attempt that a call asked for or followed.
    pub(super) fn end_followed(&mut self, now: Instant, attempt: &Attempt, outcome: Outcome) {
        match outcome {
            Outcome::Answered => {}
            Outcome::NotRun(_) => {
                self.apply_reported_state(now, attempt.call, ReportedState::Sealed)
            }
            Outcome::Failed(kind) => self.refuse(now, attempt.call, kind, random_retry_after()),
        }
    }
}

/// Notes that a call's own attempt surely never runs.
pub(super) fn mark_not_run(row: Option<&mut CallRow>) {
    if let Some(keyed) = row.and_then(|row| row.keyed.as_mut()) {
        keyed.request.mark_not_run();
    }
}

/// Milliseconds since 1970. Claims are compared over a day, so that a clock
/// which is off by seconds does no harm.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
