//! Batches of trainers: accepted once, run by one owner, readable everywhere.
//!
//! * [`submit`]: acceptance, by one conditional write.
//! * [`give`]: batches that go to another process than the one that accepted them.
//! * [`heads`]: what every process knows of all batches, from the store.
//! * [`owner`]: who runs a batch, and when another takes it over.
//! * [`dispatch`]: starts items at engines.
//! * [`generate`]: one run of one item.
//! * [`seat`]: a place at an engine, and the item that takes it.
//! * [`score`]: the scorer's call.
//! * [`list`]: writes results, in order. [`pieces`]: keeps unfinished texts.
//! * [`draft`]: texts for the batch that carries a group over.
//! * [`share`]: tells other owners how fast engines are.
//! * [`read`]: answers about batches, at any process.
//! * [`sweep`]: removes what nobody may ask for any more.
//!
//! Everything that a trainer may rely on is in the store before it is said:
//! the submission before its 202, a result before it is read. The owner's
//! memory only saves the way there.

mod dispatch;
mod draft;
mod generate;
mod give;
mod heads;
mod list;
mod owner;
mod pieces;
mod read;
mod score;
mod seat;
mod share;
mod submit;
mod sweep;

use super::{
    attempt::AttemptContext, known::KnownConfig, peers::Directory, store::Store,
    sync::EndpointRoster,
};
use crate::settings::Gateway as GatewaySettings;
use hibiscusroad::{
    rollout::{
        Submission,
        batch::Batch,
        engines::{EngineKey, Engines},
        presence::{FailureDetector, Loss},
        row::Head,
    },
    roster::EndpointChange,
    table::RowId,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, task::JoinHandle};

use self::draft::Draft;

pub(super) use self::heads::sink;

/// A batch as the store holds it.
#[derive(Clone, Debug)]
pub(super) struct HeadRow {
    head: Head,
    /// The row's version.
    version: u64,
    /// When this process first heard of this owner.
    since: Instant,
}

/// All batches, as this process sees them.
pub(super) struct Batches {
    /// This life of this process.
    life: String,
    /// This process among its peers.
    directory: Directory,
    row_bytes: usize,
    /// Megabytes that this process may use.
    memory: u32,
    /// How long a batch stays readable after its submission.
    keep: Duration,
    store: Rc<Store>,
    line: AttemptContext,
    members: Rc<EndpointRoster>,
    known: Rc<KnownConfig>,
    engines: RefCell<Engines>,
    heads: RefCell<HashMap<String, HeadRow>>,
    mine: RefCell<HashMap<String, Rc<Owned>>>,
    /// Submissions read for their bodies, the last ones used.
    bodies: RefCell<Vec<(String, Rc<Submission>)>>,
    /// Something may start, or has to be looked at.
    work: Notify,
    /// Owners of batches changed.
    owners: Notify,
    /// A batch is known or run here that wasn't before, or has changed.
    arrived: Notify,
    /// This process has got a batch, or a duty.
    owning: Notify,
    /// It holds the duty of the weights, and must be seen to live.
    duty: Cell<bool>,
    /// When it had a batch or a duty last.
    owned_at: Cell<Option<Instant>>,
    /// What this process saw of the others.
    seen: RefCell<FailureDetector>,
    /// The others were looked at.
    looked: Notify,
    /// No batch is accepted or taken over any more.
    leaving: Cell<bool>,
}

/// A batch that this process runs.
struct Owned {
    id: String,
    submission: Submission,
    path: String,
    host: String,
    /// The account that it is for.
    account: Option<String>,
    /// The version of its head's row.
    version: Cell<u64>,
    due: Instant,
    /// The rank of its route; 0 is the highest.
    priority: u8,
    /// When it may be given up.
    expires: Option<Instant>,
    batch: RefCell<Batch>,
    /// Results in the order of their positions, as they are kept.
    listed: RefCell<Vec<Vec<u8>>>,
    /// Since when a write of results has no outcome.
    writing: Cell<Option<Instant>>,
    /// Engines that items were just moved away from.
    avoid: RefCell<HashMap<usize, EngineKey>>,
    /// The version of the head's row since which this process has it.
    tenure: u64,
    /// Second texts of items, for a later batch.
    drafts: RefCell<HashMap<usize, Draft>>,
    /// By how many versions its floor was behind the newest when it was accepted.
    lag: u64,
    /// Rows in the store that hold parts of texts.
    pieces: RefCell<Vec<RowId>>,
    /// A result is ready to be listed.
    ready: Notify,
    /// A result was listed.
    news: Notify,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    over: Cell<bool>,
}

