//! The loading of weights: the holder of the duties gives all orders.
//!
//! It writes down which engines it is about to order before it sends anything, and an
//! engine's own count of accepted orders goes along as a condition: an order whose
//! answer was lost, and that is carried out late, is refused then because others came
//! after it. [`hibiscusroad::rollout::order_records`] says which engines a new holder leaves
//! alone.
//!
//! * [`order`]: what is to be loaded next, and that it is written down first.
//! * [`load`]: one load, from the order to the engine's word.
//! * [`learned`]: what holders hand on about loads.

mod learned;
mod load;
mod order;

use super::{
    batches::Batches,
    duty::{DUTIES, Duty},
    http::Channels,
    known::Known,
    meters::Meters,
    store::Store,
    sync::Members,
};
use hibiscusroad::{
    rollout::{
        load_plan::LoadConcurrency,
        order_records::{ORDER_TTL, OrderRecords},
    },
    roster::News,
    table::RowId,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, time::sleep};

/// Pause between looks at an engine that loads and says nothing.
const LOOK: Duration = Duration::from_millis(250);
/// What is to be loaded is planned again after so long, if nothing tells of a change.
const PLAN: Duration = Duration::from_secs(1);
/// The key of the orders that were written down.
const TURNS: &str = "orders";

/// The loading of weights, as this process sees it.
pub(super) struct Weights {
    duty: Rc<Duty>,
    fences: bool,
    store: Rc<Store>,
    known: Rc<Known>,
    members: Rc<Members>,
    batches: Rc<Batches>,
    channels: Rc<Channels>,
    meters: Rc<Meters>,
    /// Engines with an order under way, or that are left alone for a while.
    loading: RefCell<HashMap<String, Instant>>,
    /// Versions that engines reported, beyond their entries.
    seen: RefCell<HashMap<(String, String), u64>>,
    /// Orders that engines accepted, as far as known.
    orders: RefCell<HashMap<String, u64>>,
    pace: RefCell<LoadConcurrency>,
    /// Until when all engines are left alone, because nobody knows which of them
    /// the holder before has ordered.
    quiet: Cell<Option<Instant>>,
    /// Which engines were ordered lately, and by whom.
    turns: RefCell<OrderRecords>,
    /// The fencing number under which this process has last prepared to order.
    prepared: Cell<Option<u64>>,
    /// When what was learned of loads was kept last.
    kept: Cell<Option<Instant>>,
    /// When paces of engines were heard last.
    heard: Cell<Option<Instant>>,
    changed: Notify,
    /// Engines registered something new.
    news: Notify,
}

/// What it works with.
pub(super) struct Parts {
    pub(super) duty: Rc<Duty>,
    pub(super) store: Rc<Store>,
    pub(super) known: Rc<Known>,
    pub(super) members: Rc<Members>,
    pub(super) batches: Rc<Batches>,
    pub(super) channels: Rc<Channels>,
    pub(super) meters: Rc<Meters>,
}

impl Weights {
    pub(super) fn new(fences: bool, parts: Parts) -> Self {
        Self {
            duty: parts.duty,
            fences,
            store: parts.store,
            known: parts.known,
            members: parts.members,
            batches: parts.batches,
            channels: parts.channels,
            meters: parts.meters,
            loading: RefCell::default(),
            seen: RefCell::default(),
            orders: RefCell::default(),
            pace: RefCell::new(LoadConcurrency::new()),
            quiet: Cell::new(None),
            turns: RefCell::new(OrderRecords::new()),
            prepared: Cell::new(None),
            kept: Cell::new(None),
            heard: Cell::new(None),
            changed: Notify::new(),
            news: Notify::new(),
        }
    }

    /// Notes that engines or versions changed.
    pub(super) fn wake(&self) {
        self.duty.wake();
        self.changed.notify_one();
        self.news.notify_waiters();
    }

    /// Takes in changes of the roster: an engine that started again under its id
    /// has accepted no order, and runs what it says.
    pub(super) fn roster(&self, news: &[News]) {
        for id in news.iter().filter_map(News::gone) {
            self.seen.borrow_mut().retain(|(engine, _), _| engine != id);
            self.orders.borrow_mut().remove(id);
            self.loading.borrow_mut().remove(id);
        }
        self.wake();
    }

    /// Says whether there are versions that engines may have to load.
    pub(super) fn is_needed(&self) -> bool {
        !self.known.named().is_empty()
    }

    /// Orders what is to be loaded, while this process holds the duties.
    pub(super) async fn run(self: Rc<Self>) {
        loop {
            if let Some(fence) = self.duty.fence() {
                if self.prepared.replace(Some(fence)) != Some(fence) {
                    self.prepare(fence).await;
                }
                self.order().await;
            }
            tokio::select! {
                () = self.changed.notified() => {}
                () = self.duty.next_renewal() => {}
                () = sleep(PLAN) => {}
            }
        }
    }

    /// Finds out what the holder before has ordered and learned.
    async fn prepare(&self, fence: u64) {
        self.seen.borrow_mut().clear();
        self.loading.borrow_mut().clear();
        self.orders.borrow_mut().clear();
        let known = self.read_turns().await;
        let quiet = self.duty.now() + self.duty.apart() + ORDER_TTL;
        // Engines that check numbers refuse the old holder's orders themselves.
        let wait = !known && !self.fences && fence > 1;
        self.quiet.set(wait.then_some(quiet));
        self.read_pace().await;
    }
}

/// Names the row of the orders that were written down.
fn turns_row() -> RowId {
    RowId::new(DUTIES, "", TURNS)
}
