//! What is loaded next.

use super::{Weights, turns_row};
use crate::logs::WEIGHTS;
use hibiscusroad::{
    rollout::{
        load_plan::{EngineStatus, ModelGoal, WeightLoad, plan},
        order_records::ORDER_TTL,
    },
    roster::Endpoint,
    table::{Change, Commit},
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{task::spawn_local, time::sleep};

/// A load that isn't seen to end by then is planned anew.
pub(super) const LONGEST: Duration = Duration::from_secs(8);
/// Pause before an engine that didn't take an order is asked again.
pub(super) const AGAIN: Duration = Duration::from_millis(400);

/// Time between two looks at the paces of engines; owners write them once a second.
const HEAR: Duration = Duration::from_secs(1);

impl Weights {
    /// Gives the orders that are due, once they are written down.
    pub(super) async fn order(self: &Rc<Self>) {
        let now = self.duty.now();
        if self.quiet.get().is_some_and(|until| now < until) {
            return;
        }
        self.hear_paces().await;
        let goals = self.goals();
        let engines = self.engines(now, &goals);
        let at_once = self.pace.borrow().max_loads(engines.len());
        let busy = engines.iter().filter(|engine| engine.loading).count();
        let loads = plan(&engines, &goals, at_once);
        let at_once = busy + loads.len();
        if loads.is_empty() || !self.write_turns(&loads).await {
            return;
        }
        for load in loads {
            let until = now + LONGEST;
            self.loading
                .borrow_mut()
                .insert(load.endpoint.clone(), until);
            spawn_local(Rc::clone(self).load(load, at_once, now + ORDER_TTL));
        }
    }

    /// Writes down which engines are about to be ordered; `false` if nothing may be
    /// sent, since the lease isn't known to be this process's any more.
    async fn write_turns(&self, loads: &[WeightLoad]) -> bool {
        let Some(store) = self.store.now() else {
            return false;
        };
        let mut turns = self.turns.borrow().clone();
        turns.expire(store, self.duty.apart());
        for load in loads {
            turns.record(&load.endpoint, self.duty.life(), store);
        }
        let value = serde_json::to_vec(&turns).unwrap_or_default();
        let change = Change::new().put(turns_row(), value);
        match self.duty.transact(change).await {
            Some(Commit::Done { .. }) => {
                self.turns.replace(turns);
                true
            }
            None => false,
            Some(done) => {
                log::info!(target: WEIGHTS, done:? = done;
                    "No order is given: it could not be written down.");
                sleep(AGAIN).await;
                self.changed.notify_one();
                false
            }
        }
    }

    /// Hears from owners of batches how fast engines are, now and then: this process
    /// may own none, and then hears of it from nobody.
    async fn hear_paces(&self) {
        let heard = self.heard.get();
        if heard.is_some_and(|at| at.elapsed() < HEAR) {
            return;
        }
        self.heard.set(Some(Instant::now()));
        if let Err(failure) = self.batches.read_paces().await {
            log::debug!(target: WEIGHTS, error = failure.to_string().as_str();
                "Paces of engines are not heard.");
        }
    }

    fn goals(&self) -> Vec<ModelGoal> {
        let needs = self.batches.needs();
        let goals = self.known.named().into_iter().map(|(model, named)| {
            let need = needs.get(&model);
            ModelGoal {
                newest: named,
                lag: need.map_or(0, |head| head.lag),
                work: need.map_or(0, |head| head.work) as f64,
                priority: need.map_or(0, |head| head.priority),
                model,
            }
        });
        goals.collect()
    }

    fn engines(&self, now: Instant, goals: &[ModelGoal]) -> Vec<EngineStatus> {
        let Some(catalog) = self.known.catalog() else {
            return Vec::new();
        };
        let wanted = |models: &[String]| goals.iter().any(|g| models.contains(&g.model));
        let services = catalog.services().filter(|service| {
            let engine = service.engine.as_ref();
            engine.is_some_and(|engine| wanted(&engine.models))
        });
        let endpoints = services.flat_map(|service| self.members.of(&service.name));
        let open = endpoints.filter(|endpoint| !endpoint.leaving);
        open.map(|endpoint| self.loader(now, endpoint)).collect()
    }

    fn loader(&self, now: Instant, endpoint: Endpoint) -> EngineStatus {
        let seen = self.seen.borrow();
        let weights = endpoint.weights.into_iter().map(|weights| {
            let key = (endpoint.id.clone(), weights.model.clone());
            let seen = seen.get(&key).copied().unwrap_or(0);
            (weights.model, weights.version.max(seen))
        });
        let weights = weights.collect();
        let until = self.loading.borrow().get(&endpoint.id).copied();
        let turns = self.turns.borrow();
        let barred = turns.blocked_until(&endpoint.id, self.duty.life(), self.duty.apart());
        let store = self.store.now().unwrap_or_default();
        EngineStatus {
            weights,
            blocked: barred.is_some_and(|until| store < until),
            slow: self.batches.is_slow(&endpoint.id),
            loading: until.is_some_and(|until| now < until),
            running_requests: self.batches.running_at(&endpoint.id),
            id: endpoint.id,
        }
    }
}
