//! Who runs a batch, and when another takes it over.
//!
//! The owner renews its row while it has batches, and the others look at those
//! rows while there are batches of others; [`hibiscusroad::rollout::presence`] decides who is gone.

use super::{Batches, HeadRow, Owned};
use crate::{gateway::peers::decode_presence, logs::BATCHES, platform::Backoff};
use futures_util::future::join3;
use hibiscusroad::{
    clock::millis,
    rollout::{
        Submission,
        batch::Batch,
        presence::{HEARTBEAT_INTERVAL, Heartbeat, Loss},
        row::{self, Head, Presence},
        text::{Piece, Text},
    },
    table::{Change, Commit, Range, Row, RowId},
};
use hibiscusroad_platform::batch;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, sleep_until, timeout},
};

/// For so long a process that has no batch any more is seen to live: the steps of a
/// trainer are some seconds apart, and the next one goes to the owner of the last.
const EXPECTED: Duration = Duration::from_secs(10);
/// How often a process that owns nothing tells its time of day all the same. 360 of them
/// write six times a second together.
const TOLD: Duration = Duration::from_mins(1);
/// What a stopping process spends on a look at the others: it has a second or so in all.
const LAST_LOOK: Duration = Duration::from_millis(200);
/// What the holder of the weights' duty is watched as, beside the batches.
const WEIGHTS_DUTY: &str = "weights";
const PAUSE: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

/// What a batch is run from.
pub(super) struct Loaded {
    pub(super) submission: Submission,
    /// Results that are listed, as they are kept.
    pub(super) results: Vec<Vec<u8>>,
    /// Parts of its texts: their rows, items and contents.
    pub(super) pieces: Vec<(RowId, String, Piece)>,
    /// Texts of earlier batches, by items.
    pub(super) carried: Vec<(String, Text)>,
}

impl Loaded {
    /// Says whether nothing of it is known to have run.
    pub(super) fn is_new(&self) -> bool {
        self.results.is_empty() && self.pieces.is_empty()
    }

    /// Describes a batch of which nothing has run.
    pub(super) const fn fresh(submission: Submission) -> Self {
        Self {
            submission,
            results: Vec::new(),
            pieces: Vec::new(),
            carried: Vec::new(),
        }
    }
}

impl Batches {
    /// Renews this process's row while it has batches.
    pub(in crate::gateway) async fn renew(self: Rc<Self>) {
        let mut backoff = Backoff::new(PAUSE.0, PAUSE.1);
        // The first row tells of this life, and ends the time of the former.
        loop {
            // A process that has given its batches back must not seem to run
            // what it accepted at the last moment.
            if self.leaving.get() {
                return;
            }
            let presence = self.presence();
            let value = serde_json::to_vec(&presence).unwrap_or_default();
            let change = Change::new().put(row::process(&self.directory.name), value);
            let done = self.store.transact(&change).await;
            if !matches!(done, Commit::Done { .. }) {
                sleep(backoff.next_wait(&mut rand::rng())).await;
                continue;
            }
            backoff.reset();
            loop {
                sleep(HEARTBEAT_INTERVAL).await;
                // The first answer of the store tells its clock.
                if self.is_seen_to_live() || presence.offset.is_none() {
                    break;
                }
                if timeout(TOLD, self.owning.notified()).await.is_err() {
                    break;
                }
            }
        }
    }

    /// Notes that this process owns something, and has to be seen to live from now on.
    pub(super) fn show_life(&self) {
        self.owned_at.set(Some(Instant::now()));
        self.owning.notify_one();
    }

    fn presence(&self) -> Presence {
        Presence {
            incarnation: self.life.clone(),
            peer: self.directory.address,
            renewed: millis(self.store.now().unwrap_or_default()),
            memory: self.memory,
            offset: self.directory.times.offset(),
        }
    }

