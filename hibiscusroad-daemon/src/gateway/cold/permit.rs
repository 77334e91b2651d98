//! The permit to use the cold endpoints of a service: a lease in the store.
//!
//! A gateway with work that cold endpoints could take requests it, renews it while the work
//! lasts, and releases it afterwards. Nothing takes it over before its lease ends, because
//! endpoints can't check whose request they get. The rules of [`hibiscusroad::lease`] end it at
//! the holder before it may be acquired elsewhere.

use super::Cold;
use crate::{
    gateway::lease_row::{DUTIES_TABLE, decode_lease},
    logs::DUTY as TARGET,
};
use hibiscusroad::{
    clock::millis,
    cold_start::Permit,
    lease::{Lease, LeaseRow, LeaseTimes, NextAction},
    table::{Change, Commit, RowId},
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::{Mutex, Notify},
    time::{sleep, timeout},
};

/// Lifetime of the lease: shorter than a cold start, so that the endpoints are used again before
/// they are warm if the holder dies.
const PERMIT_TTL: Duration = Duration::from_millis(2_400);
/// How long the permit is kept after the last request for it. A trainer pauses for about a second
/// between two steps, and each change of the holder costs a second without sends.
const LINGER: Duration = Duration::from_secs(4);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The permit of one service, as this process sees it.
pub(super) struct PermitLease {
    service: String,
    holder: String,
    lease: RefCell<Lease>,
    /// Until when the permit is needed.
    needed_until: Cell<Option<Instant>>,
    /// The fencing token of the present holding, and when it was acquired.
    holding: Cell<Option<(u64, Instant)>>,
    /// Notified when the permit is needed.
    requested: Notify,
    is_stopped: Cell<bool>,
    /// Serialises calls to the store: each write changes the version that the next one expects.
    step_lock: Mutex<()>,
}

impl PermitLease {
    pub(super) fn new(holder: &str, service: &str) -> Self {
        Self {
            service: service.to_owned(),
            holder: holder.to_owned(),
            lease: RefCell::new(new_lease(holder)),
            needed_until: Cell::new(None),
            holding: Cell::new(None),
            requested: Notify::new(),
            is_stopped: Cell::new(false),
            step_lock: Mutex::default(),
        }
    }

    /// Records that the permit is needed at `now`.
    pub(super) fn request(&self, now: Instant) {
        let was_needed = self.is_needed(now);
        self.needed_until.set(Some(now + LINGER));
        if !was_needed {
            self.requested.notify_one();
        }
    }

    pub(super) fn is_held(&self, now: Instant) -> bool {
        self.lease.borrow().held_until(now).is_some()
    }

    /// Releases the permit for good.
    pub(super) async fn stop(&self, cold: &Cold) {
        self.is_stopped.set(true);
        let _guard = self.step_lock.lock().await;
        if self.is_held(cold.clock.now()) {
            self.release(cold).await;
        }
    }

    fn is_needed(&self, now: Instant) -> bool {
        let is_requested = self.needed_until.get().is_some_and(|until| now < until);
        is_requested && !self.is_stopped.get()
    }

    /// Writes that the permit is free, after this process has stopped using it.
    async fn release(&self, cold: &Cold) {
        cold.set_permit(&self.service, None);
        self.holding.set(None);
        self.lease.borrow_mut().release();
        let step = self.lease.borrow_mut().next_action(cold.clock.now());
        if let NextAction::Write { version, row } = step {
            let done = cold.store.transact(&self.change(version, &row)).await;
            log::info!(target: TARGET, service = self.service.as_str(),
                done = matches!(done, Commit::Done { .. });
                "The permit for cold endpoints is released.");
        }
        // A release that had no effect leaves the row with this holder, until the lease expires.
        self.lease.replace(new_lease(&self.holder));
    }

