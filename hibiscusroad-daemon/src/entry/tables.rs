//! The tables of an entry and the systems that run over them.
//!
//! A call is what a caller asked for; an attempt is one try to run it at one
//! endpoint. The router decides where calls run; these tables carry it out and
//! keep account of what each caller may be told.
//!
//! The router's verdict is checked once more before it goes out: it may say
//! "not run" only if no attempt of this call can have started. That is known
//! here alone, since it depends on what became of frames. The check costs one
//! field a call.

use crate::{
    entry::{
        attempt::Attempt,
        claim::{Keyed, keyed_not_run},
        claims::Write,
        event::{Arrival, Event, Head, Ids, Inbound, LinkEvent, Part},
        link::Dialer,
        side::{Side, SideKey},
    },
    settings::Settings,
};
use flume::{Sender, TrySendError};
use hibiscusroad::{
    ErrorKind, Repeat, RequestId,
    config::{Document, Kind, Register},
    route::{Call, EndpointKey, Outcome, Router, ServiceKey, ServiceSpec, Step},
};
use slotmap::SlotMap;
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

/// Time between two runs of the systems when no deadline passes.
pub const TICK: Duration = Duration::from_millis(25);

/// When to come back after a refusal that the entry itself decides.
pub(super) const COME_BACK: Duration = Duration::from_secs(1);

/// One request of a caller.
#[derive(Debug)]
pub(super) struct CallRow {
    pub(super) request: Inbound,
    pub(super) repeat: Repeat,
    pub(super) deadline: Instant,
    pub(super) reply: Sender<Part>,
    /// Its claim, if it carries an idempotency key and may not run twice.
    pub(super) keyed: Option<Keyed>,
    /// Attempts that have not ended.
    pub(super) attempts: Vec<RequestId>,
    /// The attempt whose answer the caller has begun to get.
    pub(super) winner: Option<RequestId>,
    /// Whether an attempt that ended may have run.
    pub(super) ran: bool,
}

impl CallRow {
    /// Says whether it waits for the attempt of another request of its key.
    fn is_guest(&self) -> bool {
        let keyed = self.keyed.as_ref();
        keyed.is_some_and(|keyed| keyed.holder.is_guest())
    }
}

/// All that an entry knows.
#[derive(Debug)]
pub struct Tables {
    pub(super) name: String,
    pub(super) place: String,
    pub(super) subset: usize,
    pub(super) ids: Arc<Ids>,
    pub(super) dialer: Dialer,
    pub(super) router: Router,
    pub(super) config: Register,
    pub(super) sides: SlotMap<SideKey, Side>,
    pub(super) endpoints: HashMap<EndpointKey, SideKey>,
    pub(super) calls: HashMap<RequestId, CallRow>,
    pub(super) attempts: HashMap<RequestId, Attempt>,
    pub(super) ticked: Instant,
    pub(super) writes: Sender<Write>,
    /// Calls of each key, in their turn.
    pub(super) keys: HashMap<String, VecDeque<RequestId>>,
    deadlines: BTreeSet<(Instant, RequestId)>,
    stopping: bool,
}

