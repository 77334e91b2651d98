//! Planning of loads, and the record of an order that is written before it is sent.

use super::{Weights, orders_row};
use crate::logs::WEIGHTS;
use hibiscusroad::{
    rollout::{
        turns::VALID,
        wave::{Goal, Load, Loader, plan},
    },
    roster::Endpoint,
    table::{Change, Commit},
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{task::spawn_local, time::sleep};

/// Time limit of a load, after which it is planned again.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before an engine whose load failed is ordered again.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Minimum interval between two reads of the paces of engines.
const PACES_INTERVAL: Duration = Duration::from_secs(1);

impl Weights {
    /// Starts the loads that are due, once their orders are recorded in the store.
    pub(super) async fn start_loads(self: &Rc<Self>) {
        let now = self.duty.now();
        if self.quiet_until.get().is_some_and(|until| now < until) {
            return;
        }
        self.read_paces().await;
        let goals = self.goals();
        let engines = self.engines(now, &goals);
        let max_concurrency = self.pace.borrow().at_once(engines.len());
        let busy = engines.iter().filter(|engine| engine.busy).count();
        let loads = plan(&engines, &goals, max_concurrency);
        let concurrency = busy + loads.len();
        if loads.is_empty() || !self.record_orders(&loads).await {
            return;
        }
        for load in loads {
            let until = now + LOAD_TIMEOUT;
            self.reserved
                .borrow_mut()
                .insert(load.endpoint.clone(), until);
            spawn_local(Rc::clone(self).load(load, concurrency, now + VALID));
        }
    }

    /// Records which engines are about to be ordered.
    ///
    /// Returns `false` if that fails, for example because this process no longer holds the
    /// lease. No order may be sent then.
    async fn record_orders(&self, loads: &[Load]) -> bool {
        let Some(now) = self.store.now() else {
            return false;
        };
        let mut turns = self.turns.borrow().clone();
        turns.expire(now, self.duty.apart());
        for load in loads {
            turns.note(&load.endpoint, self.duty.life(), now);
        }
        let value = serde_json::to_vec(&turns).unwrap_or_default();
        let change = Change::new().put(orders_row(), value);
        match self.duty.transact(change).await {
            Some(Commit::Done { .. }) => {
                self.turns.replace(turns);
                true
            }
            None => false,
            Some(commit) => {
                log::info!(target: WEIGHTS, done:? = commit;
                    "No order is given: it could not be recorded.");
                sleep(RETRY_DELAY).await;
                self.plan_needed.notify_one();
                false
            }
        }
    }

    /// Reads the paces of engines that owners of batches wrote, unless they were read
    /// recently. This process may own no batch, and measure no pace itself.
    async fn read_paces(&self) {
        let read_at = self.paces_read.get();
        if read_at.is_some_and(|at| at.elapsed() < PACES_INTERVAL) {
            return;
        }
        self.paces_read.set(Some(Instant::now()));
        if let Err(failure) = self.batches.read_paces().await {
            log::debug!(target: WEIGHTS, error = failure.to_string().as_str();
                "Paces of engines could not be read.");
        }
    }

    /// Returns the versions that engines should run, and how urgently.
    fn goals(&self) -> Vec<Goal> {
        let needs = self.batches.needs();
        let goals = self.known.named().into_iter().map(|(model, named)| {
            let need = needs.get(&model);
            Goal {
                named,
                lag: need.map_or(0, |head| head.lag),
                work: need.map_or(0, |head| head.work) as f64,
                priority: need.map_or(0, |head| head.priority),
                model,
            }
        });
        goals.collect()
    }

    /// Returns the engines that run a model of the goals and aren't draining.
    fn engines(&self, now: Instant, goals: &[Goal]) -> Vec<Loader> {
        let Some(catalog) = self.known.catalog() else {
            return Vec::new();
        };
        let has_goal = |models: &[String]| goals.iter().any(|g| models.contains(&g.model));
        let services = catalog.services().filter(|service| {
            let engine = service.engine.as_ref();
            engine.is_some_and(|engine| has_goal(&engine.models))
        });
        let endpoints = services.flat_map(|service| self.members.of(&service.name));
        let staying = endpoints.filter(|endpoint| !endpoint.leaving);
        staying.map(|endpoint| self.loader(now, endpoint)).collect()
    }

    fn loader(&self, now: Instant, endpoint: Endpoint) -> Loader {
        let reported = self.reported.borrow();
        let weights = endpoint.weights.into_iter().map(|weights| {
            let key = (endpoint.id.clone(), weights.model.clone());
            let reported = reported.get(&key).copied().unwrap_or(0);
            (weights.model, weights.version.max(reported))
        });
        let weights = weights.collect();
        let reserved_until = self.reserved.borrow().get(&endpoint.id).copied();
        let turns = self.turns.borrow();
        let blocked_until = turns.barred(&endpoint.id, self.duty.life(), self.duty.apart());
        let store_now = self.store.now().unwrap_or_default();
        Loader {
            weights,
            barred: blocked_until.is_some_and(|until| store_now < until),
            slow: self.batches.is_slow(&endpoint.id),
            busy: reserved_until.is_some_and(|until| now < until),
            load: self.batches.running_at(&endpoint.id),
            id: endpoint.id,
        }
    }
}
