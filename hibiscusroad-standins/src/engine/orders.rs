//! Orders to load a weight version.

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

/// Answers an order that was done.
#[derive(Debug, Serialize)]
struct Done<'a> {
    version: &'a str,
    fence: u64,
}

/// What carries orders out, one at a time.
#[derive(Debug)]
pub struct Orders {
    settings: Settings,
    batch: Arc<Batch>,
    fence: Mutex<u64>,
    busy: Mutex<()>,
    count: AtomicU64,
}

impl Orders {
    /// Creates it for the engine of `batch`.
    #[must_use]
    pub fn new(settings: Settings, batch: Arc<Batch>) -> Self {
        Self {
            settings,
            batch,
            fence: Mutex::new(0),
            busy: Mutex::new(()),
            count: AtomicU64::new(0),
        }
    }

    /// Returns the next number of a row that goes on through all requests.
    pub fn number(&self) -> u64 {
        self.count.fetch_add(1, Ordering::Relaxed)
    }

    /// Carries out an order and answers it.
    pub fn load(&self, mut exchange: Exchange) {
        let order = match exchange.json::<Order>() {
            Ok(order) => order,
            Err(error) => return exchange.refuse(400, &error.to_string()),
        };
        let _busy = lock(&self.busy);
        if !self.pass(order.fence) {
            return exchange.refuse(409, "a newer holder gave orders");
        }
        let version = match &order.version {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        if let Err((status, message)) = self.swap(&version) {
            return exchange.refuse(status, &message);
        }
        let fence = order.fence;
        exchange.answer(
            200,
            &Done {
                version: &version,
                fence,
            },
        );
    }

    // Only an engine that checks numbers refuses old ones.
    fn pass(&self, fence: u64) -> bool {
        let mut highest = lock(&self.fence);
        if self.settings.fences && fence < *highest {
            return false;
        }
        *highest = fence.max(*highest);
        true
    }

    fn swap(&self, version: &str) -> Result<(), (u16, String)> {
        self.fetch(version)?;
        self.batch.set_swapping(true);
        thread::sleep(self.settings.swap);
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

    fn fetch(&self, version: &str) -> Result<(), (u16, String)> {
        let Some(store) = &self.settings.weights else {
            return Ok(());
        };
        match ureq::get(format!("{store}/weights/{version}")).call() {
            Ok(_) => Ok(()),
            Err(ureq::Error::StatusCode(429)) => Err((429, "weight store over its rate".into())),
            Err(error) => Err((502, error.to_string())),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