impl Tables {
    /// Creates the tables of an entry that knows no side yet.
    #[must_use]
    pub fn new(
        settings: &Settings,
        subset: usize,
        ids: Arc<Ids>,
        dialer: Dialer,
        writes: Sender<Write>,
    ) -> Self {
        let seed = ids.origin().0;
        Self {
            name: settings.name.clone(),
            place: settings.place.clone(),
            subset,
            ids,
            dialer,
            router: Router::new(&settings.place, seed),
            config: Register::new(),
            sides: SlotMap::with_key(),
            endpoints: HashMap::new(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            ticked: Instant::now(),
            writes,
            keys: HashMap::new(),
            deadlines: BTreeSet::new(),
            stopping: false,
        }
    }

    /// Takes in one event.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, *arrival),
            Event::Left(id) => self.drop_call(now, id),
            Event::Link(side, epoch, LinkEvent::Frame(frame)) => {
                self.frame(now, side, epoch, frame);
            }
            Event::Link(side, epoch, LinkEvent::Down(reason)) => {
                self.link_down(now, side, epoch, &reason);
            }
            Event::Hosts(hosts) => self.hosts(now, &hosts),
            Event::Claimed(call, attempt, verdict) => {
                self.claimed(now, call, attempt, *verdict);
            }
            Event::Config(document) => self.adopt(now, *document),
            Event::Ask(subject, reply) => {
                let _ = reply.try_send(self.show(now, &subject));
            }
            Event::Stop => self.stopping = true,
        }
        self.steps(now);
    }

    /// Runs the systems over the tables, if it is time.
    ///
    /// Events come thousands of times a second; what waits for time alone need
    /// not be looked at with each of them.
    pub fn tick(&mut self, now: Instant) {
        let due = self.next_due().is_some_and(|due| due <= now);
        if !due && now < self.ticked + TICK {
            return;
        }
        self.expire(now);
        self.tick_sides(now);
        self.router.tick(now);
        self.steps(now);
    }

    /// Says when [`Tables::tick`] has something to do at the latest.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        [deadline, self.router.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Says whether the process is to stop.
    #[must_use]
    pub const fn stopping(&self) -> bool {
        self.stopping
    }

    /// Returns how many calls have no final answer yet.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Puts a configuration in force if it is newer than the one that is.
    pub fn adopt(&mut self, now: Instant, document: Document) {
        if !self.config.offer(document) {
            return;
        }
        let document = self.config.newest();
        log::info!(target: "config", "Version {} is in force.", document.version);
        for (name, service) in &document.services {
            self.router.set_service(now, name, service.rule.spec());
        }
        let keys: Vec<SideKey> = self.sides.keys().collect();
        for key in keys {
            self.set_open(now, key);
            // Not left to the next heartbeat: news is to be everywhere at once.
            self.offer_config(key, self.sides[key].config);
        }
    }

    /// Carries out what the router decided.
    pub(super) fn steps(&mut self, now: Instant) {
        while let Some(step) = self.router.next_step() {
            match step {
                Step::Start { id, endpoint, .. } => self.start(now, id, endpoint),
                Step::Cancel { id, endpoint } => self.cancel(id, endpoint),
                Step::Refuse { id, kind, after } => self.refuse(now, id, kind, after),
            }
        }
    }

    fn arrive(&mut self, now: Instant, arrival: Arrival) {
        let Arrival {
            id,
            request,
            deadline,
            reply,
        } = arrival;
        if self.known(&request.service).is_none() {
            let kind = self.unknown_service();
            let _ = reply.try_send(Part::Fail(kind, COME_BACK));
            return;
        }
        let repeat = self.repeat(&request);
        let mut row = CallRow {
            request,
            repeat,
            deadline,
            reply,
            keyed: None,
            attempts: Vec::new(),
            winner: None,
            ran: false,
        };
        if repeat == Repeat::Once {
            row.keyed = Keyed::new(&row);
        }
        let key = row.keyed.as_ref().map(|keyed| keyed.row.clone());
        self.calls.insert(id, row);
        self.deadlines.insert((deadline, id));
        if key.is_none_or(|key| self.line_up(id, &key)) {
            self.admit(now, id);
        }
    }

    /// Hands a call to the router.
    pub(super) fn admit(&mut self, now: Instant, id: RequestId) {
        let Some(row) = self.calls.get(&id) else {
            return;
        };
        let request = &row.request;
        let Some(service) = self.known(&request.service) else {
            return self.refuse(now, id, ErrorKind::UnknownService, COME_BACK);
        };
        let mut call = Call::new(id, service, request.class, row.deadline).repeat(row.repeat);
        if let Some(prompt) = request.prompt {
            call = call.tokens(prompt.tokens).prefix(prompt.prefix);
        }
        self.router.arrive(now, call);
    }

    /// Finds a service, unless the configuration in force has none of this name.
    fn known(&self, name: &str) -> Option<ServiceKey> {
        let document = self.config.newest();
        if document.version > 0 && !document.services.contains_key(name) {
            return None;
        }
        self.router.service(name)
    }

    /// A name can be said to be unknown only by an entry that knows names: one
    /// that has just started must not turn callers away for good.
    fn unknown_service(&self) -> ErrorKind {
        if self.sides.is_empty() && self.config.version() == 0 {
            ErrorKind::NoConfig
        } else {
            ErrorKind::UnknownService
        }
    }

    fn repeat(&self, request: &Inbound) -> Repeat {
        let document = self.config.newest();
        let model = match document.services.get(&request.service) {
            Some(service) => service.kind == Kind::Model,
            None => request.prompt.is_some(),
        };
        if request.idempotent || model {
            Repeat::Free
        } else {
            Repeat::Once
        }
    }

    /// Adds a service that a host list names and no configuration does.
    pub(super) fn ensure_service(&mut self, now: Instant, name: &str) {
        if self.router.service(name).is_none() {
            self.router.set_service(now, name, ServiceSpec::new());
        }
    }

    /// Gives up the calls whose callers wait no longer.
    fn expire(&mut self, now: Instant) {
        while let Some(&(at, id)) = self.deadlines.first() {
            if at > now {
                return;
            }
            let kind = if self.waits_for_key(id) {
                ErrorKind::KeyRunning
            } else {
                ErrorKind::Expired
            };
            self.refuse(now, id, kind, COME_BACK);
        }
    }

    /// Gives a caller its final answer, which is none.
    pub(super) fn refuse(&mut self, now: Instant, id: RequestId, kind: ErrorKind, after: Duration) {
        let Some(row) = self.calls.get(&id) else {
            return;
        };
        let kind = self.truth(row, kind);
        let _ = row.reply.try_send(Part::Fail(kind, after));
        self.drop_call(now, id);
    }

    /// Replaces "not run" by what is known if an attempt may have run.
    fn truth(&self, row: &CallRow, kind: ErrorKind) -> ErrorKind {
        let may_have_run = row.ran || !row.attempts.is_empty();
        if !kind.answer().not_run || !may_have_run {
            return kind;
        }
        if row.repeat == Repeat::Free {
            return match kind {
                ErrorKind::Expired => ErrorKind::TimedOut,
                _ => ErrorKind::EndpointBroken,
            };
        }
        let cut_off = |id: &RequestId| self.attempts.get(id).is_none_or(|a| !a.reachable);
        if kind == ErrorKind::Expired && !row.ran && !row.attempts.iter().any(cut_off) {
            return ErrorKind::TimedOut;
        }
        ErrorKind::OutcomeUnknown
    }

    /// Forgets a call; what runs of it is cancelled if it may be.
    pub(super) fn drop_call(&mut self, now: Instant, id: RequestId) {
        self.router.cancel(now, id);
        self.close_call(now, id);
    }

    /// Forgets a call that has its final answer.
    pub(super) fn close_call(&mut self, now: Instant, id: RequestId) {
        let Some(row) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(row.deadline, id));
        for attempt in row.attempts {
            self.abandon(attempt, row.repeat);
        }
        if let Some(keyed) = row.keyed {
            self.leave_line(now, id, keyed);
        }
    }

    /// Hands a part of an answer to its caller; false if that is not possible.
    pub(super) fn pass(&mut self, now: Instant, call: RequestId, part: Part) -> bool {
        let Some(row) = self.calls.get(&call) else {
            return false;
        };
        match row.reply.try_send(part) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                log::info!(target: "callers", "The caller of {call} is too slow; it is cut off.");
                self.drop_call(now, call);
                false
            }
            Err(TrySendError::Disconnected(_)) => {
                self.drop_call(now, call);
                false
            }
        }
    }

    /// Begins to pass an answer on; from now on no other attempt can replace it.
    pub(super) fn commit(&mut self, now: Instant, attempt: RequestId, head: Head) -> bool {
        let Some(call) = self.attempts.get(&attempt).map(|a| a.call) else {
            return false;
        };
        if let Some(row) = self.calls.get_mut(&call) {
            row.winner = Some(attempt);
        }
        self.pass(now, call, Part::Head(head))
    }

    /// Ends an attempt and tells the router.
    pub(super) fn end_attempt(&mut self, now: Instant, id: RequestId, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(side) = self.sides.get_mut(attempt.side) {
            side.attempts.remove(&id);
        }
        let broken = self.note_end(&attempt, id, outcome);
        let row = self.calls.get_mut(&attempt.call);
        if row.as_ref().is_some_and(|row| row.is_guest()) {
            return self.end_guest(now, &attempt, outcome);
        }
        if let Outcome::NotRun(_) = outcome {
            keyed_not_run(row);
        }
        self.router
            .finish(now, attempt.call, attempt.endpoint, outcome);
        if let Some(kind) = broken {
            // Its caller has bytes of this attempt, so no other can go on.
            self.refuse(now, attempt.call, kind, COME_BACK);
        }
    }

    fn note_end(
        &mut self,
        attempt: &Attempt,
        id: RequestId,
        outcome: Outcome,
    ) -> Option<ErrorKind> {
        let row = self.calls.get_mut(&attempt.call)?;
        row.attempts.retain(|other| *other != id);
        match outcome {
            Outcome::Answered => None,
            Outcome::NotRun(kind) => (row.winner == Some(id)).then_some(kind),
            Outcome::Failed(kind) => {
                row.ran = true;
                (row.winner == Some(id)).then_some(kind)
            }
        }
    }
}
