//! One run of one item, from the engine's first event to the scorer's word.
//!
//! A text may come from several runs, each of which goes on after the last
//! event of the one before. The versions of a text are those that engines named
//! with their answers and events; which version was ordered says nothing about
//! which one ran.

use super::{
    Batches, Owned,
    seat::{Seat, Start},
};
use crate::{
    gateway::{
        attempt::{self, Head, set, text},
        calls::Target,
        crashes::InFlight,
        http::full_body,
        request::{internal_head, set_account},
        subject::Subject,
    },
    logs::BATCHES,
};
use hibiscusroad::{
    clock::millis,
    rollout::{Item, batch::Interruption, engines::EngineKey},
    roster::Endpoint,
};
use hibiscusroad_platform::{
    event::{Event, EventDecoder},
    header,
};
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Bytes, Frame, Incoming},
    header::HeaderName,
};
use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::timeout;

/// An engine that says nothing for so long before its first event is taken to
/// be gone: queues inside engines turn over in a second.
const HEAD: Duration = Duration::from_secs(3);
/// The same between two events. Events are some tens of milliseconds apart; a
/// load of weights holds them up for a second, a slow one for two.
const GAP: Duration = Duration::from_millis(2_500);
/// The rank of what nobody waits for; engines know ten, and 0 is the highest.
const LOWEST: u8 = 9;
/// How long an item may run if its batch has no end.
const LONGEST: Duration = Duration::from_mins(1);

/// Gaps between events that pass for usual: six times the usual one. Then an
/// engine loads weights or stands still, and one with room is faster: reading
/// the text so far again takes some milliseconds.
const STALL: f64 = 6.0;
/// The least gap that counts as a stall: queues and quotas on the way make gaps
/// of a tenth of a second.
const LEAST_STALL: Duration = Duration::from_millis(160);
/// A run without a first event after so many usual gaps waits in a queue: reading
/// its prompt takes less than one.
const QUEUED: f64 = 3.0;
/// The least wait that counts as queueing.
const LEAST_QUEUED: Duration = Duration::from_millis(100);
/// While an engine stalls, others are looked at again so often.
const STALL_LOOK: Duration = Duration::from_millis(60);
/// Events after which the pace of a run is looked at, and again each time.
const PACE_EVENTS: u32 = 6;
/// Weight of the last gap in a run's pace.
const PACE_WEIGHT: f64 = 0.2;
/// The pace of engines before any was seen, in seconds an event.
const PACE: f64 = 0.05;

/// A run under way.
struct Run<'a> {
    batches: &'a Batches,
    owned: &'a Owned,
    service: &'a str,
    n: usize,
    key: EngineKey,
    /// Its events go to the item's draft, and it is never cut for a better engine.
    draft: bool,
    /// The weight version that makes the next event.
    version: Option<u64>,
    /// Seconds from one event to the next, averaged.
    pace: Option<f64>,
    events: u32,
    /// When the last bytes came, and the last event.
    heard: Instant,
    last: Instant,
}

