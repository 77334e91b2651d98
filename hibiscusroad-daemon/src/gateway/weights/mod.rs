//! The duty of loading weights: one holder gives all orders.
//!
//! The holder has a lease in the store and sends its fencing number with each
//! order. It writes down which engines it is about to order, under the condition
//! that the lease is still its own, and looks at the lease right before it sends, on
//! a clock that runs on through a suspension, so a holder that was paused past its
//! time sends nothing. An engine's own count of accepted orders goes along as a
//! condition: an order whose answer was lost, and that is carried out late, is
//! refused then because others came after it.
//!
//! Since no order is sent that isn't written down, the lease may be taken from a
//! holder that is only suspected to be gone, by the same signs as owners of batches:
//! after 1.1 s in place of a span, or at once where its process was started anew.
//! [`hibiscusroad::rollout::turns`] says which engines a new holder leaves alone.
//!
//! * [`order`]: what is to be loaded next, and that it is written down first.
//! * [`load`]: one load, from the order to the engine's word.
//! * [`learned`]: what holders hand on about loads.

mod learned;
mod load;
mod order;

use super::{
    batches::Batches, boot::BootClock, http::Channels, known::Known, meters::Meters, store::Store,
    sync::Members,
};
use crate::logs::WEIGHTS;
use hibiscusroad::{
    lease::{Holding, Lease, Next, Row as LeaseRow, Terms},
    rollout::{
        turns::{Turns, VALID},
        wave::Pace,
    },
    roster::News,
    table::{Change, Commit, Row, RowId},
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, time::sleep};
use xxhash_rust::xxh3::xxh3_64;

/// The table of duties.
const DUTIES: &str = "duties";
/// The key of this duty.
const DUTY: &str = "weights";
/// Pause between looks at an engine that loads and says nothing, and between
/// tries to reach the store.
const LOOK: Duration = Duration::from_millis(250);
/// Processes that start together are spread over this time.
const SPREAD_MS: u64 = 300;
/// Processes that see the same loss are spread over this time, so that one writes
/// and the others read of it; so many of them at the most.
const TAKING_MS: u64 = 120;
const TAKERS: usize = 32;
/// The key of the orders that were written down.
const TURNS: &str = "orders";

/// The duty, as this process sees it.
pub(super) struct Weights {
    life: String,
    lease_ms: u64,
    fences: bool,
    clock: BootClock,
    store: Rc<Store>,
    known: Rc<Known>,
    members: Rc<Members>,
    batches: Rc<Batches>,
    channels: Rc<Channels>,
    meters: Rc<Meters>,
    lease: RefCell<Lease>,
    /// Engines with an order under way, or that are left alone for a while.
    loading: RefCell<HashMap<String, Instant>>,
    /// Versions that engines reported, beyond their entries.
    seen: RefCell<HashMap<(String, String), u64>>,
    /// Orders that engines accepted, as far as known.
    orders: RefCell<HashMap<String, u64>>,
    pace: RefCell<Pace>,
    /// Until when all engines are left alone, because nobody knows which of them
    /// the holder before has ordered.
    quiet: Cell<Option<Instant>>,
    /// Which engines were ordered lately, and by whom.
    turns: RefCell<Turns>,
    /// The other process's holding and since when it is known. A holder that lost the
    /// duty and took it again is given its time anew: it renewed no row meanwhile, and
    /// would be suspected at once for a silence that meant nothing.
    rival: RefCell<Option<(Holding, Instant)>>,
    /// The holder in the lease's row as it was read last.
    before: RefCell<String>,
    /// When what was learned of loads was kept last.
    kept: Cell<Option<Instant>>,
    /// When paces of engines were heard last.
    heard: Cell<Option<Instant>>,
    changed: Notify,
    /// Engines registered something new.
    news: Notify,
}

/// What the duty works with.
pub(super) struct Parts {
    pub(super) store: Rc<Store>,
    pub(super) known: Rc<Known>,
    pub(super) members: Rc<Members>,
    pub(super) batches: Rc<Batches>,
    pub(super) channels: Rc<Channels>,
    pub(super) meters: Rc<Meters>,
}

impl Weights {
    pub(super) fn new(life: &str, lease_ms: u64, fences: bool, parts: Parts) -> Self {
        let terms = Terms::new().span(Duration::from_millis(lease_ms));
        Self {
            life: life.to_owned(),
            lease_ms,
            fences,
            clock: BootClock::new(),
            store: parts.store,
            known: parts.known,
            members: parts.members,
            batches: parts.batches,
            channels: parts.channels,
            meters: parts.meters,
            lease: RefCell::new(Lease::new(life, terms)),
            loading: RefCell::default(),
            seen: RefCell::default(),
            orders: RefCell::default(),
            pace: RefCell::new(Pace::new()),
            quiet: Cell::new(None),
            turns: RefCell::new(Turns::new()),
            rival: RefCell::default(),
            before: RefCell::default(),
            kept: Cell::new(None),
            heard: Cell::new(None),
            changed: Notify::new(),
            news: Notify::new(),
        }
    }

