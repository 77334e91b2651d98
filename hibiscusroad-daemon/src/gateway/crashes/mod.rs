//! Requests that crash endpoints: what this gateway sees of them, and what it is told.
//!
//! [`hibiscusroad::quarantine`] decides. Here attempts are watched ([`InFlight`]), what
//! they show is written to the store ([`keep`]), and what other gateways saw is taken
//! in ([`sink`]). Evidence counts here at once, whether or not the store has it: a
//! gateway that is cut off must not run a request again that it saw crash endpoints.

mod flight;
mod keep;
mod sink;

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

/// Characters of a path that are kept for operators: many rows go into one write.
const PATH: usize = 200;

/// An endpoint as its entry told last.
#[derive(Clone, Copy, Debug)]
struct Entry {
    born: Option<u64>,
    leaving: bool,
}

/// What is known of crashes.
pub(super) struct Crashes {
    store: Rc<Store>,
    meters: Rc<Meters>,
    ledger: RefCell<Ledger>,
    open: RefCell<UnresolvedAttempts>,
    entries: RefCell<HashMap<String, Entry>>,
    /// When the entries were told of.
    contact: Cell<UpdateContinuity>,
    /// Rows that are not written yet; `None` for those to be removed.
    unkept: RefCell<BTreeMap<RowId, Option<Vec<u8>>>>,
    /// Rows that this process wrote.
    own: RefCell<HashSet<RowId>>,
    /// Requests whose quarantine is known here.
    quarantined: RefCell<HashSet<Fingerprint>>,
    changed: Notify,
}

impl Crashes {
    pub(super) fn new(limit: usize, keep: Duration, store: Rc<Store>, meters: Rc<Meters>) -> Self {
        Self {
            store,
            meters,
            ledger: RefCell::new(Ledger::new(limit, keep)),
            open: RefCell::new(UnresolvedAttempts::new()),
            entries: RefCell::default(),
            contact: Cell::new(UpdateContinuity::new()),
            unkept: RefCell::default(),
            own: RefCell::default(),
            quarantined: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Says whether any request was seen in flight at a crash.
    pub(super) fn has_evidence(&self) -> bool {
        !self.ledger.borrow().is_empty()
    }

    /// Says what is known of a request.
    pub(super) fn verdict(&self, subject: &Subject) -> Verdict {
        if !self.has_evidence() {
            return Verdict::Clear;
        }
        let ledger = self.ledger.borrow();
        ledger.verdict(self.now(), subject.fingerprint())
    }

    /// Takes in changes of the roster.
    pub(super) fn roster(&self, news: &[EndpointChange]) {
        for news in news {
            match news {
                EndpointChange::Updated(endpoint) => {
                    let entry = Entry {
                        born: endpoint.started_ms,
                        leaving: endpoint.leaving,
                    };
                    self.entries.borrow_mut().insert(endpoint.id.clone(), entry);
                }
                EndpointChange::Removed(id) => self.gone(id),
            }
        }
    }

    /// Notes that the store told of the endpoints' entries.
    pub(super) fn confirm(&self) {
        let mut contact = self.contact.get();
        contact.record_update(Instant::now());
        self.contact.set(contact);
    }

    fn gone(&self, id: &str) {
        let known = self.entries.borrow().get(id).copied();
        if let Some(entry) = known {
            self.ended(&EndpointIncarnation {
                endpoint: id.to_owned(),
                started_ms: entry.born,
            });
        }
        self.entries.borrow_mut().remove(id);
    }

    /// Says whether an endpoint told that it leaves: its end is planned then.
    fn is_leaving(&self, life: &EndpointIncarnation) -> bool {
        let entries = self.entries.borrow();
        let entry = entries.get(&life.endpoint);
        entry.is_some_and(|entry| entry.leaving && entry.born == life.started_ms)
    }

    /// Notes that an endpoint has ended: what was in flight there may be the cause.
    fn ended(&self, life: &EndpointIncarnation) {
        if self.is_leaving(life) {
            return;
        }
        let open = self.open.borrow_mut().record_end(Instant::now(), life);
        for (request, path) in open {
            self.record(request, life, &path);
        }
    }

    /// Notes that a request was in flight at an endpoint that ended.
    fn record(&self, request: Fingerprint, life: &EndpointIncarnation, path: &str) {
        if self.is_leaving(life) {
            return;
        }
        let crash = Crash {
            request,
            incarnation: life.clone(),
            at: self.now(),
            path: path.chars().take(PATH).collect(),
        };
        let (row, value) = (crash.row(), crash.encode());
        if !self.ledger.borrow_mut().add(crash) {
            return;
        }
        log::info!(target: CALLS, fingerprint:% = request, path = path,
            endpoint = life.endpoint.as_str();
            "A request was in flight at an endpoint that ended.");
        self.meters.crashes.with_label_values(&["noted"]).inc();
        self.write(row, Some(value));
        self.judge();
    }

    /// Notes that a request was answered.
    fn clear(&self, subject: &Subject) {
        if self.ledger.borrow().is_empty() && self.open.borrow().is_empty() {
            return;
        }
        let request = subject.fingerprint();
        self.open.borrow_mut().remove_request(request);
        let rows = self.ledger.borrow_mut().remove_request(request);
        if rows.is_empty() {
            return;
        }
        log::info!(target: CALLS, fingerprint:% = request, crashes = rows.len();
            "A request that was in flight at crashes is answered.");
        self.meters.crashes.with_label_values(&["cleared"]).inc();
        for row in rows {
            self.write(row, None);
        }
        self.judge();
    }

    /// Tells of quarantines that began or ended.
    fn judge(&self) {
        let (ledger, now) = (self.ledger.borrow(), self.now());
        let held = |request: &Fingerprint| {
            matches!(ledger.verdict(now, *request), Verdict::Quarantined(_))
        };
        let held: HashSet<Fingerprint> = ledger.requests().filter(held).collect();
        let mut known = self.quarantined.borrow_mut();
        for request in held.difference(&known) {
            let crashes: Vec<&Crash> = ledger.crashes_of(*request).collect();
            let path = crashes.first().map_or("", |crash| crash.path.as_str());
            log::warn!(target: CALLS, fingerprint:% = *request, path = path,
                crashes = crashes.len();
                "A request is in quarantine: endpoints end while they run it.");
        }
        for request in known.difference(&held) {
            log::info!(target: CALLS, fingerprint:% = *request; "A quarantine is over.");
        }
        *known = held;
        self.meters
            .quarantined
            .set(i64::try_from(known.len()).unwrap_or(i64::MAX));
    }

    /// Returns the store's steady clock; there are no requests before it is known.
    fn now(&self) -> Duration {
        self.store.now().unwrap_or_default()
    }
}
