//! One load of weights, from the order until the engine confirms that it runs the version.

use super::{
    FailedLoad, REPORT_INTERVAL, Weights,
    order::{LOAD_TIMEOUT, MAX_RETRY_DELAY, RETRY_DELAY},
};
use crate::{gateway::engine_calls::CallError, logs::WEIGHTS};
use hibiscusroad::{
    clock::millis,
    rollout::{LoadOrder, OrderAnswer, load_plan::WeightLoad},
    roster::Endpoint,
};
use hibiscusroad_platform::engine::{self, Report};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout_at};

/// Time for a load after which the engine is asked for a report, if it has not registered the
/// new weights.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Limit of the doublings of a retry delay, above that of the longest one.
const MAX_DOUBLINGS: u32 = 8;

/// How a load ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoadOutcome {
    /// The engine runs the version.
    Done,
    /// The engine did not load it, or was not ordered to.
    Failed,
    /// The engine did not answer, or does not carry out an order that it accepted.
    Unresponsive,
}

impl Weights {
    /// Orders an engine to load a version, and waits until the engine runs it. The order is
    /// sent before `valid_until`, or not at all.
    pub(super) async fn load(
        self: Rc<Self>,
        load: WeightLoad,
        concurrency: usize,
        valid_until: Instant,
    ) {
        let start = Instant::now();
        let outcome = self.try_load(&load, valid_until).await;
        let done = outcome == LoadOutcome::Done;
        let duration = start.elapsed();
        log::info!(target: WEIGHTS, endpoint = load.endpoint.as_str(), model = load.model.as_str(),
            version = load.version, at_once = concurrency, took_ms = millis(duration), done = done,
            outcome:? = outcome; "A load of weights ended.");
        let label = if done { "done" } else { "failed" };
        self.meters.loads.with_label_values(&[label]).inc();
        self.reserved.borrow_mut().remove(&load.endpoint);
        if done {
            self.meters.load_seconds.observe(duration.as_secs_f64());
            self.pace.borrow_mut().record_load(concurrency, duration);
            self.failed.borrow_mut().remove(&load.endpoint);
            self.write_pace().await;
        } else {
            // Others may take its turn meanwhile.
            self.plan_needed.notify_one();
            let delay = self.record_failed(&load.endpoint, outcome);
            sleep(delay).await;
        }
        self.plan_needed.notify_one();
    }

    /// Records that a load failed, and returns the time until its engine may be ordered again.
    fn record_failed(&self, endpoint: &str, outcome: LoadOutcome) -> Duration {
        let mut failed = self.failed.borrow_mut();
        let unanswered = match outcome {
            LoadOutcome::Unresponsive => 1 + failed.get(endpoint).map_or(0, |it| it.unanswered),
            LoadOutcome::Done | LoadOutcome::Failed => 0,
        };
        let factor = 1 << unanswered.saturating_sub(1).min(MAX_DOUBLINGS);
        let delay = (RETRY_DELAY * factor).min(MAX_RETRY_DELAY);
        let retry_at = self.duty.now() + delay;
        let load = FailedLoad {
            retry_at,
            unanswered,
        };
        failed.insert(endpoint.to_owned(), load);
        delay
    }