    /// Says whether others have to see that this process lives: it owns something, or
    /// the next step of a trainer may come to it.
    fn is_seen_to_live(&self) -> bool {
        let owns = self.duty.get() || !self.mine.borrow().is_empty();
        if owns {
            self.owned_at.set(Some(Instant::now()));
        }
        owns || self
            .owned_at
            .get()
            .is_some_and(|at| at.elapsed() < EXPECTED)
    }

    /// Takes over batches whose owners are gone.
    pub(in crate::gateway) async fn watch(self: Rc<Self>) {
        loop {
            let foreign = self.foreign();
            if foreign.is_empty() || self.leaving.get() {
                self.owners.notified().await;
                continue;
            }
            match self.look().await {
                Ok(()) => {
                    for (id, row) in foreign {
                        let why = self.seen.borrow().loss(&row.head.owner, row.since);
                        if let Some(why) = why {
                            self.take_over(&id, &row, why).await;
                        }
                    }
                }
                Err(error) => {
                    self.seen.borrow_mut().clear();
                    log::debug!(target: BATCHES, error = error.as_str();
                        "Owners of batches could not be looked at.");
                }
            }
            self.pause_between_looks().await;
        }
    }

    /// Waits until the others are to be looked at again. A batch that comes meanwhile
    /// may be one that this process watches closely.
    async fn pause_between_looks(&self) {
        let looked = Instant::now();
        loop {
            let foreign = self.foreign();
            let owners = foreign.iter().map(|(_, row)| row.head.owner.as_str());
            let owners = owners.chain([WEIGHTS_DUTY]);
            let pause = self
                .seen
                .borrow()
                .poll_interval(&self.directory.name, owners);
            let next = looked + pause;
            if Instant::now() >= next {
                return;
            }
            tokio::select! {
                () = sleep_until(next.into()) => return,
                () = self.owners.notified() => {}
            }
        }
    }

    fn foreign(&self) -> Vec<(String, HeadRow)> {
        let heads = self.heads.borrow();
        let now = millis(self.store.now().unwrap_or_default());
        let open = |row: &HeadRow| !row.head.ended && now < row.head.runs_until;
        let open = heads.iter().filter(|(_, row)| open(row));
        let foreign = open.filter(|(_, row)| row.head.owner != self.life);
        foreign.map(|(id, row)| (id.clone(), row.clone())).collect()
    }

    async fn look(&self) -> Result<(), String> {
        let start = Instant::now();
        let page = self.store.read_whole(&Range::part(row::ENTRIES, "")).await;
        let page = page.map_err(|failure| failure.to_string())?;
        let now = Instant::now();
        self.directory.update(&self.store, &page.rows);
        let signs = page.rows.iter().filter_map(sign).collect();
        let latency = now.saturating_duration_since(start);
        self.seen.borrow_mut().record_poll(now, latency, signs);
        self.looked.notify_waiters();
        Ok(())
    }

    async fn take_over(self: &Rc<Self>, id: &str, row: &HeadRow, why: Loss) {
        let delay = {
            let seen = self.seen.borrow();
            seen.takeover_delay(&self.directory.name, self.memory)
        };
        sleep(delay).await;
        let now = self.head(id);
        if self.leaving.get() || now.is_none_or(|now| now.version != row.version) {
            return;
        }
        let head = Head {
            owner: self.life.clone(),
            ..row.head.clone()
        };
        let change = Change::new()
            .expect(row::head(id), row.version)
            .put(row::head(id), head.encode());
        match self.store.transact(&change).await {
            Commit::Done { version, .. } => {
                log::info!(target: BATCHES, batch = id, from = row.head.owner.as_str(),
                    why:? = why, row = version; "A batch is taken over.");
                self.count("taken-over");
                self.set(id, head.clone(), version);
                spawn_local(Rc::clone(self).adopt(id.to_owned(), head, version));
            }
            Commit::Conflict(rows) => rows.iter().for_each(|row| self.note(row)),
            Commit::Refused | Commit::Unknown => {}
        }
    }

