//! Shares the measured paces of engines between owners of batches.
//!
//! A failed write is not repeated, since the next one follows soon. Writes are
//! conditional on the row's version: a conflict returns what other owners have written.

use super::Batches;
use crate::{gateway::failure::Failure, logs::BATCHES};
use hibiscusroad::{
    clock::millis,
    rollout::{
        pace::{Paces, share_interval},
        row::{self, HEARTBEAT_PART, PACES},
    },
    table::{Change, Commit, Range, Row},
};
use std::{collections::HashMap, rc::Rc, time::Instant};
use tokio::time::sleep;

/// The last known version and content of the pace rows, by service.
type KnownRows = HashMap<String, (u64, Paces)>;

impl Batches {
    /// Shares paces for as long as the process runs.
    pub(in crate::gateway) async fn share_paces(self: Rc<Self>) {
        let mut known = KnownRows::new();
        loop {
            if self.owned.borrow().is_empty() {
                self.heads_changed.notified().await;
                continue;
            }
            let since = Instant::now();
            sleep(share_interval(self.store.write_latency(HEARTBEAT_PART))).await;
            let services = self.engines.borrow().services_sampled_since(since);
            for service in services {
                self.write_paces(&service, &mut known).await;
            }
        }
    }

    /// Merges the own paces of a service into its row.
    async fn write_paces(&self, service: &str, known: &mut KnownRows) {
        let Some(now) = self.store.now() else { return };
        let own = self
            .engines
            .borrow()
            .own_paces(Instant::now(), now, service);
        let id = row::paces(service);
        // The second try includes what other owners wrote meanwhile.
        for _ in 0..2 {
            let (version, mut paces) = known.remove(service).unwrap_or_default();
            paces.merge(&own);
            paces.expire(now);
            let value = serde_json::to_vec(&paces).unwrap_or_default();
            let change = Change::new()
                .expect(id.clone(), version)
                .put(id.clone(), value);
            match self.store.transact(&change).await {
                Commit::Done { version, .. } => {
                    known.insert(service.to_owned(), (version, paces));
                    return;
                }
                Commit::Conflict(rows) => {
                    for row in rows.iter().filter(|row| row.id == id) {
                        let applied = self.apply_paces(row);
                        known.insert(service.to_owned(), (row.version, applied));
                    }
                }
                Commit::Refused | Commit::Unknown => return,
            }
        }
    }

    /// Reads the paces of all services.
    pub(in crate::gateway) async fn read_paces(&self) -> Result<(), Failure> {
        let page = self.store.read_whole(&Range::part(PACES, "")).await?;
        for row in &page.rows {
            self.apply_paces(row);
        }
        Ok(())
    }

    /// Applies a row of paces and returns its content.
    fn apply_paces(&self, row: &Row) -> Paces {
        let paces: Paces = match serde_json::from_slice(&row.value) {
            Ok(paces) => paces,
            Err(error) => {
                log::error!(target: BATCHES, service = row.id.key.as_str(),
                    error = error.to_string().as_str();
                    "A row of paces could not be decoded; it is overwritten.");
                return Paces::new();
            }
        };
        if let Some(now) = self.store.now() {
            let service = row.id.key.as_str();
            let is_shared = paces.has_shared_hosts(now);
            let mut engines = self.engines.borrow_mut();
            let is_change = engines.set_shared_elsewhere(service, is_shared);
            let applied = engines.merge_paces(Instant::now(), now, &paces);
            drop(engines);
            if is_change {
                log::info!(target: BATCHES, service = service, shared_hosts = is_shared,
                    row = row.version, store_ms = millis(now);
                    "Whether hosts of a service are shared was learned from other owners.");
            }
            log::debug!(target: BATCHES, service = service, row = row.version,
                engines = applied, shared_hosts = is_shared, store_ms = millis(now);
                "Engine paces are read from the store.");
        }
        paces
    }
}
