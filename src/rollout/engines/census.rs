//! Counts the engines of a service by what keeps an item from them, for logs and metrics.

use super::{EngineKey, EngineState, Engines, Requirements, has_weights};
use std::{collections::BTreeMap, fmt, time::Instant};

/// Why an engine can't take an item now.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Obstacle {
    /// It takes no new requests.
    Closed,
    /// It is in a region that is not allowed.
    Region,
    /// Its weights are not allowed.
    Weights,
    /// The item must not go to it.
    Excluded,
    /// It is paused after a refusal, a failure or a stall.
    Paused,
    /// It has no free slot.
    Full,
    /// It is cold and admits no item.
    Cold,
    /// It is held for a load of weights.
    Loading,
    /// It is much slower than its peers and runs an item already.
    Slow,
}

impl Obstacle {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Region => "region",
            Self::Weights => "weights",
            Self::Excluded => "excluded",
            Self::Paused => "paused",
            Self::Full => "full",
            Self::Cold => "cold",
            Self::Loading => "loading",
            Self::Slow => "slow",
        }
    }
}

/// The engines of a service, as an item that waits finds them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Census {
    /// Number of slots of open engines.
    pub slots: u32,
    /// Number of these slots that are assumed to be taken.
    pub used: u32,
    /// Number of engines that could take the item.
    pub eligible: u32,
    /// Number of the other engines, by the first obstacle of each.
    pub obstacles: BTreeMap<Obstacle, u32>,
}

impl Census {
    /// Returns whether under half of the slots are taken.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.used * 2 < self.slots
    }

    /// Returns the most frequent obstacle; `None` if an engine could take the item.
    #[must_use]
    pub fn main_obstacle(&self) -> Option<Obstacle> {
        if self.eligible > 0 {
            return None;
        }
        let most = self.obstacles.iter().max_by_key(|(_, count)| **count);
        most.map(|(obstacle, _)| *obstacle)
    }
}

impl fmt::Display for Census {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "eligible={}", self.eligible)?;
        for (obstacle, count) in &self.obstacles {
            write!(f, " {}={count}", obstacle.name())?;
        }
        Ok(())
    }
}

impl Engines {
    /// Counts the engines of the service of an item that waits.
    #[must_use]
    pub fn census(&self, now: Instant, requirements: &Requirements<'_>) -> Census {
        let mut census = Census::default();
        let held = self.held_engines(now, requirements);
        let engines = self.states.iter();
        for (key, engine) in engines.filter(|(_, it)| it.service == requirements.service) {
            if engine.is_open {
                census.slots += engine.slots;
                census.used += engine.slots - engine.free_slots(now);
            }
            let obstacle = if held.contains_key(key) {
                Some(Obstacle::Loading)
            } else {
                self.obstacle(now, key, engine, requirements)
            };
            match obstacle {
                Some(obstacle) => *census.obstacles.entry(obstacle).or_default() += 1,
                None => census.eligible += 1,
            }
        }
        census
    }

    fn obstacle(
        &self,
        now: Instant,
        key: EngineKey,
        engine: &EngineState,
        requirements: &Requirements<'_>,
    ) -> Option<Obstacle> {
        let is_busy_and_slow = || {
            !self.is_contended(requirements.service)
                && engine.own_items > 0
                && self.is_slow(now, &engine.id)
        };
        if !engine.is_open {
            Some(Obstacle::Closed)
        } else if !requirements.regions.contains(engine.region) {
            Some(Obstacle::Region)
        } else if !has_weights(engine, requirements) {
            Some(Obstacle::Weights)
        } else if Some(key) == requirements.excluded {
            Some(Obstacle::Excluded)
        } else if engine.paused_until.is_some_and(|until| until > now)
            || (engine.failures > 0 && engine.own_items > 0)
        {
            Some(Obstacle::Paused)
        } else if engine.free_slots(now) == 0 {
            Some(Obstacle::Full)
        } else if engine.admission.items == Some(0) {
            Some(Obstacle::Cold)
        } else if is_busy_and_slow() {
            Some(Obstacle::Slow)
        } else {
            None
        }
    }
}
