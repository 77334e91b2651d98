//! Detection of requests that crash endpoints, and their quarantine.
//!
//! [`hibiscusroad::quarantine`] has the rules. This module collects the evidence: it tracks
//! requests in flight ([`InFlight`]), writes the crashes that it detects to the store
//! ([`writer`]) and reads those that other gateways detected ([`sink`]). Evidence takes
//! effect in this process before it is written, so that a gateway that can't reach the
//! store stops running a request that crashes endpoints, too.
//!
//! Only requests of callers have a [`Subject`] and can be the cause of a crash. Items and calls
//! of scorers were accepted to be run later, so a crash under them is no evidence: they are
//! never held. Their answers show that an endpoint lives, like those of callers.

mod flight;
mod sink;
mod writer;

use super::{meters::Meters, store::Store, subject::Subject};
use crate::logs::CALLS;
use hibiscusroad::{
    quarantine::{
        Crash, EndpointIncarnation, Fingerprint, Ledger, UnresolvedAttempts, UpdateContinuity,
        Verdict,
    },
    roster::EndpointChange,
    table::RowId,
};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::Notify;

pub(super) use self::{flight::InFlight, sink::sink};

/// Maximum characters of a path in a row, which bounds the size of a write.
const MAX_PATH_CHARS: usize = 200;

/// The state of an endpoint in the roster.
#[derive(Clone, Copy, Debug)]
struct EndpointState {
    started_ms: Option<u64>,
    /// Whether it may end without a crash: it has announced its end, or operators have evacuated
    /// its data centre, where they may stop it.
    may_end: bool,
}

/// The crash evidence that this gateway has, its own and that of other gateways.
pub(super) struct Crashes {
    store: Rc<Store>,
    meters: Rc<Meters>,
    ledger: RefCell<Ledger>,
    unresolved: RefCell<UnresolvedAttempts>,
    endpoints: RefCell<HashMap<String, EndpointState>>,
    /// Whether the roster has been kept up to date without a gap.
    roster_continuity: Cell<UpdateContinuity>,
    /// Rows that are not written yet; `None` for those to be removed.
    pending: RefCell<BTreeMap<RowId, Option<Vec<u8>>>>,
    /// Rows that this process wrote.
    own_rows: RefCell<HashSet<RowId>>,
    /// Requests whose quarantine was logged.
    quarantined: RefCell<HashSet<Fingerprint>>,
    /// Notified when a row is queued.
    write_queued: Notify,
}

impl Crashes {
    pub(super) fn new(
        crash_limit: usize,
        crash_ttl: Duration,
        store: Rc<Store>,
        meters: Rc<Meters>,
    ) -> Self {
        Self {
            store,
            meters,
            ledger: RefCell::new(Ledger::new(crash_limit, crash_ttl)),
            unresolved: RefCell::new(UnresolvedAttempts::new()),
            endpoints: RefCell::default(),
            roster_continuity: Cell::new(UpdateContinuity::new()),
            pending: RefCell::default(),
            own_rows: RefCell::default(),
            quarantined: RefCell::default(),
            write_queued: Notify::new(),
        }
    }

    /// Returns whether a request may run, by the evidence against it.
    ///
    /// The work of a batch has no subject and may always run: it is owed until its batch ends.
    pub(super) fn verdict(&self, subject: Option<&Subject>) -> Verdict {
        let ledger = self.ledger.borrow();
        match subject.filter(|_| !ledger.is_empty()) {
            Some(subject) => ledger.verdict(self.now(), subject.fingerprint()),
            None => Verdict::Clear,
        }
    }

    /// Applies changes of the roster.
    pub(super) fn apply_roster(&self, changes: &[EndpointChange]) {
        for change in changes {
            match change {
                EndpointChange::Updated(endpoint) => {
                    let state = EndpointState {
                        started_ms: endpoint.started_ms,
                        may_end: !endpoint.is_open(),
                    };
                    self.endpoints
                        .borrow_mut()
                        .insert(endpoint.id.clone(), state);
                }
                EndpointChange::Removed(id) => self.remove_endpoint(id),
            }
        }
    }

    /// Records that the roster is up to date with the store.
    pub(super) fn confirm_roster(&self) {
        let mut continuity = self.roster_continuity.get();
        continuity.record_update(Instant::now());
        self.roster_continuity.set(continuity);
    }

    fn remove_endpoint(&self, id: &str) {
        let state = self.endpoints.borrow().get(id).copied();
        if let Some(state) = state {
            self.record_end(&EndpointIncarnation {
                endpoint: id.to_owned(),
                started_ms: state.started_ms,
            });
        }
        self.endpoints.borrow_mut().remove(id);
    }