impl Owned {
    /// Stops all that runs of it.
    fn stop(&self) {
        self.over.set(true);
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        self.news.notify_waiters();
    }
}

impl Batches {
    pub(super) fn new(
        directory: Directory,
        holder: &str,
        own: &GatewaySettings,
        store: Rc<Store>,
        line: AttemptContext,
        members: Rc<EndpointRoster>,
        known: Rc<KnownConfig>,
    ) -> Self {
        Self {
            life: holder.to_owned(),
            directory,
            row_bytes: own.row_bytes,
            memory: own.memory_mb,
            keep: Duration::from_secs(own.keep_s),
            store,
            line,
            members,
            known,
            engines: RefCell::new(Engines::new()),
            heads: RefCell::default(),
            mine: RefCell::default(),
            bodies: RefCell::default(),
            work: Notify::new(),
            owners: Notify::new(),
            arrived: Notify::new(),
            owning: Notify::new(),
            duty: Cell::new(false),
            owned_at: Cell::new(None),
            seen: RefCell::new(FailureDetector::new()),
            looked: Notify::new(),
            leaving: Cell::new(false),
        }
    }

    /// Takes in changes of the roster.
    pub(super) fn roster(&self, news: &[EndpointChange]) {
        let mut engines = self.engines.borrow_mut();
        for news in news {
            match news {
                EndpointChange::Updated(e) if !e.weights.is_empty() => {
                    engines.update(e);
                }
                EndpointChange::Updated(_) => {}
                EndpointChange::Removed(id) => engines.remove(id),
            }
        }
        drop(engines);
        self.work.notify_one();
    }

    /// Returns the newest head of each model: what its steps need.
    pub(super) fn needs(&self) -> HashMap<String, Head> {
        let heads = self.heads.borrow();
        let mut rows: Vec<&Head> = heads.values().map(|row| &row.head).collect();
        rows.sort_by_key(|head| head.accepted);
        let needs = rows.into_iter().filter_map(|head| {
            let model = head.model.clone()?;
            Some((model, head.clone()))
        });
        needs.collect()
    }

    /// Returns this process as its peers know it.
    pub(super) const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Notes whether this process holds the duty of the weights.
    pub(super) fn set_duty(&self, held: bool) {
        if self.duty.replace(held) != held {
            self.owning.notify_one();
        }
    }

    /// Waits until the other processes were looked at.
    pub(super) async fn next_look(&self) {
        self.looked.notified().await;
    }

    /// Says why another process is taken to be gone, if it is, and how many there
    /// are. It is known here since `since`.
    pub(super) fn lost(&self, life: &str, since: Instant) -> Option<(Loss, usize)> {
        let seen = self.seen.borrow();
        let why = seen.loss(life, since)?;
        Some((why, seen.count()))
    }

    /// Returns how many batches run here.
    pub(super) fn running(&self) -> usize {
        self.mine.borrow().len()
    }

    /// Counts what happened to a batch.
    fn count(&self, event: &str) {
        self.line.meters.batches.with_label_values(&[event]).inc();
    }

    /// Returns how many items of this process run at an engine.
    pub(super) fn running_at(&self, endpoint: &str) -> u32 {
        self.engines.borrow().own_items(endpoint)
    }

    /// Says whether an engine is known to be much slower than its peers.
    pub(super) fn is_slow(&self, endpoint: &str) -> bool {
        self.engines.borrow().is_slow(Instant::now(), endpoint)
    }

    /// Takes in a version that an engine reported.
    pub(super) fn saw(&self, endpoint: &str, model: &str, version: u64) {
        let mut engines = self.engines.borrow_mut();
        if let Some(key) = engines.key(endpoint) {
            engines.record_version(key, model, version);
        }
        drop(engines);
        self.work.notify_one();
    }
}
