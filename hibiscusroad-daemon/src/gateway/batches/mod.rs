//! Batches of trainers: accepted once, run by one owner, readable at every process.
//!
//! The store holds everything that a trainer may rely on before the trainer is told: the
//! submission before the 202, a result before it can be read. For readers, the owner's
//! memory is only a cache of the store.

mod cold;
mod dispatch;
mod draft;
mod generate;
mod heads;
mod heartbeat;
mod idle;
mod interleave;
mod list;
mod loads;
mod owner;
mod pieces;
mod placement;
mod read;
mod regions;
mod route_wait;
mod score;
mod share;
mod slot;
mod submit;
mod sweep;
mod transfer;

use super::{
    attempt::AttemptContext, known_config::KnownConfig, peers::Directory, store::Store,
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
        shares::StepState,
        text::Tenure,
    },
    roster::{Endpoint, EndpointChange},
    topology::{RegionSet, Topology},
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

/// The head row of a batch.
#[derive(Clone, Debug)]
pub(super) struct HeadRow {
    head: Head,
    version: u64,
    /// When this process first saw this owner of the batch.
    owner_since: Instant,
}

/// All batches that this process knows, and those that it runs.
pub(super) struct Batches {
    /// The incarnation of this process, as rows name it.
    incarnation: String,
    directory: Directory,
    /// The longest result that is stored in its row.
    max_row_bytes: usize,
    /// The memory that this process may use.
    memory_mb: u32,
    /// The percentage of an equal share of slots that each needed step gets first.
    share_floor: u32,
    /// How long a batch stays readable after its submission.
    retention: Duration,
    store: Rc<Store>,
    context: AttemptContext,
    members: Rc<EndpointRoster>,
    known: Rc<KnownConfig>,
    engines: RefCell<Engines>,
    heads: RefCell<HashMap<String, HeadRow>>,
    /// The batches that this process runs.
    owned: RefCell<HashMap<String, Rc<OwnedBatch>>>,
    /// Cache of submissions that were read from the store, oldest first.
    submissions: RefCell<Vec<(String, Rc<Submission>)>>,
    /// Wakes the dispatcher: an item may be able to start.
    dispatch_needed: Notify,
    /// Wakes the watch of owners: a head row has changed.
    owners_changed: Notify,
    /// Notified when a batch is added or changed, or starts to run here.
    heads_changed: Notify,
    /// Notified when this process gets a batch, or gets or loses the duty.
    ownership_changed: Notify,
    /// Whether this process holds the duty of the weights.
    holds_duty: Cell<bool>,
    /// When this process last had a batch or the duty.
    last_owned_at: Cell<Option<Instant>>,
    /// Detects processes that are gone by their heartbeats.
    failure_detector: RefCell<FailureDetector>,
    /// Notified after each poll of the heartbeats.
    polled: Notify,
    /// Whether the process is stopping: it runs and takes over no more batches.
    is_stopping: Cell<bool>,
    /// The versions of the heartbeat and of the row among all processes, as last written here.
    heartbeat_row: Cell<u64>,
    member_row: Cell<u64>,
    /// Number of times that this process has loaded a batch.
    load_count: Cell<u64>,
}

/// A batch that this process runs.
struct OwnedBatch {
    id: String,
    submission: Submission,
    path: String,
    host: String,
    /// The client account that submitted it.
    account: Option<String>,
    /// The regions that were allowed at its acceptance.
    regions: RegionSet,
    /// The regions that are allowed for its account, by the version of a configuration.
    account_regions: Cell<Option<(u64, RegionSet)>>,
    /// The current version of its head row.
    version: Cell<u64>,
    accepted_at: Instant,
    due_at: Instant,
    /// Its priority; 0 is the highest.
    priority: u8,
    /// How it last took part in the sharing of slots, if trainers compete.
    share_state: Cell<Option<StepState>>,
    /// When its unfinished items are given up.
    expires_at: Option<Instant>,
    batch: RefCell<Batch>,
    /// Encoded results by position, as they are stored.
    listed: RefCell<Vec<Vec<u8>>>,
    /// When the write of results began whose outcome is not known yet.
    write_started: Cell<Option<Instant>>,
    /// The engine that an item was just moved away from, by item.
    avoided_engines: RefCell<HashMap<usize, EngineKey>>,
    /// The item that was last counted as not sent because engines load weights.
    withheld: Cell<Option<usize>>,
    /// The item that was last counted as not sent because engines are cold.
    held_back: Cell<Option<usize>>,
    /// The period in which this process runs it, which names the rows of its texts.
    tenure: Tenure,
    /// Drafts by item.
    drafts: RefCell<HashMap<usize, Draft>>,
    /// How far its minimum weight version was behind the newest when it was accepted.
    version_lag: u64,
    /// Notified when a result is ready to be listed.
    result_ready: Notify,
    /// Notified when results were listed.
    results_listed: Notify,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    is_stopped: Cell<bool>,
}

