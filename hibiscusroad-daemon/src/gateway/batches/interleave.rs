//! Interleaves the starts of steps whose trainers compete for engines.
//!
//! [`hibiscusroad::rollout::shares`] decides from which step the next item starts. Where
//! the next item of a step finds no engine, items that need less of one are tried while
//! slots are free, and then the step is skipped for the rest of the pass. So no slot stays
//! free behind an item that needs another engine. Batches of services without contention are
//! served one after the other, each in the same way.

use super::{Batches, OwnedBatch};
use crate::{gateway::calls::pick_service, logs::BATCHES};
use hibiscusroad::{
    catalog::Route,
    clock::millis,
    rollout::{
        engines::TextSpeed,
        item_kind::{ItemKind, SkippedKinds},
        shares::{Shares, StepDemand, StepState},
    },
};
use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

/// Steps of this priority and below share one metric, so that metrics stay bounded.
const LOWEST_METRIC_PRIORITY: u8 = 9;
/// An open batch of a contended service.
struct OpenStep<'a> {
    owned: &'a Rc<OwnedBatch>,
    route: Route,
}

impl Batches {
    /// Starts items of all batches, which are sorted by priority and due time.
    pub(super) fn start_all(self: &Rc<Self>, now: Instant, batches: &[Rc<OwnedBatch>]) {
        let mut contended: BTreeMap<String, Vec<OpenStep<'_>>> = BTreeMap::new();
        for owned in batches {
            match self.contended_route(owned) {
                Some((service, route)) => {
                    let steps = contended.entry(service).or_default();
                    steps.push(OpenStep { owned, route });
                }
                None => self.start_items(now, owned),
            }
        }
        self.context.meters.reset_steps();
        for (service, steps) in &contended {
            self.start_interleaved(now, service, steps);
        }
    }

    /// Returns the service and the route of a batch that competes with others for engines.
    fn contended_route(&self, owned: &OwnedBatch) -> Option<(String, Route)> {
        let route = self.route(owned)?;
        let service = pick_service(&route)?.to_owned();
        let is_contended = !owned.is_stopped.get() && self.engines.borrow().is_contended(&service);
        is_contended.then_some((service, route))
    }

    /// Starts items of the steps of a contended service in the order of their shares.
    fn start_interleaved(self: &Rc<Self>, now: Instant, service: &str, steps: &[OpenStep<'_>]) {
        let speed = self.engines.borrow().text_speed(service);
        let free = self.engines.borrow().free_slots(now, service);
        let mut demands: Vec<StepDemand> = steps.iter().map(|step| step.demand(speed)).collect();
        let used: usize = demands.iter().map(StepDemand::used_slots).sum();
        let capacity = used + free;
        let mut shares = Shares::new(now, capacity, self.share_floor, &demands);
        let mut skipped: Vec<SkippedKinds> =
            steps.iter().map(|_| SkippedKinds::default()).collect();
        while let Some(idx) = shares.next_step() {
            if self.start_one(now, service, &steps[idx], &mut skipped[idx]) {
                demands[idx] = steps[idx].demand(speed);
                shares.update(now, idx, &demands[idx]);
            } else {
                shares.skip(idx);
            }
        }
        for (idx, step) in steps.iter().enumerate() {
            let state = shares.state(idx);
            self.context.meters.record_step(
                state.name(),
                step.metric_priority(),
                demands[idx].used_slots(),
            );
            step.log_state(now, state, &demands[idx], capacity);
        }
    }

    /// Starts the items of a batch that find an engine, in their order.
    pub(super) fn start_allowed(
        self: &Rc<Self>,
        now: Instant,
        owned: &Rc<OwnedBatch>,
        route: Route,
    ) {
        let Some(service) = pick_service(&route).map(str::to_owned) else {
            return;
        };
        let step = OpenStep { owned, route };
        let mut skipped = SkippedKinds::default();
        while self.start_one(now, &service, &step, &mut skipped) {}
    }

    /// Starts the next item of a step that finds an engine; returns `false` if none does.
    fn start_one(
        self: &Rc<Self>,
        now: Instant,
        service: &str,
        step: &OpenStep<'_>,
        skipped: &mut SkippedKinds,
    ) -> bool {
        loop {
            let is_allowed = |index| skipped.allows(&step.kind(index));
            let next = step.owned.batch.borrow().next_start_where(now, is_allowed);
            let Some(index) = next else {
                return false;
            };
            let is_first = skipped.is_empty();
            if self.try_start(now, step.owned, &step.route, index) {
                // Wait times are those of the first item.
                if is_first {
                    step.owned.batch.borrow_mut().record_wait(now, None);
                }
                return true;
            }
            if is_first {
                let reason = self.wait_reason(step.owned, &step.route, index);
                step.owned.batch.borrow_mut().record_wait(now, reason);
                self.record_withheld(now, step.owned, &step.route, index);
                self.record_held_back(now, step.owned, &step.route, index);
            }
            let may_retry = skipped.skip(step.kind(index));
            if !may_retry || self.engines.borrow().free_slots(now, service) == 0 {
                return false;
            }
        }
    }
}

impl OpenStep<'_> {
    /// Returns what the step still needs.
    fn demand(&self, speed: Option<TextSpeed>) -> StepDemand {
        let owned = self.owned;
        let remaining = |idx: usize, last: Option<u64>| {
            speed.map_or(Duration::ZERO, |speed| {
                speed.remaining(self.hint(idx), last.unwrap_or(0))
            })
        };
        let (complete, groups) = owned.batch.borrow().group_demands(remaining);
        StepDemand {
            priority: owned.priority,
            due_at: self.route.due.map(|_| owned.due_at),
            allowance: self.route.due.unwrap_or_default(),
            target: owned.submission.target,
            complete,
            groups,
        }
    }

    /// Returns what an item needs of an engine.
    fn kind(&self, index: usize) -> ItemKind {
        ItemKind {
            required_version: self.owned.batch.borrow().required_version(index),
            avoided_engine: self.owned.avoided_engines.borrow().get(&index).copied(),
            hint: self.hint(index),
        }
    }

    fn hint(&self, index: usize) -> u32 {
        let item = &self.owned.submission.items[index];
        item.hint.unwrap_or(0).min(item.tokens)
    }

    fn metric_priority(&self) -> u8 {
        self.owned.priority.min(LOWEST_METRIC_PRIORITY)
    }

    /// Logs a change of the step's state, and what it follows from.
    fn log_state(&self, now: Instant, state: StepState, demand: &StepDemand, capacity: usize) {
        let before = self.owned.share_state.replace(Some(state));
        if before == Some(state) {
            return;
        }
        let left = demand.due_at.map(|due| due.saturating_duration_since(now));
        log::info!(target: BATCHES, batch = self.owned.id.as_str(), state = state.name(),
            before = before.map_or("new", StepState::name), priority = self.owned.priority,
            target:? = demand.target, complete = demand.complete, open = demand.groups.len(),
            waiting = demand.waiting_items(), slots = demand.used_slots(), capacity = capacity,
            remaining_ms = millis(demand.remaining()), left_ms:? = left.map(millis);
            "The state of a step has changed.");
    }
}
