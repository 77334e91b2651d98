//! Ownership of batches: heartbeats, takeover and handover.
//!
//! A process renews its heartbeat row while it has batches. The others poll these rows
//! while there are batches of others; [`hibiscusroad::rollout::presence`] decides which
//! processes are gone.

use super::{Batches, HeadRow, OwnedBatch};
use crate::{gateway::peers::decode_process, logs::BATCHES, platform::Backoff};
use futures_util::future::{join, join3};
use hibiscusroad::{
    clock::millis,
    rollout::{
        Submission,
        batch::Batch,
        presence::{Heartbeat, Loss},
        row::{self, Head, Presence},
        text::{SavedText, Tenure, Text},
    },
    table::{Change, Commit, Range, Row, RowId},
    topology::RegionSet,
};
use hibiscusroad_platform::batch;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, sleep_until, timeout},
};

/// Limit for the poll of a stopping process, which has about a second in all.
const STOP_POLL_TIMEOUT: Duration = Duration::from_millis(200);
/// How often the removal of a row is tried: once more if an unanswered write has changed it.
const MAX_REMOVALS: usize = 2;
/// The name under which the holder of the weights' duty is watched.
const WEIGHTS_DUTY: &str = "weights";
/// Shortest and longest wait between retries.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

/// The state from which a batch is run.
pub(super) struct BatchState {
    pub(super) submission: Submission,
    /// Encoded results that are listed.
    pub(super) results: Vec<Vec<u8>>,
    /// Its saved texts, by item.
    pub(super) texts: HashMap<String, Vec<SavedText>>,
    /// Texts of earlier batches, with their item ids.
    pub(super) carried: Vec<(String, Text)>,
}

impl BatchState {
    /// Returns whether nothing of it has run, as far as the store tells.
    pub(super) fn is_new(&self) -> bool {
        self.results.is_empty() && self.texts.is_empty()
    }

    /// Creates the state of a batch of which nothing has run.
    pub(super) fn new(submission: Submission) -> Self {
        Self {
            submission,
            results: Vec::new(),
            texts: HashMap::new(),
            carried: Vec::new(),
        }
    }
}

impl Batches {
    /// Polls the heartbeats and takes over batches whose owners are gone.
    pub(in crate::gateway) async fn watch_owners(self: Rc<Self>) {
        loop {
            let foreign = self.foreign_batches();
            if foreign.is_empty() || self.is_stopping.get() {
                self.owners_changed.notified().await;
                continue;
            }
            self.ensure_members().await;
            match self.poll_heartbeats().await {
                Ok(()) => {
                    for (id, row) in foreign {
                        let loss = self
                            .failure_detector
                            .borrow()
                            .loss(&row.head.owner, row.owner_since);
                        if let Some(loss) = loss {
                            self.take_over(&id, &row, loss).await;
                        }
                    }
                }
                Err(error) => {
                    self.failure_detector.borrow_mut().clear();
                    log::debug!(target: BATCHES, error = error.as_str();
                        "The heartbeats of batch owners could not be read.");
                }
            }
            self.wait_for_next_poll().await;
        }
    }

    /// Waits until the next poll is due. The time is recomputed when an owner changes: it
    /// depends on the owners that this process watches.
    async fn wait_for_next_poll(&self) {
        let polled_at = Instant::now();
        loop {
            let foreign = self.foreign_batches();
            let owners = foreign.iter().map(|(_, row)| row.head.owner.as_str());
            let owners = owners.chain([WEIGHTS_DUTY]);
            let interval = self
                .failure_detector
                .borrow()
                .poll_interval(&self.directory.name, owners);
            let next = polled_at + interval;
            if Instant::now() >= next {
                return;
            }
            tokio::select! {
                () = sleep_until(next.into()) => return,
                () = self.owners_changed.notified() => {}
            }
        }
    }