    /// Notes that engines or versions changed.
    pub(super) fn wake(&self) {
        self.changed.notify_one();
        self.news.notify_waiters();
    }

    /// Takes in a change of the roster: an engine that started again under its id
    /// has accepted no order, and runs what it says.
    pub(super) fn roster(&self, news: &News) {
        if let News::Gone(id) = news {
            self.seen.borrow_mut().retain(|(engine, _), _| engine != id);
            self.orders.borrow_mut().remove(id);
            self.loading.borrow_mut().remove(id);
        }
        self.wake();
    }

    /// Gives the lease back, so that another process takes it at once.
    pub(super) async fn leave(&self) {
        self.lease.borrow_mut().give_back();
        let step = self.lease.borrow_mut().next(self.clock.now());
        if let Next::Write { version, row } = step {
            self.write(version, &row).await;
        }
    }

    /// Holds the duty, or watches who does.
    pub(super) async fn run(self: Rc<Self>) {
        sleep(Duration::from_millis(rand::random::<u64>() % SPREAD_MS)).await;
        loop {
            if self.known.named().is_empty() {
                self.changed.notified().await;
                continue;
            }
            let now = self.clock.now();
            let step = self.lease.borrow_mut().next(now);
            match step {
                Next::Read => self.read().await,
                Next::Write { version, row } => self.write(version, &row).await,
                Next::Sleep(until) => {
                    let held = self.fence().is_some();
                    self.batches.set_duty(held);
                    if held {
                        self.order().await;
                    } else if self.suspect().await {
                        continue;
                    }
                    tokio::select! {
                        () = sleep(until.saturating_duration_since(now)) => {}
                        () = self.changed.notified() => {}
                        () = self.batches.next_look(), if !held => {}
                    }
                }
            }
        }
    }

    /// Looks whether the other holder is gone; `true` if its duty may be taken.
    async fn suspect(&self) -> bool {
        let Some(holding) = self.lease.borrow().other() else {
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
        let Some((why, count)) = self.batches.lost(&holding.holder, since) else {
            return false;
        };
        let draw = xxh3_64(self.life.as_bytes()) % TAKING_MS;
        let share = u64::try_from(count.div_ceil(TAKERS)).unwrap_or(1);
        sleep(Duration::from_millis(draw * share)).await;
        self.read().await;
        let same = self.lease.borrow().other().as_ref() == Some(&holding);
        if same {
            log::info!(target: WEIGHTS, holder = holding.holder.as_str(), fence = holding.fence,
                why:? = why; "The holder of the weights is taken to be gone.");
            self.lease.borrow_mut().suspect(holding);
        }
        true
    }

    fn fence(&self) -> Option<u64> {
        self.lease.borrow().fence(self.clock.now())
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
                self.lease.borrow_mut().seen(now, found);
            }
            Err(failure) => {
                log::debug!(target: WEIGHTS, error = failure.to_string().as_str();
                    "The lease could not be read.");
                self.lease.borrow_mut().lost(now);
                sleep(LOOK).await;
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
                self.lease.borrow_mut().written(version);
                if let (None, Some(fence)) = (held, self.fence()) {
                    self.taken(now, fence).await;
                    self.read_pace().await;
                }
            }
            Commit::Conflict(_) => self.lease.borrow_mut().beaten(),
            Commit::Refused | Commit::Unknown => {
                self.lease.borrow_mut().lost(now);
                sleep(LOOK).await;
            }
        }
    }

    /// Notes that the lease is this process's now.
    async fn taken(&self, now: Instant, fence: u64) {
        log::info!(target: WEIGHTS, holder = self.life.as_str(), fence = fence,
            from = self.before.borrow().as_str(); "The lease of the weights is held.");
        self.seen.borrow_mut().clear();
        self.loading.borrow_mut().clear();
        self.orders.borrow_mut().clear();
        let known = self.read_turns().await;
        let quiet = now + Duration::from_millis(self.lease_ms) + VALID;
        // Engines that check numbers refuse the old holder's orders themselves.
        let wait = !known && !self.fences && fence > 1;
        self.quiet.set(wait.then_some(quiet));
    }
}

/// Names the row of the lease.
fn duty_row() -> RowId {
    RowId::new(DUTIES, "", DUTY)
}

/// Names the row of the orders that were written down.
fn turns_row() -> RowId {
    RowId::new(DUTIES, "", TURNS)
}

/// Understands the row of the lease.
///
/// A broken one is taken for another's, which lapses like any other. Its number
/// is unknown; the row's version is above all numbers given out, since each of
/// them was a write.
fn lease_row(row: &Row) -> LeaseRow {
    serde_json::from_slice(&row.value).unwrap_or_else(|error| {
        log::error!(target: WEIGHTS, row = row.version, error = error.to_string().as_str();
            "The lease's row is broken; it is waited for as another's.");
        LeaseRow {
            holder: "unknown".to_owned(),
            fence: row.version,
            renewals: 0,
        }
    })
}