impl Batches {
    /// Runs an item at an engine, and then its scorer.
    pub(super) async fn item(self: &Rc<Self>, owned: &Rc<Owned>, start: Start) {
        let Start {
            n,
            seat,
            endpoint,
            priority,
            before,
            exact,
            waited: (waited, lacked),
        } = start;
        let item = &owned.submission.items[n];
        let start = Instant::now();
        let mut run = Run::new(self, owned, &endpoint.service, n, seat.key);
        let deadline = owned.expires.unwrap_or(start + LONGEST);
        let request = request(item, owned, priority.min(LOWEST), deadline, before, exact);
        let subject = request
            .as_ref()
            .ok()
            .map(|request| Rc::clone(&request.subject));
        let ended = match request {
            Ok(request) => run.generate(&request, &endpoint).await,
            Err(error) => {
                log::error!(target: BATCHES, batch = owned.id.as_str(), item = item.id.as_str(),
                    error = error.to_string().as_str(); "An item can't be sent.");
                Err(Interruption::Never)
            }
        };
        let pace = run.pace.filter(|_| run.events > PACE_EVENTS);
        if let Some(pace) = pace {
            self.engines
                .borrow_mut()
                .record_pace(Instant::now(), seat.key, pace);
        }
        if let Err(cause) = ended {
            log::info!(target: BATCHES, batch = owned.id.as_str(), item = item.id.as_str(),
                endpoint = endpoint.id.as_str(), cause:? = cause, before:? = before,
                fingerprint = subject.map(|it| it.fingerprint().to_string()),
                events = run.events, pace_us = micros(run.pace), took_ms = millis(start.elapsed()),
                waited_ms = millis(waited), weights_ms = millis(lacked.weights),
                room_ms = millis(lacked.capacity); "A run of an item broke off.");
            self.broke(owned, n, seat.key, before, cause);
            return;
        }
        log::info!(target: BATCHES, batch = owned.id.as_str(), item = item.id.as_str(),
            endpoint = endpoint.id.as_str(), before:? = before, events = run.events,
            pace_us = micros(run.pace), hint:? = item.hint, took_ms = millis(start.elapsed()),
            waited_ms = millis(waited), weights_ms = millis(lacked.weights),
            room_ms = millis(lacked.capacity), group = item.group.as_str();
            "The text of an item is whole.");
        let meters = &self.line.meters;
        meters.runs.with_label_values(&["whole"]).inc();
        meters.run_seconds.observe(start.elapsed().as_secs_f64());
        drop(seat);
        let events = owned.batch.borrow().last_event(n).unwrap_or(0);
        self.engines.borrow_mut().record_text(events, item.hint);
        let whole = owned.batch.borrow_mut().complete_text(Instant::now(), n);
        if whole {
            self.score(owned, n).await;
        } else {
            self.work.notify_one();
        }
    }
}

impl Batches {
    /// Runs an item a second time, for a later batch.
    pub(super) async fn draft(&self, owned: &Owned, n: usize, seat: Seat, endpoint: Endpoint) {
        let item = &owned.submission.items[n];
        let start = Instant::now();
        let mut run = Run::new(self, owned, &endpoint.service, n, seat.key);
        run.draft = true;
        let deadline = owned.expires.unwrap_or(start + LONGEST);
        let ended = match request(item, owned, LOWEST, deadline, None, None) {
            Ok(request) => run.generate(&request, &endpoint).await,
            Err(_unsendable) => Err(Interruption::Never),
        };
        log::info!(target: BATCHES, batch = owned.id.as_str(), item = item.id.as_str(),
            endpoint = endpoint.id.as_str(), events = run.events, ended:? = ended,
            took_ms = millis(start.elapsed()); "A draft of an item has ended.");
    }
}

/// Returns seconds as whole microseconds, for logs.
fn micros(seconds: Option<f64>) -> u64 {
    seconds.map_or(0, |s| {
        u64::try_from(Duration::from_secs_f64(s).as_micros()).unwrap_or(0)
    })
}

/// An item's request to an engine.
struct Request {
    head: Head,
    subject: Rc<Subject>,
    body: Bytes,
}

fn request(
    item: &Item,
    owned: &Owned,
    priority: u8,
    deadline: Instant,
    before: Option<u64>,
    exact: Option<u64>,
) -> Result<Request, hyper::http::Error> {
    let mut head = internal_head(&owned.host, &item.path, &item.id, deadline)?;
    for (name, value) in &item.headers {
        let name = HeaderName::try_from(name.as_str())?;
        let value = hyper::header::HeaderValue::try_from(value.as_str())?;
        head.headers.insert(name, value);
    }
    if let Some(account) = &owned.account {
        set_account(&mut head.headers, Some(account));
    }
    if let Some(last) = before {
        set(&mut head.headers, header::LAST_EVENT, &last.to_string());
    }
    if let Some(exact) = exact {
        set(
            &mut head.headers,
            header::EXPECT_VERSION,
            &exact.to_string(),
        );
    }
    set(&mut head.headers, header::PRIORITY, &priority.to_string());
    Ok(Request {
        head,
        subject: owned.subject(item),
        body: item.body.clone().into(),
    })
}

impl Owned {
    /// Returns what is the same in all runs of an item.
    pub(super) fn subject(&self, item: &Item) -> Rc<Subject> {
        Subject::of_item(&self.host, item, self.account.as_deref())
    }
}

impl<'a> Run<'a> {
    fn new(
        batches: &'a Batches,
        owned: &'a Owned,
        service: &'a str,
        n: usize,
        key: EngineKey,
    ) -> Self {
        let now = Instant::now();
        Self {
            batches,
            owned,
            service,
            n,
            key,
            draft: false,
            version: None,
            pace: None,
            events: 0,
            heard: now,
            last: now,
        }
    }