    async fn try_load(&self, load: &WeightLoad, valid_until: Instant) -> LoadOutcome {
        let Some(endpoint) = self.members.get(&load.endpoint) else {
            return LoadOutcome::Failed;
        };
        let known_count = self.order_counts.borrow_mut().remove(&load.endpoint);
        let order_count = match known_count {
            Some(order_count) => order_count,
            None => match self.calls.fetch_report(&endpoint).await {
                Some(report) if self.record_report(load, &report) => return LoadOutcome::Done,
                Some(report) if !report.busy => report.orders,
                Some(_) => return LoadOutcome::Failed,
                None => return LoadOutcome::Unresponsive,
            },
        };
        // Checked last: there is no await between this and the order.
        let in_time = self.duty.now() < valid_until;
        let Some(fence) = self.duty.fencing_token().filter(|_| in_time) else {
            self.order_counts
                .borrow_mut()
                .insert(load.endpoint.clone(), order_count);
            return LoadOutcome::Failed;
        };
        let order = LoadOrder {
            endpoint: load.endpoint.clone(),
            model: load.model.clone(),
            version: load.version,
            holder: self.duty.holder().to_owned(),
            fencing_token: fence,
            expected_orders: order_count,
        };
        let mut weights = endpoint.weights.iter();
        let previous = weights.find(|weights| weights.model == load.model);
        let previous = previous.map_or(0, |weights| weights.version);
        let answer = self
            .calls
            .call(&endpoint, engine::order_request(&order))
            .await;
        if matches!(answer, Err(CallError::Evacuated)) {
            log::info!(target: WEIGHTS, endpoint = load.endpoint.as_str(),
                model = load.model.as_str(), version = load.version,
                place = endpoint.data_centre.as_str();
                "No order is given to an engine in an evacuated data centre.");
            self.order_counts
                .borrow_mut()
                .insert(load.endpoint.clone(), order_count);
            return LoadOutcome::Failed;
        }
        if matches!(answer, Err(CallError::Left)) {
            log::info!(target: WEIGHTS, endpoint = load.endpoint.as_str(),
                model = load.model.as_str(), version = load.version;
                "No order is given to an engine that has left since it was chosen.");
            return LoadOutcome::Failed;
        }
        let answer = answer.map_or(OrderAnswer::Unknown, |(status, _)| {
            engine::order_outcome(status)
        });
        log::info!(target: WEIGHTS, endpoint = load.endpoint.as_str(), model = load.model.as_str(),
            version = load.version, from = previous, holder = self.duty.holder(), fence = fence,
            orders = order_count, answer:? = answer; "An order was given.");
        match answer {
            OrderAnswer::Accepted => {
                let outcome = self.wait_until_loaded(&endpoint, load).await;
                if outcome == LoadOutcome::Done {
                    let id = load.endpoint.clone();
                    self.order_counts.borrow_mut().insert(id, order_count + 1);
                }
                outcome
            }
            OrderAnswer::Holds => {
                self.record_version(&load.endpoint, &load.model, load.version);
                LoadOutcome::Done
            }
            OrderAnswer::Fenced => {
                self.duty.record_conflict();
                LoadOutcome::Failed
            }
            OrderAnswer::Busy | OrderAnswer::Gone | OrderAnswer::Refused => LoadOutcome::Failed,
            OrderAnswer::Unknown => LoadOutcome::Unresponsive,
        }
    }

    /// Waits until an engine runs the version, ends, or takes too long.
    ///
    /// An engine registers new weights at once. Its report lags behind, and is fetched only if
    /// the engine doesn't register them for a while. Without an answer it has probably ended,
    /// and without a load it has dropped the order; others get its turn.
    async fn wait_until_loaded(&self, endpoint: &Endpoint, load: &WeightLoad) -> LoadOutcome {
        let deadline = Instant::now() + LOAD_TIMEOUT;
        let mut next_report = Instant::now() + REGISTRATION_TIMEOUT;
        while Instant::now() < deadline {
            let roster_changed = self.roster_changed.notified();
            let Some(current) = self.members.get(&load.endpoint) else {
                return LoadOutcome::Failed;
            };
            if current.started_ms != endpoint.started_ms {
                return LoadOutcome::Failed;
            }
            let runs_version = current
                .weights
                .iter()
                .any(|weights| weights.model == load.model && weights.version >= load.version);
            if runs_version {
                return LoadOutcome::Done;
            }
            if timeout_at(next_report.into(), roster_changed).await.is_ok() {
                continue;
            }
            next_report = Instant::now() + REPORT_INTERVAL;
            // Nothing is sent to an evacuated data centre; its engines still register weights.
            if current.evacuated {
                continue;
            }
            let Some(report) = self.calls.fetch_report(endpoint).await else {
                return LoadOutcome::Unresponsive;
            };
            if self.record_report(load, &report) {
                return LoadOutcome::Done;
            }
            if !report.busy {
                return LoadOutcome::Unresponsive;
            }
        }
        LoadOutcome::Unresponsive
    }

    /// Records the versions that an engine reports.
    ///
    /// Returns `true` if it runs the version of the load and has no load under way.
    fn record_report(&self, load: &WeightLoad, report: &Report) -> bool {
        for weights in &report.weights {
            self.record_version(&load.endpoint, &weights.model, weights.version);
        }
        let runs_version = report
            .weights
            .iter()
            .any(|weights| weights.model == load.model && weights.version >= load.version);
        runs_version && !report.busy
    }

    fn record_version(&self, endpoint: &str, model: &str, version: u64) {
        let key = (endpoint.to_owned(), model.to_owned());
        let mut reported = self.reported.borrow_mut();
        let newest = reported.entry(key).or_default();
        *newest = (*newest).max(version);
        drop(reported);
        self.batches.record_version(endpoint, model, version);
    }
}
