//! The owner's view of loads of weights, which the holder of the duty of weights orders.
//!
//! A process that owns batches follows the recorded orders, unless it holds the duty itself:
//! then it applies its own records without the store. Each process that follows them costs
//! a call to the store for each change of the table of duties, so one that owns nothing
//! doesn't. If the records can't be read, owners learn of loads from refusals.

use super::{Batches, OwnedBatch};
use crate::{
    gateway::{
        lease_row::DUTIES_TABLE,
        sync::{Position, Sink, follow},
        weights::orders_row,
    },
    logs::BATCHES,
};
use hibiscusroad::{
    catalog::Route,
    change_pacing::BytePacing,
    clock::millis,
    rollout::{
        engines::{EngineKey, RefusalReason},
        loading::{HoldCause, HoldChange},
        order_records::OrderRecords,
    },
    table::Row,
};
use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Time between two checks whether orders must be followed. It delays the start only where
/// the duty was lost or contention was observed while batches run.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long orders are followed after the last batch: trainers submit their next step some
/// seconds after the last one, and a new start reads the whole row.
const IDLE_FOLLOW_DURATION: Duration = Duration::from_secs(5);

impl Batches {
    /// Follows the recorded orders of weights while this process needs them.
    pub(in crate::gateway) async fn follow_orders(self: Rc<Self>) {
        loop {
            if self.owned.borrow().is_empty() {
                self.heads_changed.notified().await;
            } else if !self.needs_orders() {
                sleep(CHECK_INTERVAL).await;
            } else {
                log::debug!(target: BATCHES, "The orders of weights are followed.");
                tokio::select! {
                    () = follow(Rc::clone(&self.store), Rc::new(orders_sink(&self))) => {}
                    () = self.orders_unneeded() => {}
                }
                log::debug!(target: BATCHES, "The orders of weights are no longer followed.");
            }
        }
    }

    /// Returns whether another process may order engines that batches of this one run on.
    fn needs_orders(&self) -> bool {
        let owned = self.owned.borrow();
        !self.holds_duty.get() && owned.values().any(|owned| self.is_contended(owned))
    }

    /// Returns whether contention is expected for a service that runs items of a batch.
    fn is_contended(&self, owned: &OwnedBatch) -> bool {
        let engines = self.engines.borrow();
        self.route(owned).is_some_and(|route| {
            let mut shares = route.shares.iter();
            shares.any(|share| engines.is_contended(&share.service))
        })
    }

    /// Waits until orders have not been needed for [`IDLE_FOLLOW_DURATION`].
    async fn orders_unneeded(&self) {
        let mut needed_at = Instant::now();
        while needed_at.elapsed() < IDLE_FOLLOW_DURATION {
            sleep(CHECK_INTERVAL).await;
            if self.needs_orders() {
                needed_at = Instant::now();
            }
        }
    }

    /// Applies a row of orders.
    fn apply_orders_row(&self, row: &Row) {
        match OrderRecords::decode_intact(&row.value) {
            Ok((records, broken)) => {
                if broken > 0 {
                    log::warn!(target: BATCHES, row = row.version, broken = broken;
                        "Orders of weights can't be decoded; their loads are learned from refusals.");
                }
                self.apply_orders(&records);
            }
            Err(error) => log::warn!(target: BATCHES, row = row.version,
                error = error.to_string().as_str();
                "The orders of weights can't be decoded; loads are learned from refusals."),
        }
    }

    /// Applies the recorded orders of weights.
    pub(in crate::gateway) fn apply_orders(&self, records: &OrderRecords) {
        // Known, since the records came from the store or were written to it.
        let Some(store_now) = self.store.now() else {
            return;
        };
        let mut engines = self.engines.borrow_mut();
        engines.record_orders(Instant::now(), store_now, records);
        drop(engines);
        self.settle_loads();
    }

    /// Releases engines whose loads have ended, and logs the changes.
    pub(super) fn settle_loads(&self) {
        let changes = self.engines.borrow_mut().settle_loads(Instant::now());
        for change in changes {
            log_change(&change);
        }
    }

    /// Returns the number of engines that are held for a load.
    pub(in crate::gateway) fn held_count(&self) -> usize {
        self.engines.borrow().held_count(Instant::now())
    }

    /// Records that an item is sent to an engine.
    pub(super) fn record_sent_item(&self, now: Instant, owned: &OwnedBatch, key: EngineKey) {
        let model = owned.submission.model.as_deref();
        let mut engines = self.engines.borrow_mut();
        engines.record_sent_item(now, key, model);
        owned.withheld.set(None);
    }

    /// Counts an item that waits because only engines that are held had room for it.
    pub(super) fn record_withheld(
        &self,
        now: Instant,
        owned: &OwnedBatch,
        route: &Route,
        index: usize,
    ) {
        let Some(requirements) = self.requirements(owned, route, index) else {
            return;
        };
        let is_withheld = self.engines.borrow().waits_for_load(now, &requirements);
        if is_withheld && owned.withheld.replace(Some(index)) != Some(index) {
            self.context.meters.withheld.inc();
        }
    }

    /// Counts an item that an engine did not run.
    pub(super) fn count_refusal(&self, reason: RefusalReason) {
        let refusals = &self.context.meters.refusals;
        refusals.with_label_values(&[reason.name()]).inc();
    }
}

/// Builds the sink of the recorded orders.
fn orders_sink(batches: &Rc<Batches>) -> Sink {
    let pacing = Cell::new(BytePacing::new(Instant::now()));
    let received = Rc::new(Cell::new(0));
    let apply = {
        let (batches, received) = (Rc::clone(batches), Rc::clone(&received));
        Rc::new(move |rows: &[Row]| {
            received.set(rows.iter().map(|row| row.value.len()).sum());
            if let Some(row) = rows.iter().find(|row| row.id == orders_row()) {
                batches.apply_orders_row(row);
            }
        })
    };
    let replace = Rc::clone(&apply);
    Sink {
        table: DUTIES_TABLE,
        parts: vec![String::new()],
        replace: Box::new(move |rows, _version| replace(&rows)),
        change: Box::new(move |changes| apply(changes.written())),
        confirm: Box::new(|| {}),
        pause: Box::new(move || {
            let mut next = pacing.get();
            let pause = next.record_delivery(Instant::now(), received.take());
            pacing.set(next);
            pause
        }),
        position: Position::default(),
    }
}

fn log_change(change: &HoldChange) {
    let HoldChange {
        engine,
        model,
        version,
        cause,
        record_age,
        duration,
    } = change;
    let (engine, model, took_ms) = (engine.as_str(), model.as_str(), millis(*duration));
    let age_ms = record_age.map(millis);
    match cause {
        HoldCause::Ordered | HoldCause::Refused => log::info!(target: BATCHES, endpoint = engine,
            model = model, version = *version, cause:? = cause, age_ms = age_ms,
            limit_ms = took_ms; "An engine is held: it is assumed to load weights."),
        HoldCause::Loaded | HoldCause::TimedOut | HoldCause::Answered | HoldCause::Unused => {
            log::info!(target: BATCHES, endpoint = engine, model = model, version = *version,
                cause:? = cause, age_ms = age_ms, took_ms = took_ms; "An engine is released.");
        }
    }
}
