//! Shares the slots of engines between the open steps of one owner.
//!
//! Load: several trainers have open steps at once, and the engines can't run all items of
//! these steps at the same time. Strict priority would leave nothing to some of them.
//!
//! Steps whose trainers can still be served in time share the slots by weighted max-min
//! fairness, each with a floor. Steps that can't be in time any more, and those that run
//! all that their trainers wait for, get what is left. Only new starts are decided: runs
//! are never stopped for a share, because their texts would wait for another slot.
//!
//! Shares are computed anew in each pass and are neither stored nor negotiated. An owner
//! that fails takes no share with it; in exchange, owners don't balance their steps with
//! each other, except by the loads that engines report.

use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

/// Weight of a step relative to one whose priority is one rank below.
const RANK_WEIGHT: f64 = 2.0;
/// Length hints exceed the lengths of texts by at most this factor. A step must not be
/// considered lost because of its most exaggerated hint.
const MAX_HINT_ERROR: f64 = 1.6;

/// What a group still needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupDemand {
    /// Whether it is carried over from an earlier step, so that the trainer waits for it.
    pub is_carried: bool,
    /// Number of items that wait for an engine.
    pub waiting: usize,
    /// Number of items that run.
    pub running: usize,
    /// The expected remaining time of its longest item on the fastest engines.
    pub remaining: Duration,
}

impl GroupDemand {
    /// Returns whether all of its items run or are done.
    #[must_use]
    pub const fn is_running(&self) -> bool {
        self.waiting == 0
    }
}

/// What a step still needs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StepDemand {
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// When it is due, if its route says so.
    pub due_at: Option<Instant>,
    /// The time between its submission and its due time.
    pub allowance: Duration,
    /// Number of groups that the trainer waits for; all if unknown.
    pub target: Option<usize>,
    /// Number of complete groups.
    pub complete: usize,
    /// The groups that aren't complete.
    pub groups: Vec<GroupDemand>,
}

impl StepDemand {
    /// Returns how many slots its items use.
    #[must_use]
    pub fn used_slots(&self) -> usize {
        self.groups.iter().map(|group| group.running).sum()
    }

    /// Returns how many of its items wait for an engine.
    #[must_use]
    pub fn waiting_items(&self) -> usize {
        self.groups.iter().map(|group| group.waiting).sum()
    }

    /// Returns how many groups must still become complete, in addition to those that are
    /// carried over.
    fn missing_groups(&self) -> usize {
        let carried = self.groups.iter().filter(|group| group.is_carried).count();
        let missing = self.target.map_or(self.groups.len(), |target| {
            target.saturating_sub(self.complete)
        });
        missing.min(self.groups.len()).saturating_sub(carried)
    }

    /// Returns whether the items that run can complete the target.
    fn runs_target(&self) -> bool {
        let is_running = |group: &&GroupDemand| group.is_running();
        let (carried, others): (Vec<_>, Vec<_>) =
            self.groups.iter().partition(|group| group.is_carried);
        carried.iter().all(is_running)
            && others.iter().filter(|group| is_running(group)).count() >= self.missing_groups()
    }

    /// Returns when the target would be complete if all items ran now on the fastest
    /// engines: the remaining time of the slowest group among the quickest that suffice.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        let carried = self.groups.iter().filter(|group| group.is_carried);
        let carried = carried.map(|group| group.remaining).max();
        let others = self.groups.iter().filter(|group| !group.is_carried);
        let mut others: Vec<Duration> = others.map(|group| group.remaining).collect();
        let last = self.missing_groups().checked_sub(1);
        let other = last.map(|last| *others.select_nth_unstable(last).1);
        carried.max(other).unwrap_or_default()
    }
}

/// How a step takes part in the sharing of slots.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StepState {
    /// Its trainer waits for items that don't run yet.
    Needed,
    /// Its target can't be complete in time. Its trainer waits, so it goes before surplus.
    Lost,
    /// Its target is complete, or can be completed by what runs.
    Surplus,
}

impl StepState {
    /// All states.
    pub const ALL: [Self; 3] = [Self::Needed, Self::Lost, Self::Surplus];

    /// Returns its name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Needed => "needed",
            Self::Lost => "lost",
            Self::Surplus => "surplus",
        }
    }
}