    /// Returns the open batches that other processes own and this one may take over.
    fn foreign_batches(&self) -> Vec<(String, HeadRow)> {
        let heads = self.heads.borrow();
        let open = heads.iter().filter(|(_, row)| self.is_open(&row.head));
        let foreign = open.filter(|(_, row)| row.head.owner != self.incarnation);
        let foreign = foreign.filter(|(_, row)| self.may_hold(&row.head));
        foreign.map(|(id, row)| (id.clone(), row.clone())).collect()
    }

    /// Returns whether a batch is to be run.
    fn is_open(&self, head: &Head) -> bool {
        !head.ended && millis(self.store.now().unwrap_or_default()) < head.runs_until
    }

    /// Returns whether this process is to run a batch.
    pub(super) fn is_own(&self, head: &Head) -> bool {
        head.owner == self.incarnation && self.is_open(head)
    }

    /// Reads the heartbeats of all owners.
    pub(super) async fn poll_heartbeats(&self) -> Result<(), String> {
        let start = Instant::now();
        let page = self.store.read_whole(&Range::part(row::ENTRIES, "")).await;
        let page = page.map_err(|failure| failure.to_string())?;
        let now = Instant::now();
        let heartbeats = page.rows.iter().filter_map(heartbeat).collect();
        let latency = now.saturating_duration_since(start);
        self.failure_detector
            .borrow_mut()
            .record_poll(now, latency, heartbeats);
        self.polled.notify_waiters();
        Ok(())
    }

    /// Becomes the owner of a batch whose owner is gone.
    async fn take_over(self: &Rc<Self>, id: &str, row: &HeadRow, loss: Loss) {
        let delay = {
            let detector = self.failure_detector.borrow();
            detector.takeover_delay(&self.directory.name, self.memory_mb)
        };
        sleep(delay).await;
        let current = self.head(id);
        if self.is_stopping.get() || current.is_none_or(|current| current.version != row.version) {
            return;
        }
        let head = Head {
            owner: self.incarnation.clone(),
            ..row.head.clone()
        };
        let change = Change::new()
            .expect(row::head(id), row.version)
            .put(row::head(id), head.encode());
        match self.store.transact(&change).await {
            Commit::Done { version, .. } => {
                log::info!(target: BATCHES, batch = id, from = row.head.owner.as_str(),
                    why:? = loss, row = version; "A batch is taken over.");
                self.count_event("taken-over");
                self.update_head(id, head.clone(), version);
                spawn_local(Rc::clone(self).adopt(id.to_owned(), head, version));
            }
            Commit::Conflict(rows) => rows.iter().for_each(|row| self.record_head(row)),
            Commit::Refused | Commit::Unknown => {}
        }
    }

    /// Loads a batch of which this process is the owner and runs it.
    pub(super) async fn adopt(self: Rc<Self>, id: String, head: Head, version: u64) {
        if !self.may_hold(&head) {
            return self.give_away(&id).await;
        }
        let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
        // Loading may take longer than the heartbeat timeout, so heartbeats start now.
        self.mark_owning();
        loop {
            if self.owned.borrow().contains_key(&id) || self.is_stopping.get() {
                return;
            }
            if self.head(&id).is_none_or(|row| row.version != version) {
                return;
            }
            match self.load(&id).await {
                Ok(state) => {
                    self.begin(id, head, version, state).await;
                    return;
                }
                Err(error) => {
                    log::warn!(target: BATCHES, batch = id.as_str(), error = error.as_str();
                        "A batch could not be loaded; the load is retried.");
                    sleep(backoff.next_wait(&mut rand::rng())).await;
                }
            }
        }
    }

    /// Reads the state of a batch from the store.
    async fn load(&self, id: &str) -> Result<BatchState, String> {
        let (submission, results, texts) = join3(
            self.read_submission(id),
            self.read_results(id, 0),
            self.read_saved_texts(id),
        )
        .await;
        let submission = submission.map_err(|failure| failure.to_string())?;
        Ok(BatchState {
            results: results.map_err(|failure| failure.to_string())?,
            texts: texts.map_err(|failure| failure.to_string())?,
            ..BatchState::new(submission)
        })
    }

