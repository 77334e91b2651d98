//! Reports items that wait although engines have room, and batches that nobody runs.
//!
//! Neither causes an event, so both are looked for. Nothing is decided here.

use super::{Batches, OwnedBatch};
use crate::logs::BATCHES;
use hibiscusroad::{
    clock::millis,
    rollout::engines::{Obstacle, Requirements},
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// Wait from which on an item is reported, if engines have room. Items that are interrupted
/// start again within half a second.
const REPORTED_WAIT: Duration = Duration::from_secs(2);
/// Time in which the owner of a batch reads and starts it as a rule.
const START_ALLOWANCE: Duration = Duration::from_secs(2);

impl Batches {
    /// Reports waits for as long as the process runs.
    pub(in crate::gateway) async fn report_idle(self: Rc<Self>) {
        loop {
            if !self.has_open_batches() {
                self.heads_changed.notified().await;
                continue;
            }
            sleep(LOOK_INTERVAL).await;
            let now = Instant::now();
            self.report_unowned(now);
            let owned: Vec<Rc<OwnedBatch>> = self.owned.borrow().values().cloned().collect();
            for owned in owned {
                self.report_wait(now, &owned);
            }
        }
    }

    /// Returns whether this process is the owner of batches, by their heads.
    fn has_open_batches(&self) -> bool {
        let heads = self.heads.borrow();
        heads.values().any(|row| self.is_own(&row.head))
    }

    /// Reports the batches of this process that it does not run.
    fn report_unowned(&self, now: Instant) {
        for (id, row) in self.heads.borrow().iter() {
            let elapsed = now.saturating_duration_since(row.owner_since);
            let is_running = self.owned.borrow().contains_key(id);
            if is_running || elapsed < START_ALLOWANCE || !self.is_own(&row.head) {
                continue;
            }
            log::warn!(target: BATCHES, batch = id.as_str(), row = row.version,
                since_ms = millis(elapsed), stopping = self.is_stopping.get();
                "A batch is not run by its owner.");
            self.count_idle("owner");
        }
    }

    /// Reports the longest wait of a batch if engines have room.
    fn report_wait(&self, now: Instant, owned: &OwnedBatch) {
        let Some(wait) = owned.batch.borrow().longest_wait() else {
            return;
        };
        let elapsed = now.saturating_duration_since(wait.since);
        let Some(route) = self.route(owned).filter(|_| elapsed >= REPORTED_WAIT) else {
            return;
        };
        let item = wait.item;
        let Some(requirements) = self.requirements(owned, &route, item) else {
            return;
        };
        let avoided = owned.avoided_engines.borrow().get(&item).copied();
        let requirements = Requirements {
            excluded: avoided,
            ..requirements
        };
        let census = self.engines.borrow().census(now, &requirements);
        if !census.has_room() {
            return;
        }
        let obstacle = census.main_obstacle().map_or("order", Obstacle::name);
        let first = owned.batch.borrow().next_start(now);
        let id_of = |index: usize| owned.submission.items[index].id.as_str();
        log::warn!(target: BATCHES, batch = owned.id.as_str(), item = id_of(item),
            waited_ms = millis(elapsed), obstacle = obstacle, engines = census.to_string().as_str(),
            slots = census.slots, used = census.used, first = first.map(id_of),
            waiting = owned.batch.borrow().waiting_count(),
            last_event:? = owned.batch.borrow().last_event(item);
            "An item waits although engines have room.");
        self.count_idle(obstacle);
    }

    fn count_idle(&self, obstacle: &str) {
        let waits = &self.context.meters.idle_waits;
        waits.with_label_values(&[obstacle]).inc();
    }
}
