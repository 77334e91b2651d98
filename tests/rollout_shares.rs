//! Tests how the slots of engines are shared between open steps.

use hibiscusroad::rollout::{
    item_kind::{ItemKind, SkippedKinds},
    shares::{GroupDemand, Shares, StepDemand, StepState, state},
};
use proptest::{collection::vec, prelude::*};
use std::time::{Duration, Instant};

const ALLOWANCE: Duration = Duration::from_secs(8);

fn group(waiting: usize, running: usize, remaining_ms: u64) -> GroupDemand {
    GroupDemand {
        is_carried: false,
        waiting,
        running,
        remaining: Duration::from_millis(remaining_ms),
    }
}

fn carried(waiting: usize, running: usize, remaining_ms: u64) -> GroupDemand {
    GroupDemand {
        is_carried: true,
        ..group(waiting, running, remaining_ms)
    }
}

fn step(now: Instant, target: Option<usize>, groups: Vec<GroupDemand>) -> StepDemand {
    StepDemand {
        priority: 0,
        due_at: Some(now + ALLOWANCE),
        allowance: ALLOWANCE,
        target,
        complete: 2,
        groups,
    }
}

// Guards against slots for groups that a trainer doesn't wait for, and against a step that
// counts as surplus while its trainer waits for a carried-over group.
#[test]
fn state_follows_from_the_groups_that_the_trainer_waits_for() {
    use StepState::{Lost, Needed, Surplus};
    let now = Instant::now();
    let cases = [
        ("target complete", Some(2), vec![group(3, 0, 10)], Surplus),
        (
            "no target",
            None,
            vec![group(0, 3, 10), group(3, 0, 10)],
            Needed,
        ),
        ("no target, all run", None, vec![group(0, 3, 10)], Surplus),
        (
            "target runs",
            Some(3),
            vec![group(3, 0, 10), group(0, 3, 10)],
            Surplus,
        ),
        (
            "one waits",
            Some(4),
            vec![group(1, 2, 10), group(0, 3, 10)],
            Needed,
        ),
        (
            "carried waits",
            Some(3),
            vec![carried(1, 0, 10), group(0, 3, 10)],
            Needed,
        ),
        (
            "carried waits at the target",
            Some(2),
            vec![carried(1, 0, 10)],
            Needed,
        ),
        (
            "carried runs",
            Some(3),
            vec![carried(0, 1, 10), group(3, 0, 10)],
            Surplus,
        ),
        (
            "target beyond all groups",
            Some(9),
            vec![group(1, 0, 10)],
            Needed,
        ),
        ("too long", Some(3), vec![group(1, 0, 20_000)], Lost),
        (
            "long by its hint only",
            Some(3),
            vec![group(1, 0, 10_000)],
            Needed,
        ),
        (
            "a shorter one suffices",
            Some(3),
            vec![group(1, 0, 20_000), group(1, 0, 9)],
            Needed,
        ),
        (
            "carried too long",
            Some(3),
            vec![carried(1, 0, 20_000), group(1, 0, 9)],
            Lost,
        ),
    ];
    for (name, target, groups, expected) in cases {
        assert_eq!(state(now, &step(now, target, groups)), expected, "{name}");
    }
}

// Guards against a trainer that waits forever: it submits nothing else before its lost step
// is done, and others always have steps that can be in time.
#[test]
fn lost_step_is_needed_again_after_its_allowance() {
    let now = Instant::now();
    let late = step(now, None, vec![group(4, 0, 100)]);
    let due = now + ALLOWANCE;
    assert_eq!(state(due, &late), StepState::Lost);
    assert_eq!(state(due + ALLOWANCE / 2, &late), StepState::Lost);
    assert_eq!(state(due + ALLOWANCE, &late), StepState::Needed);
    let open_ended = StepDemand {
        due_at: None,
        ..late
    };
    assert_eq!(state(due + ALLOWANCE / 2, &open_ended), StepState::Needed);
}

