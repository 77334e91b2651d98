//! The state machine of one request with an idempotency key.

use crate::{
    claim::{Claim, StoredClaim, Verdict},
    error::ErrorKind,
    id::RequestId,
};

/// What is known of an attempt that another request's claim names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It never started, and never will.
    Sealed,
    /// It is running, or its complete answer is retained.
    Kept,
    /// It started, and there is no complete answer.
    Lost,
    /// The incarnation of the sidecar that knew it has ended.
    Gone,
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
    Ask(Claim),
    /// Forward the answer to the attempt that another's claim names.
    Follow(Claim),
    /// Choose an endpoint for a new attempt.
    Place,
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
    Asking(StoredClaim, Claim),
    /// The answer to another's attempt is being forwarded.
    Following,
}

/// One request with an idempotency key, at one entry.
#[derive(Clone, Debug)]
pub struct Holder {
    fingerprint: u64,
    phase: Phase,
    /// The row that may be replaced, because its attempt never runs.
    replaceable: Option<Vec<u8>>,
}

impl Holder {
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
    pub fn stale(self) -> Option<Vec<u8>> {
        match self.phase {
            Phase::Idle => self.replaceable,
            _ => None,
        }
    }

    /// Starts the claim of a new attempt for which an endpoint was selected.
    pub fn place(&mut self, claim: Claim) -> Action {
        self.phase = Phase::Writing(claim.clone());
        Action::Write(claim, self.replaceable.clone())
    }

    /// Discards the claim that is being written, because its endpoint is no
    /// longer available.
    pub fn displace(&mut self) {
        if let Phase::Writing(_) = self.phase {
            self.phase = Phase::Idle;
        }
    }

    /// Handles the outcome of the claim of `attempt`; `now` is in milliseconds
    /// since 1970.
    ///
    /// Returns none if the claim was discarded or replaced by another one.
    pub fn written(&mut self, attempt: RequestId, verdict: Verdict, now: u64) -> Option<Action> {
        let Phase::Writing(own) = &self.phase else {
            return None;
        };
        if own.attempt != attempt {
            return None;
        }
        let own = own.clone();
        Some(match verdict {
            Verdict::Won => {
                self.phase = Phase::Running(own.clone());
                Action::Run(own)
            }
            Verdict::Free => {
                self.replaceable = None;
                Action::Write(own, None)
            }
            Verdict::Down => {
                self.phase = Phase::Idle;
                Action::Refuse(ErrorKind::StoreDown)
            }
            Verdict::Held(stored) => self.resolve_conflict(own, stored, now),
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
        if claim.body != self.fingerprint {
            self.phase = Phase::Idle;
            return Action::Refuse(ErrorKind::KeyReused);
        }
        self.phase = Phase::Asking(stored, claim.clone());
        Action::Ask(claim)
    }

    /// Handles the state of the attempt that the sidecar was asked for; returns
    /// none if it was not asked.
    pub fn fate(&mut self, fate: Fate) -> Option<Action> {
        let Phase::Asking(stored, claim) = &self.phase else {
            return None;
        };
        let (bytes, claim) = (stored.bytes.clone(), claim.clone());
        Some(match fate {
            Fate::Sealed => {
                self.replaceable = Some(bytes);
                self.phase = Phase::Idle;
                Action::Place
            }
            Fate::Kept => {
                self.phase = Phase::Following;
                Action::Follow(claim)
            }
            Fate::Lost | Fate::Gone => {
                self.phase = Phase::Idle;
                Action::Refuse(ErrorKind::OutcomeUnknown)
            }
        })
    }

    /// Handles that the request's own attempt never runs, so that its row may be
    /// replaced.
    pub fn not_run(&mut self) {
        if let Phase::Running(own) = &self.phase {
            self.replaceable = Some(own.encode());
            self.phase = Phase::Idle;
        }
    }

    /// Returns whether another's attempt is being asked for or followed.
    #[must_use]
    pub const fn is_guest(&self) -> bool {
        matches!(self.phase, Phase::Asking(..) | Phase::Following)
    }
}
