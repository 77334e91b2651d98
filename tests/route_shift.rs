//! Role and version changes of engines: waves, floors and the store's rate.

use hibiscusroad::route::reconcile::{EngineKey, Order, Reconciler, RoleKey, RoleSpec};
use std::time::{Duration, Instant};

const LOAD_TIME: Duration = Duration::from_secs(4);

struct Harness {
    now: Instant,
    reconciler: Reconciler,
    loading: Vec<(Instant, Order)>,
    orders: Vec<(Instant, Order)>,
}

impl Harness {
    fn new(rate: f64, burst: u32) -> Self {
        let now = Instant::now();
        Self {
            now,
            reconciler: Reconciler::new(now, rate, burst),
            loading: Vec::new(),
            orders: Vec::new(),
        }
    }

    fn role(&mut self, floor: usize, engines: usize) -> (RoleKey, Vec<EngineKey>) {
        let role = self
            .reconciler
            .add_role(RoleSpec::new(1).min_serving(floor));
        let keys = (0..engines).map(|_| self.reconciler.add_engine(role, 1));
        (role, keys.collect())
    }

    /// Advances the time by a second. Engines that have loaded report the result
    /// that `outcome` returns for their order.
    fn advance_second(&mut self, outcome: impl Fn(Order) -> Option<(RoleKey, u64)>) {
        self.now += Duration::from_secs(1);
        let (ready, loading) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition(|(ready_at, _)| *ready_at <= self.now);
        self.loading = loading;
        for (_, order) in ready {
            if let Some((role, version)) = outcome(order) {
                self.reconciler
                    .record_result(self.now, order.engine, role, version);
            }
        }
        for order in self.reconciler.tick(self.now) {
            self.loading.push((self.now + LOAD_TIME, order));
            self.orders.push((self.now, order));
        }
    }
}

#[expect(clippy::unnecessary_wraps, reason = "one of several outcomes")]
fn as_ordered(order: Order) -> Option<(RoleKey, u64)> {
    Some((order.role, order.version))
}

/// Guards against too few serving engines during an update, and against more loads
/// than the store's rate allows.
#[test]
fn a_new_version_is_loaded_in_waves() {
    let mut harness = Harness::new(2.0, 4);
    let (role, _) = harness.role(30, 40);
    harness
        .reconciler
        .set_role(role, RoleSpec::new(2).min_serving(30));
    let mut seconds = 0;
    while harness.reconciler.outdated(role) > 0 {
        harness.advance_second(as_ordered);
        assert!(harness.reconciler.serving(role) >= 30);
        seconds += 1;
        assert!(harness.orders.len() <= 4 + 2 * seconds);
        assert!(
            seconds < 40,
            "{} are stale",
            harness.reconciler.outdated(role)
        );
    }
    assert_eq!(harness.orders.len(), 40);
}

/// Guards against giving up on an engine whose load failed, and against retrying
/// it without backoff.
#[test]
fn a_failed_load_is_retried() {
    let mut harness = Harness::new(10.0, 10);
    let (role, keys) = harness.role(1, 4);
    harness
        .reconciler
        .set_role(role, RoleSpec::new(2).min_serving(1));
    let failing = keys[0];
    for _ in 0..60 {
        harness.advance_second(|order| {
            let version = if order.engine == failing {
                7
            } else {
                order.version
            };
            Some((order.role, version))
        });
    }
    assert_eq!(harness.reconciler.outdated(role), 1);
    let attempts = harness
        .orders
        .iter()
        .filter(|(_, o)| o.engine == failing)
        .count();
    assert!((3..=6).contains(&attempts), "{attempts}");
}

/// Guards against waiting forever for an engine that never reports its load.
#[test]
fn a_load_without_a_report_counts_as_failed() {
    let mut harness = Harness::new(10.0, 10);
    let (role, _) = harness.role(1, 2);
    harness
        .reconciler
        .set_role(role, RoleSpec::new(2).min_serving(1));
    for _ in 0..59 {
        harness.advance_second(|_| None);
    }
    assert_eq!(harness.orders.len(), 1);
    assert_eq!(harness.reconciler.serving(role), 1);
    for _ in 0..10 {
        harness.advance_second(|_| None);
    }
    assert!(harness.orders.len() > 1);
}

/// Guards against engines that follow short fluctuations of demand and spend their
/// time loading.
#[test]
fn fluctuating_demand_moves_no_engine() {
    let mut harness = Harness::new(10.0, 10);
    let (guests, _) = harness.role(1, 6);
    let (trainers, _) = harness.role(1, 6);
    for second in 0..600 {
        let change = if second / 5 % 2 == 0 { 1.0 } else { -1.0 };
        harness
            .reconciler
            .set_demand(harness.now, guests, 5.5 + change);
        harness
            .reconciler
            .set_demand(harness.now, trainers, 5.5 - change);
        harness.advance_second(as_ordered);
    }
    assert_eq!(harness.orders.len(), 0);
}

/// Guards against moves below the donor's floor, and against engines that move back
/// and forth.
#[test]
fn lasting_demand_moves_engines_down_to_the_floor() {
    let mut harness = Harness::new(10.0, 10);
    let (guests, _) = harness.role(2, 6);
    let (trainers, _) = harness.role(1, 2);
    for _ in 0..300 {
        harness.reconciler.set_demand(harness.now, guests, 0.5);
        harness.reconciler.set_demand(harness.now, trainers, 20.0);
        harness.advance_second(as_ordered);
        assert!(harness.reconciler.serving(guests) >= 2);
    }
    assert_eq!(harness.reconciler.serving(guests), 2);
    assert_eq!(harness.reconciler.serving(trainers), 6);
    assert_eq!(harness.orders.len(), 4);
}

/// Guards against delaying the move to a role that a crash took below its floor.
#[test]
fn a_role_below_its_floor_gets_an_engine_at_once() {
    let mut harness = Harness::new(10.0, 10);
    let (short_role, keys) = harness.role(2, 2);
    let (trainers, _) = harness.role(1, 4);
    harness.reconciler.set_demand(harness.now, trainers, 20.0);
    harness.reconciler.remove_engine(keys[0]);
    harness.advance_second(as_ordered);
    assert_eq!(harness.orders.len(), 1);
    assert_eq!(harness.orders[0].1.role, short_role);
}