    /// Begins to run a batch that the store says is this process's.
    pub(super) async fn adopt(self: Rc<Self>, id: String, head: Head, version: u64) {
        let mut backoff = Backoff::new(PAUSE.0, PAUSE.1);
        // What it loads can take longer than the silence after which an owner is taken
        // to be gone: all hosts that start together read theirs at once.
        self.show_life();
        loop {
            if self.mine.borrow().contains_key(&id) || self.leaving.get() {
                return;
            }
            if self.head(&id).is_none_or(|row| row.version != version) {
                return;
            }
            // Without a configuration nobody knows how often an item may fail, or
            // whether its route still stands: it would be given up for nothing.
            if self.known.catalog().is_none() {
                sleep(backoff.next_wait(&mut rand::rng())).await;
                continue;
            }
            match self.load(&id).await {
                Ok(loaded) => {
                    self.begin(id, head, version, loaded).await;
                    return;
                }
                Err(error) => {
                    log::warn!(target: BATCHES, batch = id.as_str(), error = error.as_str();
                        "A batch could not be loaded yet.");
                    sleep(backoff.next_wait(&mut rand::rng())).await;
                }
            }
        }
    }

    async fn load(&self, id: &str) -> Result<Loaded, String> {
        let name = row::submission_object(id);
        let (object, results, pieces) = join3(
            self.store.get_object(&name),
            self.kept(id, 0),
            self.pieces(id),
        )
        .await;
        let object = object.map_err(|failure| failure.to_string())?;
        let object = object.ok_or("its submission is not there")?;
        let submission = batch::decode_submission(&object).map_err(|error| error.to_string())?;
        Ok(Loaded {
            results: results.map_err(|failure| failure.to_string())?,
            pieces: pieces.map_err(|failure| failure.to_string())?,
            ..Loaded::fresh(submission)
        })
    }

    /// Runs a batch from what is listed of it.
    pub(super) fn run(self: &Rc<Self>, id: &str, head: Head, version: u64, loaded: Loaded) {
        let Loaded {
            submission,
            results,
            pieces,
            carried,
        } = loaded;
        if self.leaving.get() {
            log::info!(target: BATCHES, batch = id; "A batch is left to the next owner.");
            return;
        }
        let now = Instant::now();
        let catalog = self.known.catalog();
        let route = catalog.and_then(|c| c.find(&head.host, &head.path).cloned());
        let attempts = route.as_ref().map_or(1, |route| route.max_attempts);
        let single = route.as_ref().is_some_and(|route| route.single_version);
        let mut batch = Batch::new(now, &submission, attempts, single, head.carried);
        for result in &results {
            match batch::decode_item_id(result) {
                Ok(item) => batch.restore_result(&item),
                Err(error) => log::error!(target: BATCHES, batch = id,
                    error = error.to_string().as_str(); "A kept result is broken."),
            }
        }
        let mut kept = Vec::new();
        for (row, item, piece) in pieces {
            batch.restore_piece(&item, piece);
            kept.push(row);
        }
        for (item, text) in carried {
            let (last, versions) = (text.last_event(), text.versions().to_vec());
            if batch.carry_over(&item, text) {
                log::info!(target: BATCHES, batch = id, item = item.as_str(), last:? = last,
                    versions:? = versions; "A text is carried over.");
            }
        }
        let age = head.age(self.store.now().unwrap_or_default());
        let accepted = now.checked_sub(age).unwrap_or(now);
        let owned = Rc::new(Owned {
            id: id.to_owned(),
            path: head.path,
            host: head.host,
            account: head.account,
            submission,
            priority: head.priority,
            due: accepted + route.as_ref().and_then(|r| r.due).unwrap_or_default(),
            expires: route.and_then(|r| r.item_ttl).map(|ttl| accepted + ttl),
            version: Cell::new(version),
            batch: RefCell::new(batch),
            listed: RefCell::new(results),
            tenure: version,
            drafts: RefCell::default(),
            lag: head.lag,
            writing: Cell::new(None),
            avoid: RefCell::default(),
            pieces: RefCell::new(kept),
            ready: Notify::new(),
            news: Notify::new(),
            tasks: RefCell::default(),
            over: Cell::new(false),
        });
        log::info!(target: BATCHES, batch = id, listed = owned.listed.borrow().len(),
            age_ms = millis(age); "A batch is run here.");
        let lister = spawn_local(Rc::clone(self).list(Rc::clone(&owned)));
        let keeper = spawn_local(Rc::clone(self).keep_pieces(Rc::clone(&owned)));
        owned.tasks.borrow_mut().extend([lister, keeper]);
        if let Some(expires) = owned.expires {
            let expiry = spawn_local(Rc::clone(&owned).expire(expires));
            owned.tasks.borrow_mut().push(expiry);
        }
        self.mine.borrow_mut().insert(id.to_owned(), owned);
        self.owning.notify_one();
        self.arrived.notify_waiters();
        self.work.notify_one();
    }

