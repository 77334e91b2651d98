//! Planning of loads, and the record of an order that is written before it is sent.

use super::{Weights, orders_row};
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
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{task::spawn_local, time::sleep};

/// Time limit of a load, after which it is planned again.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before an engine whose load failed is ordered again. It doubles with each call in a row
/// that the engine does not answer.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest delay before an engine that does not answer is ordered again.
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);
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
        let max_concurrency = self.pace.borrow().max_loads(engines.len());
        let busy = engines.iter().filter(|engine| engine.loading).count();
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
            spawn_local(Rc::clone(self).load(load, concurrency, now + ORDER_TTL));
        }
    }

    /// Records which engines are about to be ordered.
    ///
    /// Returns `false` if that fails, for example because this process no longer holds the
    /// lease. No order may be sent then.
    async fn record_orders(&self, loads: &[WeightLoad]) -> bool {
        let Some(now) = self.store.now() else {
            return false;
        };
        let mut records = self.order_records.borrow().clone();
        records.expire(now, self.duty.call_gap());
        for load in loads {
            records.record_load(load, self.duty.holder(), now);
        }
        let value = serde_json::to_vec(&records).unwrap_or_default();
        let change = Change::new().put(orders_row(), value);
        match self.duty.transact(change).await {
            Some(Commit::Done { .. }) => {
                self.batches.apply_orders(&records);
                self.order_records.replace(records);
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
    fn goals(&self) -> Vec<ModelGoal> {
        let needs = self.batches.newest_heads();
        let goals = self
            .known
            .named_versions()
            .into_iter()
            .map(|(model, named)| {
                let need = needs.get(&model);
                ModelGoal {
                    newest: named,
                    lag: need.map_or(0, |head| head.lag),
                    work: need.map_or(0, |head| head.work) as f64,
                    items: need.map(|head| head.total),
                    priority: need.map_or(0, |head| head.priority),
                    model,
                }
            });
        goals.collect()
    }

    /// Returns the engines that run a model of the goals and aren't draining.
    fn engines(&self, now: Instant, goals: &[ModelGoal]) -> Vec<EngineStatus> {
        let Some(catalog) = self.known.catalog() else {
            return Vec::new();
        };
        let has_goal = |models: &[String]| goals.iter().any(|g| models.contains(&g.model));
        let services = catalog.services().filter(|service| {
            let engine = service.engine.as_ref();
            engine.is_some_and(|engine| has_goal(&engine.models))
        });
        let endpoints = services.flat_map(|service| self.members.in_service(&service.name));
        let staying = endpoints.filter(Endpoint::is_open);
        let engines: Vec<EngineStatus> =
            staying.map(|endpoint| self.loader(now, endpoint)).collect();
        let ids: HashSet<&str> = engines.iter().map(|engine| engine.id.as_str()).collect();
        self.steady_paces
            .borrow_mut()
            .retain(|engine| ids.contains(engine));
        engines
    }

    fn loader(&self, now: Instant, endpoint: Endpoint) -> EngineStatus {
        let reported = self.reported.borrow();
        let pace = self.steady_pace(&endpoint);
        let weights = endpoint.weights.into_iter().map(|weights| {
            let key = (endpoint.id.clone(), weights.model.clone());
            let reported = reported.get(&key).copied().unwrap_or(0);
            (weights.model, weights.version.max(reported))
        });
        let weights = weights.collect();
        let reserved_until = self.reserved.borrow().get(&endpoint.id).copied();
        let failed = self.failed.borrow().get(&endpoint.id).copied();
        let must_wait = failed.is_some_and(|failed| now < failed.retry_at);
        let records = self.order_records.borrow();
        let blocked_until =
            records.blocked_until(&endpoint.id, self.duty.holder(), self.duty.call_gap());
        let store_now = self.store.now().unwrap_or_default();
        EngineStatus {
            weights,
            blocked: must_wait || blocked_until.is_some_and(|until| store_now < until),
            unanswered: failed.map_or(0, |failed| failed.unanswered),
            slow: self.batches.is_slow(&endpoint.id),
            loading: reserved_until.is_some_and(|until| now < until),
            running_requests: self.batches.running_at(&endpoint.id),
            pace,
            id: endpoint.id,
        }
    }

    /// Returns the time per event of an engine, if trainers compete for the engines of its
    /// service.
    fn steady_pace(&self, endpoint: &Endpoint) -> Option<Duration> {
        let (measured_at, pace) = self.batches.contended_pace(endpoint)?;
        let mut paces = self.steady_paces.borrow_mut();
        Some(paces.record(&endpoint.id, measured_at, pace))
    }
}
