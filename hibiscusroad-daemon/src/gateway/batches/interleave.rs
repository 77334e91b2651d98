//! Interleaves the starts of steps whose trainers compete for engines.
//!
//! [`hibiscusroad::rollout::shares`] decides from which step the next item starts. A step
//! whose next item finds no engine is skipped for the rest of the pass, so that no slot
//! stays free while another step can use it. Batches of services without contention are
//! served one after the other.

use super::{Batches, OwnedBatch};
use crate::{gateway::calls::pick_service, logs::BATCHES};
use hibiscusroad::{
    catalog::Route,
    clock::millis,
    rollout::{
        engines::TextSpeed,
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
        let (speed, capacity) = {
            let engines = self.engines.borrow();
            (
                engines.text_speed(service),
                engines.usable_slots(now, service),
            )
        };
        let mut demands: Vec<StepDemand> = steps.iter().map(|step| step.demand(speed)).collect();
        let mut shares = Shares::new(now, capacity, self.share_floor, &demands);
        while let Some(idx) = shares.next_step() {
            let step = &steps[idx];
            if self.start_next(now, step.owned, &step.route) {
                demands[idx] = step.demand(speed);
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
}

impl OpenStep<'_> {
    /// Returns what the step still needs.
    fn demand(&self, speed: Option<TextSpeed>) -> StepDemand {
        let owned = self.owned;
        let items = &owned.submission.items;
        let remaining = |idx: usize, last: Option<u64>| {
            let hint = items[idx].hint.unwrap_or(0).min(items[idx].tokens);
            speed.map_or(Duration::ZERO, |speed| {
                speed.remaining(hint, last.unwrap_or(0))
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