/// Returns the state of a step.
///
/// A step that is late by more than its allowance is needed again: its trainer submits
/// nothing else before it is done, and must not wait forever behind the steps of others.
#[must_use]
pub fn state(now: Instant, step: &StepDemand) -> StepState {
    if step.runs_target() {
        return StepState::Surplus;
    }
    let Some(due_at) = step.due_at else {
        return StepState::Needed;
    };
    let is_overdue = now >= due_at + step.allowance;
    let earliest_end = now + step.remaining().div_f64(MAX_HINT_ERROR);
    if earliest_end > due_at && !is_overdue {
        StepState::Lost
    } else {
        StepState::Needed
    }
}

#[derive(Debug)]
struct Entry {
    state: StepState,
    weight: f64,
    priority: u8,
    due_at: Option<Instant>,
    used: usize,
    /// Whether an item of it may start in this pass.
    is_open: bool,
}

/// The scheduler of one pass over the open steps of a service.
#[derive(Debug)]
pub struct Shares {
    entries: Vec<Entry>,
    /// Number of slots that the steps can use, including those in use.
    capacity: usize,
    /// The part of an equal share that each needed step gets first.
    floor: f64,
}

impl Shares {
    /// Creates the scheduler of a pass.
    ///
    /// `capacity` is the number of slots that the steps can use, including those in use,
    /// and `floor_percent` the part of an equal share that each needed step gets before
    /// another one gets more.
    #[must_use]
    pub fn new(now: Instant, capacity: usize, floor_percent: u32, steps: &[StepDemand]) -> Self {
        Self {
            entries: steps.iter().map(|step| entry(now, step)).collect(),
            capacity,
            floor: f64::from(floor_percent) / 100.0,
        }
    }

    /// Returns the state of a step.
    #[must_use]
    pub fn state(&self, step: usize) -> StepState {
        self.entries[step].state
    }

    /// Returns the step to start an item from; `None` if no step is open.
    #[must_use]
    pub fn next_step(&self) -> Option<usize> {
        let floor = self.floor_slots();
        let open = self.entries.iter().enumerate();
        let open = open.filter(|(_, entry)| entry.is_open);
        let next = open.min_by(|(_, a), (_, b)| a.compare(b, floor));
        next.map(|(step, _)| step)
    }

    /// Records what a step needs after one of its items started.
    pub fn update(&mut self, now: Instant, step: usize, demand: &StepDemand) {
        self.entries[step] = entry(now, demand);
    }

    /// Skips a step for the rest of the pass, because no engine can run its next item.
    pub fn skip(&mut self, step: usize) {
        self.entries[step].is_open = false;
    }

    /// Returns the number of slots that each needed step gets first.
    fn floor_slots(&self) -> f64 {
        let is_needed = |entry: &&Entry| entry.state == StepState::Needed;
        let needed = self.entries.iter().filter(is_needed).count();
        self.floor * self.capacity as f64 / needed.max(1) as f64
    }
}

fn entry(now: Instant, step: &StepDemand) -> Entry {
    Entry {
        state: state(now, step),
        weight: RANK_WEIGHT.powi(-i32::from(step.priority)),
        priority: step.priority,
        due_at: step.due_at,
        used: step.used_slots(),
        is_open: step.waiting_items() > 0,
    }
}

impl Entry {
    /// Orders the step that starts an item first.
    fn compare(&self, other: &Self, floor: f64) -> Ordering {
        let (own_level, other_level) = (self.level(floor), other.level(floor));
        let state = self.state.cmp(&other.state);
        let is_above = own_level.0.cmp(&other_level.0);
        let level = own_level.1.total_cmp(&other_level.1);
        let rank = self.priority.cmp(&other.priority);
        // Steps without a due time come after those with one.
        let due = self.due_at.is_none().cmp(&other.due_at.is_none());
        let due = due.then(self.due_at.cmp(&other.due_at));
        state.then(is_above).then(level).then(rank).then(due)
    }

    /// Returns whether a step has its floor, and the slots that count against it: all of
    /// them below the floor, otherwise those per weight.
    fn level(&self, floor: f64) -> (bool, f64) {
        let used = self.used as f64;
        if self.state == StepState::Needed && used < floor {
            (false, used)
        } else {
            (true, used / self.weight)
        }
    }
}
