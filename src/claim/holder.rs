//! One request's way to its single run.

use crate::{
    claim::{Claim, Seen, Verdict},
    error::ErrorKind,
    id::RequestId,
};

/// What the side says of an attempt that a claim names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It never started, and never will.
    Sealed,
    /// It runs, or its whole answer is kept.
    Kept,
    /// It started, and there is no whole answer.
    Lost,
    /// The side that knew is gone.
    Gone,
}

/// What the entry has to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the own claim, if the row has this content, or is absent.
    Write(Claim, Option<Vec<u8>>),
    /// Send the own attempt.
    Run(Claim),
    /// Have the side that the claim names seal its attempt, or say how it
    /// stands.
    Ask(Claim),
    /// Pass on the answer to the attempt that the claim names.
    Follow(Claim),
    /// Choose an endpoint, for a new attempt.
    Place,
    /// Give the caller its final answer.
    Refuse(ErrorKind),
}

/// Where a request stands.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    /// It has no attempt.
    Idle,
    /// Its claim is being written.
    Writing(Claim),
    /// Its attempt was sent.
    Running(Claim),
    /// Another's attempt is being asked for.
    Asking(Seen, Claim),
    /// Another's attempt is being followed.
    Following,
}

/// One request with an idempotency key, at one entry.
#[derive(Clone, Debug)]
pub struct Holder {
    body: u64,
    phase: Phase,
    /// The row that may be replaced: its attempt surely never runs.
    expect: Option<Vec<u8>>,
}

impl Holder {
    /// Creates the way of a request with this fingerprint.
    #[must_use]
    pub const fn new(body: u64) -> Self {
        Self {
            body,
            phase: Phase::Idle,
            expect: None,
        }
    }

    /// Returns the content of a row that stands for nothing any more: its
    /// attempt surely never runs, and this request puts none in its place.
    #[must_use]
    pub fn stale(self) -> Option<Vec<u8>> {
        match self.phase {
            Phase::Idle => self.expect,
            _ => None,
        }
    }

    /// Notes that an endpoint was chosen for a new attempt.
    pub fn place(&mut self, claim: Claim) -> Action {
        self.phase = Phase::Writing(claim.clone());
        Action::Write(claim, self.expect.clone())
    }

    /// Notes that the chosen endpoint is out of the question; what was being
    /// written for it is of no interest any more.
    pub fn displace(&mut self) {
        if let Phase::Writing(_) = self.phase {
            self.phase = Phase::Idle;
        }
    }

    /// Takes in what became of the claim of `attempt`; `now` is in
    /// milliseconds since 1970.
    ///
    /// None if the request has moved on since.
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
                self.expect = None;
                Action::Write(own, None)
            }
            Verdict::Down => {
                self.phase = Phase::Idle;
                Action::Refuse(ErrorKind::StoreDown)
            }
            Verdict::Held(seen) => self.held(own, seen, now),
        })
    }

    /// Decides about a row that another request wrote.
    fn held(&mut self, own: Claim, seen: Seen, now: u64) -> Action {
        let Some(claim) = seen.claim.clone() else {
            // What it says can't be read, so nobody can be asked.
            self.phase = Phase::Idle;
            return Action::Refuse(ErrorKind::OutcomeUnknown);
        };
        if claim.is_over(now) {
            self.expect = Some(seen.bytes.clone());
            return Action::Write(own, Some(seen.bytes));
        }
        if claim.body != self.body {
            self.phase = Phase::Idle;
            return Action::Refuse(ErrorKind::KeyReused);
        }
        self.phase = Phase::Asking(seen, claim.clone());
        Action::Ask(claim)
    }

    /// Takes in what the side says of the attempt that was asked for.
    pub fn fate(&mut self, fate: Fate) -> Option<Action> {
        let Phase::Asking(seen, claim) = &self.phase else {
            return None;
        };
        let (bytes, claim) = (seen.bytes.clone(), claim.clone());
        Some(match fate {
            Fate::Sealed => {
                self.expect = Some(bytes);
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

    /// Notes that the own attempt surely never runs, so that its row may be
    /// replaced.
    pub fn not_run(&mut self) {
        if let Phase::Running(own) = &self.phase {
            self.expect = Some(own.encode());
            self.phase = Phase::Idle;
        }
    }

    /// Says whether another's attempt is being asked for or followed.
    #[must_use]
    pub const fn is_guest(&self) -> bool {
        matches!(self.phase, Phase::Asking(..) | Phase::Following)
    }
}
