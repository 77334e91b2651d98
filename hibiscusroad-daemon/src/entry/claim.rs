//! Calls with an idempotency key, which run at most once.
//!
//! [`KeyedRequest`] decides each step and this module performs it. Calls with the
//! same key are queued at this entry: a sidecar sends an attempt's answer to one
//! call of an entry at a time. A queued call writes nothing while it waits; it
//! then finds the claim of the first one and reads its answer from the sidecar.

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

/// The claim state of a call.
#[derive(Debug)]
pub(super) struct Keyed {
    /// The key of its row in the platform's table.
    pub(super) row: String,
    pub(super) request: KeyedRequest,
    /// The endpoint that the router selected.
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
    /// Queues a call under its key. Returns whether it is first in the queue.
    pub(super) fn enqueue_keyed(&mut self, call: RequestId, key: &str) -> bool {
        let queue = self.key_queues.entry(key.to_owned()).or_default();
        queue.push_back(call);
        queue.len() == 1
    }

    /// Returns whether a call waits for an earlier call with its key.
    pub(super) fn waits_for_key(&self, call: RequestId) -> bool {
        let keyed = self.calls.get(&call).and_then(|row| row.keyed.as_ref());
        let queue = keyed.and_then(|keyed| self.key_queues.get(&keyed.row));
        queue.is_some_and(|queue| queue.front() != Some(&call))
    }

    /// Removes a closed call from its key's queue and admits the next one.
    pub(super) fn dequeue_keyed(&mut self, now: Instant, call: RequestId, keyed: Keyed) {
        let Some(queue) = self.key_queues.get_mut(&keyed.row) else {
            return;
        };
        let is_first = queue.front() == Some(&call);
        queue.retain(|other| *other != call);
        let next = queue.front().copied().filter(|_| is_first);
        if queue.is_empty() {
            self.key_queues.remove(&keyed.row);
        }
        if let Some(bytes) = keyed.request.into_stale_row() {
            // Best effort; see `Writer::release`.
            let _ = self.claim_writes.try_send(Write::Release(keyed.row, bytes));
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

    /// Drops the selected endpoint of a call that the router cancelled there.
    pub(super) fn release_endpoint(&mut self, call: RequestId) {
        let row = self.calls.get_mut(&call);
        if let Some(keyed) = row.and_then(|row| row.keyed.as_mut()) {
            keyed.selected = None;
            keyed.request.discard_claim();
        }
    }

    /// Applies the outcome of the claim of `attempt`.
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

    /// Applies the state that a sidecar reports of the attempt that a call queries.
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
            // The answer was requested when the state was received.
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
            .claim_writes
            .try_send(Write::Claim(call, claim_write))
            .is_err()
        {
            self.refuse(now, call, ErrorKind::HandoverFull, random_retry_after());
        }
    }

    /// Starts the attempt of a claim that was won, only at the incarnation of the
    /// sidecar that the claim names.
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

    /// Queries the sidecar named by another request's claim for its attempt's state.
    fn query_sidecar(&mut self, now: Instant, call: RequestId, claim: &Claim) {
        // The router placed the call, but it follows the existing attempt instead.
        self.router.cancel(now, call);
        self.apply_router_steps(now);
        let Some(row) = self.calls.get(&call) else {
            return;
        };
        let service = row.request.service.clone();
        let key = self
            .find_side(&service, &claim.endpoint)
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

    /// Adds a sidecar that is only queried and gets no new work.
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
        let key = self.find_side(service, &claim.endpoint)?;
        self.sides[key].listing = Listing::QueryOnly;
        Some(key)
    }

    /// Ends another request's attempt that a call queried or followed.
    pub(super) fn end_followed(&mut self, now: Instant, attempt: &Attempt, outcome: Outcome) {
        match outcome {
            Outcome::Answered => {}
            Outcome::NotRun(_) => {
                self.apply_reported_state(now, attempt.call, ReportedState::Sealed);
            }
            Outcome::Failed(kind) => self.refuse(now, attempt.call, kind, random_retry_after()),
        }
    }
}

/// Records that the attempt of a call's own claim never runs.
pub(super) fn mark_not_run(row: Option<&mut CallRow>) {
    if let Some(keyed) = row.and_then(|row| row.keyed.as_mut()) {
        keyed.request.mark_not_run();
    }
}

/// Returns the milliseconds since 1970. Claims are compared over a day, so a
/// clock skew of seconds doesn't matter.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
