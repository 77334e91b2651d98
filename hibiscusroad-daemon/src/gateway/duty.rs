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
//!
//! The version of the lease's row keeps out former holders, but it stays between two renewals. So
//! a write also names the version of each row that it replaces: one that got no answer must not
//! replace a newer one of the same holder.

use super::{
    batches::Batches,
    boot::BootClock,
    failure::Failure,
    lease_row::{DUTIES_TABLE, decode_lease},
    store::Store,
};
use crate::logs::DUTY as TARGET;
use hibiscusroad::{
    lease::{Holding, Lease, LeaseRow, LeaseTimes, NextAction},
    table::{Change, Commit, Row, RowId},
};
use std::{
    cell::RefCell,
    collections::HashMap,
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
/// How often a transaction is executed again because an unanswered one has changed its rows: once
/// for that write, and once more for a repeat of it.
const MAX_REPEATS: u32 = 2;
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
    /// The versions of rows that are written under the lease, as last read or written here; 0 of
    /// rows that don't exist.
    versions: RefCell<HashMap<RowId, u64>>,
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
            versions: RefCell::default(),
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

    /// Reads a row that is written under the lease, for a later [`Duty::transact`].
    pub(super) async fn read_row(&self, id: &RowId) -> Result<Option<Row>, Failure> {
        let row = self.store.read_row(id).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        self.versions.borrow_mut().insert(id.clone(), version);
        Ok(row)
    }

    /// Records the versions of rows that are written under the lease, for a later
    /// [`Duty::transact`].
    pub(super) fn record_rows(&self, rows: &[Row]) {
        let versions = rows.iter().map(|row| (row.id.clone(), row.version));
        self.versions.borrow_mut().extend(versions);
    }

    /// Forgets the versions of rows that are written no more.
    pub(super) fn forget_rows<'a>(&self, ids: impl IntoIterator<Item = &'a RowId>) {
        let mut versions = self.versions.borrow_mut();
        for id in ids {
            versions.remove(id);
        }
    }

    /// Executes a transaction on condition that this process holds the lease, and that the rows
    /// that it writes are as this process knows them; `None` if it doesn't hold the lease.
    ///
    /// A row may have been written by an earlier transaction of this process whose answer was
    /// lost. The transaction is then executed again on condition of that version. A conflict is
    /// returned for a row with a condition of `change`.
    pub(super) async fn transact(&self, change: Change) -> Option<Commit> {
        let _guard = self.write_lock.lock().await;
        let mut repeats = 0..MAX_REPEATS;
        loop {
            let lease_version = self.lease.borrow().held_version(self.clock.now())?;
            let conditional = match self.with_conditions(&change).await {
                Ok(conditional) => conditional.expect(lease_row_id(), lease_version),
                Err(failure) => {
                    log::info!(target: TARGET, error = failure.to_string().as_str();
                        "A row that is to be written could not be read.");
                    return Some(Commit::Refused);
                }
            };
            let commit = self.store.transact(&conditional).await;
            match &commit {
                Commit::Done { version, .. } => {
                    let written = change.puts.iter().map(|(id, _)| (id.clone(), *version));
                    self.versions.borrow_mut().extend(written);
                }
                Commit::Conflict(rows) => {
                    let is_lease = |row: &&Row| row.id == lease_row_id();
                    if !rows
                        .iter()
                        .filter(is_lease)
                        .any(|row| row.version == lease_version)
                    {
                        log::info!(target: TARGET, row = lease_version;
                            "The lease was lost; nothing is sent.");
                        self.lease.borrow_mut().record_conflict();
                        return None;
                    }
                    let is_known = self.record_conflict_rows(&change, rows);
                    if is_known && repeats.next().is_some() {
                        continue;
                    }
                }
                Commit::Refused | Commit::Unknown => {}
            }
            return Some(commit);
        }
    }

    /// Adds the versions of the rows that a change writes to its conditions. Reads those that are
    /// not known.
    async fn with_conditions(&self, change: &Change) -> Result<Change, Failure> {
        let mut conditional = change.clone();
        for (id, _) in &change.puts {
            if has_condition(change, id) {
                continue;
            }
            let known = self.versions.borrow().get(id).copied();
            let version = match known {
                Some(version) => version,
                None => self.read_row(id).await?.map_or(0, |row| row.version),
            };
            conditional = conditional.expect(id.clone(), version);
        }
        Ok(conditional)
    }

    /// Records the versions of the rows that a change writes, after a conflict; returns whether
    /// the conditions that `change` has of its own are met.
    fn record_conflict_rows(&self, change: &Change, rows: &[Row]) -> bool {
        let version = |id: &RowId| {
            rows.iter()
                .find(|row| row.id == *id)
                .map_or(0, |row| row.version)
        };
        let written = change.puts.iter().map(|(id, _)| (id.clone(), version(id)));
        self.versions.borrow_mut().extend(written);
        change
            .expect
            .iter()
            .all(|(id, expected)| version(id) == *expected)
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

/// Returns whether a change has a condition on a row.
fn has_condition(change: &Change, id: &RowId) -> bool {
    change.expect.iter().any(|(expected, _)| expected == id)
}

/// Returns the id of the lease's row.
fn lease_row_id() -> RowId {
    RowId::new(DUTIES_TABLE, "", LEASE_KEY)
}