    async fn step(&self, cold: &Cold) -> Option<Duration> {
        let _guard = self.step_lock.lock().await;
        if self.is_stopped.get() {
            return None;
        }
        let now = cold.clock.now();
        let step = self.lease.borrow_mut().next_action(now);
        let wait = match step {
            NextAction::Read => self.read(cold).await,
            NextAction::Write { version, row } => self.write(cold, version, &row).await,
            NextAction::Sleep(until) => Some(until.saturating_duration_since(now)),
        };
        self.publish(cold);
        wait
    }

    async fn read(&self, cold: &Cold) -> Option<Duration> {
        let found = cold.store.read_row(&row_id(&self.service)).await;
        let now = cold.clock.now();
        let mut lease = self.lease.borrow_mut();
        match found {
            Ok(row) => {
                lease.record_read(now, row.map(|row| (row.version, decode_lease(&row))));
                None
            }
            Err(failure) => {
                log::debug!(target: TARGET, service = self.service.as_str(),
                    error = failure.to_string().as_str(); "Reading a permit failed.");
                lease.record_failure(now);
                Some(RETRY_DELAY)
            }
        }
    }

    async fn write(&self, cold: &Cold, version: u64, row: &LeaseRow) -> Option<Duration> {
        let done = cold.store.transact(&self.change(version, row)).await;
        let mut lease = self.lease.borrow_mut();
        match done {
            Commit::Done { version, .. } => {
                lease.record_write(version);
                None
            }
            Commit::Conflict(_) => {
                lease.record_conflict();
                None
            }
            Commit::Refused | Commit::Unknown => {
                lease.record_failure(cold.clock.now());
                Some(RETRY_DELAY)
            }
        }
    }

    fn change(&self, version: u64, row: &LeaseRow) -> Change {
        let id = row_id(&self.service);
        let value = serde_json::to_vec(row).unwrap_or_default();
        Change::new().expect(id.clone(), version).put(id, value)
    }

    /// Passes on whether and until when the permit is held.
    fn publish(&self, cold: &Cold) {
        let now = cold.clock.now();
        let lease = self.lease.borrow();
        let held = lease.held_until(now).zip(lease.fencing_token(now));
        let before = self.holding.get();
        let holding = held.map(|(_, fence)| {
            let same = before.filter(|(token, _)| *token == fence);
            same.unwrap_or((fence, now))
        });
        self.holding.set(holding);
        if before.map(|(fence, _)| fence) != holding.map(|(fence, _)| fence) {
            let fence = holding.or(before).map_or(0, |(fence, _)| fence);
            let text = if holding.is_some() {
                "The permit for cold endpoints is held."
            } else {
                "The permit for cold endpoints is lost."
            };
            let left = held.map(|(until, _)| millis(until - now));
            log::info!(target: TARGET, service = self.service.as_str(), fence = fence,
                left_ms:? = left; "{text}");
        }
        let permit = held
            .zip(holding)
            .map(|((expires, _), (_, acquired))| Permit { acquired, expires });
        cold.set_permit(&self.service, permit);
    }
}

/// Acquires and renews a permit while it is needed, until the process ends.
pub(super) async fn run(cold: Rc<Cold>, permit: Rc<PermitLease>) {
    loop {
        let now = cold.clock.now();
        if !permit.is_needed(now) {
            let guard = permit.step_lock.lock().await;
            if permit.is_held(now) && !permit.is_stopped.get() {
                permit.release(&cold).await;
            }
            drop(guard);
            permit.requested.notified().await;
            continue;
        }
        let Some(wait) = permit.step(&cold).await else {
            continue;
        };
        if permit.is_held(cold.clock.now()) {
            sleep(wait).await;
        } else {
            // A request while the permit is needed already changes nothing.
            let _is_requested = timeout(wait, permit.requested.notified()).await.is_ok();
        }
    }
}

fn new_lease(holder: &str) -> Lease {
    Lease::new(holder, LeaseTimes::new().with_ttl(PERMIT_TTL))
}

/// Returns the ID of the row of a service's permit.
fn row_id(service: &str) -> RowId {
    RowId::new(DUTIES_TABLE, "", &format!("cold/{service}"))
}
