//! What loads of weights mean for the choice of an engine.
//!
//! Nothing here takes effect for a service for which contention isn't expected.

use super::{EngineKey, Engines, Requirements, is_eligible};
use crate::rollout::{
    loading::{HoldChange, Versions},
    order_records::OrderRecords,
};
use slotmap::SecondaryMap;
use std::time::{Duration, Instant};

/// Why an engine refused an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// It has free slots, so it is assumed to load weights.
    Loading,
    /// It has no free slot.
    Full,
    /// Another one, or an unknown one.
    Other,
}

impl RefusalReason {
    /// Returns its name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Loading => "loading",
            Self::Full => "full",
            Self::Other => "other",
        }
    }
}

impl Engines {
    /// Applies the recorded orders of weights; `store_now` is the store's steady clock at
    /// `now`.
    pub fn record_orders(&mut self, now: Instant, store_now: Duration, records: &OrderRecords) {
        self.loads.expire_records(store_now);
        let unknown = Versions::new();
        for (id, record) in records.iter() {
            let engine = self.index.get(id).map(|key| &self.states[*key]);
            // An engine that isn't known yet may be one of a service with contention.
            if engine.is_some_and(|engine| !self.is_contended(&engine.service)) {
                continue;
            }
            let versions = engine.map_or(&unknown, |engine| &engine.weights);
            self.loads
                .record_order(now, store_now, id, record, versions);
        }
    }

    /// Records that an engine refused an item without running it, and returns the probable
    /// reason. `has_exact_version` tells that the item required one version, which may be
    /// what the engine refused.
    pub fn record_refused_item(
        &mut self,
        now: Instant,
        key: EngineKey,
        model: Option<&str>,
        has_exact_version: bool,
    ) -> RefusalReason {
        let Some(engine) = self.states.get(key) else {
            return RefusalReason::Other;
        };
        let reason = if engine.free_slots(now) == 0 {
            RefusalReason::Full
        } else if model.is_none() || has_exact_version {
            RefusalReason::Other
        } else {
            RefusalReason::Loading
        };
        if let Some(model) = model.filter(|_| self.is_contended(&engine.service)) {
            if reason == RefusalReason::Loading {
                self.loads
                    .record_refusal(now, &engine.id, model, &engine.weights);
            } else {
                self.loads.record_end(&engine.id, model);
            }
        }
        reason
    }

    /// Records that an item of a model is sent to an engine.
    pub fn record_sent_item(&mut self, now: Instant, key: EngineKey, model: Option<&str>) {
        if let Some((engine, model)) = self.states.get(key).zip(model) {
            self.loads.record_sent(now, &engine.id, model);
        }
    }

    /// Records that an engine runs an item of a model.
    pub fn record_answered_item(&mut self, now: Instant, key: EngineKey, model: Option<&str>) {
        if let Some((engine, model)) = self.states.get(key).zip(model) {
            self.loads.record_answer(now, &engine.id, model);
        }
    }

    /// Records that an item of a model ended at an engine without an answer.
    pub fn record_unanswered_item(&mut self, key: EngineKey, model: Option<&str>) {
        if let Some((engine, model)) = self.states.get(key).zip(model) {
            self.loads.record_end(&engine.id, model);
        }
    }

    /// Releases the engines whose loads have ended, and returns all that were held or
    /// released since the last call.
    pub fn settle_loads(&mut self, now: Instant) -> Vec<HoldChange> {
        let (states, index) = (&self.states, &self.index);
        let versions = |id: &str| index.get(id).map(|key| &states[*key].weights);
        self.loads.settle(now, versions);
        self.loads.take_changes()
    }

    /// Returns the number of engines that are held for a load of weights.
    #[must_use]
    pub fn held_count(&self, now: Instant) -> usize {
        self.loads.held_count(now)
    }

    /// Returns whether an engine could take an item if it weren't held for a load of weights.
    #[must_use]
    pub fn waits_for_load(&self, now: Instant, requirements: &Requirements<'_>) -> bool {
        let held = self.held_engines(now, requirements);
        held.keys()
            .any(|key| is_eligible(now, key, &self.states[key], requirements))
    }

    /// Returns the engines that are held for a load of the weights of an item's model.
    pub(super) fn held_engines(
        &self,
        now: Instant,
        requirements: &Requirements<'_>,
    ) -> SecondaryMap<EngineKey, ()> {
        let model = requirements.model;
        let Some(model) = model.filter(|_| self.is_contended(requirements.service)) else {
            return SecondaryMap::new();
        };
        // Few engines load at once, so this costs less than a look at each engine's loads.
        let held = self.loads.held(now, model).filter_map(|(id, hold)| {
            let key = *self.index.get(id)?;
            (!hold.is_over(model, &self.states[key].weights)).then_some((key, ()))
        });
        held.collect()
    }
}
