//! Starts items at engines.
//!
//! Batches are served by priority, then by due time: a trainer can't submit its next step
//! before the last one is done. Where trainers are expected to compete, their steps share
//! the slots instead ([`super::interleave`]).

use super::{
    Batches, OwnedBatch, placement,
    slot::{ItemStart, Slot},
};
use crate::{gateway::calls::pick_service, logs::BATCHES};
use hibiscusroad::{
    catalog::{Kind, Route},
    clock::millis,
    rollout::{
        batch::Interruption,
        engines::{EngineKey, Requirements},
        urgency,
        waits::WaitReason,
    },
    roster::Endpoint,
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{task::spawn_local, time::sleep_until};

/// Time between two tries to start items that wait. Capacity that other owners release
/// causes no event here.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Time between two tries to start drafts that wait. An engine that has loaded weights is
/// blocked for a time, and the end of that causes no event.
const DRAFT_RETRY_INTERVAL: Duration = Duration::from_millis(250);

impl Batches {
    /// Starts items for as long as the process runs.
    pub(in crate::gateway) async fn dispatch(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            self.settle_loads();
            self.update_owners();
            let mut batches: Vec<Rc<OwnedBatch>> = self.owned.borrow().values().cloned().collect();
            batches.sort_by_key(|owned| (owned.priority, owned.due_at));
            self.start_all(now, &batches);
            let mut all_drafted = true;
            for owned in &batches {
                all_drafted &= self.draft_stragglers(now, owned);
            }
            self.request_permits(&batches);
            let is_waiting = batches
                .iter()
                .any(|owned| owned.batch.borrow().waiting_count() > 0);
            let interval = if is_waiting {
                START_RETRY_INTERVAL
            } else {
                DRAFT_RETRY_INTERVAL
            };
            tokio::select! {
                () = self.dispatch_needed.notified() => {}
                () = sleep_until((now + interval).into()),
                    if is_waiting || !all_drafted => {}
            }
        }
    }

    /// Returns the route of a batch in the present configuration.
    pub(super) fn route(&self, owned: &OwnedBatch) -> Option<Route> {
        self.rollout_route(&owned.host, &owned.path)
    }

    /// Returns the route of batches at a path in the present configuration.
    pub(super) fn rollout_route(&self, host: &str, path: &str) -> Option<Route> {
        let catalog = self.known.catalog()?;
        let route = catalog.find(host, path)?;
        (route.kind == Kind::Rollout).then(|| route.clone())
    }

    /// Starts items of a batch as far as engines have capacity.
    pub(super) fn start_items(self: &Rc<Self>, now: Instant, owned: &Rc<OwnedBatch>) {
        if owned.is_stopped.get() || owned.batch.borrow().next_start(now).is_none() {
            return;
        }
        let Some(route) = self.route(owned) else {
            // The configuration that added the route may not have arrived here yet.
            let is_known = self.known.is_confirmed_since(owned.accepted_at);
            if !is_known || !self.known.is_current(now) {
                return;
            }
            log::warn!(target: BATCHES, batch = owned.id.as_str();
                "The route of a batch was removed; its unfinished items are given up.");
            owned.batch.borrow_mut().give_up();
            owned.result_ready.notify_one();
            return;
        };
        self.start_allowed(now, owned, route);
    }

    /// Starts an item, unless no engine can run it now.
    pub(super) fn try_start(
        self: &Rc<Self>,
        now: Instant,
        owned: &Rc<OwnedBatch>,
        route: &Route,
        index: usize,
    ) -> bool {
        self.discard_unusable_text(owned, route, index);
        let Some(key) = self.choose_engine(now, owned, route, index, None) else {
            return false;
        };
        self.start_item(now, owned, route, index, key);
        true
    }

    /// Discards the text of a waiting item if no engine has the weight version that it
    /// must be continued with.
    ///
    /// Must not be called while the item runs: the text would lack its beginning.
    fn discard_unusable_text(&self, owned: &OwnedBatch, route: &Route, index: usize) {
        let required = owned.batch.borrow().required_version(index);
        let Some((version, model)) = required.zip(owned.submission.model.as_deref()) else {
            return;
        };
        let regions = self.regions(owned, route);
        let engines = self.engines.borrow();
        let mut services = route.shares.iter().map(|share| share.service.as_str());
        if !services.any(|service| engines.has_version(service, model, version, regions)) {
            owned.batch.borrow_mut().discard_text(index);
        }
    }

    /// Chooses an engine for an item, other than the excluded one, and if possible other than
    /// that which the item has just left.
    pub(super) fn choose_engine(
        &self,
        now: Instant,
        owned: &OwnedBatch,
        route: &Route,
        index: usize,
        excluded: Option<EngineKey>,
    ) -> Option<EngineKey> {
        let engines = self.engines.borrow();
        let avoided = owned.avoided_engines.borrow().get(&index).copied();
        let requirements = Requirements {
            excluded: excluded.or(avoided),
            rest: placement::rest(&engines, owned, index),
            due: Some(owned.due_at),
            ..self.requirements(owned, route, index)?
        };
        let chosen = engines.choose(now, &requirements);
        if chosen.is_some() || excluded.is_some() || avoided.is_none() {
            return chosen;
        }
        let any = Requirements {
            excluded: None,
            ..requirements
        };
        engines.choose(now, &any)
    }

    /// Returns what an item requires of an engine.
    pub(super) fn requirements<'a>(
        &self,
        owned: &'a OwnedBatch,
        route: &'a Route,
        index: usize,
    ) -> Option<Requirements<'a>> {
        let submission = &owned.submission;
        let group = submission.items[index].group.as_str();
        Some(Requirements {
            service: pick_service(route)?,
            model: submission.model.as_deref(),
            min_version: submission.min_version,
            exact_version: owned.batch.borrow().required_version(index),
            regions: self.regions(owned, route),
            group,
            excluded: None,
            rest: None,
            due: None,
        })
    }

    /// Returns what an item waits for that can't start now.
    pub(super) fn wait_reason(
        &self,
        owned: &OwnedBatch,
        route: &Route,
        index: usize,
    ) -> Option<WaitReason> {
        let requirements = self.requirements(owned, route, index)?;
        Some(self.engines.borrow().wait_reason(&requirements))
    }

    /// Returns the roster entry of an engine.
    pub(super) fn endpoint(&self, key: EngineKey) -> Option<Endpoint> {
        let id = self.engines.borrow().id(key).map(str::to_owned);
        self.members.get(&id?)
    }

    /// Chooses an engine for a draft: at least half idle, with weights of `min_version` or
    /// newer.
    pub(super) fn choose_idle_engine(
        &self,
        now: Instant,
        owned: &OwnedBatch,
        route: &Route,
        index: usize,
        min_version: u64,
    ) -> Option<EngineKey> {
        let engines = self.engines.borrow();
        let item = &owned.submission.items[index];
        let requirements = Requirements {
            min_version,
            exact_version: None,
            // A draft starts from nothing, and nobody waits for it.
            rest: engines.length(item.hint, item.tokens).map(|it| it.rest(0)),
            ..self.requirements(owned, route, index)?
        };
        let found = engines.choose(now, &requirements);
        found.filter(|key| engines.is_idle(now, *key) && !engines.is_cold(*key))
    }

    /// Starts an item at an engine.
    fn start_item(
        self: &Rc<Self>,
        now: Instant,
        owned: &Rc<OwnedBatch>,
        route: &Route,
        index: usize,
        key: EngineKey,
    ) {
        let Some(endpoint) = self.endpoint(key) else {
            self.engines.borrow_mut().record_failure(now, key);
            return;
        };
        let slot = Slot::occupy(self, key);
        self.context.cold.reserve(&endpoint.id);
        self.record_sent_item(now, owned, key);
        owned.avoided_engines.borrow_mut().remove(&index);
        let exact_version = owned.batch.borrow().required_version(index);
        let wait_times = owned.batch.borrow().wait_times(now, index);
        let priority = self.item_priority(now, owned, route, &endpoint.service, index);
        let last_event = owned.batch.borrow_mut().start(index);
        log::debug!(target: BATCHES, batch = owned.id.as_str(),
            item = owned.submission.items[index].id.as_str(), endpoint = endpoint.id.as_str(),
            before:? = last_event, waited_ms = millis(wait_times.0);
            "An item is sent to an engine.");
        let start = ItemStart {
            index,
            slot,
            endpoint,
            priority,
            last_event,
            exact_version,
            wait_times,
        };
        let task = {
            let (batches, owned) = (Rc::clone(self), Rc::clone(owned));
            async move { batches.run_item(&owned, start).await }
        };
        let task = spawn_local(task);
        let mut tasks = owned.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Returns the priority of an item in the queue of its engine.
    fn item_priority(
        &self,
        now: Instant,
        owned: &OwnedBatch,
        route: &Route,
        service: &str,
        index: usize,
    ) -> u8 {
        let item = &owned.submission.items[index];
        let hint = item.hint.unwrap_or(0).min(item.tokens);
        let last_event = owned.batch.borrow().last_event(index).unwrap_or(0);
        let expected_duration = self
            .engines
            .borrow()
            .expected_duration(service, hint, last_event);
        let remaining = owned.due_at.saturating_duration_since(now);
        urgency::rank(
            owned.priority,
            route.due.unwrap_or_default(),
            remaining,
            expected_duration,
        )
    }

    /// Records for the item and for the engine that a run was interrupted.
    pub(super) fn record_interruption(
        &self,
        owned: &OwnedBatch,
        index: usize,
        key: EngineKey,
        last_event: Option<u64>,
        cause: Interruption,
    ) {
        let now = Instant::now();
        let mut engines = self.engines.borrow_mut();
        let outcome = match cause {
            Interruption::NotRun => "not-run",
            Interruption::Lost => "lost",
            Interruption::Moved => "moved",
            Interruption::Failed => "failed",
            Interruption::Never => "never",
        };
        self.context.meters.runs.with_label_values(&[outcome]).inc();
        if cause != Interruption::NotRun {
            engines.record_unanswered_item(key, owned.submission.model.as_deref());
        }
        match cause {
            Interruption::NotRun => engines.record_refusal(now, key),
            Interruption::Lost => engines.record_failure(now, key),
            Interruption::Moved | Interruption::Failed | Interruption::Never => {}
        }
        owned
            .batch
            .borrow_mut()
            .record_interruption(now, index, last_event, cause);
        if cause == Interruption::Moved {
            owned.avoided_engines.borrow_mut().insert(index, key);
        }
        owned.result_ready.notify_one();
    }
}