    /// Gives all batches back, so that others take them over at once.
    pub(in crate::gateway) async fn leave(&self) {
        self.leaving.set(true);
        // Who takes what is left here is chosen by who is seen to live now.
        if timeout(LAST_LOOK, self.look()).await.is_err() {
            log::info!(target: BATCHES, "Batches are handed on by what was seen before.");
        }
        let mine: Vec<Rc<Owned>> = self.mine.borrow_mut().drain().map(|(_, o)| o).collect();
        for owned in mine {
            self.count("given-back");
            owned.stop();
            owned.drop_drafts();
            // What was generated since the last time goes to the next owner.
            self.keep_once(&owned).await;
            self.hand_on(&owned.id).await;
        }
        let change = Change::new().remove(row::process(&self.directory.name));
        let done = self.store.transact(&change).await;
        log::info!(target: BATCHES, done = matches!(done, Commit::Done { .. });
            "All batches are given back.");
    }
}

impl Batches {
    fn heir(&self) -> Option<String> {
        let seen = self.seen.borrow();
        seen.successor(&self.directory.name).map(str::to_owned)
    }

    /// Makes another process the owner of a batch.
    ///
    /// Load: hosts are stopped in turn, one each second or two, and each stop meets
    /// one step in two. Harm: if others have to find out that a batch is nobody's, it
    /// stands still for 0.1 to 0.5 s each time. One that is named here hears of it
    /// with the next change of the table, within milliseconds; should it be stopping
    /// too or be gone, the batch is taken over like any other.
    pub(super) async fn hand_on(&self, batch: &str) {
        let Some((heir, row)) = self.heir().zip(self.head(batch)) else {
            return;
        };
        if row.head.owner != self.life || row.head.ended {
            return;
        }
        let head = Head {
            owner: heir.clone(),
            ..row.head
        };
        let id = row::head(batch);
        let change = Change::new()
            .expect(id.clone(), row.version)
            .put(id, head.encode());
        let done = self.store.transact(&change).await;
        log::info!(target: BATCHES, batch = batch, to = heir.as_str(),
            done = matches!(done, Commit::Done { .. }); "A batch is handed on.");
    }
}

fn sign(row: &Row) -> Option<Heartbeat> {
    let Presence {
        incarnation: life,
        memory,
        ..
    } = decode_presence(row)?;
    Some(Heartbeat {
        name: row.id.key.clone(),
        incarnation: life,
        version: row.version,
        memory,
    })
}

impl Owned {
    /// Gives up what isn't done when its time is over.
    async fn expire(self: Rc<Self>, at: Instant) {
        sleep_until(at.into()).await;
        log::info!(target: BATCHES, batch = self.id.as_str(); "A batch is given up: its time is over.");
        self.batch.borrow_mut().give_up();
        self.ready.notify_one();
    }
}
