//! Requests that crash endpoints, as this entry observes them.
//!
//! [`hibiscusroad::quarantine`] decides. A sidecar reports broken connections of its
//! endpoint but not the endpoint's incarnation, so breaks at one endpoint that
//! are close together count as one crash.
//!
//! Entries don't share evidence, because the platform's table allows each only a
//! few writes: a request may cause [`CRASH_LIMIT`] crashes at each entry.

use crate::entry::{attempt::Attempt, call::CallRow, tables::Tables};
use hibiscusroad::{
    ErrorKind, RequestId,
    quarantine::{CRASH_LIMIT, Crash, EndpointIncarnation, Fingerprint, Identity, Ledger, Verdict},
    route::{EndpointKey, Outcome},
};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// How long a crash counts. The entry can't tell whether the endpoint really exited.
const CRASH_TTL: Duration = Duration::from_mins(10);
/// Breaks at one endpoint within this time are one crash; a restart takes longer.
const CRASH_MERGE_WINDOW: Duration = Duration::from_secs(1);

/// Crashes that this entry observed.
#[derive(Debug)]
pub(super) struct Crashes {
    ledger: Ledger,
    start: Instant,
    /// When each endpoint last crashed, as time since `start`.
    last_breaks: HashMap<EndpointKey, Duration>,
}

impl Crashes {
    pub(super) fn new(start: Instant) -> Self {
        Self {
            ledger: Ledger::new(CRASH_LIMIT, CRASH_TTL),
            start,
            last_breaks: HashMap::new(),
        }
    }

    /// Returns whether a call is suspected or quarantined.
    pub(super) fn verdict(&self, now: Instant, row: &CallRow) -> Verdict {
        if self.ledger.is_empty() {
            return Verdict::Clear;
        }
        self.ledger.verdict(now - self.start, fingerprint(row))
    }

    fn add(&mut self, now: Instant, row: &CallRow, attempt: &Attempt) {
        let at = now - self.start;
        let last = self.last_breaks.get(&attempt.endpoint).copied();
        let crash = last.filter(|last| at.saturating_sub(*last) < CRASH_MERGE_WINDOW);
        let crash = crash.unwrap_or(at);
        self.last_breaks.insert(attempt.endpoint, crash);
        let started_ms = u64::try_from(crash.as_millis()).ok();
        let (request, path) = (fingerprint(row), row.request.path.clone());
        let endpoint = format!("{:?}", attempt.endpoint);
        let added = self.ledger.add(Crash {
            request,
            incarnation: EndpointIncarnation {
                endpoint,
                started_ms,
            },
            at,
            path,
        });
        let quarantined = matches!(self.ledger.verdict(at, request), Verdict::Quarantined(_));
        if added && quarantined {
            log::warn!(target: "calls", "Requests for {} {} with fingerprint {request} are in \
                quarantine: endpoints break while they run them.",
                row.request.service, row.request.path);
        }
    }
}

fn fingerprint(row: &CallRow) -> Fingerprint {
    let request = &row.request;
    Fingerprint::of(&Identity {
        method: &request.method,
        host: &request.service,
        path: &request.path,
        account: None,
        body: &request.body,
        length: Some(request.body.len() as u64),
    })
}

impl Tables {
    /// Updates the crash ledger by the outcome of an attempt.
    pub(super) fn record_crash(&mut self, now: Instant, attempt: &Attempt, outcome: Outcome) {
        let Some(row) = self.calls.get(&attempt.call) else {
            return;
        };
        match outcome {
            Outcome::Answered if !self.crashes.ledger.is_empty() => {
                self.crashes.ledger.remove_request(fingerprint(row));
            }
            // An unreachable sidecar says nothing about its endpoint.
            Outcome::Failed(ErrorKind::EndpointBroken | ErrorKind::AnswerShort)
                if attempt.reachable =>
            {
                self.crashes.add(now, row, attempt);
            }
            _ => {}
        }
    }

    /// Refuses a call that is in quarantine. Returns whether it was refused.
    pub(super) fn refuse_quarantined(&mut self, now: Instant, id: RequestId) -> bool {
        let verdict = self
            .calls
            .get(&id)
            .map(|row| self.crashes.verdict(now, row));
        let Some(Verdict::Quarantined(remaining)) = verdict else {
            return false;
        };
        self.refuse(now, id, ErrorKind::Quarantined, remaining);
        true
    }

    /// Removes expired crashes.
    pub(super) fn expire_crashes(&mut self, now: Instant) {
        let at = now - self.crashes.start;
        if !self.crashes.ledger.is_empty() {
            self.crashes.ledger.expire(at, |_| false);
        }
        self.crashes
            .last_breaks
            .retain(|_, last| at.saturating_sub(*last) < CRASH_MERGE_WINDOW);
    }
}
