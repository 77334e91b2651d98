//! Pool of threads that call the endpoint.
//!
//! Threads are spawned on demand, up to the concurrency limit, and end after some
//! idle seconds. Only the actor assigns jobs, so assigning one never blocks: the
//! channel of an idle worker is empty.

use crate::{
    settings::{Kind, Side},
    side::{
        LOG,
        call::{self, CallContext},
        event::Event,
        request::{Http, Order, Request, WorkerKey},
        throttle::Throttle,
    },
};
use flume::{Receiver, Sender};
use hibiscusroad::{ErrorKind, Repeat, RequestId, gate::LinkKey};
use slotmap::SlotMap;
use std::{
    collections::HashMap,
    net::SocketAddr,
    panic::{self, AssertUnwindSafe},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use ureq::Agent;

/// How long an idle worker and its connection are kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of workers for orders, in addition to those for calls.
const ORDER_WORKERS: usize = 2;

#[derive(Debug)]
enum Job {
    Call(Box<Request>, Arc<Throttle>),
    Order(LinkKey, u64, Http),
}

#[derive(Debug)]
struct Worker {
    jobs: Sender<Job>,
    idle_since: Instant,
}

/// The workers of one endpoint.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    is_model: bool,
    max_workers: usize,
    events: Sender<Event>,
    workers: SlotMap<WorkerKey, Worker>,
    /// Idle workers; the most recently used one is last.
    idle: Vec<WorkerKey>,
    throttles: HashMap<RequestId, Arc<Throttle>>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(side: &Side, events: Sender<Event>) -> Self {
        Self {
            address: side.address,
            is_model: side.kind == Kind::Model,
            max_workers: side.limit as usize + ORDER_WORKERS,
            events,
            workers: SlotMap::with_key(),
            idle: Vec::new(),
            throttles: HashMap::new(),
        }
    }

    /// Starts a call.
    ///
    /// # Errors
    ///
    /// Returns a kind that says "not run" if no worker is available.
    pub fn start_call(&mut self, now: Instant, request: Box<Request>) -> Result<(), ErrorKind> {
        let id = request.attempt.id;
        let throttle = Arc::new(Throttle::default());
        self.assign(now, Job::Call(request, Arc::clone(&throttle)))?;
        self.throttles.insert(id, throttle);
        Ok(())
    }

    /// Starts an order.
    ///
    /// # Errors
    ///
    /// Returns a kind that says "not run" if no worker is available.
    pub fn start_order(
        &mut self,
        now: Instant,
        link: LinkKey,
        order: Order,
    ) -> Result<(), ErrorKind> {
        self.assign(now, Job::Order(link, order.seq, order.http))
    }

    /// Returns the throttle of a call in flight.
    #[must_use]
    pub fn throttle(&self, id: RequestId) -> Option<&Throttle> {
        self.throttles.get(&id).map(|throttle| &**throttle)
    }

    /// Records that a call ended and its worker is idle.
    pub fn finish_call(&mut self, now: Instant, worker: WorkerKey, id: RequestId) {
        self.throttles.remove(&id);
        self.set_idle(now, worker);
    }

    /// Records that a worker is idle.
    pub fn set_idle(&mut self, now: Instant, worker: WorkerKey) {
        if let Some(row) = self.workers.get_mut(worker) {
            row.idle_since = now;
            self.idle.push(worker);
        }
    }

    /// Removes the workers that have been idle for too long.
    pub fn remove_idle(&mut self, now: Instant) {
        let workers = &mut self.workers;
        self.idle.retain(|key| {
            let kept = workers[*key].idle_since + IDLE_TIMEOUT > now;
            if !kept {
                workers.remove(*key);
            }
            kept
        });
    }

    /// Assigns a job to an idle worker or a new one.
    fn assign(&mut self, now: Instant, job: Job) -> Result<(), ErrorKind> {
        let key = match self.idle.pop() {
            Some(key) => key,
            None => self.spawn(now)?,
        };
        let sent = self.workers[key].jobs.try_send(job);
        sent.map_err(|_error| {
            // The worker's thread panicked, so its entry must not be used again.
            log::error!(target: LOG, "A worker thread ended unexpectedly.");
            self.workers.remove(key);
            ErrorKind::HandoverFull
        })
    }

    /// Spawns a worker.
    fn spawn(&mut self, now: Instant) -> Result<WorkerKey, ErrorKind> {
        if self.workers.len() >= self.max_workers {
            return Err(ErrorKind::HandoverFull);
        }
        let (jobs, queue) = flume::bounded(1);
        let key = self.workers.insert(Worker {
            jobs,
            idle_since: now,
        });
        let (address, is_model, events) = (self.address, self.is_model, self.events.clone());
        let spawned = thread::Builder::new()
            .name("endpoint".to_owned())
            .spawn(move || work(key, address, is_model, &queue, &events));
        if let Err(error) = spawned {
            log::error!(target: LOG, "A worker thread can't be spawned: {error}.");
            self.workers.remove(key);
            return Err(ErrorKind::HandoverFull);
        }
        Ok(key)
    }
}

/// Runs the jobs of one worker until its channel is closed.
fn work(
    worker: WorkerKey,
    address: SocketAddr,
    is_model: bool,
    jobs: &Receiver<Job>,
    events: &Sender<Event>,
) {
    let mut shared = call::new_agent();
    for job in jobs {
        let (agent, throttle) = match &job {
            Job::Call(request, throttle) => (agent_for(request, &shared), Arc::clone(throttle)),
            Job::Order(..) => (call::new_agent(), Arc::default()),
        };
        let context = CallContext {
            agent: &agent,
            address,
            is_model,
            throttle: &throttle,
            events,
        };
        let event = run_job(worker, context, job);
        if throttle.detach_agent() {
            shared = call::new_agent();
        }
        if events.send(event).is_err() {
            return;
        }
    }
}

/// Returns the client for a call.
///
/// A call that may run only once gets a new connection. The endpoint may close a
/// reused one just as the request is sent, and the call would then count as "may
/// have run" although it never arrived.
fn agent_for(request: &Request, shared: &Agent) -> Agent {
    match request.attempt.repeat {
        Repeat::Idempotent => shared.clone(),
        Repeat::Once => call::new_agent(),
    }
}

/// Runs one job and returns the event that reports its outcome.
fn run_job(worker: WorkerKey, context: CallContext<'_>, job: Job) -> Event {
    match job {
        Job::Call(request, _) => Event::Ended {
            worker,
            id: request.attempt.id,
            outcome: catch_panic(|| {
                if context.throttle.attach_agent(context.agent) {
                    call::send_request(context, request.attempt, request.http)
                } else {
                    Err(ErrorKind::OutcomeUnknown)
                }
            }),
        },
        Job::Order(link_key, seq, http) => Event::OrderEnded {
            worker,
            link: link_key,
            seq,
            outcome: catch_panic(|| call::send_order(context, http)),
        },
    }
}

/// Turns a panic into an error, so that the event that ends the call is sent.
/// Without it the attempt would count as in flight until the process ends.
fn catch_panic<T>(call: impl FnOnce() -> Result<T, ErrorKind>) -> Result<T, ErrorKind> {
    let caught = panic::catch_unwind(AssertUnwindSafe(call));
    caught.unwrap_or(Err(ErrorKind::Internal))
}
