//! Starts items at engines.
//!
//! The most urgent batch goes first, and of two alike the one that is due first:
//! its trainer waits for it, and the next step can't be asked for before it is
//! done.

use super::{
    Batches, Owned,
    seat::{Seat, Start},
};
use crate::{gateway::calls::pick_service, logs::BATCHES};
use hibiscusroad::{
    catalog::{Kind, Route},
    quarantine::Verdict,
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

/// While items wait for room the engines are looked at again so often: what
/// other owners leave shows without an event here.
const LOOK: Duration = Duration::from_millis(40);

/// While a draft waits for an engine they are looked at so often: one that loads is
/// left alone for as long, and when that is over nothing tells of it. A draft that was
/// not tried again then never began, in one run of three where a load ended last.
const DRAFT_LOOK: Duration = Duration::from_millis(250);
/// An item in quarantine is looked at again so often: its quarantine may end.
const HOLD: Duration = Duration::from_secs(1);

impl Batches {
    /// Starts items for as long as the process runs.
    pub(in crate::gateway) async fn dispatch(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            let mut mine: Vec<Rc<Owned>> = self.mine.borrow().values().cloned().collect();
            mine.sort_by_key(|owned| (owned.priority, owned.due));
            for owned in &mine {
                self.start_all(now, owned);
            }
            let mut drafted = true;
            for owned in &mine {
                drafted &= self.draft_stragglers(now, owned);
            }
            let waits = mine
                .iter()
                .any(|owned| owned.batch.borrow().waiting_count() > 0);
            let held = mine
                .iter()
                .any(|owned| owned.batch.borrow().has_held_items());
            let next = if waits { LOOK } else { DRAFT_LOOK };
            tokio::select! {
                () = self.work.notified() => {}
                () = sleep_until((now + next).into()), if waits || held || !drafted => {}
            }
        }
    }

    /// Returns the route of a batch, as it is in force now.
    pub(super) fn route(&self, owned: &Owned) -> Option<Route> {
        let catalog = self.known.catalog()?;
        let route = catalog.find(&owned.host, &owned.path)?;
        (route.kind == Kind::Rollout).then(|| route.clone())
    }

    fn start_all(self: &Rc<Self>, now: Instant, owned: &Rc<Owned>) {
        if owned.over.get() || owned.batch.borrow().next_start(now).is_none() {
            return;
        }
        let Some(route) = self.route(owned) else {
            // A route that was added a moment ago may not be known here yet.
            if !self.known.is_current(now) {
                return;
            }
            log::warn!(target: BATCHES, batch = owned.id.as_str();
                "A batch's route is gone; what is not done is given up.");
            owned.batch.borrow_mut().give_up();
            owned.ready.notify_one();
            return;
        };
        loop {
            let next = owned.batch.borrow().next_start(now);
            let Some(n) = next else { return };
            if self.is_quarantined(owned, n) {
                owned.batch.borrow_mut().hold_until(n, now + HOLD);
                continue;
            }
            self.drop_lost(owned, &route, n);
            let Some(key) = self.choose(now, owned, &route, n, None) else {
                let lack = self.lack(owned, &route, n);
                owned.batch.borrow_mut().record_wait(now, lack);
                return;
            };
            owned.batch.borrow_mut().record_wait(now, None);
            self.start(now, owned, &route, n, key);
        }
    }

    /// Says whether an item crashes engines and must not run.
    ///
    /// It is not errored: it did not fail by itself, and may run again once its crashes
    /// count no more.
    pub(super) fn is_quarantined(&self, owned: &Owned, n: usize) -> bool {
        let crashes = &self.line.crashes;
        if !crashes.has_evidence() {
            return false;
        }
        let subject = owned.subject(&owned.submission.items[n]);
        matches!(crashes.verdict(&subject), Verdict::Quarantined(_))
    }

    /// Drops the text of an item that waits, if no engine can go on with it under
    /// its version.
    ///
    /// Only between runs: events of a run that goes on would be added to nothing,
    /// and the trainer would get a text without its beginning.
    fn drop_lost(&self, owned: &Owned, route: &Route, n: usize) {
        let pinned = owned.batch.borrow().required_version(n);
        let Some((version, model)) = pinned.zip(owned.submission.model.as_deref()) else {
            return;
        };
        let engines = self.engines.borrow();
        let mut services = route.shares.iter().map(|share| share.service.as_str());
        if !services.any(|service| engines.has_version(service, model, version)) {
            owned.batch.borrow_mut().discard_text(n);
        }
    }

    /// Chooses an engine for an item, other than the one that won't do.
    pub(super) fn choose(
        &self,
        now: Instant,
        owned: &Owned,
        route: &Route,
        n: usize,
        not: Option<EngineKey>,
    ) -> Option<EngineKey> {
        let want = Requirements {
            excluded: not.or_else(|| owned.avoid.borrow().get(&n).copied()),
            ..want(owned, route, n)?
        };
        self.engines.borrow().choose(now, &want)
    }

    /// Says what an item lacks that can't start now.
    fn lack(&self, owned: &Owned, route: &Route, n: usize) -> Option<WaitReason> {
        let want = want(owned, route, n)?;
        Some(self.engines.borrow().wait_reason(&want))
    }

    /// Returns the entry of an engine.
    pub(super) fn endpoint(&self, key: EngineKey) -> Option<Endpoint> {
        let id = self.engines.borrow().id(key).map(str::to_owned);
        self.members.get(&id?)
    }

    /// Chooses an engine for a draft: one with weights from `floor` on that is at
    /// least half empty.
    pub(super) fn choose_idle(
        &self,
        now: Instant,
        owned: &Owned,
        route: &Route,
        n: usize,
        floor: u64,
    ) -> Option<EngineKey> {
        let engines = self.engines.borrow();
        let want = Requirements {
            min_version: floor,
            exact_version: None,
            ..want(owned, route, n)?
        };
        let found = engines.choose(now, &want);
        found.filter(|key| engines.is_idle(now, *key))
    }

    fn start(
        self: &Rc<Self>,
        now: Instant,
        owned: &Rc<Owned>,
        route: &Route,
        n: usize,
        key: EngineKey,
    ) {
        let Some(endpoint) = self.endpoint(key) else {
            self.engines.borrow_mut().record_failure(now, key);
            return;
        };
        let seat = Seat::take(self, key);
        owned.avoid.borrow_mut().remove(&n);
        let exact = owned.batch.borrow().required_version(n);
        let waited = owned.batch.borrow().wait_times(now, n);
        let before = owned.batch.borrow_mut().start(n);
        let priority = self.rank(now, owned, route, &endpoint.service, n);
        let start = Start {
            n,
            seat,
            endpoint,
            priority,
            before,
            exact,
            waited,
        };
        let run = {
            let (batches, owned) = (Rc::clone(self), Rc::clone(owned));
            async move { batches.item(&owned, start).await }
        };
        let task = spawn_local(run);
        let mut tasks = owned.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Returns the rank of an item at its engine.
    fn rank(&self, now: Instant, owned: &Owned, route: &Route, service: &str, n: usize) -> u8 {
        let item = &owned.submission.items[n];
        let hint = item.hint.unwrap_or(0).min(item.tokens);
        let last = owned.batch.borrow().last_event(n).unwrap_or(0);
        let expected = self.engines.borrow().expected_duration(service, hint, last);
        let left = owned.due.saturating_duration_since(now);
        urgency::rank(
            owned.priority,
            route.due.unwrap_or_default(),
            left,
            expected,
        )
    }

    /// Notes that a run broke off, for the item and for the engine.
    pub(super) fn broke(
        &self,
        owned: &Owned,
        n: usize,
        key: EngineKey,
        before: Option<u64>,
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
        self.line.meters.runs.with_label_values(&[outcome]).inc();
        match cause {
            Interruption::NotRun => engines.record_refusal(now, key),
            Interruption::Lost => engines.record_failure(now, key),
            Interruption::Moved | Interruption::Failed | Interruption::Never => {}
        }
        owned
            .batch
            .borrow_mut()
            .record_interruption(now, n, before, cause);
        if cause == Interruption::Moved {
            owned.avoid.borrow_mut().insert(n, key);
        }
        owned.ready.notify_one();
    }
}

/// Returns what an item needs of its engine.
fn want<'a>(owned: &'a Owned, route: &'a Route, n: usize) -> Option<Requirements<'a>> {
    let submission = &owned.submission;
    let group = submission.items[n].group.as_str();
    Some(Requirements {
        service: pick_service(route)?,
        model: submission.model.as_deref(),
        min_version: submission.min_version,
        exact_version: owned.batch.borrow().required_version(n),
        group,
        excluded: None,
    })
}
