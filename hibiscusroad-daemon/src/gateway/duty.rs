//! The lease that lets one gateway at a time act for all of them.
//!
//! The holder orders engines to load weights and reports usage, with its fencing token
//! in each call. Before it sends, it records the call in the store on condition that it
//! still holds the lease, and checks the lease on a clock that includes suspensions.
//!
//! Because every call is recorded first, the lease can be taken over from a holder that
//! is only suspected to have failed, before the lease expires. Suspicion follows the
//! rules for owners of batches. [`hibiscusroad::rollout::order_records`] defines which calls a
//! new holder must leave alone, and for how long.

use super::{
    batches::Batches,
    boot::BootClock,
    lease_row::{DUTIES_TABLE, decode_lease},
    store::Store,
};
use crate::logs::DUTY as TARGET;
use hibiscusroad::{
    lease::{Holding, Lease, LeaseRow, LeaseTimes, NextAction},
    table::{Change, Commit, RowId},
};
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::{Mutex, Notify},
    time::sleep,
};
use xxhash_rust::xxh3::xxh3_64;

/// The key of the lease's row.
pub(super) const LEASE_KEY: &str = "weights";
/// Least delay after a failed call to the store; a write waits for at least the time that writes
/// take at present.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Jitter of processes that start together, in milliseconds.
const START_JITTER_MS: u64 = 300;
/// Jitter before a takeover, in milliseconds, so that the first process writes and the
/// others read the result. It grows with each [`CANDIDATES_PER_JITTER`] processes.
const TAKEOVER_JITTER_MS: u64 = 120;
/// Number of processes that [`TAKEOVER_JITTER_MS`] is enough for.
const CANDIDATES_PER_JITTER: usize = 32;

/// This process's view of the lease.
pub(super) struct Duty {
    holder: String,
    lease_ms: u64,
    clock: BootClock,
    store: Rc<Store>,
    batches: Rc<Batches>,
    lease: RefCell<Lease>,
    /// The other process's holding and when it was first seen. Silence is counted from
    /// then: a holder that lost the lease and regained it renewed nothing in between.
    other: RefCell<Option<(Holding, Instant)>>,
    /// The holder in the lease's row when it was last read.
    last_holder: RefCell<String>,
    /// Serialises writes under the lease: each changes the version that the next one
    /// expects.
    write_lock: Mutex<()>,
    /// Notified when a holder may be needed or the lease must be checked.
    changed: Notify,
    /// Notified when this process has acquired or renewed the lease.
    renewed: Notify,
}

impl Duty {
    pub(super) fn new(holder: &str, lease_ms: u64, store: Rc<Store>, batches: Rc<Batches>) -> Self {
        let times = LeaseTimes::new().with_ttl(Duration::from_millis(lease_ms));
        Self {
            holder: holder.to_owned(),
            lease_ms,
            clock: BootClock::new(),
            store,
            batches,
            lease: RefCell::new(Lease::new(holder, times)),
            other: RefCell::default(),
            last_holder: RefCell::default(),
            write_lock: Mutex::default(),
            changed: Notify::new(),
            renewed: Notify::new(),
        }
    }

    /// Returns the name by which this incarnation of the process holds the lease.
    pub(super) fn holder(&self) -> &str {
        &self.holder
    }