    /// Returns the tenure of a batch that is loaded with this version of its head row.
    fn next_tenure(&self, version: u64) -> Tenure {
        let load = self.load_count.get() + 1;
        self.load_count.set(load);
        Tenure::new(version, load)
    }

    /// Starts the tasks of a batch.
    pub(super) fn run(self: &Rc<Self>, id: &str, head: Head, version: u64, state: BatchState) {
        let BatchState {
            submission,
            results,
            texts,
            carried,
        } = state;
        if self.is_stopping.get() {
            log::info!(target: BATCHES, batch = id;
                "The process is stopping; the batch is left to the next owner.");
            return;
        }
        let now = Instant::now();
        let route = self.rollout_route(&head.host, &head.path);
        let max_attempts = route.as_ref().map_or(1, |route| route.max_attempts);
        let is_single_version = route.as_ref().is_some_and(|route| route.single_version);
        let mut batch = Batch::new(
            now,
            &submission,
            max_attempts,
            is_single_version,
            head.carried,
        );
        for result in &results {
            match batch::decode_item_id(result) {
                Ok(item) => batch.restore_result(&item),
                Err(error) => log::error!(target: BATCHES, batch = id,
                    error = error.to_string().as_str();
                    "A stored result could not be decoded; it is ignored."),
            }
        }
        for (item, texts) in texts {
            batch.restore_text(&item, texts);
        }
        for (item, text) in carried {
            let (last, versions) = (text.last_event(), text.versions().to_vec());
            if batch.carry_over(&item, text) {
                log::info!(target: BATCHES, batch = id, item = item.as_str(), last:? = last,
                    versions:? = versions; "A text of an earlier batch is carried over.");
            }
        }
        let age = head.age(self.store.now().unwrap_or_default());
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        let owned = Rc::new(OwnedBatch {
            id: id.to_owned(),
            path: head.path,
            host: head.host,
            account: head.account,
            regions: head
                .regions
                .map_or(RegionSet::ALL, |names| self.topology().named(&names)),
            account_regions: Cell::new(None),
            submission,
            priority: head.priority,
            share_state: Cell::new(None),
            accepted_at,
            due_at: accepted_at + route.as_ref().and_then(|r| r.due).unwrap_or_default(),
            expires_at: route.and_then(|r| r.item_ttl).map(|ttl| accepted_at + ttl),
            version: Cell::new(version),
            batch: RefCell::new(batch),
            listed: RefCell::new(results),
            tenure: self.next_tenure(version),
            drafts: RefCell::default(),
            version_lag: head.lag,
            write_started: Cell::new(None),
            avoided_engines: RefCell::default(),
            withheld: Cell::new(None),
            held_back: Cell::new(None),
            result_ready: Notify::new(),
            results_listed: Notify::new(),
            tasks: RefCell::default(),
            is_stopped: Cell::new(false),
        });
        log::info!(target: BATCHES, batch = id, listed = owned.listed.borrow().len(),
            age_ms = millis(age); "A batch is run here.");
        let lister = spawn_local(Rc::clone(self).list_results(Rc::clone(&owned)));
        let piece_saver = spawn_local(Rc::clone(self).save_pieces(Rc::clone(&owned)));
        owned.tasks.borrow_mut().extend([lister, piece_saver]);
        if let Some(expires_at) = owned.expires_at {
            let expiry = spawn_local(Rc::clone(&owned).expire(expires_at));
            owned.tasks.borrow_mut().push(expiry);
        }
        self.owned.borrow_mut().insert(id.to_owned(), owned);
        self.ownership_changed.notify_one();
        self.heads_changed.notify_waiters();
        self.dispatch_needed.notify_one();
    }

