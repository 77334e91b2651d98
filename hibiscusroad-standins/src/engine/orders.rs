//! Orders to load weight versions.

use super::{Settings, SwapFault, batch::Batch};
use crate::http::Exchange;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

#[derive(Debug, Deserialize)]
struct Order {
    version: Value,
    #[serde(default)]
    fence: u64,
}

/// The answer to an order that was carried out.
#[derive(Debug, Serialize)]
struct OrderAnswer<'a> {
    version: &'a str,
    fence: u64,
}

/// Executes orders one at a time, and numbers requests.
#[derive(Debug)]
pub struct Orders {
    settings: Settings,
    batch: Arc<Batch>,
    /// The highest fencing token so far.
    highest_fence: Mutex<u64>,
    /// Held while an order is carried out.
    execution: Mutex<()>,
    next_number: AtomicU64,
}

impl Orders {
    /// Creates an executor of orders for the engine of `batch`.
    #[must_use]
    pub fn new(settings: Settings, batch: Arc<Batch>) -> Self {
        Self {
            settings,
            batch,
            highest_fence: Mutex::new(0),
            execution: Mutex::new(()),
            next_number: AtomicU64::new(0),
        }
    }

    /// Returns the next request number.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Executes an order and answers it.
    pub fn execute(&self, mut exchange: Exchange) {
        let order = match exchange.json::<Order>() {
            Ok(order) => order,
            Err(error) => return exchange.refuse(400, &error.to_string()),
        };
        let _guard = lock(&self.execution);
        if !self.accept_fence(order.fence) {
            return exchange.refuse(409, "a newer holder gave orders");
        }
        let version = match &order.version {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        if let Err((status, message)) = self.swap_weights(&version) {
            return exchange.refuse(status, &message);
        }
        let fence = order.fence;
        exchange.answer(
            200,
            &OrderAnswer {
                version: &version,
                fence,
            },
        );
    }

    /// Records the fencing token; returns false if it is outdated and the engine checks tokens.
    fn accept_fence(&self, fence: u64) -> bool {
        let mut highest = lock(&self.highest_fence);
        if self.settings.checks_fence && fence < *highest {
            return false;
        }
        *highest = fence.max(*highest);
        true
    }

    fn swap_weights(&self, version: &str) -> Result<(), (u16, String)> {
        self.fetch_weights(version)?;
        self.batch.set_swapping(true);
        thread::sleep(self.settings.swap_time);
        let outcome = match self.batch.faults().swap {
            SwapFault::None => {
                self.batch.set_version(version);
                Ok(())
            }
            SwapFault::Fail => Err((500, "the version could not be loaded".to_owned())),
            SwapFault::Other(other) => {
                self.batch.set_version(&other);
                Ok(())
            }
        };
        self.batch.set_swapping(false);
        outcome
    }

    fn fetch_weights(&self, version: &str) -> Result<(), (u16, String)> {
        let Some(url) = &self.settings.weights_url else {
            return Ok(());
        };
        match ureq::get(format!("{url}/weights/{version}")).call() {
            Ok(_) => Ok(()),
            Err(ureq::Error::StatusCode(429)) => Err((429, "weight store over its rate".into())),
            Err(error) => Err((502, error.to_string())),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