// Guards against a step that takes slots from trainers that can be in time, although its
// own trainer can't, or doesn't wait for its items.
#[test]
fn lost_and_surplus_steps_get_what_is_left() {
    let now = Instant::now();
    let needed = step(now, None, vec![group(1, 0, 10), group(1, 0, 10)]);
    let lost = step(now, None, vec![group(9, 0, 20_000)]);
    let surplus = step(now, Some(2), vec![group(9, 0, 10)]);
    let mut world = World::new(now, 8, 50, vec![surplus, lost, needed]);
    // With its last item, the needed step is surplus itself.
    assert_eq!(world.fill(|_| true), [2, 2, 1, 1, 1, 1, 1, 1]);
}

// Guards against short items that wait behind a long one while slow engines are free, and
// against a pass that tries every item of each step.
#[test]
fn only_items_of_other_kinds_are_tried_after_a_skipped_one() {
    let kind = |required_version, hint| ItemKind {
        required_version,
        avoided_engine: None,
        hint,
    };
    let mut skipped = SkippedKinds::default();
    assert!(skipped.allows(&kind(None, 400)));
    assert!(skipped.skip(kind(None, 400)));
    assert!(!skipped.allows(&kind(None, 300)));
    assert!(skipped.allows(&kind(None, 299)));
    assert!(
        skipped.allows(&kind(Some(3), 400)),
        "the version may be free"
    );
    let mut hint = 299;
    let mut tries = 1;
    while skipped.skip(kind(None, hint)) {
        tries += 1;
        hint = hint * 3 / 4 - 1;
        assert!(skipped.allows(&kind(None, hint)));
    }
    assert!(tries < 8 && hint < 60, "{tries} tries down to {hint}");
    let mut without_hints = SkippedKinds::default();
    assert!(without_hints.skip(kind(None, 0)));
    assert!(!without_hints.allows(&kind(None, 0)));
}

#[test]
fn weights_double_with_each_rank_above_the_floor() {
    let now = Instant::now();
    let steps = [2, 0, 1].map(|priority| StepDemand {
        priority,
        ..step(now, None, vec![group(50, 0, 10)])
    });
    let mut world = World::new(now, 28, 0, steps.to_vec());
    world.fill(|_| true);
    assert_eq!(world.used(), [4, 16, 8]);
    // A floor of three quarters of an equal share raises the lowest step to seven slots.
    let mut world = World::new(now, 28, 75, steps.to_vec());
    world.fill(|_| true);
    assert_eq!(world.used(), [7, 14, 7]);
}

/// Steps that share `capacity` slots.
struct World {
    now: Instant,
    capacity: usize,
    floor: u32,
    steps: Vec<StepDemand>,
}

impl World {
    fn new(now: Instant, capacity: usize, floor: u32, steps: Vec<StepDemand>) -> Self {
        Self {
            now,
            capacity,
            floor,
            steps,
        }
    }

    fn used(&self) -> Vec<usize> {
        self.steps.iter().map(StepDemand::used_slots).collect()
    }

    /// Starts items in one pass until the slots are full, and returns their steps. No engine
    /// can run the items of steps for which `has_engine` is false.
    fn fill(&mut self, has_engine: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut shares = Shares::new(self.now, self.capacity, self.floor, &self.steps);
        let mut started = Vec::new();
        while let Some(idx) = shares.next_step() {
            let is_full = self.used().iter().sum::<usize>() >= self.capacity;
            if is_full || !has_engine(idx) {
                shares.skip(idx);
                continue;
            }
            self.check_floors(idx, &has_engine);
            let groups = &mut self.steps[idx].groups;
            let group = groups.iter_mut().find(|group| group.waiting > 0).unwrap();
            group.waiting -= 1;
            group.running += 1;
            shares.update(self.now, idx, &self.steps[idx]);
            started.push(idx);
        }
        started
    }

