//! Waits for the route of a batch that this process got before the configuration with it.
//!
//! The route sets the limits of the items, and without one they are given up. So a batch begins
//! only once its route is known, or a configuration from after its acceptance has none. The
//! heartbeat of this process keeps others from taking the batch over meanwhile, so it is handed on
//! if the wait takes long.

use super::Batches;
use crate::logs::BATCHES;
use futures_util::future::join;
use hibiscusroad::rollout::row::Head;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time between two looks for the route.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait of a process that knows no configuration, as one that has just started.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a newer configuration. A connection that has gone silent delays it by more
/// than two seconds.
const NEXT_CONFIG_TIMEOUT: Duration = Duration::from_secs(3);

impl Batches {
    /// Waits until a batch may begin, or this process no longer has it in that version.
    pub(super) async fn wait_for_route(&self, id: &str, head: &Head, version: u64) {
        let mut since = Instant::now();
        while self.is_route_missing(head) && self.has_version(id, version) {
            let limit = match self.known.catalog() {
                Some(_) => NEXT_CONFIG_TIMEOUT,
                None => FIRST_CONFIG_TIMEOUT,
            };
            if since.elapsed() > limit {
                since = Instant::now();
                log::warn!(target: BATCHES, batch = id, config = self.known.catalog().is_some();
                    "A batch is handed on: its route is not known here.");
                let _polled = join(self.ensure_members(), self.poll_heartbeats()).await;
                self.hand_over(id).await;
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// Returns whether the head of a batch still has a version, and this process doesn't stop.
    fn has_version(&self, id: &str, version: u64) -> bool {
        let is_current = self.head(id).is_some_and(|row| row.version == version);
        is_current && !self.is_stopping.get()
    }

    /// Returns whether a batch has no route here, by a configuration from before its acceptance.
    fn is_route_missing(&self, head: &Head) -> bool {
        let now = Instant::now();
        let age = head.age(self.store.now().unwrap_or_default());
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        // The store may confirm that there is no configuration at all.
        let is_settled =
            self.known.catalog().is_some() && self.known.is_confirmed_since(accepted_at);
        !is_settled && self.rollout_route(&head.host, &head.path).is_none()
    }
}
