//! The rows by which this process is known: one among all processes, and a heartbeat while
//! it owns something.

use super::Batches;
use crate::{
    gateway::peers::{RENEWAL_INTERVAL, member_parts, poll_members},
    logs::BATCHES,
    platform::Backoff,
};
use futures_util::stream::{FuturesUnordered, StreamExt};
use hibiscusroad::{
    clock::millis,
    rollout::{
        presence::{HEARTBEAT_INTERVAL, renewal_pause, resend_delay},
        row::{self, HEARTBEAT_PART, OwnerRow, Presence, ROW_FORM},
    },
    table::{Change, Commit},
};
use serde::Serialize;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// How long a process sends heartbeats after its last batch: the next step of the trainer
/// is given to the owner of the last one.
const IDLE_HEARTBEAT_DURATION: Duration = Duration::from_secs(10);
/// Shortest and longest wait between retries.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

impl Batches {
    /// Writes this process's row among all processes, and renews it until the process stops.
    pub(in crate::gateway) async fn announce(self: Rc<Self>) {
        let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
        while !self.is_stopping.get() {
            let presence = self.own_presence();
            // Known once the store has answered any call.
            if presence.offset.is_none() {
                sleep(HEARTBEAT_INTERVAL).await;
                continue;
            }
            let change = Change::new().put(row::member(&self.directory.name), encode(&presence));
            if let Commit::Done { version, .. } = self.store.transact(&change).await {
                self.member_row.set(version);
                backoff.reset();
                sleep(RENEWAL_INTERVAL).await;
            } else {
                sleep(backoff.next_wait(&mut rand::rng())).await;
            }
        }
    }

    /// Renews the heartbeat row of this process while it owns something, and removes it
    /// afterwards.
    pub(in crate::gateway) async fn renew_heartbeat(self: Rc<Self>) {
        // A row of a former incarnation is replaced, so that others see the restart at once.
        let mut version = tokio::select! {
            version = self.former_heartbeat() => version,
            // An owner without a row is given no next step and loses its batches, so its
            // first heartbeat must not wait for a read.
            () = self.heartbeat_needed() => None,
        };
        if version.is_some() {
            self.mark_owning();
        }
        let id = row::heartbeat(&self.directory.name);
        let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
        // The others must take over batches that were accepted during the stop.
        while !self.is_stopping.get() {
            let is_needed = self.needs_heartbeat();
            // A pause that is longer than the row tells would count as silence.
            let pause = renewal_pause(self.heartbeat_latency());
            let change = match version {
                _ if is_needed => Change::new().put(id.clone(), encode(&self.own_heartbeat(pause))),
                // A removal that is carried out late must not hit a newer heartbeat.
                Some(written) => Change::new().expect(id.clone(), written).remove(id.clone()),
                None => {
                    self.heartbeat_needed().await;
                    continue;
                }
            };
            match self.write_heartbeat(&change).await {
                Commit::Done {
                    version: written, ..
                } => {
                    if is_needed && version.is_none() {
                        log::info!(target: BATCHES, row = written; "The heartbeats begin.");
                    }
                    version = is_needed.then_some(written);
                    self.heartbeat_row.set(version.unwrap_or(0));
                    backoff.reset();
                    sleep(pause).await;
                }
                // An unanswered heartbeat was written after the known one.
                Commit::Conflict(rows) => {
                    version = rows.iter().find(|row| row.id == id).map(|row| row.version);
                }
                Commit::Refused | Commit::Unknown => {
                    sleep(backoff.next_wait(&mut rand::rng())).await;
                }
            }
        }
    }

    /// Returns the present latency of writes in the part of the heartbeats.
    fn heartbeat_latency(&self) -> Duration {
        self.store.write_latency(HEARTBEAT_PART)
    }