impl OwnedBatch {
    /// Stops its tasks.
    fn stop(&self) {
        self.is_stopped.set(true);
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        self.results_listed.notify_waiters();
    }
}

impl Batches {
    pub(super) fn new(
        directory: Directory,
        holder: &str,
        settings: &GatewaySettings,
        store: Rc<Store>,
        context: AttemptContext,
        members: Rc<EndpointRoster>,
        known: Rc<KnownConfig>,
    ) -> Self {
        let engines = Engines::new()
            .contention(settings.contention())
            .topology(context.calls.topology().clone());
        Self {
            incarnation: holder.to_owned(),
            directory,
            max_row_bytes: settings.row_bytes,
            memory_mb: settings.memory_mb,
            share_floor: settings.share_floor,
            retention: Duration::from_secs(settings.keep_s),
            store,
            context,
            members,
            known,
            engines: RefCell::new(engines),
            heads: RefCell::default(),
            owned: RefCell::default(),
            submissions: RefCell::default(),
            dispatch_needed: Notify::new(),
            owners_changed: Notify::new(),
            heads_changed: Notify::new(),
            ownership_changed: Notify::new(),
            holds_duty: Cell::new(false),
            last_owned_at: Cell::new(None),
            failure_detector: RefCell::new(FailureDetector::new()),
            polled: Notify::new(),
            is_stopping: Cell::new(false),
            heartbeat_row: Cell::new(0),
            member_row: Cell::new(0),
            load_count: Cell::new(0),
        }
    }

    /// Returns the data centres and regions.
    fn topology(&self) -> &Topology {
        self.context.calls.topology()
    }

    /// Applies changes of the roster.
    pub(super) fn roster(&self, changes: &[EndpointChange]) {
        let mut engines = self.engines.borrow_mut();
        for change in changes {
            match change {
                EndpointChange::Updated(endpoint) if !endpoint.weights.is_empty() => {
                    engines.update(endpoint);
                }
                EndpointChange::Updated(_) => {}
                EndpointChange::Removed(id) => engines.remove(id),
            }
        }
        drop(engines);
        self.settle_loads();
        self.dispatch_needed.notify_one();
    }

    /// Returns the head of the newest batch of each model.
    pub(super) fn newest_heads(&self) -> HashMap<String, Head> {
        let heads = self.heads.borrow();
        let mut rows: Vec<&Head> = heads.values().map(|row| &row.head).collect();
        rows.sort_by_key(|head| head.accepted);
        let newest = rows.into_iter().filter_map(|head| {
            let model = head.model.clone()?;
            Some((model, head.clone()))
        });
        newest.collect()
    }

    /// Records whether this process holds the duty of the weights.
    pub(super) fn set_duty(&self, is_held: bool) {
        if self.holds_duty.replace(is_held) != is_held {
            self.ownership_changed.notify_one();
        }
    }

    /// Waits for the next poll of the heartbeats.
    pub(super) async fn next_poll(&self) {
        self.polled.notified().await;
    }

    /// Returns why another process is considered gone, if it is, and the number of known
    /// processes. `since` is when this process first saw it hold the duty.
    pub(super) fn loss(&self, incarnation: &str, since: Instant) -> Option<(Loss, usize)> {
        let detector = self.failure_detector.borrow();
        let loss = detector.loss(incarnation, since)?;
        Some((loss, detector.count()))
    }

    /// Returns how many batches run here.
    pub(super) fn running(&self) -> usize {
        self.owned.borrow().len()
    }

    /// Counts an event of a batch in the metrics.
    fn count_event(&self, event: &str) {
        self.context
            .meters
            .batches
            .with_label_values(&[event])
            .inc();
    }

    /// Looks for items and drafts that can start, after a change of the configuration or of
    /// the named weight versions.
    pub(super) fn wake_dispatcher(&self) {
        self.dispatch_needed.notify_one();
    }

    /// Returns how many items of this process run at an engine.
    pub(super) fn running_at(&self, endpoint: &str) -> u32 {
        self.engines.borrow().own_items(endpoint)
    }

    /// Returns whether an engine is known to be much slower than its peers.
    pub(super) fn is_slow(&self, endpoint: &str) -> bool {
        self.engines.borrow().is_slow(Instant::now(), endpoint)
    }

    /// Returns an engine's time per event and when it was measured, if trainers are expected
    /// to compete for the engines of its service.
    pub(super) fn contended_pace(&self, endpoint: &Endpoint) -> Option<(Instant, Duration)> {
        let engines = self.engines.borrow();
        let (measured_at, pace) = engines.pace(&endpoint.id)?;
        engines
            .is_contended(&endpoint.service)
            .then(|| (measured_at, Duration::from_secs_f64(pace)))
    }

    /// Records a weight version that an engine reported.
    pub(super) fn record_version(&self, endpoint: &str, model: &str, version: u64) {
        let mut engines = self.engines.borrow_mut();
        if let Some(key) = engines.key(endpoint) {
            engines.record_version(key, model, version);
        }
        drop(engines);
        self.dispatch_needed.notify_one();
    }
}
