//! Reads the configuration from the store before a request is refused.
//!
//! Clients don't retry after "not found" or "unknown key", so a gateway that learns of
//! a new route or key later than its peers must not refuse it. A request that the known
//! configuration doesn't allow is checked against one that was read after it arrived.
//! Invalid requests can't overload the store: waiting requests share one read at a
//! time, and reads are at least [`MIN_REFRESH_INTERVAL`] apart. Only what changed since the
//! last read is asked for, since a configuration may have thousands of routes.

use super::{
    calls::Calls,
    failure::Failure,
    known_config::KnownConfig,
    store::Store,
    sync::{self, EndpointRoster, Position},
};
use crate::logs::CONFIG;
use hibiscusroad::table::RowId;
use hibiscusroad_platform::table;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::Mutex,
    time::{sleep_until, timeout},
};

/// Minimum time between the starts of two reads. 360 processes that all receive guessed keys
/// make 1,440 reads a second.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a read, for which a caller waits.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// A finished read of the configuration.
#[derive(Clone, Copy)]
struct Refresh {
    started_at: Instant,
    /// Whether the read succeeded.
    succeeded: bool,
}

/// Refreshes the known configuration on demand.
pub(super) struct CatalogRefresher {
    store: Rc<Store>,
    known: Rc<KnownConfig>,
    calls: Rc<Calls>,
    members: Rc<EndpointRoster>,
    /// The version up to which changes of the operator's table were received.
    position: Position,
    last: Mutex<Option<Refresh>>,
}

impl CatalogRefresher {
    pub(super) fn new(
        store: Rc<Store>,
        known: Rc<KnownConfig>,
        calls: Rc<Calls>,
        members: Rc<EndpointRoster>,
    ) -> Self {
        Self {
            store,
            known,
            calls,
            members,
            position: Position::default(),
            last: Mutex::default(),
        }
    }

    /// Returns the position that the sink of the operator's table has to keep up to date.
    pub(super) fn position(&self) -> Position {
        Rc::clone(&self.position)
    }

    /// Ensures that the configuration was read at `since` or later; returns whether the
    /// read succeeded.
    pub(super) async fn refresh_since(&self, since: Instant) -> bool {
        let mut last = self.last.lock().await;
        if let Some(refresh) = last.filter(|refresh| refresh.started_at >= since) {
            return refresh.succeeded;
        }
        if let Some(refresh) = *last {
            sleep_until((refresh.started_at + MIN_REFRESH_INTERVAL).into()).await;
        }
        let started_at = Instant::now();
        let succeeded = self.read().await;
        if succeeded {
            self.known.confirm(started_at);
        }
        *last = Some(Refresh {
            started_at,
            succeeded,
        });
        succeeded
    }

    async fn read(&self) -> bool {
        let read = match self.position.get() {
            Some(after) => timeout(READ_TIMEOUT, self.read_changes(after)).await,
            None => timeout(READ_TIMEOUT, self.read_whole()).await,
        };
        match read {
            Ok(Ok(())) => true,
            Ok(Err(failure)) => {
                log::debug!(target: CONFIG, error = failure.to_string().as_str();
                    "The configuration could not be read.");
                false
            }
            Err(_elapsed) => false,
        }
    }

    async fn read_changes(&self, after: u64) -> Result<(), Failure> {
        let table = table::OPERATOR_TABLE;
        let Some(changes) = self.store.feed(table, after, Duration::ZERO).await? else {
            return self.read_whole().await;
        };
        self.members.update_evacuations(&changes);
        for row in changes.written() {
            sync::apply_operator_row(&self.known, &self.calls, row);
        }
        Ok(())
    }

    /// Reads the configuration alone. Evacuations are read whole by the task that follows the
    /// table, since only a read of all their rows says which of them have ended.
    async fn read_whole(&self) -> Result<(), Failure> {
        let id = RowId::new(table::OPERATOR_TABLE, "", table::CONFIG_KEY);
        let row = self.store.read_row(&id).await?;
        let row = row.ok_or_else(|| Failure::Refused("there is no configuration".to_owned()))?;
        sync::apply_operator_row(&self.known, &self.calls, &row);
        Ok(())
    }
}
