//! The state machine of one request with an idempotency key.

use crate::{
    claim::{Claim, ClaimOutcome, StoredClaim},
    error::ErrorKind,
    id::RequestId,
};

/// What is known of an attempt that another request's claim names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedState {
    /// It never started, and never will.
    Sealed,
    /// It is running, or its complete answer is retained.
    Readable,
    /// It started, and there is no complete answer.
    Lost,
    /// The incarnation of the sidecar that knew it has ended.
    SidecarGone,
}

/// The next action of the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the request's own claim if the row has this content, or, for none,
    /// is absent.
    Write(Claim, Option<Vec<u8>>),
    /// Send the request's own attempt.
    Run(Claim),
    /// Ask the sidecar that another's claim names to seal its attempt, or to
    /// report its state.
    QuerySidecar(Claim),
    /// Forward the answer to the attempt that another's claim names.
    Follow(Claim),
    /// Select an endpoint for a new attempt.
    SelectEndpoint,
    /// Answer the caller with this error.
    Refuse(ErrorKind),
}

/// The progress of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    /// It has no attempt.
    Idle,
    /// Its claim is being written.
    Writing(Claim),
    /// Its attempt was sent.
    Running(Claim),
    /// The sidecar is being asked for the state of another's attempt.
    Querying(StoredClaim, Claim),
    /// The answer to another's attempt is being forwarded.
    Following,
}

/// One request with an idempotency key, at one entry.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    fingerprint: u64,
    phase: Phase,
    /// The row that may be replaced, because its attempt never runs.
    replaceable: Option<Vec<u8>>,
}

impl KeyedRequest {
    /// Creates the state of a request with this fingerprint.
    #[must_use]
    pub const fn new(fingerprint: u64) -> Self {
        Self {
            fingerprint,
            phase: Phase::Idle,
            replaceable: None,
        }
    }

    /// Returns the content of a row that may be removed: its attempt never runs,
    /// and this request does not replace it.
    #[must_use]
    pub fn into_stale_row(self) -> Option<Vec<u8>> {
        match self.phase {
            Phase::Idle => self.replaceable,
            _ => None,
        }
    }

    /// Starts the claim of a new attempt for which an endpoint was selected.
    pub fn start_claim(&mut self, claim: Claim) -> Action {
        self.phase = Phase::Writing(claim.clone());
        Action::Write(claim, self.replaceable.clone())
    }

    /// Discards the claim that is being written, because its endpoint is no
    /// longer available.
    pub fn discard_claim(&mut self) {
        if let Phase::Writing(_) = self.phase {
            self.phase = Phase::Idle;
        }
    }

    /// Handles the outcome of the claim of `attempt`; `now` is in milliseconds
    /// since 1970.
    ///
    /// Returns none if the claim was discarded or replaced by another one.
    pub fn apply_outcome(
        &mut self,
        attempt: RequestId,
        outcome: ClaimOutcome,
        now: u64,
    ) -> Option<Action> {
        let Phase::Writing(own) = &self.phase else {
            return None;
        };
        if own.attempt != attempt {
            return None;
        }
        let own = own.clone();
        Some(match outcome {
            ClaimOutcome::Won => {
                self.phase = Phase::Running(own.clone());
                Action::Run(own)
            }
            ClaimOutcome::Free => {
                self.replaceable = None;
                Action::Write(own, None)
            }
            ClaimOutcome::Down => {
                self.phase = Phase::Idle;
                Action::Refuse(ErrorKind::StoreDown)
            }
            ClaimOutcome::Held(stored) => self.resolve_conflict(own, stored, now),
        })
    }

    /// Decides what to do about a row that another request wrote.
    fn resolve_conflict(&mut self, own: Claim, stored: StoredClaim, now: u64) -> Action {
        let Some(claim) = stored.claim.clone() else {
            // A claim that can't be decoded doesn't tell which sidecar to ask.
            self.phase = Phase::Idle;
            return Action::Refuse(ErrorKind::OutcomeUnknown);
        };
        if claim.is_expired(now) {
            self.replaceable = Some(stored.bytes.clone());
            return Action::Write(own, Some(stored.bytes));
        }
        if claim.fingerprint != self.fingerprint {
            self.phase = Phase::Idle;
            return Action::Refuse(ErrorKind::KeyReused);
        }
        self.phase = Phase::Querying(stored, claim.clone());
        Action::QuerySidecar(claim)
    }

    /// Handles the state of the attempt that the sidecar was asked for; returns
    /// none if it was not asked.
    pub fn apply_state(&mut self, state: ReportedState) -> Option<Action> {
        let Phase::Querying(stored, claim) = &self.phase else {
            return None;
        };
        let (bytes, claim) = (stored.bytes.clone(), claim.clone());
        Some(match state {
            ReportedState::Sealed => {
                self.replaceable = Some(bytes);
                self.phase = Phase::Idle;
                Action::SelectEndpoint
            }
            ReportedState::Readable => {
                self.phase = Phase::Following;
                Action::Follow(claim)
            }
            ReportedState::Lost | ReportedState::SidecarGone => {
                self.phase = Phase::Idle;
                Action::Refuse(ErrorKind::OutcomeUnknown)
            }
        })
    }

    /// Handles that the request's own attempt never runs, so that its row may be
    /// replaced.
    pub fn mark_not_run(&mut self) {
        if let Phase::Running(own) = &self.phase {
            self.replaceable = Some(own.encode());
            self.phase = Phase::Idle;
        }
    }

    /// Returns whether another's attempt is being asked for or followed.
    #[must_use]
    pub const fn follows_other(&self) -> bool {
        matches!(self.phase, Phase::Querying(..) | Phase::Following)
    }
}
