//! Loading of weights: the holder of the lease orders engines to load new versions.
//!
//! It records in the store which engines it is about to order before it sends an order, and
//! [`hibiscusroad::rollout::order_records`] says which of them a new holder may not order
//! yet. An order carries the number of orders that the engine has accepted as a precondition,
//! so that an engine refuses a delayed order if it has accepted another since.
//!
//! * [`order`]: plans loads, and records their orders.
//! * [`load`]: one load, from the order until the engine runs the version.
//! * [`handover`]: state that one holder passes to the next.

mod handover;
mod load;
mod order;

use super::{
    batches::Batches, destinations::Destinations, duty::Duty, engine_calls::EngineCalls,
    http::ConnectionPool, known_config::KnownConfig, lease_row::DUTIES_TABLE, meters::Meters,
    store::Store, sync::EndpointRoster,
};
use hibiscusroad::{
    rollout::{
        load_plan::LoadConcurrency,
        order_records::{ORDER_TTL, OrderRecords},
        steady_pace::SteadyPaces,
    },
    roster::EndpointChange,
    table::RowId,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, time::sleep};

/// Interval at which the report of an engine is fetched if its load is overdue.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time between two plans of loads.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// The key of the row of recorded orders.
const ORDERS_KEY: &str = "orders";

/// An engine whose last load failed.
#[derive(Clone, Copy, Debug)]
struct FailedLoad {
    /// When it may be ordered again.
    retry_at: Instant,
    /// Number of calls in a row that it did not answer.
    unanswered: u32,
}

/// The state of loads of weights in this process.
pub(super) struct Weights {
    duty: Rc<Duty>,
    /// Engines check the fencing token of orders.
    engines_fence: bool,
    store: Rc<Store>,
    known: Rc<KnownConfig>,
    members: Rc<EndpointRoster>,
    batches: Rc<Batches>,
    calls: EngineCalls,
    meters: Rc<Meters>,
    /// Engines that get no other order until this time, since they load.
    reserved: RefCell<HashMap<String, Instant>>,
    /// Engines whose last load failed.
    failed: RefCell<HashMap<String, FailedLoad>>,
    /// The newest versions in reports of engines, by engine and model. Entries of the roster
    /// may be older.
    reported: RefCell<HashMap<(String, String), u64>>,
    /// How many orders engines have accepted, if known.
    order_counts: RefCell<HashMap<String, u64>>,
    pace: RefCell<LoadConcurrency>,
    /// Until when no engine is ordered, because it is unknown which of them the previous
    /// holder has ordered.
    quiet_until: Cell<Option<Instant>>,
    /// Which engines were ordered recently, and by which holder.
    order_records: RefCell<OrderRecords>,
    /// The fencing token for which this process last read the state of the previous holder.
    prepared_token: Cell<Option<u64>>,
    /// When the pace of loads was last written.
    pace_written: Cell<Option<Instant>>,
    /// The paces of engines without the changes of a moment.
    steady_paces: RefCell<SteadyPaces>,
    /// When the paces of engines were last read.
    paces_read: Cell<Option<Instant>>,
    /// Notified when loads have to be planned again.
    plan_needed: Notify,
    /// Notified when the roster or the configuration changed.
    roster_changed: Notify,
}

/// The parts of the gateway that the loading of weights needs.
pub(super) struct Dependencies {
    pub(super) duty: Rc<Duty>,
    pub(super) store: Rc<Store>,
    pub(super) known: Rc<KnownConfig>,
    pub(super) members: Rc<EndpointRoster>,
    pub(super) batches: Rc<Batches>,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) destinations: Rc<Destinations>,
    pub(super) meters: Rc<Meters>,
}

impl Weights {
    pub(super) fn new(engines_fence: bool, dependencies: Dependencies) -> Self {
        Self {
            duty: dependencies.duty,
            engines_fence,
            store: dependencies.store,
            known: dependencies.known,
            members: dependencies.members,
            batches: dependencies.batches,
            calls: EngineCalls::new(dependencies.pool, dependencies.destinations),
            meters: dependencies.meters,
            reserved: RefCell::default(),
            failed: RefCell::default(),
            reported: RefCell::default(),
            order_counts: RefCell::default(),
            pace: RefCell::new(LoadConcurrency::new()),
            quiet_until: Cell::new(None),
            order_records: RefCell::new(OrderRecords::new()),
            prepared_token: Cell::new(None),
            pace_written: Cell::new(None),
            steady_paces: RefCell::default(),
            paces_read: Cell::new(None),
            plan_needed: Notify::new(),
            roster_changed: Notify::new(),
        }
    }

    /// Requests a new plan, since engines or versions changed.
    pub(super) fn wake(&self) {
        self.duty.wake();
        self.plan_needed.notify_one();
        self.roster_changed.notify_waiters();
    }

    /// Applies changes of the roster.
    ///
    /// An engine that was removed, or restarted under the same ID, has accepted no order, and
    /// its earlier reports no longer hold. One whose entry changes may answer again.
    pub(super) fn apply_roster(&self, changes: &[EndpointChange]) {
        for endpoint in changes.iter().filter_map(EndpointChange::updated) {
            self.failed.borrow_mut().remove(&endpoint.id);
        }
        for id in changes.iter().filter_map(EndpointChange::removed) {
            self.reported
                .borrow_mut()
                .retain(|(engine, _), _| engine != id);
            self.order_counts.borrow_mut().remove(id);
            self.reserved.borrow_mut().remove(id);
            self.failed.borrow_mut().remove(id);
        }
        self.wake();
    }

    /// Returns whether there are versions that engines may have to load.
    pub(super) fn is_needed(&self) -> bool {
        !self.known.named_versions().is_empty()
    }

    /// Starts loads while this process holds the lease, until the process ends.
    pub(super) async fn run(self: Rc<Self>) {
        loop {
            if let Some(fence) = self.duty.fencing_token() {
                if self.prepared_token.get() != Some(fence) {
                    self.prepare(fence).await;
                    self.prepared_token.set(Some(fence));
                }
                self.start_loads().await;
            }
            tokio::select! {
                () = self.plan_needed.notified() => {}
                () = self.duty.next_renewal() => {}
                () = sleep(PLAN_INTERVAL) => {}
            }
        }
    }

    /// Reads the state of the previous holder of the lease.
    async fn prepare(&self, fence: u64) {
        self.reported.borrow_mut().clear();
        self.reserved.borrow_mut().clear();
        self.failed.borrow_mut().clear();
        self.order_counts.borrow_mut().clear();
        let orders_known = self.read_orders().await;
        let quiet_until = self.duty.now() + self.duty.call_gap() + ORDER_TTL;
        // Engines that check fencing tokens refuse orders of the previous holder themselves.
        let must_wait = !orders_known && !self.engines_fence && fence > 1;
        self.quiet_until.set(must_wait.then_some(quiet_until));
        self.read_pace().await;
    }
}

/// Returns the ID of the row of recorded orders.
pub(super) fn orders_row() -> RowId {
    RowId::new(DUTIES_TABLE, "", ORDERS_KEY)
}