    /// Checks that a step which starts an item isn't above its share while another that can
    /// start one is below its floor.
    fn check_floors(&self, chosen: usize, has_engine: &impl Fn(usize) -> bool) {
        let needed = |idx: &usize| state(self.now, &self.steps[*idx]) == StepState::Needed;
        let needed: Vec<usize> = (0..self.steps.len()).filter(needed).collect();
        let weight = |idx: usize| 0.5_f64.powi(i32::from(self.steps[idx].priority));
        let total: f64 = needed.iter().map(|idx| weight(*idx)).sum();
        let used = |idx: usize| self.steps[idx].used_slots() as f64;
        let share = if needed.contains(&chosen) {
            self.capacity as f64 * weight(chosen) / total
        } else {
            0.0
        };
        let equal = self.capacity as f64 / needed.len().max(1) as f64;
        let floor = equal * f64::from(self.floor) / 100.0;
        let starved = needed.iter().find(|idx| {
            has_engine(**idx) && self.steps[**idx].waiting_items() > 0 && used(**idx) < floor
        });
        let is_above = used(chosen) >= share.max(floor);
        assert!(
            !is_above || starved.is_none(),
            "{starved:?} is below its floor"
        );
    }

    /// Ends the oldest run of a step.
    fn end_item(&mut self, idx: usize) {
        let groups = &mut self.steps[idx].groups;
        if let Some(group) = groups.iter_mut().find(|group| group.running > 0) {
            group.running -= 1;
        }
        let before = groups.len();
        groups.retain(|group| group.running + group.waiting > 0);
        let ended = before - groups.len();
        self.steps[idx].complete += ended;
    }
}

fn steps(now: Instant) -> impl Strategy<Value = Vec<StepDemand>> {
    let groups = vec((1..6_usize, 0..20_000_u64, any::<bool>()), 1..6);
    let parts = (0..4_u8, groups, proptest::option::of(1..8_usize));
    let demand = parts.prop_map(move |(priority, groups, target)| {
        let groups = groups.into_iter().map(|(waiting, remaining, is_carried)| {
            let group = group(waiting, 0, remaining);
            GroupDemand {
                is_carried,
                ..group
            }
        });
        StepDemand {
            priority,
            ..step(now, target, groups.collect())
        }
    });
    vec(demand, 1..9)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    // Guards against slots that stay free while an item that may use them waits, steps below
    // their floor beside one above its share, and steps that never end.
    #[test]
    fn slots_are_shared_whatever_the_demand(
        steps in steps(Instant::now()),
        capacity in 1..60_usize,
        floor in 0..=100_u32,
        blocked in vec(any::<bool>(), 8),
        ends in vec(0..8_usize, 0..60),
    ) {
        let mut world = World::new(Instant::now(), capacity, floor, steps);
        let mut passes = ends.into_iter();
        for _ in 0..1000 {
            // Engines for the blocked steps return at the end.
            let end = passes.next();
            let has_engine = |idx: usize| end.is_none() || !blocked[idx];
            world.fill(has_engine);
            let used: usize = world.used().iter().sum();
            let is_served = |(idx, step): (usize, &StepDemand)| {
                !has_engine(idx) || step.waiting_items() == 0
            };
            let all_served = world.steps.iter().enumerate().all(is_served);
            prop_assert!(used == capacity || all_served, "a slot stays free");
            prop_assert!(used <= capacity);
            let running = |idx: &usize| world.steps[*idx].used_slots() > 0;
            let running: Vec<usize> = (0..world.steps.len()).filter(running).collect();
            let Some(next) = running.get(end.unwrap_or(0) % running.len().max(1)) else {
                if end.is_none() {
                    break;
                }
                continue;
            };
            world.end_item(*next);
        }
        prop_assert!(world.steps.iter().all(|step| step.groups.is_empty()), "a step starves");
    }
}