    /// Returns the current instant of the clock that the lease is measured on.
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the minimum time between calls of two holders to the same receiver.
    pub(super) const fn call_gap(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the fencing token while this process holds the lease.
    pub(super) fn fencing_token(&self) -> Option<u64> {
        self.lease.borrow().fencing_token(self.clock.now())
    }

    /// Waits until this process acquires or renews the lease.
    pub(super) async fn next_renewal(&self) {
        self.renewed.notified().await;
    }

    /// Wakes [`Duty::run`] because a holder may be needed.
    pub(super) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Records that another holder has a higher fencing token.
    pub(super) fn record_conflict(&self) {
        self.lease.borrow_mut().record_conflict();
        self.wake();
    }

    /// Executes a transaction on condition that this process holds the lease; `None` if
    /// it doesn't.
    pub(super) async fn transact(&self, change: Change) -> Option<Commit> {
        let _guard = self.write_lock.lock().await;
        let version = self.lease.borrow().held_version(self.clock.now())?;
        let done = self
            .store
            .transact(&change.expect(lease_row_id(), version))
            .await;
        if let Commit::Conflict(rows) = &done {
            let mut lease_rows = rows.iter().filter(|row| row.id == lease_row_id());
            if !lease_rows.any(|row| row.version == version) {
                log::info!(target: TARGET, row = version;
                    "The lease was lost; nothing is sent.");
                self.lease.borrow_mut().record_conflict();
                return None;
            }
        }
        Some(done)
    }

    /// Releases the lease, so that another process can acquire it at once.
    pub(super) async fn release(&self) {
        let _guard = self.write_lock.lock().await;
        self.lease.borrow_mut().release();
        let step = self.lease.borrow_mut().next_action(self.clock.now());
        if let NextAction::Write { version, row } = step {
            self.write(version, &row).await;
        }
    }

    /// Acquires and renews the lease, or watches its holder, while `needed` returns `true`.
    pub(super) async fn run(self: Rc<Self>, needed: impl Fn() -> bool) {
        sleep(Duration::from_millis(
            rand::random::<u64>() % START_JITTER_MS,
        ))
        .await;
        loop {
            if !needed() {
                self.changed.notified().await;
                continue;
            }
            let now = self.clock.now();
            let guard = self.write_lock.lock().await;
            let step = self.lease.borrow_mut().next_action(now);
            match step {
                NextAction::Read => self.read().await,
                NextAction::Write { version, row } => self.write(version, &row).await,
                NextAction::Sleep(until) => {
                    drop(guard);
                    self.wait(until.saturating_duration_since(now)).await;
                }
            }
        }
    }

    /// Waits for the next step of the lease, and watches the holder if it is another.
    async fn wait(&self, time: Duration) {
        let held = self.fencing_token().is_some();
        self.batches.set_duty(held);
        if held {
            self.renewed.notify_waiters();
        } else if self.check_holder().await {
            return;
        }
        tokio::select! {
            () = sleep(time) => {}
            () = self.changed.notified() => {}
            () = self.batches.next_poll(), if !held => {}
        }
    }

    /// Checks whether the other holder has failed. Returns `true` if it seems so, after
    /// another read of the lease's row.
    async fn check_holder(&self) -> bool {
        let Some(holding) = self.lease.borrow().other_holding() else {
            return false;
        };
        let seen = self.other.borrow().clone();
        let since = match seen {
            Some((other, since)) if other == holding => since,
            _ => {
                let now = Instant::now();
                self.other.replace(Some((holding.clone(), now)));
                now
            }
        };
        let Some((why, count)) = self.batches.loss(&holding.holder, since) else {
            return false;
        };
        let jitter_ms = xxh3_64(self.holder.as_bytes()) % TAKEOVER_JITTER_MS;
        let factor = u64::try_from(count.div_ceil(CANDIDATES_PER_JITTER)).unwrap_or(1);
        sleep(Duration::from_millis(jitter_ms * factor)).await;
        self.read().await;
        let is_unchanged = self.lease.borrow().other_holding().as_ref() == Some(&holding);
        if is_unchanged {
            log::info!(target: TARGET, holder = holding.holder.as_str(), fence = holding.fencing_token,
                why:? = why; "The holder of the duties is suspected to have failed.");
            self.lease.borrow_mut().suspect(holding);
        }
        true
    }

    async fn read(&self) {
        let found = self.store.read_row(&lease_row_id()).await;
        let now = self.clock.now();
        match found {
            Ok(row) => {
                let found = row.map(|row| (row.version, decode_lease(&row)));
                if let Some((_, row)) = &found {
                    self.last_holder.replace(row.holder.clone());
                }
                self.lease.borrow_mut().record_read(now, found);
            }
            Err(failure) => {
                log::debug!(target: TARGET, error = failure.to_string().as_str();
                    "Reading the lease failed.");
                self.lease.borrow_mut().record_failure(now);
                sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn write(&self, version: u64, row: &LeaseRow) {
        let held = self.fencing_token();
        let value = serde_json::to_vec(row).unwrap_or_default();
        let change = Change::new()
            .expect(lease_row_id(), version)
            .put(lease_row_id(), value);
        let done = self.store.transact(&change).await;
        let now = self.clock.now();
        match done {
            Commit::Done { version, .. } => {
                self.lease.borrow_mut().record_write(version);
                if let (None, Some(fence)) = (held, self.fencing_token()) {
                    log::info!(target: TARGET, holder = self.holder.as_str(), fence = fence,
                        from = self.last_holder.borrow().as_str(); "The lease of the duties is held.");
                }
            }
            Commit::Conflict(_) => self.lease.borrow_mut().record_conflict(),
            Commit::Refused | Commit::Unknown => {
                self.lease.borrow_mut().record_failure(now);
                let latency = self.store.write_latency(&lease_row_id().part);
                sleep(RETRY_DELAY.max(latency)).await;
            }
        }
    }
}

/// Returns the id of the lease's row.
fn lease_row_id() -> RowId {
    RowId::new(DUTIES_TABLE, "", LEASE_KEY)
}
