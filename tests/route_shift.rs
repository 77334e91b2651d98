//! Engines change in waves, above each role's floor and within the store's rate.

use hibiscusroad::route::shift::{EngineKey, Order, RoleKey, RoleSpec, Shifter};
use std::time::{Duration, Instant};

const LOAD: Duration = Duration::from_secs(4);

struct World {
    now: Instant,
    shifter: Shifter,
    loading: Vec<(Instant, Order)>,
    orders: Vec<(Instant, Order)>,
}

impl World {
    fn new(rate: f64, burst: u32) -> Self {
        let now = Instant::now();
        Self {
            now,
            shifter: Shifter::new(now, rate, burst),
            loading: Vec::new(),
            orders: Vec::new(),
        }
    }

    fn role(&mut self, floor: usize, engines: usize) -> (RoleKey, Vec<EngineKey>) {
        let role = self.shifter.add_role(RoleSpec::new(1).floor(floor));
        let keys = (0..engines).map(|_| self.shifter.add_engine(role, 1));
        (role, keys.collect())
    }

    /// Lets a second pass. Engines that have loaded report what `outcome` makes
    /// of their order.
    fn second(&mut self, outcome: impl Fn(Order) -> Option<(RoleKey, u64)>) {
        self.now += Duration::from_secs(1);
        let (ready, loading) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.loading = loading;
        for (_, order) in ready {
            if let Some((role, version)) = outcome(order) {
                self.shifter.done(self.now, order.engine, role, version);
            }
        }
        for order in self.shifter.tick(self.now) {
            self.loading.push((self.now + LOAD, order));
            self.orders.push((self.now, order));
        }
    }
}

#[expect(clippy::unnecessary_wraps, reason = "one of several outcomes")]
fn obeys(order: Order) -> Option<(RoleKey, u64)> {
    Some((order.role, order.version))
}

/// New weights for 40 engines. Callers always find at least three quarters of
/// them, and the store is never asked for more than two loads a second.
#[test]
fn a_new_version_goes_out_in_waves() {
    let mut world = World::new(2.0, 4);
    let (role, _) = world.role(30, 40);
    world.shifter.set_role(role, RoleSpec::new(2).floor(30));
    let mut seconds = 0;
    while world.shifter.stale(role) > 0 {
        world.second(obeys);
        assert!(world.shifter.serving(role) >= 30);
        seconds += 1;
        assert!(world.orders.len() <= 4 + 2 * seconds);
        assert!(seconds < 40, "{} are stale", world.shifter.stale(role));
    }
    assert_eq!(world.orders.len(), 40);
}

/// A load fails and leaves the engine on a version nobody meant. It is told
/// again, less and less often, and the other engines don't wait for it.
#[test]
fn a_failed_load_is_tried_again() {
    let mut world = World::new(10.0, 10);
    let (role, keys) = world.role(1, 4);
    world.shifter.set_role(role, RoleSpec::new(2).floor(1));
    let bad = keys[0];
    for _ in 0..60 {
        world.second(|order| {
            let version = if order.engine == bad {
                7
            } else {
                order.version
            };
            Some((order.role, version))
        });
    }
    assert_eq!(world.shifter.stale(role), 1);
    let tries = world.orders.iter().filter(|(_, o)| o.engine == bad).count();
    assert!((3..=6).contains(&tries), "{tries}");
}

/// An engine never reports that it has loaded. After a minute it counts as
/// failed, and it isn't counted as serving meanwhile.
#[test]
fn a_silent_load_counts_as_failed() {
    let mut world = World::new(10.0, 10);
    let (role, _) = world.role(1, 2);
    world.shifter.set_role(role, RoleSpec::new(2).floor(1));
    for _ in 0..59 {
        world.second(|_| None);
    }
    assert_eq!(world.orders.len(), 1);
    assert_eq!(world.shifter.serving(role), 1);
    for _ in 0..10 {
        world.second(|_| None);
    }
    assert!(world.orders.len() > 1);
}

/// The need of two roles sways by an engine every few seconds. Engines that
/// followed it would do nothing but load, so none moves.
#[test]
fn a_swaying_need_moves_nothing() {
    let mut world = World::new(10.0, 10);
    let (guests, _) = world.role(1, 6);
    let (trainers, _) = world.role(1, 6);
    for second in 0..600 {
        let sway = if second / 5 % 2 == 0 { 1.0 } else { -1.0 };
        world.shifter.set_need(world.now, guests, 5.5 + sway);
        world.shifter.set_need(world.now, trainers, 5.5 - sway);
        world.second(obeys);
    }
    assert_eq!(world.orders.len(), 0);
}

/// Guests go to bed and trainers could use every engine. Engines move over, but
/// the guests' floor stays, and no engine moves back and forth.
#[test]
fn a_lasting_need_moves_engines_down_to_the_floor() {
    let mut world = World::new(10.0, 10);
    let (guests, _) = world.role(2, 6);
    let (trainers, _) = world.role(1, 2);
    for _ in 0..300 {
        world.shifter.set_need(world.now, guests, 0.5);
        world.shifter.set_need(world.now, trainers, 20.0);
        world.second(obeys);
        assert!(world.shifter.serving(guests) >= 2);
    }
    assert_eq!(world.shifter.serving(guests), 2);
    assert_eq!(world.shifter.serving(trainers), 6);
    assert_eq!(world.orders.len(), 4);
}

/// Half of a role's engines crash and it is below its floor. Callers need an
/// engine now, so one moves at once, whatever the other role could use.
#[test]
fn a_role_below_its_floor_is_helped_at_once() {
    let mut world = World::new(10.0, 10);
    let (desk, keys) = world.role(2, 2);
    let (trainers, _) = world.role(1, 4);
    world.shifter.set_need(world.now, trainers, 20.0);
    world.shifter.remove_engine(keys[0]);
    world.second(obeys);
    assert_eq!(world.orders.len(), 1);
    assert_eq!(world.orders[0].1.role, desk);
}