    /// Returns whether the end of an endpoint is no crash, since it was announced or may be meant.
    fn may_end(&self, incarnation: &EndpointIncarnation) -> bool {
        let endpoints = self.endpoints.borrow();
        let state = endpoints.get(&incarnation.endpoint);
        state.is_some_and(|state| state.may_end && state.started_ms == incarnation.started_ms)
    }

    /// Records that an endpoint ended, as evidence against its unresolved requests.
    fn record_end(&self, incarnation: &EndpointIncarnation) {
        if self.may_end(incarnation) {
            return;
        }
        let requests = self
            .unresolved
            .borrow_mut()
            .record_end(Instant::now(), incarnation);
        for (request, path) in requests {
            self.record_crash(request, incarnation, &path);
        }
    }

    /// Records that a request was in flight at an endpoint that ended.
    fn record_crash(&self, request: Fingerprint, incarnation: &EndpointIncarnation, path: &str) {
        if self.may_end(incarnation) {
            return;
        }
        let crash = Crash {
            request,
            incarnation: incarnation.clone(),
            at: self.now(),
            path: path.chars().take(MAX_PATH_CHARS).collect(),
        };
        let (row, value) = (crash.row(), crash.encode());
        if !self.ledger.borrow_mut().add(crash) {
            return;
        }
        log::info!(target: CALLS, fingerprint:% = request, path = path,
            endpoint = incarnation.endpoint.as_str();
            "A request was in flight at an endpoint that ended.");
        self.meters.crashes.with_label_values(&["noted"]).inc();
        self.queue_write(row, Some(value));
        self.update_quarantines();
    }

    /// Records that an endpoint has answered a request that was sent at a time of the store's clock.
    ///
    /// The crashes before are void. They count again if it ends soon: an endpoint may answer
    /// others for a moment while it ends.
    pub(super) fn record_life(&self, incarnation: &EndpointIncarnation, sent_at: Duration) {
        if self.ledger.borrow().is_empty() || self.unresolved.borrow().has_ended(incarnation) {
            return;
        }
        let crashes = self.ledger.borrow_mut().refute(incarnation, sent_at);
        if crashes.is_empty() {
            return;
        }
        log::info!(target: CALLS, endpoint = incarnation.endpoint.as_str(), crashes = crashes.len();
            "Crashes are void: the endpoint answers requests that were sent later.");
        let void = self.meters.crashes.with_label_values(&["void"]);
        void.inc_by(crashes.len() as u64);
        for crash in crashes {
            self.queue_write(crash.row(), None);
            let Crash {
                request,
                incarnation,
                path,
                ..
            } = crash;
            let mut unresolved = self.unresolved.borrow_mut();
            unresolved.add(Instant::now(), request, incarnation, path);
        }
        self.update_quarantines();
    }

    /// Removes the evidence against a request that was answered.
    fn remove_evidence(&self, subject: &Subject) {
        if self.ledger.borrow().is_empty() && self.unresolved.borrow().is_empty() {
            return;
        }
        let request = subject.fingerprint();
        self.unresolved.borrow_mut().remove_request(request);
        let rows = self.ledger.borrow_mut().remove_request(request);
        if rows.is_empty() {
            return;
        }
        log::info!(target: CALLS, fingerprint:% = request, crashes = rows.len();
            "A request that was in flight at crashes is answered.");
        self.meters.crashes.with_label_values(&["cleared"]).inc();
        for row in rows {
            self.queue_write(row, None);
        }
        self.update_quarantines();
    }

    /// Logs and counts the quarantines that began or ended.
    fn update_quarantines(&self) {
        let (ledger, now) = (self.ledger.borrow(), self.now());
        let is_quarantined = |request: &Fingerprint| {
            matches!(ledger.verdict(now, *request), Verdict::Quarantined(_))
        };
        let current: HashSet<Fingerprint> = ledger.requests().filter(is_quarantined).collect();
        let mut previous = self.quarantined.borrow_mut();
        for request in current.difference(&previous) {
            let crashes: Vec<&Crash> = ledger.crashes_of(*request).collect();
            let path = crashes.first().map_or("", |crash| crash.path.as_str());
            log::warn!(target: CALLS, fingerprint:% = *request, path = path,
                crashes = crashes.len();
                "A request is in quarantine: endpoints end while they run it.");
        }
        for request in previous.difference(&current) {
            log::info!(target: CALLS, fingerprint:% = *request; "A quarantine ended.");
        }
        *previous = current;
        self.meters
            .quarantined
            .set(i64::try_from(previous.len()).unwrap_or(i64::MAX));
    }

    /// Returns the store's steady clock, which is known before any request is served.
    pub(super) fn now(&self) -> Duration {
        self.store.now().unwrap_or_default()
    }
}