    /// Stops all batches, saves their texts and hands them over.
    pub(in crate::gateway) async fn leave(&self) {
        self.is_stopping.set(true);
        // The successor is chosen among the processes that are alive now.
        let polled = join(self.ensure_members(), self.poll_heartbeats());
        if timeout(STOP_POLL_TIMEOUT, polled).await.is_err() {
            log::info!(target: BATCHES,
                "The heartbeats could not be read in time; the successor is chosen by the last poll.");
        }
        let batches: Vec<Rc<OwnedBatch>> =
            self.owned.borrow_mut().drain().map(|(_, o)| o).collect();
        for owned in batches {
            self.count_event("given-back");
            owned.stop();
            owned.drop_drafts();
            // The next owner continues behind the last event.
            self.save_new_pieces(&owned).await;
            self.hand_over(&owned.id).await;
        }
        let (done, is_unlisted) = join(
            self.remove_own_row(
                row::heartbeat(&self.directory.name),
                self.heartbeat_row.get(),
            ),
            self.remove_own_row(row::member(&self.directory.name), self.member_row.get()),
        )
        .await;
        log::info!(target: BATCHES, done = done, unlisted = is_unlisted;
            "All batches are handed over; the heartbeats end.");
    }

    /// Removes a row of this process that was last written with `version`, 0 if it was not; returns
    /// whether it is known to be removed.
    ///
    /// The next incarnation may start before an unanswered removal is executed, and its row must
    /// stay.
    async fn remove_own_row(&self, id: RowId, mut version: u64) -> bool {
        for _ in 0..MAX_REMOVALS {
            let change = Change::new().expect(id.clone(), version).remove(id.clone());
            match self.store.transact(&change).await {
                Commit::Done { .. } => return true,
                Commit::Refused | Commit::Unknown => return false,
                Commit::Conflict(rows) => {
                    let own = rows.iter().find(|row| {
                        decode_process::<Presence>(row)
                            .is_some_and(|it| it.incarnation == self.incarnation)
                    });
                    match own {
                        Some(row) => version = row.version,
                        None => return true,
                    }
                }
            }
        }
        false
    }
}

impl Batches {
    /// Returns the process that takes a batch when this one stops.
    fn successor(&self, head: &Head) -> Option<String> {
        let detector = self.failure_detector.borrow();
        let may_hold = |region: Option<&str>| head.may_be_held_in(region);
        let successor = detector.successor(&self.directory.name, may_hold);
        successor.map(str::to_owned)
    }

    /// Makes another process the owner of a batch.
    ///
    /// The successor hears of it from the table's feed, which is faster than a takeover
    /// after the heartbeat timeout. If it is gone or stopping itself, the batch is taken
    /// over like any other.
    pub(super) async fn hand_over(&self, batch: &str) {
        let Some(row) = self.head(batch) else {
            return;
        };
        if row.head.owner != self.incarnation || row.head.ended {
            return;
        }
        let Some(successor) = self.successor(&row.head) else {
            log::info!(target: BATCHES, batch = batch, regions:? = row.head.regions;
                "No process is known that a batch may be handed to; it waits for a takeover.");
            return;
        };
        let head = Head {
            owner: successor.clone(),
            ..row.head
        };
        let id = row::head(batch);
        let change = Change::new()
            .expect(id.clone(), row.version)
            .put(id, head.encode());
        let done = self.store.transact(&change).await;
        log::info!(target: BATCHES, batch = batch, to = successor.as_str(),
            done = matches!(done, Commit::Done { .. }); "A batch is handed on.");
    }
}

/// Decodes a heartbeat row.
fn heartbeat(row: &Row) -> Option<Heartbeat> {
    let Presence {
        incarnation,
        memory,
        region,
        pause,
        ..
    } = decode_process(row)?;
    Some(Heartbeat {
        name: row.id.key.clone(),
        incarnation,
        version: row.version,
        memory,
        region,
        pause: Duration::from_millis(pause),
    })
}

impl OwnedBatch {
    /// Gives up the unfinished items at the given time.
    async fn expire(self: Rc<Self>, expires_at: Instant) {
        sleep_until(expires_at.into()).await;
        log::info!(target: BATCHES, batch = self.id.as_str();
            "A batch is given up: its time is over.");
        self.batch.borrow_mut().give_up();
        self.result_ready.notify_one();
    }
}
