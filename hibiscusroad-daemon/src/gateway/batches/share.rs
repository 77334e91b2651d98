//! Tells other owners of batches how fast engines are, and hears it from them.
//!
//! A lost write loses a second of news and nothing else, so none is repeated. The
//! row's version is a condition all the same: a conflict brings what others wrote.

use super::Batches;
use crate::{gateway::failure::Failure, logs::BATCHES};
use hibiscusroad::{
    clock::millis,
    rollout::{
        pace::Paces,
        row::{self, PACES},
    },
    table::{Change, Commit, Range, Row},
};
use std::{collections::HashMap, rc::Rc, time::Duration, time::Instant};
use tokio::time::sleep;

/// Time between two writes of an owner: a tenth of a step. With eight owners at
/// work that is eight of the store's 800 writes a second.
const SHARE: Duration = Duration::from_secs(1);

/// Rows of paces as this process last saw them, by their services.
type Seen = HashMap<String, (u64, Paces)>;

impl Batches {
    /// Shares paces for as long as the process runs.
    pub(in crate::gateway) async fn share_paces(self: Rc<Self>) {
        let mut seen = Seen::new();
        loop {
            if self.mine.borrow().is_empty() {
                self.arrived.notified().await;
                continue;
            }
            let since = Instant::now();
            sleep(SHARE).await;
            let services = self.engines.borrow().services_sampled_since(since);
            for service in services {
                self.share(&service, &mut seen).await;
            }
        }
    }

    async fn share(&self, service: &str, seen: &mut Seen) {
        let Some(now) = self.store.now() else { return };
        let own = self
            .engines
            .borrow()
            .own_paces(Instant::now(), now, service);
        let id = row::paces(service);
        // The second try has what others wrote meanwhile.
        for _ in 0..2 {
            let (version, mut paces) = seen.remove(service).unwrap_or_default();
            paces.merge(&own);
            paces.expire(now);
            let value = serde_json::to_vec(&paces).unwrap_or_default();
            let change = Change::new()
                .expect(id.clone(), version)
                .put(id.clone(), value);
            match self.store.transact(&change).await {
                Commit::Done { version, .. } => {
                    seen.insert(service.to_owned(), (version, paces));
                    return;
                }
                Commit::Conflict(rows) => {
                    for row in rows.iter().filter(|row| row.id == id) {
                        let heard = self.hear_paces(row);
                        seen.insert(service.to_owned(), (row.version, heard));
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
            self.hear_paces(row);
        }
        Ok(())
    }

    fn hear_paces(&self, row: &Row) -> Paces {
        let paces: Paces = match serde_json::from_slice(&row.value) {
            Ok(paces) => paces,
            Err(error) => {
                log::error!(target: BATCHES, service = row.id.key.as_str(),
                    error = error.to_string().as_str();
                    "A row of paces is broken; it is written anew.");
                return Paces::new();
            }
        };
        if let Some(now) = self.store.now() {
            let heard = self
                .engines
                .borrow_mut()
                .merge_paces(Instant::now(), now, &paces);
            log::debug!(target: BATCHES, service = row.id.key.as_str(), row = row.version,
                engines = heard, store_ms = millis(now); "Paces of engines are heard.");
        }
        paces
    }
}