    /// Returns the last event of the text that grows.
    fn grown(&self) -> Option<u64> {
        if self.draft {
            let drafts = self.owned.drafts.borrow();
            return drafts
                .get(&self.n)
                .and_then(|draft| draft.text.last_event());
        }
        self.owned.batch.borrow().last_event(self.n)
    }

    /// Adds an event to the text that grows; `false` if it doesn't follow.
    fn grow(&self, event: &Event) -> bool {
        if self.draft {
            let mut drafts = self.owned.drafts.borrow_mut();
            let draft = drafts.get_mut(&self.n);
            return draft.is_some_and(|draft| {
                draft
                    .text
                    .append_event(event.number, &event.data, self.version)
            });
        }
        let mut batch = self.owned.batch.borrow_mut();
        batch.append_event(self.n, event.number, &event.data, self.version)
    }

    async fn generate(
        &mut self,
        request: &Request,
        endpoint: &Endpoint,
    ) -> Result<(), Interruption> {
        let head = &request.head;
        let target = Target::of(endpoint);
        let crashes = &self.batches.line.crashes;
        let mut flight = crashes.track(&request.subject, target.incarnation());
        let sent = attempt::build_request(head, &target, full_body(request.body.clone()));
        let channels = &self.batches.line.channels;
        let sending = channels.send_with_hook(target.address, sent, || flight.mark_sent());
        let sent = self.queue(sending, head.id.as_str()).await?;
        let (response, channel) = sent.map_err(|fault| {
            flight.record_fault(&fault);
            log::debug!(target: BATCHES, item = head.id.as_str(),
                endpoint = endpoint.id.as_str(),
                fingerprint:% = request.subject.fingerprint(), error = fault.to_string().as_str();
                "An engine did not answer.");
            Interruption::Lost
        })?;
        if let Err(cause) = self.accept(head, &response) {
            flight.mark_survived();
            return Err(cause);
        }
        let keep = attempt::keep_alive(response.headers());
        self.read(response.into_body(), &mut flight).await?;
        flight.mark_answered();
        channels.return_to_pool(channel, keep);
        Ok(())
    }

    /// Waits for the head of an answer, unless the run is better off elsewhere.
    ///
    /// Load: several owners fill the same engines and know of each other only what
    /// answers tell. Harm: an engine that is full puts a run into its queue, where
    /// one in ten waited for more than 0.6 s and some for 3 s, while others had room.
    /// A run that waits for longer than a first event takes has met a full engine;
    /// it leaves as soon as another one has room.
    async fn queue<T>(&self, sent: impl Future<Output = T>, id: &str) -> Result<T, Interruption> {
        let mut sent = pin!(sent);
        let start = Instant::now();
        let usual = self.batches.engines.borrow().median_pace(self.service);
        let mut wait = Duration::from_secs_f64(usual.unwrap_or(PACE) * QUEUED).max(LEAST_QUEUED);
        loop {
            if let Ok(answer) = timeout(wait, &mut sent).await {
                return Ok(answer);
            }
            let now = Instant::now();
            if now.saturating_duration_since(start) > HEAD {
                return Err(Interruption::Lost);
            }
            self.batches
                .engines
                .borrow_mut()
                .record_queueing(now, self.key);
            if self.elsewhere(now).is_some() {
                log::debug!(target: BATCHES, item = id,
                    waited_ms = millis(start.elapsed()); "An item leaves an engine's queue.");
                return Err(Interruption::Moved);
            }
            wait = STALL_LOOK;
        }
    }