    /// Writes the heartbeat, and again while earlier writes are not answered.
    ///
    /// After an outage a write may wait for its timeout on a connection that stays silent, for
    /// longer than the others wait. The others, whose reads are answered already, would
    /// take the batches over and make the texts of the outage again. The writes replace the
    /// same row, so it doesn't matter how many of them are carried out. A write times out within
    /// 1.8 s, so at most four are under way; none is added to writes that are only slow.
    async fn write_heartbeat(&self, change: &Change) -> Commit {
        let mut writes = FuturesUnordered::new();
        loop {
            writes.push(self.store.transact_patiently(change));
            let resend = sleep(resend_delay(self.heartbeat_latency()));
            tokio::pin!(resend);
            loop {
                tokio::select! {
                    Some(commit) = writes.next() => {
                        let is_executed = matches!(commit, Commit::Done { .. } | Commit::Conflict(_));
                        if writes.is_empty() || is_executed {
                            return commit;
                        }
                    }
                    () = &mut resend => break,
                }
            }
        }
    }

    /// Waits until this process must send heartbeats.
    async fn heartbeat_needed(&self) {
        while !self.needs_heartbeat() {
            self.ownership_changed.notified().await;
        }
    }

    /// Returns the version of the heartbeat row that a former incarnation left.
    async fn former_heartbeat(&self) -> Option<u64> {
        let id = row::heartbeat(&self.directory.name);
        let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
        loop {
            match self.store.read_row(&id).await {
                Ok(row) => return row.map(|row| row.version),
                Err(failure) => log::debug!(target: BATCHES, error = failure.to_string().as_str();
                    "The heartbeat of a former incarnation could not be read."),
            }
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
    }

    /// Records that this process owns something, which starts the heartbeats.
    pub(super) fn mark_owning(&self) {
        self.last_owned_at.set(Some(Instant::now()));
        self.ownership_changed.notify_one();
    }

    fn own_heartbeat(&self, pause: Duration) -> OwnerRow {
        OwnerRow {
            presence: Presence {
                pause: millis(pause),
                ..self.own_presence()
            },
            load: self
                .known_loads()
                .remove(&self.incarnation)
                .unwrap_or_default(),
        }
    }

    fn own_presence(&self) -> Presence {
        Presence {
            incarnation: self.incarnation.clone(),
            peer: self.directory.address,
            renewed: millis(self.store.now().unwrap_or_default()),
            memory: self.memory_mb,
            offset: self.directory.times.offset(),
            region: Some(self.topology().own_region_name().to_owned()),
            row_form: ROW_FORM,
            pause: 0,
        }
    }

    /// Returns whether this process must send heartbeats: it owns something, or may be
    /// given the next step of a trainer.
    pub(in crate::gateway) fn needs_heartbeat(&self) -> bool {
        let is_owner = self.holds_duty.get() || !self.owned.borrow().is_empty();
        if is_owner {
            self.last_owned_at.set(Some(Instant::now()));
        }
        is_owner
            || self
                .last_owned_at
                .get()
                .is_some_and(|at| at.elapsed() < IDLE_HEARTBEAT_DURATION)
    }

    /// Follows the rows of all processes.
    pub(in crate::gateway) async fn follow_members(self: Rc<Self>) {
        let store = Rc::clone(&self.store);
        let directory = self.directory.clone();
        poll_members(store, directory, |part, members| {
            let mut detector = self.failure_detector.borrow_mut();
            detector.record_members(part, members);
        })
        .await;
    }

    /// Reads the rows of all processes if none is known.
    pub(super) async fn ensure_members(&self) {
        if self.failure_detector.borrow().count() > 0 {
            return;
        }
        for part in member_parts() {
            match self.directory.read_part(&self.store, &part).await {
                Ok(members) => {
                    let mut detector = self.failure_detector.borrow_mut();
                    detector.record_members(&part, members);
                }
                Err(failure) => log::debug!(target: BATCHES, error = failure.to_string().as_str();
                    "The rows of the processes could not be read."),
            }
        }
    }
}

fn encode(row: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(row).unwrap_or_default()
}
