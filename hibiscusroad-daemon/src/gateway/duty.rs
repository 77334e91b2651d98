//! The lease under which one gateway at a time acts for all of them.
//!
//! The holder gives engines their orders and reports usage. It has a lease in the store
//! and sends its fencing number with each call. It writes down what it is about to do,
//! under the condition that the lease is still its own, and looks at the lease right
//! before it sends, on a clock that runs on through a suspension, so a holder that was
//! paused past its time sends nothing.
//!
//! Since nothing is sent that isn't written down, the lease may be taken from a holder
//! that is only suspected to be gone, by the same signs as owners of batches: after
//! 1.1 s in place of a span, or at once where its process was started anew.
//! [`hibiscusroad::rollout::order_records`] says what a new holder leaves alone, and until when.

use super::{batches::Batches, boot::BootClock, store::Store};
use crate::logs::DUTY as PART;
use hibiscusroad::{
    lease::{Holding, Lease, LeaseRow, LeaseTimes, NextAction},
    table::{Change, Commit, Row, RowId},
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

/// The table of duties.
pub(super) const DUTIES: &str = "duties";
/// The key of the lease.
pub(super) const DUTY: &str = "weights";
/// Pause between tries to reach the store.
const AGAIN: Duration = Duration::from_millis(250);
/// Processes that start together are spread over this time.
const SPREAD_MS: u64 = 300;
/// Processes that see the same loss are spread over this time, so that one writes
/// and the others read of it; so many of them at the most.
const TAKING_MS: u64 = 120;
const TAKERS: usize = 32;

/// The lease, as this process sees it.
pub(super) struct Duty {
    life: String,
    lease_ms: u64,
    clock: BootClock,
    store: Rc<Store>,
    batches: Rc<Batches>,
    lease: RefCell<Lease>,
    /// The other process's holding and since when it is known. A holder that lost the
    /// duty and took it again is given its time anew: it renewed no row meanwhile, and
    /// would be suspected at once for a silence that meant nothing.
    rival: RefCell<Option<(Holding, Instant)>>,
    /// The holder in the lease's row as it was read last.
    before: RefCell<String>,
    /// One write under the lease at a time: each changes the version that the next one
    /// names as its condition.
    writing: Mutex<()>,
    /// Something needs a holder now, or the lease has to be looked at.
    changed: Notify,
    /// This process has taken the lease, or renewed it.
    held: Notify,
}

impl Duty {
    pub(super) fn new(life: &str, lease_ms: u64, store: Rc<Store>, batches: Rc<Batches>) -> Self {
        let times = LeaseTimes::new().with_ttl(Duration::from_millis(lease_ms));
        Self {
            life: life.to_owned(),
            lease_ms,
            clock: BootClock::new(),
            store,
            batches,
            lease: RefCell::new(Lease::new(life, times)),
            rival: RefCell::default(),
            before: RefCell::default(),
            writing: Mutex::default(),
            changed: Notify::new(),
            held: Notify::new(),
        }
    }

    /// Returns this life of this process, as other holders know it.
    pub(super) fn life(&self) -> &str {
        &self.life
    }

    /// Returns the present instant of the clock that the lease is counted on.
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns by how much calls of two holders to one receiver have to be apart.
    pub(super) const fn apart(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the fencing number while this process holds the lease.
    pub(super) fn fence(&self) -> Option<u64> {
        self.lease.borrow().fencing_token(self.clock.now())
    }

    /// Waits until this process has taken or renewed the lease.
    pub(super) async fn next_renewal(&self) {
        self.held.notified().await;
    }

    /// Notes that something may need a holder.
    pub(super) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Notes that another holder is known to have a higher fencing number.
    pub(super) fn beaten(&self) {
        self.lease.borrow_mut().record_conflict();
        self.wake();
    }

    /// Carries out a transaction under the condition that the lease is this process's;
    /// `None` if it isn't.
    pub(super) async fn transact(&self, change: Change) -> Option<Commit> {
        let _alone = self.writing.lock().await;
        let version = self.lease.borrow().held_version(self.clock.now())?;
        let done = self
            .store
            .transact(&change.expect(duty_row(), version))
            .await;
        if let Commit::Conflict(rows) = &done {
            let mut same = rows.iter().filter(|row| row.id == duty_row());
            if !same.any(|row| row.version == version) {
                log::info!(target: PART, row = version;
                    "Nothing is sent: the lease is no longer held here.");
                self.lease.borrow_mut().record_conflict();
                return None;
            }
        }
        Some(done)
    }

    /// Gives the lease back, so that another process takes it at once.
    pub(super) async fn leave(&self) {
        let _alone = self.writing.lock().await;
        self.lease.borrow_mut().release();
        let step = self.lease.borrow_mut().next_action(self.clock.now());
        if let NextAction::Write { version, row } = step {
            self.write(version, &row).await;
        }
    }

    /// Holds the lease, or watches who does, while `needed` says that anybody must.
    pub(super) async fn run(self: Rc<Self>, needed: impl Fn() -> bool) {
        sleep(Duration::from_millis(rand::random::<u64>() % SPREAD_MS)).await;
        loop {
            if !needed() {
                self.changed.notified().await;
                continue;
            }
            let now = self.clock.now();
            let alone = self.writing.lock().await;
            let step = self.lease.borrow_mut().next_action(now);
            match step {
                NextAction::Read => self.read().await,
                NextAction::Write { version, row } => self.write(version, &row).await,
                NextAction::Sleep(until) => {
                    drop(alone);
                    self.pause(until.saturating_duration_since(now)).await;
                }
            }
        }
    }

    async fn pause(&self, time: Duration) {
        let held = self.fence().is_some();
        self.batches.set_duty(held);
        if held {
            self.held.notify_waiters();
        } else if self.suspect().await {
            return;
        }
        tokio::select! {
            () = sleep(time) => {}
            () = self.changed.notified() => {}
            () = self.batches.next_poll(), if !held => {}
        }
    }

    /// Looks whether the other holder is gone; `true` if its duty may be taken.
    async fn suspect(&self) -> bool {
        let Some(holding) = self.lease.borrow().other_holding() else {
            return false;
        };
        let known = self.rival.borrow().clone();
        let since = match known {
            Some((rival, since)) if rival == holding => since,
            _ => {
                let now = Instant::now();
                self.rival.replace(Some((holding.clone(), now)));
                now
            }
        };
        let Some((why, count)) = self.batches.loss(&holding.holder, since) else {
            return false;
        };
        let draw = xxh3_64(self.life.as_bytes()) % TAKING_MS;
        let share = u64::try_from(count.div_ceil(TAKERS)).unwrap_or(1);
        sleep(Duration::from_millis(draw * share)).await;
        self.read().await;
        let same = self.lease.borrow().other_holding().as_ref() == Some(&holding);
        if same {
            log::info!(target: PART, holder = holding.holder.as_str(), fence = holding.fencing_token,
                why:? = why; "The holder of the duties is taken to be gone.");
            self.lease.borrow_mut().suspect(holding);
        }
        true
    }

    async fn read(&self) {
        let found = self.store.read_row(&duty_row()).await;
        let now = self.clock.now();
        match found {
            Ok(row) => {
                let found = row.map(|row| (row.version, lease_row(&row)));
                if let Some((_, row)) = &found {
                    self.before.replace(row.holder.clone());
                }
                self.lease.borrow_mut().record_read(now, found);
            }
            Err(failure) => {
                log::debug!(target: PART, error = failure.to_string().as_str();
                    "The lease could not be read.");
                self.lease.borrow_mut().record_failure(now);
                sleep(AGAIN).await;
            }
        }
    }

    async fn write(&self, version: u64, row: &LeaseRow) {
        let held = self.fence();
        let value = serde_json::to_vec(row).unwrap_or_default();
        let change = Change::new()
            .expect(duty_row(), version)
            .put(duty_row(), value);
        let done = self.store.transact(&change).await;
        let now = self.clock.now();
        match done {
            Commit::Done { version, .. } => {
                self.lease.borrow_mut().record_write(version);
                if let (None, Some(fence)) = (held, self.fence()) {
                    log::info!(target: PART, holder = self.life.as_str(), fence = fence,
                        from = self.before.borrow().as_str(); "The lease of the duties is held.");
                }
            }
            Commit::Conflict(_) => self.lease.borrow_mut().record_conflict(),
            Commit::Refused | Commit::Unknown => {
                self.lease.borrow_mut().record_failure(now);
                sleep(AGAIN).await;
            }
        }
    }
}

/// Names the row of the lease.
fn duty_row() -> RowId {
    RowId::new(DUTIES, "", DUTY)
}

/// Understands the row of the lease.
///
/// A broken one is taken for another's, which lapses like any other. Its number
/// is unknown; the row's version is above all numbers given out, since each of
/// them was a write.
fn lease_row(row: &Row) -> LeaseRow {
    serde_json::from_slice(&row.value).unwrap_or_else(|error| {
        log::error!(target: PART, row = row.version, error = error.to_string().as_str();
            "The lease's row is broken; it is waited for as another's.");
        LeaseRow {
            holder: "unknown".to_owned(),
            fencing_token: row.version,
            renewals: 0,
        }
    })
}