    /// Understands the head of an engine's answer.
    fn accept(&mut self, head: &Head, response: &Response<Incoming>) -> Result<(), Interruption> {
        let headers = response.headers();
        let told = text(headers, header::LOAD).and_then(header::parse_load);
        let mut engines = self.batches.engines.borrow_mut();
        if let Some((running, queued, _)) = told {
            engines.record_load(Instant::now(), self.key, running + queued);
        }
        let echo = text(headers, header::REQUEST);
        if echo.is_some_and(|echo| echo != head.id) {
            return Err(Interruption::Lost);
        }
        let status = response.status().as_u16();
        match status {
            200..=299 if echo.is_some() && headers.contains_key(header::SIGNATURE) => {}
            _ if headers.contains_key(header::NOT_RUN) => return Err(Interruption::NotRun),
            421 => return Err(Interruption::NotRun),
            422 => return Err(Interruption::Never),
            500 => return Err(Interruption::Failed),
            _ => return Err(Interruption::Lost),
        }
        self.version = text(headers, header::WEIGHT_VERSIONS).and_then(|v| v.trim().parse().ok());
        if let Some((model, version)) = self.owned.submission.model.as_deref().zip(self.version) {
            engines.record_version(self.key, model, version);
        }
        Ok(())
    }

    async fn read(
        &mut self,
        mut body: Incoming,
        flight: &mut InFlight,
    ) -> Result<(), Interruption> {
        let mut events = EventDecoder::new();
        self.heard = Instant::now();
        loop {
            let Some(frame) = self.frame(&mut body, flight).await? else {
                break;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            events.push(&data);
            loop {
                match events.next_event() {
                    Ok(Some(event)) => self.take(&event)?,
                    Ok(None) => break,
                    Err(_garbled) => return Err(Interruption::Lost),
                }
            }
        }
        if events.is_at_boundary() && self.grown().is_some() {
            Ok(())
        } else {
            Err(Interruption::Lost)
        }
    }

    /// Waits for the next bytes, unless the run is better off elsewhere.
    async fn frame(
        &mut self,
        body: &mut Incoming,
        flight: &mut InFlight,
    ) -> Result<Option<Frame<Bytes>>, Interruption> {
        let usual = self.batches.engines.borrow().median_pace(self.service);
        let stall = Duration::from_secs_f64(usual.unwrap_or(PACE) * STALL).max(LEAST_STALL);
        let mut wait = stall;
        loop {
            match timeout(wait, body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    self.heard = Instant::now();
                    return Ok(Some(frame));
                }
                Ok(Some(Err(error))) => {
                    flight.record_break(&error);
                    return Err(Interruption::Lost);
                }
                Err(_elapsed) => {}
            }
            let now = Instant::now();
            if now.saturating_duration_since(self.heard) > GAP {
                return Err(Interruption::Lost);
            }
            self.batches
                .engines
                .borrow_mut()
                .record_stall(now, self.key);
            if self.elsewhere(now).is_some() {
                return Err(Interruption::Moved);
            }
            wait = STALL_LOOK;
        }
    }

    /// Finds another engine that has room for this item.
    fn elsewhere(&self, now: Instant) -> Option<EngineKey> {
        if self.draft {
            return None;
        }
        let route = self.batches.route(self.owned)?;
        self.batches
            .choose(now, self.owned, &route, self.n, Some(self.key))
    }

    /// Adds an event to the text; one that doesn't follow the last ends the run.
    fn take(&mut self, event: &Event) -> Result<(), Interruption> {
        if let Some(version) = event.version {
            self.version = Some(version);
            if let Some(model) = self.owned.submission.model.as_deref() {
                let mut engines = self.batches.engines.borrow_mut();
                engines.record_version(self.key, model, version);
            }
        }
        if !self.grow(event) {
            return Err(Interruption::Lost);
        }
        self.count()
    }

    /// Measures the pace, and cuts a run that is slow if another engine isn't.
    fn count(&mut self) -> Result<(), Interruption> {
        let now = Instant::now();
        let gap = now.saturating_duration_since(self.last).as_secs_f64();
        self.last = now;
        self.events += 1;
        if self.events == 1 {
            // The time to the first event tells of queues and prompts.
            return Ok(());
        }
        let pace = self.pace.unwrap_or(gap);
        self.pace = Some(pace + (gap - pace) * PACE_WEIGHT);
        if !self.events.is_multiple_of(PACE_EVENTS) {
            return Ok(());
        }
        let pace = self.pace.unwrap_or(gap);
        self.batches
            .engines
            .borrow_mut()
            .record_pace(now, self.key, pace);
        let Some(other) = self.elsewhere(now) else {
            return Ok(());
        };
        let events = self.grown().unwrap_or(0);
        let engines = self.batches.engines.borrow();
        if engines.is_worth_moving(self.service, pace, events, other) {
            return Err(Interruption::Moved);
        }
        Ok(())
    }
}
