//! The threads that call the endpoint.
//!
//! Threads are made on demand, up to the limit of calls, and end when they have
//! had nothing to do for some seconds. The actor alone knows which are free, so
//! that handing a call over never waits: a free worker's channel is empty.

use crate::{
    settings::{Kind, Side},
    side::{
        LOG,
        call::{self, Line},
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

/// How long a worker without a call is kept, with its connection.
const IDLE: Duration = Duration::from_secs(10);

/// Workers for orders, on top of those for calls.
const FOR_ORDERS: usize = 2;

#[derive(Debug)]
enum Job {
    Call(Box<Request>, Arc<Throttle>),
    Order(LinkKey, u64, Http),
}

#[derive(Debug)]
struct Worker {
    jobs: Sender<Job>,
    free_since: Instant,
}

/// The workers of one endpoint.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    model: bool,
    limit: usize,
    events: Sender<Event>,
    workers: SlotMap<WorkerKey, Worker>,
    /// Free workers; the one that was used last is last.
    free: Vec<WorkerKey>,
    calls: HashMap<RequestId, Arc<Throttle>>,
}

impl Pool {
    /// Creates a pool without threads.
    #[must_use]
    pub fn new(side: &Side, events: Sender<Event>) -> Self {
        Self {
            address: side.address,
            model: side.kind == Kind::Model,
            limit: side.limit as usize + FOR_ORDERS,
            events,
            workers: SlotMap::with_key(),
            free: Vec::new(),
            calls: HashMap::new(),
        }
    }

    /// Starts a call.
    ///
    /// # Errors
    ///
    /// Returns a kind that says "not run" if no thread can be had.
    pub fn call(&mut self, now: Instant, request: Box<Request>) -> Result<(), ErrorKind> {
        let id = request.ask.id;
        let throttle = Arc::new(Throttle::default());
        self.hand_over(now, Job::Call(request, Arc::clone(&throttle)))?;
        self.calls.insert(id, throttle);
        Ok(())
    }

    /// Starts an order.
    ///
    /// # Errors
    ///
    /// Returns a kind that says "not run" if no thread can be had.
    pub fn order(&mut self, now: Instant, link: LinkKey, order: Order) -> Result<(), ErrorKind> {
        self.hand_over(now, Job::Order(link, order.seq, order.http))
    }

    /// Returns what holds a call back, while it runs.
    #[must_use]
    pub fn throttle(&self, id: RequestId) -> Option<&Throttle> {
        self.calls.get(&id).map(|throttle| &**throttle)
    }

    /// Notes that a worker ended its call.
    pub fn ended(&mut self, now: Instant, worker: WorkerKey, id: RequestId) {
        self.calls.remove(&id);
        self.free(now, worker);
    }

    /// Notes that a worker is free.
    pub fn free(&mut self, now: Instant, worker: WorkerKey) {
        if let Some(row) = self.workers.get_mut(worker) {
            row.free_since = now;
            self.free.push(worker);
        }
    }

    /// Lets go of the workers that have long been free.
    pub fn sweep(&mut self, now: Instant) {
        let workers = &mut self.workers;
        self.free.retain(|key| {
            let kept = workers[*key].free_since + IDLE > now;
            if !kept {
                workers.remove(*key);
            }
            kept
        });
    }

    fn hand_over(&mut self, now: Instant, job: Job) -> Result<(), ErrorKind> {
        let key = match self.free.pop() {
            Some(key) => key,
            None => self.grow(now)?,
        };
        let sent = self.workers[key].jobs.try_send(job);
        sent.map_err(|_error| {
            // The thread has panicked; its row must not be used again.
            log::error!(target: LOG, "A worker is gone.");
            self.workers.remove(key);
            ErrorKind::HandoverFull
        })
    }

    fn grow(&mut self, now: Instant) -> Result<WorkerKey, ErrorKind> {
        if self.workers.len() >= self.limit {
            return Err(ErrorKind::HandoverFull);
        }
        let (jobs, queue) = flume::bounded(1);
        let key = self.workers.insert(Worker {
            jobs,
            free_since: now,
        });
        let (address, model, events) = (self.address, self.model, self.events.clone());
        let spawned = thread::Builder::new()
            .name("endpoint".to_owned())
            .spawn(move || work(key, address, model, &queue, &events));
        if let Err(error) = spawned {
            log::error!(target: LOG, "No thread for a call: {error}.");
            self.workers.remove(key);
            return Err(ErrorKind::HandoverFull);
        }
        Ok(key)
    }
}

/// The life of one worker.
fn work(
    worker: WorkerKey,
    address: SocketAddr,
    model: bool,
    jobs: &Receiver<Job>,
    events: &Sender<Event>,
) {
    let mut kept = call::agent();
    for job in jobs {
        let (agent, throttle) = match &job {
            Job::Call(request, throttle) => (agent_for(request, &kept), Arc::clone(throttle)),
            Job::Order(..) => (call::agent(), Arc::default()),
        };
        let line = Line {
            agent: &agent,
            address,
            model,
            throttle: &throttle,
            events,
        };
        let event = carry_out(worker, line, job);
        if throttle.release() {
            kept = call::agent();
        }
        if events.send(event).is_err() {
            return;
        }
    }
}

/// A call that may run only once gets a connection of its own. An endpoint may
/// close a kept one just as the next request is sent on it; such a call would
/// then count as "may have run" though it never arrived.
fn agent_for(request: &Request, kept: &Agent) -> Agent {
    match request.ask.repeat {
        Repeat::Idempotent => kept.clone(),
        Repeat::Once => call::agent(),
    }
}

fn carry_out(worker: WorkerKey, line: Line<'_>, job: Job) -> Event {
    match job {
        Job::Call(request, _) => Event::Ended {
            worker,
            id: request.ask.id,
            outcome: guard(|| {
                if line.throttle.hold(line.agent) {
                    call::run(line, request.ask, request.http)
                } else {
                    Err(ErrorKind::OutcomeUnknown)
                }
            }),
        },
        Job::Order(origin, seq, http) => Event::Ordered {
            worker,
            link: origin,
            seq,
            outcome: guard(|| call::order(line, http)),
        },
    }
}

/// Turns a panic into an error: without the event that ends its call, an
/// attempt would count against the limit for as long as the side lives.
fn guard<T>(call: impl FnOnce() -> Result<T, ErrorKind>) -> Result<T, ErrorKind> {
    let caught = panic::catch_unwind(AssertUnwindSafe(call));
    caught.unwrap_or(Err(ErrorKind::Internal))
}
